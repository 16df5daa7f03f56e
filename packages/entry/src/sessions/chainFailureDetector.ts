/**
 * Failure detector for a chain, based on the intervals between its tokens. It determines how long
 * to wait for the next token before the stages are probed, and how long a chain whose stages all
 * answer is considered busy rather than failed.
 *
 * The distinction between busy and suspected, with a wait learnt from past intervals, follows
 * Farruggia, Ortolani, Lo Re, "FDAE: a failure detector for asynchronous events", 2010; see
 * docs/design/failure-detection.md for which parts are used and why.
 */
import type { Clock } from '@spoolplank/shared';

export interface ChainFailureDetector {
  /** Records the arrival of a token. */
  observe(): void;
  /** Restarts the wait without learning from the interval, after backpressure by the caller. */
  restart(): void;
  /** The average interval between tokens if it is far above its best so far; else undefined. */
  degradedGapMs(): number | undefined;
  /** When to probe the stages if no token has arrived. */
  suspectAtMs(): number;
  /** When to give up the chain even though all its stages answer. */
  giveUpAtMs(): number;
}

export interface ChainFailureDetectorOptions {
  readonly clock: Clock;
  /** Estimated time per token. */
  readonly estimatedStepMs: number;
  /** Number of positions to prefill before the first token. */
  readonly prefillTokens: number;
}

const MIN_SUSPECT_MS = 200;
const SUSPECT_FACTOR = 5;
const BUSY_FACTOR = 20;
const MIN_GIVE_UP_MS = 2000;
const GAP_WEIGHT = 0.2;
/** Growth of the interval from which a chain counts as degraded: a factor, and a minimum time. */
const DEGRADED_FACTOR = 3;
const DEGRADED_MIN_MS = 15;
/** Number of tokens after which the average interval of a chain counts as learnt. */
const LEARNING_TOKENS = 8;
/** Prefill time allowed per position before the first token. */
const PREFILL_MS_PER_TOKEN = 1;

export function createChainFailureDetector({
  clock,
  estimatedStepMs,
  prefillTokens,
}: ChainFailureDetectorOptions): ChainFailureDetector {
  let lastMs = clock.nowMs();
  let gapMs = estimatedStepMs;
  let bestGapMs = Number.POSITIVE_INFINITY;
  let tokens = 0;
  let allowanceMs = prefillTokens * PREFILL_MS_PER_TOKEN;
  return {
    observe() {
      const nowMs = clock.nowMs();
      // The first interval includes the prefill, so it is no measure of the time per token.
      if (allowanceMs === 0) gapMs += GAP_WEIGHT * (nowMs - lastMs - gapMs);
      tokens += 1;
      if (tokens >= LEARNING_TOKENS) bestGapMs = Math.min(bestGapMs, gapMs);
      allowanceMs = 0;
      lastMs = nowMs;
    },
    restart() {
      lastMs = clock.nowMs();
    },
    degradedGapMs() {
      const limitMs = Math.max(DEGRADED_FACTOR * bestGapMs, bestGapMs + DEGRADED_MIN_MS);
      return gapMs > limitMs ? gapMs : undefined;
    },
    suspectAtMs: () => lastMs + allowanceMs + Math.max(MIN_SUSPECT_MS, SUSPECT_FACTOR * gapMs),
    giveUpAtMs: () => lastMs + allowanceMs + Math.max(MIN_GIVE_UP_MS, BUSY_FACTOR * gapMs),
  };
}
