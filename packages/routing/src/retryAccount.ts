/**
 * Account of the retries of all VMs beyond those that their own requests earn, kept by one VM that
 * lends them to all others.
 *
 * A bound on retries holds for all VMs together and over a sliding window. If each VM kept a fixed
 * part of it, a VM that restarts would use its part twice within a window, the parts would depend
 * on how many VMs each of them knows, and the parts of idle VMs would stay unused. The account
 * counts a retry from the moment at which it is lent until a window after it can last arrive, so
 * the borrower may end, restart or lose its connection without effect on the sum.
 */
import type { Clock } from '@spoolplank/shared';

export interface RetryAccountOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly windowMs: number;
  /** Retries that may arrive within a window, for each service. */
  readonly allowance: number;
}

export interface RetryLoanRequest {
  readonly service: string;
  readonly wanted: number;
  /** Retries that are left for others, because these are less urgent. */
  readonly reserved: number;
  /** Retries lent earlier that arrived late, just now; none by default. */
  readonly late?: number;
}

export interface RetryLoan {
  readonly granted: number;
  /** Time after which to ask again if less was granted than wanted, in milliseconds. */
  readonly retryInMs: number;
}

export interface RetryAccount {
  lend(request: RetryLoanRequest): RetryLoan;
  /**
   * Lends nothing until everything that another account may have lent before has expired. Called
   * when this VM takes over the account.
   */
  takeOver(): void;
  /** Retries of each service that are lent and count. */
  describe(): Readonly<Record<string, number>>;
}

/**
 * Time from the request for a retry until it has arrived at a server: the time for which a loan may
 * be used, a connection attempt, and a margin. A retry that arrives later is reported.
 */
export const RETRY_ARRIVAL_MS = 800;
/** Minimum time after which a VM that was refused asks again. */
const MIN_WAIT_MS = 250;
/** Time from the request for a loan after which its retries must not be sent any more. */
export const LOAN_VALIDITY_MS = 300;

interface Loan {
  readonly atMs: number;
  readonly count: number;
}

/** Loans of a service, oldest first. */
interface LoanRow {
  readonly loans: Loan[];
  lent: number;
}

export function createRetryAccount(options: RetryAccountOptions): RetryAccount {
  const { clock, windowMs, allowance } = options;
  const countedMs = windowMs + RETRY_ARRIVAL_MS;
  const rows = new Map<string, LoanRow>();
  let lendsFromMs = Number.NEGATIVE_INFINITY;

  function rowOf(service: string): LoanRow {
    const known = rows.get(service);
    if (known) return known;
    const row = { loans: [], lent: 0 };
    rows.set(service, row);
    return row;
  }

  function dropExpired(row: LoanRow): void {
    const oldestMs = clock.steadyMs() - countedMs;
    const kept = row.loans.findIndex(({ atMs }) => atMs >= oldestMs);
    const expired = row.loans.splice(0, kept === -1 ? row.loans.length : kept);
    row.lent -= expired.reduce((sum, { count }) => sum + count, 0);
  }

  function add(row: LoanRow, count: number): void {
    if (count <= 0) return;
    row.loans.push({ atMs: clock.steadyMs(), count });
    row.lent += count;
  }

  /** Time until the next retry is free; a window if none is lent. */
  function waitMs({ loans: [oldest] }: LoanRow): number {
    const nowMs = clock.steadyMs();
    const expiresInMs = oldest ? oldest.atMs + countedMs - nowMs : windowMs;
    return Math.max(MIN_WAIT_MS, lendsFromMs - nowMs, expiresInMs);
  }

  return {
    lend({ service, wanted, reserved, late = 0 }) {
      const row = rowOf(service);
      dropExpired(row);
      add(row, late);
      const isLending = clock.steadyMs() >= lendsFromMs;
      const free = isLending ? Math.floor(allowance - row.lent - reserved) : 0;
      const granted = Math.min(wanted, Math.max(0, free));
      add(row, granted);
      return { granted, retryInMs: granted < wanted ? Math.round(waitMs(row)) : 0 };
    },
    takeOver() {
      rows.clear();
      lendsFromMs = clock.steadyMs() + countedMs;
    },
    describe() {
      rows.forEach(dropExpired);
      return Object.fromEntries([...rows].map(([service, { lent }]) => [service, lent]));
    },
  };
}
