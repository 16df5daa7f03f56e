/**
 * Account of the retries of all VMs beyond those that their own requests earn, kept by one VM that
 * lends them to all others.
 *
 * A bound on retries holds for all VMs together and over a sliding window. If each VM kept a fixed
 * part of it, a VM that restarts would use its part twice within a window, the parts would depend
 * on how many VMs each of them knows, and the parts of idle VMs would stay unused. The account
 * counts a retry from the moment at which it is lent until a window after it can last arrive, so
 * the borrower may end, restart or lose its connection without effect on the sum.
 *
 * A retry that may arrive later than that is held: its borrower reports it, and it counts until a
 * window after it has arrived. A borrower that ends cannot report, so a loan that it has not
 * confirmed counts for longer.
 *
 * A borrower with few requests may have a credit to save a retry, which counts like a loan.
 *
 * It lends only what was reserved before, where the next VM that keeps the account finds it. That
 * VM counts each reservation as if all of it had been lent at the last moment.
 */
import type { Clock } from '@spoolplank/shared';
import { createHeldRetries } from './heldRetries';
import type { HeldReport, HeldRetries } from './heldRetries';
import { createLoanConfirmations } from './loanConfirmations';
import type { LoanConfirmations, LoanOrigin } from './loanConfirmations';
import { createSavingCredits } from './savingCredits';
import type { SavingCredits } from './savingCredits';

export interface RetryAccountOptions {
  readonly clock: Pick<Clock, 'nowMs' | 'steadyMs'>;
  readonly windowMs: number;
  /** Retries that may arrive within a window, for each service. */
  readonly allowance: number;
}

export interface RetryLoanRequest {
  readonly service: string;
  /** Who borrows, and when it asks; absent if the borrower confirms no loans. */
  readonly origin?: LoanOrigin;
  readonly wanted: number;
  /** Retries that are left for others, because these are less urgent. */
  readonly reserved: number;
  /** What the borrower holds of the service; as it last reported by default. */
  readonly held?: HeldReport;
}

export interface RetryLoan {
  readonly granted: number;
  /** Time after which to ask again if less was granted than wanted, in milliseconds. */
  readonly retryInMs: number;
  /** Whether the borrower has the credit that its report asked for. */
  readonly hasCredit?: boolean;
}

/** A reservation that an earlier keeper of the account made. */
export interface EarlierReservation {
  readonly service: string;
  readonly count: number;
  /** Time since this VM has known of it, in milliseconds. */
  readonly knownForMs: number;
}

export interface RetriesOfService {
  readonly service: string;
  readonly count: number;
}

export interface RetryAccount {
  /**
   * Lends what was reserved; the rest needs a reservation first. A request that reaches the account
   * twice, through two control VMs, is answered with the same loan.
   */
  lend(request: RetryLoanRequest): RetryLoan;
  /** Whether a loan was made to this very request before. */
  isRepeated(request: RetryLoanRequest): boolean;
  /** Number of retries to reserve before a request can be lent all that is free; 0 if none. */
  missingFor(request: RetryLoanRequest): number;
  /**
   * Allows to lend reserved retries; `sinceMs` is the time at which their reservation began, on the
   * clock `nowMs`. Replaces the reservation before.
   */
  setReserved(service: string, count: number, sinceMs: number): void;
  /** Retries of a service that count, or may be lent without a new reservation. */
  exposedOf(service: string): number;
  /**
   * Retries of each service that count, or may count, beyond the time of their loans. The next VM
   * that keeps the account learns them from the borrowers after a while, and not from those that
   * have ended.
   */
  listCarried(): readonly RetriesOfService[];
  /** Forgets its loans and takes over the account of earlier keepers. */
  takeOver(earlier: readonly EarlierReservation[]): void;
  /** Retries of each service that are lent or held and count. */
  describe(): Readonly<Record<string, number>>;
}

/**
 * Time from the request for a retry until it has arrived at a server: the time for which a loan may
 * be used, a connection attempt, and a margin. A retry that may arrive later is held.
 */
export const RETRY_ARRIVAL_MS = 800;
/** Minimum time after which a VM that was refused asks again. */
const MIN_WAIT_MS = 250;
/** Time from the request for a loan after which its retries must not be sent any more. */
export const LOAN_VALIDITY_MS = 300;
/** Time for which reserved retries may be lent. */
const RESERVATION_VALIDITY_MS = 2000;
/** Time for which a loan counts longer that its borrower has not confirmed. */
const UNCONFIRMED_MS = 10_000;
/** Time after which a borrower that is alive has confirmed a loan. */
const CONFIRMED_AFTER_MS = 3000;
/** Share of the allowance that is reserved at a time. */
const RESERVED_AT_ONCE_SHARE = 1 / 16;

interface Loan {
  readonly atMs: number;
  readonly count: number;
  /** Absent if nobody confirms the loan, such as a reservation of an earlier keeper. */
  readonly origin?: LoanOrigin;
}

const isOf = (
  { origin }: Loan,
  borrower: string,
  sequences: readonly (number | undefined)[],
): boolean => origin?.borrower === borrower && sequences.includes(origin.sequence);

interface AccountRow {
  /** Oldest first. */
  readonly loans: Loan[];
  readonly held: HeldRetries;
  readonly confirmations: LoanConfirmations;
  readonly credits: SavingCredits;
  /** Loans that would have expired, had their borrowers confirmed them. */
  unconfirmed: readonly Loan[];
  lent: number;
  /** Reserved retries that are not lent, and until when they may be. */
  reserved: number;
  reservedUntilMs: number;
}

export function createRetryAccount(options: RetryAccountOptions): RetryAccount {
  const { clock, windowMs, allowance } = options;
  const countedMs = windowMs + RETRY_ARRIVAL_MS;
  const reservedAtOnce = Math.ceil(allowance * RESERVED_AT_ONCE_SHARE);
  const rows = new Map<string, AccountRow>();

  function rowOf(service: string): AccountRow {
    const known = rows.get(service);
    if (known) return known;
    const row: AccountRow = {
      loans: [],
      held: createHeldRetries(clock),
      confirmations: createLoanConfirmations(clock),
      credits: createSavingCredits({ clock, countedMs }),
      unconfirmed: [],
      lent: 0,
      reserved: 0,
      reservedUntilMs: Number.NEGATIVE_INFINITY,
    };
    rows.set(service, row);
    return row;
  }

  const countLoans = (loans: readonly Loan[]): number =>
    loans.reduce((sum, { count }) => sum + count, 0);

  function dropExpired(row: AccountRow): void {
    const nowMs = clock.steadyMs();
    const kept = row.loans.findIndex(({ atMs }) => atMs >= nowMs - countedMs);
    const expired = row.loans.splice(0, kept === -1 ? row.loans.length : kept);
    row.lent -= countLoans(expired);
    row.unconfirmed = [...row.unconfirmed, ...expired].filter(
      ({ atMs, origin }) =>
        origin !== undefined &&
        atMs >= nowMs - countedMs - UNCONFIRMED_MS &&
        !row.confirmations.isConfirmed(origin),
    );
    if (clock.nowMs() > row.reservedUntilMs) row.reserved = 0;
  }

  const countOf = ({ lent, unconfirmed, held, credits }: AccountRow): number =>
    lent + countLoans(unconfirmed) + held.count() + credits.count();

  function countCarried(row: AccountRow): number {
    dropExpired(row);
    const lateMs = clock.steadyMs() - CONFIRMED_AFTER_MS;
    const unconfirmed = row.loans.filter(
      ({ atMs, origin }) =>
        atMs <= lateMs && origin !== undefined && !row.confirmations.isConfirmed(origin),
    );
    return countLoans(row.unconfirmed) + countLoans(unconfirmed) + row.held.countAll();
  }

  function add(row: AccountRow, loan: Loan): void {
    if (loan.count <= 0) return;
    row.loans.push(loan);
    // Reservations of earlier keepers count as lent later than they were.
    row.loans.sort((one, other) => one.atMs - other.atMs);
    row.lent += loan.count;
  }

  /** Time until the next retry is free. */
  function waitMs({ loans: [oldest] }: AccountRow): number {
    if (!oldest) return MIN_WAIT_MS;
    return Math.max(MIN_WAIT_MS, oldest.atMs + countedMs - clock.steadyMs());
  }

  function freeFor(row: AccountRow, { wanted, reserved }: RetryLoanRequest): number {
    dropExpired(row);
    return Math.min(wanted, Math.max(0, Math.floor(allowance - countOf(row) - reserved)));
  }

  function findLoan(row: AccountRow, { origin, wanted }: RetryLoanRequest): Loan | undefined {
    if (origin?.sequence === undefined || wanted === 0) return undefined;
    return row.loans.findLast((loan) => isOf(loan, origin.borrower, [origin.sequence]));
  }

  function takeBack(row: AccountRow, borrower: string, sequences: readonly number[]): void {
    const unused = row.loans.filter((loan) => isOf(loan, borrower, sequences));
    unused.forEach((loan) => row.loans.splice(row.loans.indexOf(loan), 1));
    row.lent -= countLoans(unused);
  }

  function recordReport(
    row: AccountRow,
    { borrower, askedAtMs }: LoanOrigin,
    { confirmedToMs, countsInMs, unused = [] }: HeldReport,
  ): void {
    row.held.report({ borrower, askedAtMs }, countsInMs);
    row.confirmations.confirm({ borrower, askedAtMs: confirmedToMs });
    takeBack(row, borrower, unused);
  }

  function lendFree(row: AccountRow, request: RetryLoanRequest): number {
    const granted = Math.min(freeFor(row, request), row.reserved);
    add(row, { atMs: clock.steadyMs(), count: granted, origin: request.origin });
    row.reserved -= granted;
    return granted;
  }

  /** Whether a credit is asked for that the borrower does not have yet. */
  const wantsNewCredit = (row: AccountRow, { origin, held }: RetryLoanRequest): boolean =>
    origin !== undefined && held?.wantsCredit === true && !row.credits.has(origin.borrower);

  /** Gives the credit that a report asks for, out of what is reserved, or renews it. */
  function giveCredit(row: AccountRow, request: RetryLoanRequest): boolean {
    const { origin, held } = request;
    if (!origin || !held?.wantsCredit) return false;
    if (wantsNewCredit(row, request)) {
      if (Math.min(freeFor(row, { ...request, wanted: 1 }), row.reserved) < 1) return false;
      row.reserved -= 1;
    }
    row.credits.grant(origin.borrower);
    return true;
  }

  return {
    lend(request) {
      const { service, origin, wanted, held } = request;
      const row = rowOf(service);
      if (held && origin) recordReport(row, origin, held);
      const granted = findLoan(row, request)?.count ?? lendFree(row, request);
      const hasCredit = giveCredit(row, request);
      const retryInMs = granted < wanted ? Math.round(waitMs(row)) : 0;
      return { granted, retryInMs, ...(hasCredit ? { hasCredit } : {}) };
    },
    isRepeated: (request) => findLoan(rowOf(request.service), request) !== undefined,
    missingFor(request) {
      const row = rowOf(request.service);
      if (findLoan(row, request)) return 0;
      const wanted = request.wanted + Number(wantsNewCredit(row, request));
      const free = freeFor(row, { ...request, wanted });
      if (free <= row.reserved) return 0;
      return Math.min(Math.floor(allowance - countOf(row)), Math.max(reservedAtOnce, free));
    },
    setReserved(service, count, sinceMs) {
      const reservedUntilMs = sinceMs + RESERVATION_VALIDITY_MS;
      Object.assign(rowOf(service), { reserved: count, reservedUntilMs });
    },
    exposedOf(service) {
      const row = rowOf(service);
      dropExpired(row);
      return countOf(row) + row.reserved;
    },
    listCarried: () =>
      [...rows].flatMap(([service, row]) => {
        const count = countCarried(row);
        return count > 0 ? [{ service, count }] : [];
      }),
    takeOver(earlier) {
      rows.clear();
      const nowMs = clock.steadyMs();
      earlier.forEach(({ service, count, knownForMs }) =>
        add(rowOf(service), { atMs: nowMs - knownForMs + RESERVATION_VALIDITY_MS, count }),
      );
    },
    describe() {
      rows.forEach(dropExpired);
      return Object.fromEntries([...rows].map(([service, row]) => [service, countOf(row)]));
    },
  };
}
