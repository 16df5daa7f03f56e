/**
 * How long to wait for the next token before the chain is suspected, and for how long a chain
 * whose stages all answer is only taken to be busy.
 *
 * Source of the distinction between busy and suspected, with a wait learnt from past
 * intervals: Farruggia, Ortolani, Lo Re, "FDAE: a failure detector for asynchronous events",
 * 2010; see docs/design/failure-detection.md for what was kept of it and why.
 */
import type { Clock } from '@spoolplank/shared';

export interface StagePatience {
  /** Notes that a token came. */
  observe(): void;
  /** Begins the wait anew, without learning from it: the caller had held the stream up. */
  restart(): void;
  /** When the stages are to be probed, if no token has come. */
  suspectAtMs(): number;
  /** When the chain is given up even though all its stages answer. */
  giveUpAtMs(): number;
}

export interface StagePatienceOptions {
  readonly clock: Clock;
  /** Estimated time of one token. */
  readonly estimatedStepMs: number;
  /** Positions to work through before the first token. */
  readonly prefillTokens: number;
}

const MIN_SUSPECT_MS = 200;
const SUSPECT_FACTOR = 5;
const BUSY_FACTOR = 20;
const MIN_GIVE_UP_MS = 2000;
const GAP_WEIGHT = 0.2;
/** Time allowed for each position before the first token. */
const PREFILL_MS_PER_TOKEN = 1;

export function createStagePatience({
  clock,
  estimatedStepMs,
  prefillTokens,
}: StagePatienceOptions): StagePatience {
  let lastMs = clock.nowMs();
  let gapMs = estimatedStepMs;
  let allowanceMs = prefillTokens * PREFILL_MS_PER_TOKEN;
  return {
    observe() {
      const nowMs = clock.nowMs();
      // The first interval holds the prefill and says nothing about a step.
      if (allowanceMs === 0) gapMs += GAP_WEIGHT * (nowMs - lastMs - gapMs);
      allowanceMs = 0;
      lastMs = nowMs;
    },
    restart() {
      lastMs = clock.nowMs();
    },
    suspectAtMs: () => lastMs + allowanceMs + Math.max(MIN_SUSPECT_MS, SUSPECT_FACTOR * gapMs),
    giveUpAtMs: () => lastMs + allowanceMs + Math.max(MIN_GIVE_UP_MS, BUSY_FACTOR * gapMs),
  };
}
