/**
 * Estimates how long a caller had been trying before its request arrived. Callers state how long
 * they will still wait. A caller that was refused, or could not connect, before has less time left
 * than the other callers of its organisation on the same route.
 *
 * On some deployments the stated waits differ by 15 % between first attempts (17.0 to 20.0 s). The
 * difference to the longest wait then says nothing about earlier attempts, and only a wait that is
 * shorter than nearly all others indicates one. A small organisation sends 0.06 requests a second,
 * too few to tell, so all waits on a route show whether its callers state equal ones.
 */
export interface CallerAge {
  /** Time since the caller's first attempt; 0 if unknown. */
  estimateMs(caller: AgedCaller): number;
}

export interface AgedCaller {
  readonly route: string;
  /** Empty if the caller has none. */
  readonly organisation: string;
  /** How long the caller will still wait; null if it does not state it. */
  readonly remainingMs: number | null;
}

/** Maximum number of groups. The group whose longest wait was raised least recently is evicted. */
const MAX_GROUPS = 4096;
/** Number of recent waits that show whether callers state equal waits. */
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

/** The stated waits of a route, or of a group: the callers of one organisation on one route. */
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

/** Whether enough of the recent waits are close to the longest one for that of first attempts. */
function areEqual({ recentMs }: Waits, longestMs: number): boolean {
  const equalFromMs = longestMs * (1 - EQUAL_WITHIN);
  const equal = recentMs.filter((waitMs) => waitMs >= equalFromMs).length;
  return equal >= recentMs.length * MIN_EQUAL_SHARE;
}

/** The wait below which a wait is shorter than nearly all recent ones. */
function shortWaitMs({ recentMs }: Waits): number {
  const ascending = [...recentMs].sort((a, b) => a - b);
  return ascending[Math.floor(ascending.length * SHORT_SHARE)] ?? 0;
}

/** The wait of a caller of a group that has not tried before, as far as it can be told. */
function firstAttemptMs(ofRoute: Waits, ofGroup: Waits): number {
  const { longestMs } = ofGroup;
  // The longest recent wait of the route, as a single longer one would count for good.
  if (areEqual(ofRoute, Math.max(...ofRoute.recentMs))) {
    return areEqual(ofGroup, longestMs) ? longestMs : shortWaitMs(ofGroup);
  }
  // Callers of an organisation that usually states shorter waits than others are not late.
  return Math.min(longestMs, shortWaitMs(ofRoute));
}

/** Waits by name; those whose longest wait was raised least recently are evicted. */
function createWaitsTable() {
  const byName = new Map<string, Waits>();
  return {
    record(name: string, remainingMs: number): Waits {
      const known = byName.get(name);
      const waits = known ?? { longestMs: 0, recentMs: [], next: 0 };
      if (!known || remainingMs > known.longestMs) {
        byName.delete(name);
        byName.set(name, waits);
        const [oldest] = byName.keys();
        if (byName.size > MAX_GROUPS && oldest !== undefined) byName.delete(oldest);
      }
      record(waits, remainingMs);
      return waits;
    },
  };
}

export function createCallerAge(): CallerAge {
  const routes = createWaitsTable();
  const groups = createWaitsTable();

  return {
    estimateMs({ route, organisation, remainingMs }) {
      if (remainingMs === null) return 0;
      const ofRoute = routes.record(route, remainingMs);
      const ofGroup = groups.record(`${route} ${organisation}`, remainingMs);
      return Math.max(0, firstAttemptMs(ofRoute, ofGroup) - remainingMs);
    },
  };
}
