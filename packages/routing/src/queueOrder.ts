/**
 * Defines the order in which queued requests get free slots.
 *
 * After a loss of engines, or when all callers retry at once, more requests arrive for some seconds
 * than are served. In first-come, first-served order every request then waits longer than the
 * target for as long as the queue lasts, and none is in time. This order therefore prefers requests
 * that can still meet the target over those that cannot. A retry takes precedence over a first
 * attempt that is late already, as the caller of a retry will probably not retry again. Shortly
 * before a retry leaves the queue, only streams that have begun take precedence over it. A late
 * request loses nothing by waiting longer.
 *
 * Routes of a service may differ in priority. Their requests form classes, and a class is served
 * before all less urgent ones of organisations of the same priority. Within a group of a class, the
 * organisation that was granted least for its weight is served first. `slotShares` counts both.
 */

/** A queued request. Times are on the VM's monotonic clock. */
export interface QueuedRequest {
  /** Priority of the organisation; 0 is the highest. */
  readonly priority: number;
  /** Priority of the route; equal to `priority` by default. */
  readonly classPriority?: number;
  readonly arrivedAtMs: number;
  /** Latest time at which a slot still leads to a first event within the target. */
  readonly latestStartAtMs: number;
  /** Time at which the request leaves the queue. */
  readonly queueDeadlineAtMs: number;
  /** Whether this is a retry by the caller; few callers retry twice. */
  readonly isRetry: boolean;
  /** Whether the request continues a stream that was partly delivered and would be lost. */
  readonly hasBegun?: boolean;
}

/** A retry gets precedence when less than this remains until it leaves the queue. */
const LAST_CALL_MS = 300;

/** Groups of the requests of a class, highest precedence first. */
export type QueueGroup = 'begun' | 'last-call' | 'in-time' | 'retry' | 'late';

const GROUP_ORDER: Readonly<Record<QueueGroup, number>> = {
  begun: 0,
  'last-call': 1,
  'in-time': 2,
  retry: 3,
  late: 4,
};

type Compare = (a: QueuedRequest, b: QueuedRequest) => number;

const byDeadline: Compare = (a, b) => a.queueDeadlineAtMs - b.queueDeadlineAtMs;
const byArrival: Compare = (a, b) => a.arrivedAtMs - b.arrivedAtMs;

/**
 * Order within a group. Requests that can be in time are served by their latest time for a slot,
 * earliest first.
 */
const COMPARE_WITHIN_GROUP: Readonly<Record<QueueGroup, Compare>> = {
  begun: byDeadline,
  'last-call': byDeadline,
  'in-time': (a, b) => a.latestStartAtMs - b.latestStartAtMs,
  retry: byDeadline,
  late: byArrival,
};

/** Returns the group of a request; `isAhead` tells whether its organisation exceeds its share. */
export function groupOf(request: QueuedRequest, nowMs: number, isAhead = false): QueueGroup {
  if (request.hasBegun) return 'begun';
  if (isAhead) return request.latestStartAtMs > nowMs ? 'in-time' : 'late';
  const isLastCall = request.isRetry && request.queueDeadlineAtMs - nowMs < LAST_CALL_MS;
  if (isLastCall) return 'last-call';
  if (request.latestStartAtMs > nowMs) return 'in-time';
  return request.isRetry ? 'retry' : 'late';
}

/**
 * Time at which a request leaves its group; infinite if it does not. `groupOf` may still return the
 * same group at this very moment.
 */
export function nextGroupChangeAtMs(request: QueuedRequest, group: QueueGroup): number {
  const lastCallAtMs = request.isRetry
    ? request.queueDeadlineAtMs - LAST_CALL_MS
    : Number.POSITIVE_INFINITY;
  if (group === 'in-time') return Math.min(request.latestStartAtMs, lastCallAtMs);
  return group === 'retry' ? lastCallAtMs : Number.POSITIVE_INFINITY;
}

/** Compares requests of the same group, class and organisation. */
export const compareWithinGroup = (group: QueueGroup, a: QueuedRequest, b: QueuedRequest): number =>
  COMPARE_WITHIN_GROUP[group](a, b);

export const classOf = ({ priority, classPriority = priority }: QueuedRequest): number =>
  classPriority;

/** The shares of classes and organisations, as far as they change the order. */
export interface ShareOrder {
  /** The class of the lowest rank is served first, among organisations of one priority. */
  readonly classRankOf: (priority: number, classPriority: number) => number;
  /** The organisation of the lowest round was granted least for its weight. */
  readonly roundOf: (request: QueuedRequest) => number;
  /** Whether the organisation of a request exceeds its share, so that retries do not go first. */
  readonly isAhead: (request: QueuedRequest) => boolean;
}

const WITHOUT_SHARES: ShareOrder = {
  classRankOf: (_priority, classPriority) => classPriority,
  roundOf: () => 0,
  isAhead: () => false,
};

/** Place of a request in the order, except for the order within its group. */
export interface QueueRank {
  readonly priority: number;
  readonly classRank: number;
  readonly group: QueueGroup;
  readonly round: number;
}

export function rankOf(
  request: QueuedRequest,
  nowMs: number,
  shares: ShareOrder = WITHOUT_SHARES,
): QueueRank {
  const { priority } = request;
  // A stream that has begun is served before all classes, as its caller would lose it.
  if (request.hasBegun) {
    return { priority, classRank: Number.NEGATIVE_INFINITY, group: 'begun', round: 0 };
  }
  const classRank = shares.classRankOf(priority, classOf(request));
  const group = groupOf(request, nowMs, shares.isAhead(request));
  return { priority, classRank, group, round: shares.roundOf(request) };
}

export interface RankedRequest {
  readonly rank: QueueRank;
  readonly wait: QueuedRequest;
}

/** Compares queued requests; negative when `a` gets the next slot. */
export function compareRanked(a: RankedRequest, b: RankedRequest): number {
  if (a.rank.priority !== b.rank.priority) return a.rank.priority - b.rank.priority;
  if (a.rank.classRank !== b.rank.classRank) return a.rank.classRank < b.rank.classRank ? -1 : 1;
  const byGroup = GROUP_ORDER[a.rank.group] - GROUP_ORDER[b.rank.group];
  if (byGroup !== 0) return byGroup;
  return a.rank.round - b.rank.round || compareWithinGroup(a.rank.group, a.wait, b.wait);
}

/** Compares queued requests without shares; negative when `a` gets the next slot. */
export const compareQueued = (a: QueuedRequest, b: QueuedRequest, nowMs: number): number =>
  compareRanked({ wait: a, rank: rankOf(a, nowMs) }, { wait: b, rank: rankOf(b, nowMs) });
