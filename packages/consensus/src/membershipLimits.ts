/** The fault tolerance that the settings require of a group, and the limits derived from it. */

/** Losses that a group has to tolerate. */
export interface FaultTolerance {
  /** Number of VMs that may be lost at the same time. */
  readonly lossesBorne: number;
  /**
   * How long a VM still counts as lost after it has returned or its replacement has started. The
   * next VM may be lost immediately afterwards.
   */
  readonly catchUpMs: number;
}

export interface MembershipLimits {
  /** Number of voters of which a majority remains after the tolerated losses. */
  readonly votersWanted: number;
  /** Time for which a member must reply without a gap before it becomes a voter. */
  readonly stableForMs: number;
  /** Time without a reply after which a voter is replaced by a standby. */
  readonly contactTimeoutMs: number;
  /** Time without a reply after which a non-voting member is removed. */
  readonly removeAfterMs: number;
  /** Maximum age of a reply or a join request that still counts as current. */
  readonly maxContactAgeMs: number;
}

/** Timings that determine how fast a group detects the loss of its leader. */
export interface ElectionTimings {
  readonly electionTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
}

export const DEFAULT_FAULT_TOLERANCE: FaultTolerance = { lossesBorne: 1, catchUpMs: 4000 };
/** Within `catchUpMs` a new VM must find the group, prove stable and be exchanged for a voter. */
const STABLE_SHARE = 1 / 8;
/** Leaves time within `catchUpMs` to elect a leader first and to exchange the voter afterwards. */
const SILENT_SHARE = 1 / 4;
/** Long enough for a VM that restarts or is partitioned to return before it is removed. */
const REMOVE_SHARE = 2.5;
const MAX_CONTACT_AGE_SHARE = 1 / 8;
/** A lost leader is replaced within twice the timeout; the remaining time is for the exchange. */
const ELECTION_SHARE = 0.175;
const HEARTBEATS_PER_TIMEOUT = 3.5;
/** Replaces a failed leader within 1.4 s, and tolerates pauses of 300 ms on a busy VM. */
const MAX_ELECTION_TIMEOUT_MS = 700;
/** Longest ordinary election: two random election timeouts, and one more for a split vote. */
const ELECTION_LIMIT_TIMEOUTS = 3;
/** A single voter could lose acknowledged entries, so at least one loss is always tolerated. */
const MIN_LOSSES = 1;

/** Lower bound for the election timeout, which must be well above the timer delay of a replica. */
const MIN_ELECTION_TIMEOUT_MS = 200;

/** Time within which an ordinary election has a result. */
export function deriveElectionLimitMs({ electionTimeoutMs }: ElectionTimings): number {
  return ELECTION_LIMIT_TIMEOUTS * electionTimeoutMs;
}

/** Returns why the required fault tolerance cannot be met, or null if it can. */
export function findFaultToleranceProblem({ catchUpMs }: FaultTolerance): string | null {
  const minCatchUpMs = Math.ceil(MIN_ELECTION_TIMEOUT_MS / ELECTION_SHARE);
  if (catchUpMs >= minCatchUpMs) return null;
  return `a VM cannot return or be replaced within ${catchUpMs} ms: an election alone may take ${2 * MIN_ELECTION_TIMEOUT_MS} ms, and the group needs ${minCatchUpMs} ms`;
}

/** Derives the membership limits from the required fault tolerance. */
export function deriveMembershipLimits({
  lossesBorne,
  catchUpMs,
}: FaultTolerance): MembershipLimits {
  return {
    votersWanted: 2 * Math.max(MIN_LOSSES, lossesBorne) + 1,
    stableForMs: catchUpMs * STABLE_SHARE,
    contactTimeoutMs: catchUpMs * SILENT_SHARE,
    removeAfterMs: catchUpMs * REMOVE_SHARE,
    maxContactAgeMs: catchUpMs * MAX_CONTACT_AGE_SHARE,
  };
}

/** Derives the election timings from the required fault tolerance. */
export function deriveElectionTimings({ catchUpMs }: FaultTolerance): ElectionTimings {
  const wantedMs = Math.max(MIN_ELECTION_TIMEOUT_MS, catchUpMs * ELECTION_SHARE);
  const electionTimeoutMs = Math.min(MAX_ELECTION_TIMEOUT_MS, wantedMs);
  return { electionTimeoutMs, heartbeatIntervalMs: electionTimeoutMs / HEARTBEATS_PER_TIMEOUT };
}
