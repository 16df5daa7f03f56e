/** Decides whether this VM accepts requests, and the member state that it reports to others. */
import type { MemberFact } from '@spoolplank/membership';

export interface ReadinessOptions {
  readonly documents: {
    readonly current: unknown;
    /** Age of the last confirmation that the document is the latest, in milliseconds. */
    confirmedAgeMs(): number;
  };
  /** Maximum time for which a revoked key may still be served. */
  readonly revocationMs: number;
  /** Age from which a confirmation no longer shows that a route or key does not exist. */
  readonly refusalLimitMs: number;
  /** Whether the VM can accept new connections of callers; otherwise it is not ready. */
  readonly canAccept?: () => boolean;
}

export interface Readiness {
  /** Whether the last confirmation is recent enough to include revoked routes and keys. */
  isFresh(): boolean;
  /** Whether the last confirmation is recent enough to include added routes and keys. */
  isCurrent(): boolean;
  /** Whether there is a document with a recent confirmation. */
  isReadyToRoute(): boolean;
  /** Whether callers should be directed to this VM. */
  isReady(): boolean;
  memberState(): MemberFact['state'];
  /** From now on the VM is not ready, and reports that it is leaving. */
  beginDraining(): void;
}

/**
 * Share of `revocationMs` after which a confirmation is too old. The rest covers the time that a
 * confirmation takes to arrive.
 */
const FRESH_SHARE = 0.85;

export function createReadiness(options: ReadinessOptions): Readiness {
  const { documents, revocationMs, refusalLimitMs, canAccept = () => true } = options;
  let isLeaving = false;

  const isFresh = () => documents.confirmedAgeMs() < revocationMs * FRESH_SHARE;
  const isCurrent = () => isFresh() && documents.confirmedAgeMs() < refusalLimitMs;
  const isReadyToRoute = () => documents.current !== null && isFresh();
  const isReady = () => !isLeaving && isReadyToRoute() && canAccept();

  return {
    isFresh,
    isCurrent,
    isReadyToRoute,
    isReady,
    memberState() {
      if (isLeaving) return 'leaving';
      return isReady() ? 'ready' : 'starting';
    },
    beginDraining() {
      isLeaving = true;
    },
  };
}
