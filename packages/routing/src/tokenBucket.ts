/**
 * A token bucket whose rate may change at any time.
 *
 * Source: Turner, "New directions in communications (or which way to the information age?)", 1986.
 */
import type { Clock } from '@spoolplank/shared';

export interface TokenBucketOptions {
  /** The steady clock, which does not advance while the VM is suspended. */
  readonly clock: Pick<Clock, 'steadyMs'>;
  /** Tokens per second, evaluated on every use; infinite when the rate is not limited. */
  readonly ratePerS: () => number;
  /** Initial number of tokens. */
  readonly tokens?: number;
  /** Minimum burst size. */
  readonly minBurst?: number;
}

export interface TokenBucket {
  /** Takes a token; false when none is available. */
  take(): boolean;
  /** Returns a token that was taken and not used. */
  refund(): void;
  /** Time until a token is available, in milliseconds; 0 when one is. */
  waitMs(): number;
  /** Adds the tokens earned so far at the current rate; must be called before the rate changes. */
  settle(): void;
}

const MS_PER_S = 1000;
const DEFAULT_MIN_BURST = 2;
/** Burst at high rates, in seconds: holds the tokens earned between two uses of the bucket. */
const BURST_S = 0.05;

export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  const { clock, ratePerS, minBurst = DEFAULT_MIN_BURST } = options;
  let tokens = options.tokens ?? 0;
  let refilledAtMs = clock.steadyMs();

  const burst = (): number => Math.max(minBurst, ratePerS() * BURST_S);

  function settle(): void {
    const nowMs = clock.steadyMs();
    const earned = (ratePerS() * (nowMs - refilledAtMs)) / MS_PER_S;
    refilledAtMs = nowMs;
    // An infinite rate multiplied by an elapsed time of 0 is NaN.
    tokens = Math.min(burst(), tokens + (Number.isNaN(earned) ? 0 : earned));
  }

  function waitMs(): number {
    settle();
    if (tokens >= 1 || ratePerS() === Number.POSITIVE_INFINITY) return 0;
    return ((1 - tokens) / ratePerS()) * MS_PER_S;
  }

  return {
    take() {
      if (waitMs() > 0) return false;
      tokens -= 1;
      return true;
    },
    refund() {
      tokens += 1;
      settle();
    },
    waitMs,
    settle,
  };
}
