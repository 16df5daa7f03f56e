/** Enforces limits on running and queued requests for each branch of the settings tree. */
import type { Policy } from '@spoolplank/settings';
import { SpoolplankError } from '@spoolplank/shared';

/** A branch that a request counts towards, with its limits. */
export interface AdmissionBranch {
  /** JSON pointer of the branch. */
  readonly pointer: string;
  readonly policy: Pick<Policy, 'maxInFlight' | 'maxQueueLength'>;
}

interface BranchCount {
  running: number;
  waiting: number;
}

export interface AdmissionCounts {
  readonly pointer: string;
  readonly running: number;
  readonly waiting: number;
}

/** Handle of an admitted request. */
export interface AdmissionTicket {
  /** Records that the request has left the queue and runs. */
  start(): void;
  /** Records that the request has ended, with any outcome. */
  end(): void;
}

export interface Admission {
  /**
   * Admits a request to the queue or for running.
   *
   * @throws SpoolplankError `overloaded` with a retry-after time, if a limit is reached.
   */
  admit(branches: readonly AdmissionBranch[]): AdmissionTicket;
  /**
   * Returns the first branch whose limit is reached; undefined when a request would be admitted.
   */
  findFull(branches: readonly AdmissionBranch[]): AdmissionBranch | undefined;
  /** Whether every branch has capacity for another running request. */
  hasCapacity(branches: readonly AdmissionBranch[]): boolean;
  counts(): readonly AdmissionCounts[];
  /** Records the duration of a request, from which the drain rate of the queue is estimated. */
  observeDuration(durationMs: number): void;
}

/** Weight of the latest duration in the moving average. */
const DURATION_WEIGHT = 0.05;
/** Average that is assumed before the first request has ended. */
const INITIAL_DURATION_MS = 100;
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 30_000;

export function createAdmission(): Admission {
  const counts = new Map<string, BranchCount>();
  let meanDurationMs = INITIAL_DURATION_MS;

  function countOf(pointer: string): BranchCount {
    const known = counts.get(pointer);
    if (known) return known;
    const count = { running: 0, waiting: 0 };
    counts.set(pointer, count);
    return count;
  }

  /** Estimated time until the queue of a branch has drained. */
  function retryAfterMs({ pointer, policy }: AdmissionBranch): number {
    const { waiting } = countOf(pointer);
    const drainMs = ((waiting + 1) * meanDurationMs) / Math.max(1, policy.maxInFlight);
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)));
  }

  function release(pointer: string, kind: keyof BranchCount): void {
    const count = countOf(pointer);
    count[kind] -= 1;
    if (count.running === 0 && count.waiting === 0) counts.delete(pointer);
  }

  function isFull({ pointer, policy }: AdmissionBranch): boolean {
    const { running, waiting } = countOf(pointer);
    return running + waiting >= policy.maxInFlight + policy.maxQueueLength;
  }

  return {
    admit(branches) {
      const full = branches.find(isFull);
      if (full) {
        throw new SpoolplankError('overloaded', {
          detail: `Limit of ${full.pointer || '/'}.`,
          retryAfterMs: retryAfterMs(full),
        });
      }
      let state: keyof BranchCount | 'ended' = 'waiting';
      branches.forEach(({ pointer }) => {
        countOf(pointer).waiting += 1;
      });
      return {
        start() {
          if (state !== 'waiting') return;
          state = 'running';
          branches.forEach(({ pointer }) => {
            const count = countOf(pointer);
            count.waiting -= 1;
            count.running += 1;
          });
        },
        end() {
          if (state === 'ended') return;
          const kind = state;
          state = 'ended';
          branches.forEach(({ pointer }) => release(pointer, kind));
        },
      };
    },
    findFull: (branches) => branches.find(isFull),
    hasCapacity: (branches) =>
      branches.every(({ pointer, policy }) => countOf(pointer).running < policy.maxInFlight),
    counts: () =>
      [...counts].map(([pointer, { running, waiting }]) => ({ pointer, running, waiting })),
    observeDuration(durationMs) {
      meanDurationMs += DURATION_WEIGHT * (durationMs - meanDurationMs);
    },
  };
}
