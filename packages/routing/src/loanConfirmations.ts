/**
 * What borrowers have confirmed of their loans. A borrower confirms a loan once its retries have
 * arrived, are held, or can no longer arrive. One that ends before has confirmed nothing, and its
 * retries may wait at servers that stand still.
 */
import type { Clock } from '@spoolplank/shared';

/** Identifies a loan: who borrowed, and when it asked, on its own clock. */
export interface LoanOrigin {
  /** Identifies an incarnation of the borrower. */
  readonly borrower: string;
  readonly askedAtMs: number;
  /** Number of the request among those of the borrower; absent if it sends none twice. */
  readonly sequence?: number;
}

export interface LoanConfirmations {
  /** Records that a borrower confirms all loans that it asked for up to a time. */
  confirm(upTo: LoanOrigin): void;
  isConfirmed(origin: LoanOrigin): boolean;
}

interface Confirmed {
  readonly upToMs: number;
  readonly recordedAtMs: number;
}

/** Outlasts every loan that a borrower may confirm. */
const VALIDITY_MS = 75_000;

export function createLoanConfirmations(clock: Pick<Clock, 'steadyMs'>): LoanConfirmations {
  /** By borrower, the one that confirmed last at the end. */
  const confirmed = new Map<string, Confirmed>();

  function dropOld(): void {
    const oldestMs = clock.steadyMs() - VALIDITY_MS;
    for (const [borrower, { recordedAtMs }] of confirmed) {
      if (recordedAtMs >= oldestMs) return;
      confirmed.delete(borrower);
    }
  }

  return {
    confirm({ borrower, askedAtMs }) {
      dropOld();
      // A report that was delayed confirms less than the one after it.
      const upToMs = Math.max(askedAtMs, confirmed.get(borrower)?.upToMs ?? askedAtMs);
      confirmed.delete(borrower);
      confirmed.set(borrower, { upToMs, recordedAtMs: clock.steadyMs() });
    },
    isConfirmed: ({ borrower, askedAtMs }) =>
      askedAtMs <= (confirmed.get(borrower)?.upToMs ?? Number.NEGATIVE_INFINITY),
  };
}
