/**
 * Retries that were lent or earned and may still arrive at a server after they have ceased to count
 * there, as their borrowers report them.
 */
import type { Clock } from '@spoolplank/shared';

/** All retries of a service that one borrower holds. */
export interface HeldReport {
  /**
   * Time up to which the borrower asked for the loans that this report confirms, on its own clock:
   * their retries have arrived, can no longer arrive, or are listed here.
   */
  readonly confirmedToMs: number;
  /** For each retry, the time until which it is counted otherwise, from now in milliseconds. */
  readonly countsInMs: readonly number[];
  /** Requests, by `LoanOrigin.sequence`, whose loans the borrower has not used and will not use. */
  readonly unused?: readonly number[];
  /** Whether the borrower asks for a credit to save one retry more; see `createSavingCredits`. */
  readonly wantsCredit?: boolean;
}

/** Who sent a report, and when, on its own clock. */
export interface ReportOrigin {
  readonly borrower: string;
  readonly askedAtMs: number;
}

export interface HeldRetries {
  /** Replaces the earlier report of a borrower, but not a later one that has overtaken it. */
  report(origin: ReportOrigin, countsInMs: HeldReport['countsInMs']): void;
  /** Number of retries that are not counted otherwise. */
  count(): number;
  /** Number of all that were reported, also those that are still counted otherwise. */
  countAll(): number;
}

/** What a borrower reported, on the clock `steadyMs`. */
interface Holder {
  readonly reportedAtMs: number;
  /** Time of the report on the borrower's clock. */
  readonly askedAtMs: number;
  /** Lowest known difference between this clock and the borrower's, which contains a delay. */
  readonly offsetMs: number;
  readonly countsFromMs: readonly number[];
}

/**
 * Time after which the report of a borrower that is gone is dropped: the longest time for which a
 * retry may arrive, and the window.
 */
const VALIDITY_MS = 75_000;
/** Bounds the work of counting; retries are reported long before they count here. */
const RECOUNT_MS = 20;

/** Rate at which the clocks of two VMs may drift apart. */
const MAX_DRIFT = 0.001;
/** Time for which a retry counts twice, as the report with the lowest delay was delayed too. */
const OVERLAP_MS = 300;

export function createHeldRetries(clock: Pick<Clock, 'steadyMs'>): HeldRetries {
  const holders = new Map<string, Holder>();
  let counted = 0;
  let countedAtMs = Number.NEGATIVE_INFINITY;

  const countOf = ({ countsFromMs }: Holder): number =>
    countsFromMs.filter((atMs) => atMs <= countedAtMs).length;

  function recount(): void {
    const nowMs = clock.steadyMs();
    if (nowMs - countedAtMs < RECOUNT_MS) return;
    countedAtMs = nowMs;
    counted = 0;
    holders.forEach((holder, key) => {
      if (holder.reportedAtMs < nowMs - VALIDITY_MS) holders.delete(key);
      else counted += countOf(holder);
    });
  }

  /** Difference between this clock and a borrower's, with the lowest delay of its reports. */
  function findOffsetMs(last: Holder | undefined, askedAtMs: number): number {
    const nowMs = clock.steadyMs();
    const offsetMs = nowMs - askedAtMs;
    if (!last) return offsetMs;
    return Math.min(offsetMs, last.offsetMs + (nowMs - last.reportedAtMs) * MAX_DRIFT);
  }

  return {
    report({ borrower, askedAtMs }, countsInMs) {
      recount();
      const last = holders.get(borrower);
      if (last && askedAtMs <= last.askedAtMs) return;
      const offsetMs = findOffsetMs(last, askedAtMs);
      // What counts already has counted since the last count.
      const countsFromMs = countsInMs.map((inMs) =>
        Math.max(countedAtMs, askedAtMs + offsetMs + inMs - OVERLAP_MS),
      );
      const reportedAtMs = clock.steadyMs();
      const holder: Holder = { reportedAtMs, askedAtMs, offsetMs, countsFromMs };
      counted += countOf(holder) - (last ? countOf(last) : 0);
      holders.set(borrower, holder);
    },
    count() {
      recount();
      return counted;
    },
    countAll() {
      recount();
      return [...holders.values()].reduce((sum, holder) => sum + holder.countsFromMs.length, 0);
    },
  };
}
