/**
 * The retries that the requests of one VM earn, which it may send without asking anyone.
 *
 * For the sum over all VMs and any window, the retries are at most what was saved when the window
 * began plus what is earned within it. A VM saves at most `savedShare` of what the requests of a
 * whole window earn, and earns the rest of the ratio, so the sum stays within the ratio of the
 * requests in the window or of those in the one before, however demand moves between VMs. A VM
 * that restarts has saved nothing.
 */
import type { Clock } from '@spoolplank/shared';

export interface EarnedRetriesOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly windowMs: number;
  /** Retries allowed per request. */
  readonly ratio: number;
}

export interface EarnedRetries {
  /** Counts a request that arrived. */
  earn(): void;
  hasLeft(): boolean;
  /** Takes a retry that is about to be sent; false when none is left. */
  take(): boolean;
  /** Returns a retry that was not sent. */
  refund(): void;
  describe(): EarnedRetriesState;
}

export interface EarnedRetriesState {
  /** Requests within the window. */
  readonly requests: number;
  readonly saved: number;
}

/** Share of the retries of a window that a VM may save; the others are used as they are earned. */
const SAVED_SHARE = 0.1;

export function createEarnedRetries(options: EarnedRetriesOptions): EarnedRetries {
  const { clock, windowMs, ratio } = options;
  const requestsAtMs: number[] = [];
  let saved = 0;

  /** A VM with few requests saves a larger share, as it needs a whole retry; at most all. */
  function savedShare(): number {
    return Math.min(1, Math.max(SAVED_SHARE, 1 / (requestsAtMs.length * ratio)));
  }

  function dropExpired(): void {
    const oldestMs = clock.steadyMs() - windowMs;
    let expired = 0;
    while (expired < requestsAtMs.length && (requestsAtMs[expired] ?? 0) < oldestMs) expired += 1;
    if (expired) requestsAtMs.splice(0, expired);
    saved = Math.min(saved, requestsAtMs.length * ratio * savedShare());
  }

  function hasLeft(): boolean {
    dropExpired();
    return saved >= 1;
  }

  return {
    earn() {
      requestsAtMs.push(clock.steadyMs());
      saved += ratio * (1 - savedShare());
      dropExpired();
    },
    hasLeft,
    take() {
      if (!hasLeft()) return false;
      saved -= 1;
      return true;
    },
    refund() {
      saved += 1;
    },
    describe() {
      dropExpired();
      return { requests: requestsAtMs.length, saved };
    },
  };
}
