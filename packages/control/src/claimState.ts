import type {
  AcquireClaim,
  ClaimOutcome,
  ClaimResult,
  SettleClaim,
  StoredAnswer,
  VoidClaim,
} from './commands';

interface ClaimRecord {
  /** Organisation and key, joined by a line feed. */
  readonly id: string;
  readonly requestDigest: string;
  readonly owner: string;
  readonly outcome: ClaimOutcome | null;
  readonly answer: StoredAnswer | null;
  readonly expiresAtMs: number;
}

export interface ClaimSnapshot {
  readonly claims: readonly ClaimRecord[];
}

export interface ClaimStateOptions {
  /** Claims beyond this number are refused; a claim is never evicted before it expires. */
  readonly maxClaims?: number;
}

export interface ClaimState {
  readonly size: number;
  acquire(command: AcquireClaim): ClaimResult;
  settle(command: SettleClaim): ClaimResult;
  voidClaim(command: VoidClaim): ClaimResult;
  snapshot(): ClaimSnapshot;
  restore(snapshot: ClaimSnapshot): void;
}

const DEFAULT_MAX_CLAIMS = 200_000;
const BUCKET_MS = 10_000;

function claimId({
  organisation,
  key,
}: {
  readonly organisation: string;
  readonly key: string;
}): string {
  return `${organisation}\n${key}`;
}

/**
 * Records which owner may execute a request that must not be executed twice. A key is granted to
 * one owner only. The owner may release the claim only if it has sent nothing to a backend server.
 */
export function createClaimState({
  maxClaims = DEFAULT_MAX_CLAIMS,
}: ClaimStateOptions = {}): ClaimState {
  let claims = new Map<string, ClaimRecord>();
  /** Claim ids by the time bucket in which they expire, so that expiry does not scan all claims. */
  let buckets = new Map<number, string[]>();
  let nextBucket = 0;

  function put(record: ClaimRecord): void {
    claims.set(record.id, record);
    const bucket = Math.floor(record.expiresAtMs / BUCKET_MS) + 1;
    const ids = buckets.get(bucket);
    if (ids) ids.push(record.id);
    else buckets.set(bucket, [record.id]);
  }

  function expire(logTimeMs: number): void {
    const current = Math.floor(logTimeMs / BUCKET_MS);
    if (current < nextBucket) return;
    nextBucket = current + 1;
    [...buckets.keys()]
      .filter((bucket) => bucket <= current)
      .forEach((bucket) => {
        buckets.get(bucket)?.forEach((id) => {
          const record = claims.get(id);
          if (record && record.expiresAtMs <= logTimeMs) claims.delete(id);
        });
        buckets.delete(bucket);
      });
  }

  function resultForExisting(
    known: ClaimRecord,
    { owner, requestDigest }: AcquireClaim,
  ): ClaimResult {
    if (known.requestDigest !== requestDigest) return { status: 'mismatch' };
    if (known.outcome) return { status: 'settled', outcome: known.outcome, answer: known.answer };
    // An owner repeats the request only if the reply was lost; it has sent nothing yet.
    return known.owner === owner ? { status: 'granted' } : { status: 'held' };
  }

  return {
    get size() {
      return claims.size;
    },
    acquire(command) {
      const { requestDigest, owner, retentionMs, logTimeMs } = command;
      expire(logTimeMs);
      const id = claimId(command);
      const known = claims.get(id);
      if (known) return resultForExisting(known, command);
      if (claims.size >= maxClaims) return { status: 'full' };
      put({
        id,
        requestDigest,
        owner,
        outcome: null,
        answer: null,
        expiresAtMs: logTimeMs + retentionMs,
      });
      return { status: 'granted' };
    },
    settle(command) {
      const { owner, outcome, answer } = command;
      const known = claims.get(claimId(command));
      if (known?.owner !== owner) return { status: 'lost' };
      if (known.outcome) return { status: 'settled', outcome: known.outcome, answer: known.answer };
      claims.set(known.id, { ...known, outcome, answer });
      return { status: 'settled', outcome, answer };
    },
    voidClaim(command) {
      const known = claims.get(claimId(command));
      if (known?.owner !== command.owner || known.outcome) return { status: 'lost' };
      claims.delete(known.id);
      return { status: 'voided' };
    },
    snapshot: () => ({ claims: [...claims.values()] }),
    restore(snapshot) {
      claims = new Map();
      buckets = new Map();
      nextBucket = 0;
      snapshot.claims.forEach(put);
    },
  };
}
