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
  /** Negative when the class `a` of organisations of a priority is served before the class `b`. */
  readonly compareClasses: (priority: number, a: number, b: number) => number;
  /** Negative when the organisation of `a` was granted less for its weight than that of `b`. */
  readonly compareOrganisations: (a: QueuedRequest, b: QueuedRequest) => number;
  /** Whether the organisation of a request exceeds its share, so that retries do not go first. */
  readonly isAhead: (request: QueuedRequest) => boolean;
}

const WITHOUT_SHARES: ShareOrder = {
  compareClasses: (_priority, a, b) => a - b,
  compareOrganisations: () => 0,
  isAhead: () => false,
};

/** Compares queued requests; negative when `a` gets the next slot. */
export function compareQueued(
  a: QueuedRequest,
  b: QueuedRequest,
  nowMs: number,
  shares: ShareOrder = WITHOUT_SHARES,
): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aGroup = groupOf(a, nowMs, shares.isAhead(a));
  const bGroup = groupOf(b, nowMs, shares.isAhead(b));
  const isAnyBegun = aGroup === 'begun' || bGroup === 'begun';
  // A stream that has begun is served before all classes, as its caller would lose it.
  const byClass = isAnyBegun ? 0 : shares.compareClasses(a.priority, classOf(a), classOf(b));
  if (byClass !== 0) return byClass;
  if (aGroup !== bGroup) return GROUP_ORDER[aGroup] - GROUP_ORDER[bGroup];
  const byShare = isAnyBegun ? 0 : shares.compareOrganisations(a, b);
  return byShare || COMPARE_WITHIN_GROUP[aGroup](a, b);
}
