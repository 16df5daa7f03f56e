/** What the settings promise of a group, and the counts and times that follow from it. */

/** Losses that a group has to bear. */
export interface GroupPromise {
  /** VMs that may be lost at a time. */
  readonly lossesBorne: number;
  /**
   * How long a VM counts as lost after it is back, or after the start of the one that takes its
   * place, in milliseconds. The next one may be lost right after that.
   */
  readonly catchUpMs: number;
}

export interface MembershipLimits {
  /** Voters of which a majority is left after the losses. */
  readonly votersWanted: number;
  /** A member answers without a gap for so long before it is given a vote. */
  readonly steadyForMs: number;
  /** A voter that has not answered for so long gives way to a standby. */
  readonly silentAfterMs: number;
  /** A member without a vote that has not answered for so long is removed. */
  readonly removeAfterMs: number;
  /** Age at which an answer, or a request to join, no longer counts as present. */
  readonly freshForMs: number;
}

/** How fast a group notices that its leader is lost. */
export interface ElectionTimings {
  readonly electionTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
}

export const DEFAULT_GROUP_PROMISE: GroupPromise = { lossesBorne: 1, catchUpMs: 4000 };
/** A newcomer has to find the group, answer steadily, and be exchanged for a voter within it. */
const STEADY_SHARE = 1 / 8;
/** Leaves time to elect a leader before it, and to exchange the voter after it. */
const SILENT_SHARE = 1 / 4;
/** Long enough for a VM that restarts, or is cut off, to find its place as it was. */
const REMOVE_SHARE = 2.5;
const FRESH_SHARE = 1 / 8;
/** A lost leader is noticed and replaced within twice the timeout; the rest is for the exchange. */
const ELECTION_SHARE = 0.175;
const HEARTBEATS_PER_TIMEOUT = 3.5;
/** A leader that ended is replaced within 1.4 s; a pause of 300 ms on a busy VM is borne. */
const MAX_ELECTION_TIMEOUT_MS = 700;
/** A group of one cannot lose anything, whatever was promised. */
const MIN_LOSSES = 1;

/** Timers of a replica run out this late; an election timeout has to be well above that. */
const MIN_ELECTION_TIMEOUT_MS = 200;

/** Says why a promise cannot be kept; null when it can. */
export function findPromiseProblem({ catchUpMs }: GroupPromise): string | null {
  const leastMs = Math.ceil(MIN_ELECTION_TIMEOUT_MS / ELECTION_SHARE);
  if (catchUpMs >= leastMs) return null;
  return `a VM cannot be back, or replaced, within ${catchUpMs} ms: an election alone may take ${2 * MIN_ELECTION_TIMEOUT_MS} ms, and the group needs ${leastMs} ms`;
}

/** Works out the limits from a promise. */
export function deriveMembershipLimits({ lossesBorne, catchUpMs }: GroupPromise): MembershipLimits {
  return {
    votersWanted: 2 * Math.max(MIN_LOSSES, lossesBorne) + 1,
    steadyForMs: catchUpMs * STEADY_SHARE,
    silentAfterMs: catchUpMs * SILENT_SHARE,
    removeAfterMs: catchUpMs * REMOVE_SHARE,
    freshForMs: catchUpMs * FRESH_SHARE,
  };
}

/** Works out the timings of elections from a promise. */
export function deriveElectionTimings({ catchUpMs }: GroupPromise): ElectionTimings {
  const wantedMs = Math.max(MIN_ELECTION_TIMEOUT_MS, catchUpMs * ELECTION_SHARE);
  const electionTimeoutMs = Math.min(MAX_ELECTION_TIMEOUT_MS, wantedMs);
  return { electionTimeoutMs, heartbeatIntervalMs: electionTimeoutMs / HEARTBEATS_PER_TIMEOUT };
}
