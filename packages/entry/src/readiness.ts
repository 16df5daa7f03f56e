/** Whether this VM may take requests, and what it says of that to others. */
import type { MemberFact } from '@spoolplank/membership';

export interface ReadinessOptions {
  readonly documents: {
    readonly current: unknown;
    /** Age of the last confirmation that nothing newer is in force, in milliseconds. */
    confirmedAgeMs(): number;
  };
  /** How long a key may still be served after it was taken away. */
  readonly revocationMs: number;
  /** Whether new connections of callers can be accepted; a VM that cannot is not ready. */
  readonly canAccept?: () => boolean;
}

export interface Readiness {
  /** Whether the last confirmation is recent enough to know of routes and keys taken away. */
  isFresh(): boolean;
  /** Whether there is a document, confirmed lately enough. */
  isReadyToRoute(): boolean;
  /** Whether callers are to be sent here. */
  isReady(): boolean;
  memberState(): MemberFact['state'];
  beginLeaving(): void;
}

/** Share of the revocation bound at which a confirmation is too old; the rest is for the way. */
const FRESH_SHARE = 0.85;

export function createReadiness(options: ReadinessOptions): Readiness {
  const { documents, revocationMs, canAccept = () => true } = options;
  let isLeaving = false;

  const isFresh = () => documents.confirmedAgeMs() < revocationMs * FRESH_SHARE;
  const isReadyToRoute = () => documents.current !== null && isFresh();
  const isReady = () => !isLeaving && isReadyToRoute() && canAccept();

  return {
    isFresh,
    isReadyToRoute,
    isReady,
    memberState() {
      if (isLeaving) return 'leaving';
      return isReady() ? 'ready' : 'starting';
    },
    beginLeaving() {
      isLeaving = true;
    },
  };
}
