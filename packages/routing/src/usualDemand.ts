/**
 * Measures what the organisations of a class usually ask for, as their weights where none are
 * configured.
 *
 * Load: 24 organisations, three of which send half of all requests, ask for twice the capacity for
 * 6 s. With equal weights each large one is served 0.28 of its requests and some small ones all of
 * theirs. A flood of ten times the usual requests of one organisation must not raise its weight
 * much.
 */
import type { Clock } from '@spoolplank/shared';

export interface DemandAsk {
  readonly organisation: string;
  /** Cost of the slot, relative to a request of usual size. */
  readonly cost: number;
  readonly size: number;
  /** Time until the caller leaves for good; undefined if unknown. */
  readonly leavesInMs?: number | undefined;
}

export interface UsualDemand {
  /** Records the first ask of a request. A caller that asks again is counted once. */
  recordAsk(ask: DemandAsk): void;
  /**
   * Usual demand relative to the median organisation; 1 for one that is new, and for all until
   * there is a history of `AVERAGE_MS`.
   */
  weightOf(organisation: string): number;
}

/** Interval over which demand is summed; short against bursts of 6 s, which it has to bound. */
const INTERVAL_MS = 3000;
/** Time constant of the moving average. */
const AVERAGE_MS = 30_000;
const GAIN = 1 - Math.exp(-INTERVAL_MS / AVERAGE_MS);
/**
 * An interval counts as at most this many times the average. A burst of 6 s touches three intervals
 * and so raises the average to at most 1.7 times its value, however large the burst is.
 */
const MAX_RISE = 3;
/** An interval with one request counts in full, or the average of rare requests would vanish. */
const MIN_LIMIT_COST = 1;
/** Lower bound of weights, so that an organisation that rarely asks is served. */
const MIN_WEIGHT = 0.5;
/** Average, relative to the median, below which an organisation counts as new again. */
const FORGET_SHARE = 0.01;
/** Deadlines of the attempts of one caller differ by the delay of its messages. */
const SAME_CALLER_MS = 25;

function lowerMedian(values: Iterable<number>): number {
  const ascending = [...values].sort((a, b) => a - b);
  return ascending[Math.floor((ascending.length - 1) / 2)] ?? 0;
}

export function createUsualDemand({
  clock,
}: {
  readonly clock: Pick<Clock, 'nowMs'>;
}): UsualDemand {
  /** Average cost of an interval by organisation. */
  const averages = new Map<string, number>();
  let median = 0;
  let closedIntervals = 0;
  let sums = new Map<string, number>();
  let endsAtMs = clock.nowMs() + INTERVAL_MS;
  /** When each caller was counted, oldest first. */
  const callers = new Map<string, number>();

  function closeInterval(): void {
    closedIntervals += 1;
    // Without history all organisations start as equals, and so does one that is new.
    const initial = averages.size > 0 ? median : lowerMedian(sums.values());
    sums.forEach((_sum, organisation) => {
      if (!averages.has(organisation)) averages.set(organisation, initial);
    });
    averages.forEach((average, organisation) => {
      const limit = Math.max(MIN_LIMIT_COST, average * MAX_RISE);
      const sum = Math.min(limit, sums.get(organisation) ?? 0);
      averages.set(organisation, average + (sum - average) * GAIN);
    });
    sums = new Map();
    median = lowerMedian(averages.values());
    averages.forEach((average, organisation) => {
      if (average < median * FORGET_SHARE) averages.delete(organisation);
    });
  }

  function advance(): void {
    const nowMs = clock.nowMs();
    // After a pause without any request there is no demand to compare, and the averages stay.
    if (nowMs >= endsAtMs + AVERAGE_MS) endsAtMs = nowMs;
    while (nowMs >= endsAtMs) {
      if (sums.size > 0) closeInterval();
      endsAtMs += INTERVAL_MS;
    }
  }

  /** Whether a caller, recognised by its deadline and the size of its request, is counted. */
  function isCounted({ organisation, size, leavesInMs }: DemandAsk): boolean {
    if (leavesInMs === undefined) return false;
    const nowMs = clock.nowMs();
    for (const [key, atMs] of callers) {
      if (nowMs - atMs < AVERAGE_MS) break;
      callers.delete(key);
    }
    const bucket = Math.round((nowMs + leavesInMs) / SAME_CALLER_MS);
    const keyOf = (near: number) => `${size.toFixed(3)} ${near} ${organisation}`;
    if ([bucket - 1, bucket, bucket + 1].some((near) => callers.has(keyOf(near)))) return true;
    callers.set(keyOf(bucket), nowMs);
    return false;
  }

  return {
    recordAsk(ask) {
      advance();
      if (isCounted(ask)) return;
      sums.set(ask.organisation, (sums.get(ask.organisation) ?? 0) + ask.cost);
    },
    weightOf(organisation) {
      advance();
      const average = averages.get(organisation);
      // A flood in the first seconds of an allocator cannot be told from usual demand.
      const isKnown = closedIntervals * INTERVAL_MS >= AVERAGE_MS && median > 0;
      return !isKnown || average === undefined ? 1 : Math.max(MIN_WEIGHT, average / median);
    },
  };
}
