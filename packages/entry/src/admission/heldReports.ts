/**
 * Reports the retries that this entry holds to the account of all entries, and confirms the loans
 * whose retries have arrived, can no longer arrive, or are reported.
 */
import { RETRY_ARRIVAL_MS } from '@spoolplank/routing';
import type { EventLog } from '@spoolplank/node';
import { toSpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { CreditRequests } from './creditRequests';
import type { OpenRetries } from './openRetries';
import type { RetryLoans, RetryLoansOptions } from './retryLoans';

export interface HeldReportsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Pick<EventLog, 'info'>;
  /** Identifies this incarnation of the entry. */
  readonly borrower: string;
  readonly open: Pick<OpenRetries, 'listHeld' | 'listServices'>;
  readonly loans: Pick<
    RetryLoans,
    'newestLoanAtMs' | 'listServices' | 'listUnused' | 'forgetUnused'
  >;
  readonly credits: Pick<CreditRequests, 'has' | 'isWanted' | 'recordGranted' | 'listServices'>;
  readonly ask: RetryLoansOptions['ask'];
}

export interface HeldReports {
  /** Reports what has changed, and all of it from time to time; called periodically. */
  tick(): void;
}

/** What the account was last told about a service. */
interface LastReport {
  held: number;
  confirmedToMs: number;
  atMs: number;
  /** When a credit was asked for last. */
  creditAskedAtMs: number;
  isSending: boolean;
}

/**
 * Interval of the reports that only confirm loans, of requests for a credit, and of reports without
 * a change, for an account that another VM has taken over.
 */
const REPEAT_MS = 1000;

export function createHeldReports(options: HeldReportsOptions): HeldReports {
  const { clock, log, borrower, open, loans, credits, ask } = options;
  const reports = new Map<string, LastReport>();

  /** Whether what is held is to be told again, or loans are to be confirmed. */
  function isRepeatDue(service: string, { held, confirmedToMs, atMs }: LastReport): boolean {
    if (clock.nowMs() - atMs < REPEAT_MS) return false;
    // A loan whose answer was lost counts in the account as well.
    const newestLoanAtMs = loans.newestLoanAtMs(service) ?? Number.NEGATIVE_INFINITY;
    return held > 0 || newestLoanAtMs > confirmedToMs;
  }

  function recordCredit(service: string, askedAtMs: number, isGranted: boolean): void {
    if (isGranted !== credits.has(service)) log.info('retry-credit', { service, isGranted });
    if (isGranted) credits.recordGranted(service, askedAtMs);
  }

  async function report(service: string, last: LastReport): Promise<void> {
    const askedAtMs = clock.nowMs();
    const countsInMs = open.listHeld(service);
    const held = countsInMs.length;
    const wantsCredit = credits.isWanted(service) && askedAtMs - last.creditAskedAtMs >= REPEAT_MS;
    if (held === last.held && !wantsCredit && !isRepeatDue(service, last)) return;
    if (wantsCredit) Object.assign(last, { creditAskedAtMs: askedAtMs });
    const confirmedToMs = askedAtMs - RETRY_ARRIVAL_MS;
    const unused = loans.listUnused(service);
    Object.assign(last, { isSending: true });
    try {
      const { hasCredit } = await ask({
        service,
        origin: { borrower, askedAtMs },
        wanted: 0,
        reserved: 0,
        held: { confirmedToMs, countsInMs, unused, ...(wantsCredit ? { wantsCredit } : {}) },
      });
      loans.forgetUnused(service, unused);
      if (wantsCredit) recordCredit(service, askedAtMs, hasCredit === true);
      if (unused.length > 0) log.info('retry-loans-returned', { service, requests: unused.length });
      if (held !== last.held) log.info('retries-held', { service, held });
      Object.assign(last, { held, confirmedToMs, atMs: clock.nowMs() });
    } catch (error) {
      // What is held is told as soon as an account answers; a confirmation can wait.
      if (held === 0 && last.held === 0) Object.assign(last, { atMs: clock.nowMs() });
      log.info('retries-not-held', { service, held, problem: toSpoolplankError(error).message });
    } finally {
      Object.assign(last, { isSending: false });
    }
  }

  function findReport(service: string): LastReport {
    const last = reports.get(service) ?? {
      held: 0,
      confirmedToMs: Number.NEGATIVE_INFINITY,
      atMs: 0,
      creditAskedAtMs: Number.NEGATIVE_INFINITY,
      isSending: false,
    };
    reports.set(service, last);
    return last;
  }

  return {
    tick() {
      const services = [open, loans, credits].flatMap((source) => source.listServices());
      services.forEach(findReport);
      reports.forEach((last, service) => {
        if (!last.isSending) void report(service, last);
      });
    },
  };
}
