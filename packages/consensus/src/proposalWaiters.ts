import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import type { LogEntry } from './messages';

/** Position of a proposal in the log. */
export interface ProposalPosition {
  readonly index: number;
  readonly term: number;
}

/** Callers that are waiting for their proposals to be applied. */
export interface ProposalWaiters {
  /** @throws SpoolplankError `no-quorum` on a timeout; the outcome is unknown. */
  waitFor(position: ProposalPosition): Promise<JsonValue>;
  /** Passes the result of an applied entry to its waiting caller. */
  settle(entry: LogEntry, result: JsonValue): void;
  /** Rejects all waiters up to an index; the outcome of their proposals is unknown. */
  failUpTo(index: number): void;
}

export interface ProposalWaitersOptions {
  readonly timeoutMs: number;
  readonly schedule: (run: () => void, delayMs: number) => () => void;
}

interface Waiter {
  readonly term: number;
  readonly resolve: (result: JsonValue) => void;
  readonly reject: (error: SpoolplankError) => void;
  readonly cancelTimer: () => void;
}

export function createProposalWaiters(options: ProposalWaitersOptions): ProposalWaiters {
  const { timeoutMs, schedule } = options;
  const waiters = new Map<number, Waiter>();

  function take(index: number): Waiter | undefined {
    const waiter = waiters.get(index);
    waiters.delete(index);
    waiter?.cancelTimer();
    return waiter;
  }

  function fail(index: number): void {
    take(index)?.reject(new SpoolplankError('no-quorum'));
  }

  return {
    waitFor: ({ index, term }) =>
      new Promise((resolve, reject) => {
        const cancelTimer = schedule(() => fail(index), timeoutMs);
        waiters.set(index, { term, resolve, reject, cancelTimer });
      }),
    settle({ index, term }, result) {
      const waiter = take(index);
      if (!waiter) return;
      if (waiter.term === term) {
        waiter.resolve(result);
        return;
      }
      const detail = 'Another leader took over.';
      waiter.reject(new SpoolplankError('no-quorum', { outcome: 'not-run', detail }));
    },
    failUpTo(lastIndex) {
      [...waiters.keys()].filter((index) => index <= lastIndex).forEach(fail);
    },
  };
}
