/**
 * Estimates how long a caller had been trying before its request arrived. Callers state how long
 * they will still wait. A caller that was refused, or could not connect, before has less time left
 * than the other callers of its organisation on the same route.
 *
 * On some deployments the stated waits differ by 15 % between first attempts (17.0 to 20.0 s). The
 * difference to the longest wait then says nothing about earlier attempts, and only a wait that is
 * shorter than nearly all others indicates one.
 */
export interface CallerAge {
  /**
   * Time since the caller's first attempt; 0 if unknown. A group consists of the callers of one
   * organisation on one route.
   */
  estimateMs(group: string, remainingMs: number | null): number;
}

/** Maximum number of groups. The group whose longest wait was raised least recently is evicted. */
const MAX_GROUPS = 4096;
/** Number of recent waits of a group that show whether its callers state equal waits. */
const WINDOW_LENGTH = 64;
/** Waits within this share of the longest count as equal to it. */
const EQUAL_WITHIN = 0.02;
/**
 * Share of equal waits from which the longest is that of first attempts. A caller that retries
 * three times sends three retries for each first attempt.
 */
const MIN_EQUAL_SHARE = 0.25;
/** Share of the stated waits that are assumed to be shorter because of earlier attempts. */
const SHORT_SHARE = 0.05;

/** The stated waits of a group. */
interface Waits {
  longestMs: number;
  /** The last `WINDOW_LENGTH` waits; the oldest is at `next` once there are as many. */
  readonly recentMs: number[];
  next: number;
}

function record(waits: Waits, remainingMs: number): void {
  waits.longestMs = Math.max(waits.longestMs, remainingMs);
  waits.recentMs[waits.next] = remainingMs;
  waits.next = (waits.next + 1) % WINDOW_LENGTH;
}

/** The wait of a caller that has not tried before, as far as it can be told. */
function firstAttemptMs({ longestMs, recentMs }: Waits): number {
  const equalFromMs = longestMs * (1 - EQUAL_WITHIN);
  const equal = recentMs.filter((waitMs) => waitMs >= equalFromMs).length;
  if (equal >= recentMs.length * MIN_EQUAL_SHARE) return longestMs;
  const ascending = [...recentMs].sort((a, b) => a - b);
  return ascending[Math.floor(ascending.length * SHORT_SHARE)] ?? 0;
}

export function createCallerAge(): CallerAge {
  const groups = new Map<string, Waits>();

  function waitsOf(group: string, remainingMs: number): Waits {
    const known = groups.get(group);
    if (known && remainingMs <= known.longestMs) return known;
    const waits = known ?? { longestMs: 0, recentMs: [], next: 0 };
    groups.delete(group);
    groups.set(group, waits);
    if (groups.size > MAX_GROUPS) {
      const [oldest] = groups.keys();
      if (oldest !== undefined) groups.delete(oldest);
    }
    return waits;
  }

  return {
    estimateMs(group, remainingMs) {
      if (remainingMs === null) return 0;
      const waits = waitsOf(group, remainingMs);
      record(waits, remainingMs);
      return Math.max(0, firstAttemptMs(waits) - remainingMs);
    },
  };
}
