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

export interface HeldRetries {
  /** Replaces the report of a borrower. */
  report(borrower: string, countsInMs: HeldReport['countsInMs']): void;
  /** Number of retries that are not counted otherwise. */
  count(): number;
}

/** What a borrower reported, on the clock `steadyMs`. */
interface Holder {
  readonly reportedAtMs: number;
  readonly countsFromMs: readonly number[];
}

/**
 * Time after which the report of a borrower that is gone is dropped: the longest time for which a
 * retry may arrive, and the window.
 */
const VALIDITY_MS = 75_000;
/** Bounds the work of counting; retries are reported long before they count here. */
const RECOUNT_MS = 20;

const NOTHING: Holder = { reportedAtMs: 0, countsFromMs: [] };

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

  return {
    report(key, countsInMs) {
      recount();
      const reportedAtMs = clock.steadyMs();
      // What counts at once has counted since the last count.
      const countsFromMs = countsInMs.map((inMs) => (inMs > 0 ? reportedAtMs + inMs : countedAtMs));
      const holder: Holder = { reportedAtMs, countsFromMs };
      counted += countOf(holder) - countOf(holders.get(key) ?? NOTHING);
      if (countsInMs.length > 0) holders.set(key, holder);
      else holders.delete(key);
    },
    count() {
      recount();
      return counted;
    },
  };
}
