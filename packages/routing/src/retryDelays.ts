/**
 * Computes the retry-after time of refused callers.
 *
 * During an overload of some seconds, callers that retry after a fixed second meet the same
 * overload again, and most of them do not retry a second time. The remaining duration is unknown;
 * an overload that has lasted for some time tends to last about as long again. The delay therefore
 * equals the time since the overload began, with a wide jitter so that callers do not return
 * together.
 */
import type { Clock, Random } from '@spoolplank/shared';

export interface RetryDelaysOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Minimum delay before jitter, in milliseconds. */
  readonly minMs?: number;
  /** Maximum delay before jitter, in milliseconds. */
  readonly maxMs?: number;
}

export interface RetryDelays {
  /** Records that a request was refused for lack of capacity. */
  recordOverload(): void;
  /** Records that a request got capacity at once while the queue was empty. */
  recordFreeCapacity(): void;
  /**
   * Expected time until the overload is over, without jitter; a forecast of when capacity is
   * available raises it.
   */
  overloadLeftMs(forecastMs?: number): number;
  /**
   * Returns the retry-after time for a caller with the given remaining time, in milliseconds. A
   * forecast of when capacity is available raises the delay before jitter.
   */
  retryAfterMs(remainingMs: number, forecastMs?: number): number;
}

/** A stream lasts a few seconds, so slots become free within about a second. */
const DEFAULT_MIN_MS = 1000;
/** Losses are repaired within four to eight seconds; longer overloads have another cause. */
const DEFAULT_MAX_MS = 4000;
/** An overload is over once capacity has been available for this long. */
const RECOVERY_MS = 1000;
/** Callers observe a retry-after of up to a third of their remaining time. */
export const MAX_REMAINING_SHARE = 1 / 3;
/** The jitter factor is between 0.5 and 1.5. */
const MIN_JITTER = 0.5;
/** Resolution of the jitter, as random numbers are integers. */
const JITTER_STEPS = 1000;

export function createRetryDelays(options: RetryDelaysOptions): RetryDelays {
  const { clock, random, minMs = DEFAULT_MIN_MS, maxMs = DEFAULT_MAX_MS } = options;
  let overloadedSinceMs: number | null = null;
  let availableSinceMs: number | null = null;

  function overloadLeftMs(forecastMs = 0): number {
    const overloadedForMs = overloadedSinceMs === null ? 0 : clock.nowMs() - overloadedSinceMs;
    return Math.min(maxMs, Math.max(minMs, overloadedForMs, forecastMs));
  }

  return {
    overloadLeftMs,
    recordOverload() {
      overloadedSinceMs ??= clock.nowMs();
      availableSinceMs = null;
    },
    recordFreeCapacity() {
      if (overloadedSinceMs === null) return;
      availableSinceMs ??= clock.nowMs();
      if (clock.nowMs() - availableSinceMs > RECOVERY_MS) overloadedSinceMs = null;
    },
    retryAfterMs(remainingMs, forecastMs = 0) {
      const targetMs = overloadLeftMs(forecastMs);
      const jitter = MIN_JITTER + random.nextInt(JITTER_STEPS) / JITTER_STEPS;
      return Math.round(
        Math.max(0, Math.min(targetMs * jitter, remainingMs * MAX_REMAINING_SHARE)),
      );
    },
  };
}
