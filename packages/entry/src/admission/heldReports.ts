/** Reports the retries that this entry holds to the account of all entries. */
import type { EventLog } from '@spoolplank/node';
import { toSpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { OpenRetries } from './openRetries';
import type { RetryLoansOptions } from './retryLoans';

export interface HeldReportsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Pick<EventLog, 'info'>;
  /** Identifies this incarnation of the entry. */
  readonly holder: string;
  readonly open: Pick<OpenRetries, 'listHeld' | 'listServices'>;
  readonly ask: RetryLoansOptions['ask'];
}

export interface HeldReports {
  /** Reports what has changed, and all of it from time to time; called periodically. */
  tick(): void;
}

/** What the account was last told about a service. */
interface LastReport {
  held: number;
  atMs: number;
  isSending: boolean;
}

/** Interval of the reports without a change, for an account that another VM has taken over. */
const REPEAT_MS = 1000;

export function createHeldReports(options: HeldReportsOptions): HeldReports {
  const { clock, log, holder, open, ask } = options;
  const reports = new Map<string, LastReport>();

  async function report(service: string, last: LastReport): Promise<void> {
    const countsInMs = open.listHeld(service);
    const held = countsInMs.length;
    if (held === last.held && (held === 0 || clock.nowMs() - last.atMs < REPEAT_MS)) return;
    Object.assign(last, { isSending: true });
    try {
      await ask({ service, wanted: 0, reserved: 0, held: { holder, countsInMs } });
      if (held !== last.held) log.info('retries-held', { service, held });
      Object.assign(last, { held, atMs: clock.nowMs() });
    } catch (error) {
      log.info('retries-not-held', { service, held, problem: toSpoolplankError(error).message });
    } finally {
      Object.assign(last, { isSending: false });
    }
  }

  function findReport(service: string): LastReport {
    const last = reports.get(service) ?? { held: 0, atMs: 0, isSending: false };
    reports.set(service, last);
    return last;
  }

  return {
    tick() {
      open.listServices().forEach(findReport);
      reports.forEach((last, service) => {
        if (!last.isSending) void report(service, last);
      });
    },
  };
}
