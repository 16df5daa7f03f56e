/**
 * Telling a busy chain from a dead one: a fixed timeout, a learnt one, and a learnt one that
 * asks the stages before it decides, on one seeded trace of intervals between tokens.
 */
import { createStagePatience } from '@spoolplank/entry';
import type { StagePatience } from '@spoolplank/entry';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { ManualClock, Random } from '@spoolplank/shared';
import type { Figure } from '../figures';
import { mean, percentile } from '../statistics';

const SESSIONS = 400;
const TOKENS = 300;
const STEP_MS = 20;
/** One interval in so many begins a busy phase, in which an interval is many times longer. */
const BUSY_EVERY = 150;
const BUSY_TOKENS = 5;
const BUSY_FACTOR = { from: 5, spread: 60 };
/** What the stages take to answer a probe; a dead one is known by this time limit. */
const PROBE_LIMIT_MS = 200;
const FIXED_TIMEOUTS_MS = [200, 500, 2000] as const;

/** When a detector would give the chain up, counted from the last token. */
interface Detector {
  readonly name: string;
  /** If every stage is well and only slow. */
  busyLimitMs(patience: StagePatience, clock: ManualClock): number;
  /** If a stage is dead. */
  deadLimitMs(patience: StagePatience, clock: ManualClock): number;
}

const DETECTORS: readonly Detector[] = [
  ...FIXED_TIMEOUTS_MS.map((timeoutMs): Detector => ({
    name: `fixed-${timeoutMs}`,
    busyLimitMs: () => timeoutMs,
    deadLimitMs: () => timeoutMs,
  })),
  {
    name: 'learnt',
    busyLimitMs: (patience, clock) => patience.suspectAtMs() - clock.nowMs(),
    deadLimitMs: (patience, clock) => patience.suspectAtMs() - clock.nowMs(),
  },
  {
    name: 'learnt-and-asked',
    busyLimitMs: (patience, clock) => patience.giveUpAtMs() - clock.nowMs(),
    deadLimitMs: (patience, clock) => patience.suspectAtMs() - clock.nowMs() + PROBE_LIMIT_MS,
  },
];

function createTrace(random: Random): readonly number[] {
  let busyLeft = 0;
  return Array.from({ length: TOKENS }, () => {
    if (busyLeft === 0 && random.nextInt(BUSY_EVERY) === 0) busyLeft = BUSY_TOKENS;
    const jitterMs = STEP_MS * (0.8 + 0.4 * random.nextFloat());
    if (busyLeft === 0) return jitterMs;
    busyLeft -= 1;
    return jitterMs * (BUSY_FACTOR.from + random.nextFloat() * BUSY_FACTOR.spread);
  });
}

interface Verdict {
  readonly falseMoves: number;
  readonly detectionMs: readonly number[];
}

function judgeDetector(detector: Detector): Verdict {
  const random = createSeededRandom(11);
  let falseMoves = 0;
  const detectionMs: number[] = [];
  for (let session = 0; session < SESSIONS; session += 1) {
    const clock = createManualClock();
    const patience = createStagePatience({ clock, estimatedStepMs: STEP_MS, prefillTokens: 0 });
    const isGivenUp = (gapMs: number) => {
      const isLate = gapMs > detector.busyLimitMs(patience, clock);
      clock.advance(gapMs);
      patience.observe();
      return isLate;
    };
    falseMoves += createTrace(random).filter(isGivenUp).length;
    detectionMs.push(detector.deadLimitMs(patience, clock));
  }
  return { falseMoves, detectionMs };
}

export function detectionBench(): Promise<readonly Figure[]> {
  const figures = DETECTORS.flatMap((detector): readonly Figure[] => {
    const { falseMoves, detectionMs } = judgeDetector(detector);
    const perThousand = (falseMoves / SESSIONS) * 1000;
    return [
      { metric: `${detector.name}-false-moves`, value: perThousand, unit: 'per 1000 sessions' },
      { metric: `${detector.name}-detection-mean`, value: mean(detectionMs), unit: 'ms' },
      {
        metric: `${detector.name}-detection-p99`,
        value: percentile(detectionMs, 0.99),
        unit: 'ms',
      },
    ];
  });
  return Promise.resolve(figures);
}
