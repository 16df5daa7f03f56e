/** Borrows retries from the account that lends them to all entries; see `createRetryAccount`. */
import { RETRY_LOAN_METHOD } from '@spoolplank/membership';
import type { EventLog, Metrics, PeerClient } from '@spoolplank/node';
import { LOAN_VALIDITY_MS } from '@spoolplank/routing';
import type { RetryLoan, RetryLoanRequest } from '@spoolplank/routing';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';

/** What a request for a retry is made for. */
export interface RetryPurpose {
  readonly service: string;
  /** Retries that are left for streams that have begun; 0 for those. */
  readonly reserved: number;
  /** Time for which the request waits while no account answers; only one call by default. */
  readonly patienceMs?: number;
}

export interface RetryLoansOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'observe'>;
  readonly delay: (durationMs: number) => Promise<void>;
  /** Identifies this incarnation of the entry. */
  readonly borrower: string;
  /** @throws SpoolplankError when no account answered in time. */
  readonly ask: (request: RetryLoanRequest) => Promise<RetryLoan>;
}

export interface RetryLoans {
  /**
   * Borrows one retry, to be sent at once; null when there is none. Resolves with the time of the
   * request for it, on the clock `nowMs`.
   */
  borrow(purpose: RetryPurpose): Promise<number | null>;
  /** Time until the account may lend again after a refusal; 0 if it was not refused. */
  refusedForMs(purpose: RetryPurpose): number;
  /**
   * When the newest loan was asked for that was made, or may have been as its answer is missing, on
   * the clock `nowMs`; null before the first one.
   */
  newestLoanAtMs(service: string): number | null;
  /** Services with such a loan. */
  listServices(): readonly string[];
  /**
   * Requests, by `LoanOrigin.sequence`, that were given up without an answer in time. Their loans,
   * if there are any, are not used.
   */
  listUnused(service: string): readonly number[];
  /** Records that the account has taken back loans. */
  forgetUnused(service: string, sequences: readonly number[]): void;
}

/** A request that waits for the account. */
interface Waiter {
  readonly endsAtMs: number;
  readonly resolve: (askedAtMs: number | null) => void;
}

/** Requests of one service and urgency. */
interface Line {
  purpose: RetryPurpose;
  readonly waiting: Waiter[];
  isAsking: boolean;
  refusedUntilMs: number;
}

/** Time after which an account that did not answer is asked again for new requests. */
const UNAVAILABLE_MS = 300;
/** Pause before it is asked again for requests that wait. */
const RETRY_MS = 50;
/** Time after which a second control VM is asked as well. */
const SECOND_SOURCE_AFTER_MS = LOAN_VALIDITY_MS / 2;
/** Bounds the unused loans that are kept of a service; the others expire. */
const MAX_UNUSED = 100;

export function createRetryLoans(options: RetryLoansOptions): RetryLoans {
  const { clock, log, metrics, borrower, ask, delay } = options;
  const lines = new Map<string, Line>();
  const newestLoanAtMs = new Map<string, number>();
  const unusedByService = new Map<string, readonly number[]>();
  let requests = 0;

  const listUnused = (service: string): readonly number[] => unusedByService.get(service) ?? [];

  function addUnused(service: string, sequence: number): void {
    unusedByService.set(service, [...listUnused(service), sequence].slice(-MAX_UNUSED));
  }

  function lineOf(purpose: RetryPurpose): Line {
    const key = `${purpose.service}/${purpose.reserved > 0}`;
    const known = lines.get(key);
    if (known) return known;
    const refusedUntilMs = Number.NEGATIVE_INFINITY;
    const line = { purpose, waiting: [], isAsking: false, refusedUntilMs };
    lines.set(key, line);
    return line;
  }

  const remainingMs = ({ refusedUntilMs }: Line): number =>
    Math.max(0, refusedUntilMs - clock.nowMs());

  /** Returns null when there was no answer in time. */
  async function askFor(request: RetryLoanRequest, askedAtMs: number): Promise<RetryLoan | null> {
    const { service, wanted } = request;
    try {
      const loan = await ask(request);
      const durationMs = clock.nowMs() - askedAtMs;
      metrics.observe('spoolplank_retry_loan_ms', durationMs, { service });
      if (durationMs <= LOAN_VALIDITY_MS) return loan;
      log.info('retry-loan-late', { service, wanted, granted: loan.granted, durationMs });
    } catch (error) {
      const problem = toSpoolplankError(error).message;
      log.info('retry-account-silent', { service, wanted, problem });
    }
    return null;
  }

  function settleLoan(
    line: Line,
    batch: readonly Waiter[],
    { granted, retryInMs }: RetryLoan,
    askedAtMs: number,
  ): void {
    batch.forEach(({ resolve }, index) => resolve(index < granted ? askedAtMs : null));
    if (granted >= batch.length) return;
    Object.assign(line, { refusedUntilMs: clock.nowMs() + retryInMs });
    line.waiting.splice(0).forEach(({ resolve }) => resolve(null));
  }

  /** Keeps the requests that can wait for another call, and refuses the others. */
  async function waitForAccount(line: Line, batch: readonly Waiter[]): Promise<void> {
    const isPatient = ({ endsAtMs }: Waiter) => endsAtMs > clock.nowMs() + LOAN_VALIDITY_MS;
    const patient = batch.filter(isPatient);
    batch.filter((waiter) => !isPatient(waiter)).forEach(({ resolve }) => resolve(null));
    line.waiting.unshift(...patient);
    if (patient.length > 0) await delay(RETRY_MS);
    else Object.assign(line, { refusedUntilMs: clock.nowMs() + UNAVAILABLE_MS });
  }

  /** Asks once for all that wait. */
  async function askForAll(line: Line): Promise<void> {
    const batch = line.waiting.splice(0);
    const { service, reserved } = line.purpose;
    const askedAtMs = clock.nowMs();
    requests += 1;
    const sequence = requests;
    const origin = { borrower, askedAtMs, sequence };
    const request = { service, origin, reserved, wanted: batch.length };
    const loan = await askFor(request, askedAtMs);
    // Another control VM was asked as well, whose answer may be missing.
    const isDoubtful = clock.nowMs() - askedAtMs >= SECOND_SOURCE_AFTER_MS;
    const isUnused = !loan || (loan.granted === 0 && isDoubtful);
    if (isUnused) addUnused(service, sequence);
    if (isUnused || loan.granted > 0) newestLoanAtMs.set(service, askedAtMs);
    if (loan) settleLoan(line, batch, loan, askedAtMs);
    else await waitForAccount(line, batch);
  }

  async function serve(line: Line): Promise<void> {
    do await askForAll(line);
    while (line.waiting.length > 0);
    Object.assign(line, { isAsking: false });
  }

  function serveIfIdle(line: Line): void {
    if (line.isAsking) return;
    Object.assign(line, { isAsking: true });
    void serve(line);
  }

  return {
    borrow(purpose) {
      const line = lineOf(purpose);
      Object.assign(line, { purpose });
      if (remainingMs(line) > 0) return Promise.resolve(null);
      const endsAtMs = clock.nowMs() + (purpose.patienceMs ?? 0);
      return new Promise((resolve) => {
        line.waiting.push({ endsAtMs, resolve });
        serveIfIdle(line);
      });
    },
    refusedForMs: (purpose) => remainingMs(lineOf(purpose)),
    newestLoanAtMs: (service) => newestLoanAtMs.get(service) ?? null,
    listServices: () => [...newestLoanAtMs.keys()],
    listUnused,
    forgetUnused(service, sequences) {
      const left = listUnused(service).filter((sequence) => !sequences.includes(sequence));
      unusedByService.set(service, left);
    },
  };
}

export interface LoanCallsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly peers: PeerClient;
  readonly controlPeerPort: number;
  /** Lists the control VMs in the order in which they are asked. */
  readonly listSources: () => readonly string[];
  readonly delay: (durationMs: number) => Promise<void>;
}

/** A refusal by one control VM, while the other one may still lend. */
class NothingLent extends Error {}

async function requireLoan(answer: Promise<RetryLoan>): Promise<RetryLoan> {
  const loan = await answer;
  if (loan.granted === 0) throw new NothingLent();
  return loan;
}

/** Resolves with a loan if either control VM lends, else with a refusal or the last problem. */
async function takeLoan(first: Promise<RetryLoan>, second: Promise<RetryLoan>): Promise<RetryLoan> {
  try {
    return await Promise.any([requireLoan(first), requireLoan(second)]);
  } catch {
    // Both have answered or failed.
    return first.catch(() => second);
  }
}

/**
 * Creates the calls to the control VMs that reach the account. The account answers a request that
 * comes through both control VMs with the same loan, so either answer can be used.
 */
export function createLoanCalls(options: LoanCallsOptions): RetryLoansOptions['ask'] {
  const { clock, peers, controlPeerPort: port, listSources, delay } = options;

  return async (request) => {
    const endsAtMs = clock.nowMs() + LOAN_VALIDITY_MS;
    const call = (host: string): Promise<RetryLoan> => {
      const target = { vmId: host, host, port };
      const timeoutMs = endsAtMs - clock.nowMs();
      return peers.call<RetryLoan>(target, RETRY_LOAN_METHOD, request, { timeoutMs });
    };
    const [first, second] = listSources();
    if (!first) throw new SpoolplankError('unreachable', { detail: 'No control VM is known.' });
    const answer = call(first);
    if (!second) return answer;
    const isAnswered = await Promise.race([
      answer.then(
        () => true,
        () => false,
      ),
      delay(SECOND_SOURCE_AFTER_MS).then(() => false),
    ]);
    return isAnswered ? answer : takeLoan(answer, call(second));
  };
}
