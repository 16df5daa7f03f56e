/**
 * Failure detection: distinguishes a slow chain from a failed one by a fixed timeout, an adaptive
 * one, and an adaptive one that probes the stages first, on a seeded trace of token intervals.
 */
import { createChainFailureDetector } from '@spoolplank/entry';
import type { ChainFailureDetector } from '@spoolplank/entry';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { ManualClock, Random } from '@spoolplank/shared';
import type { Figure } from '../figures';
import { mean, percentile } from '../statistics';

const SESSIONS = 400;
const TOKENS = 300;
const STEP_MS = 20;
/** Each interval starts a busy phase, with longer intervals, with probability 1 / `BUSY_EVERY`. */
const BUSY_EVERY = 150;
const BUSY_TOKENS = 5;
const BUSY_FACTOR = { from: 5, spread: 60 };
/** Timeout of a probe, after which a stage counts as failed. */
const PROBE_LIMIT_MS = 200;
const FIXED_TIMEOUTS_MS = [200, 500, 2000] as const;

/** A failure detector, described by its timeouts since the last token. */
interface Detector {
  readonly name: string;
  /** Timeout if all stages are healthy and merely slow. */
  busyLimitMs(chainDetector: ChainFailureDetector, clock: ManualClock): number;
  /** Timeout if a stage has failed. */
  deadLimitMs(chainDetector: ChainFailureDetector, clock: ManualClock): number;
}

const DETECTORS: readonly Detector[] = [
  ...FIXED_TIMEOUTS_MS.map((timeoutMs): Detector => ({
    name: `fixed-${timeoutMs}`,
    busyLimitMs: () => timeoutMs,
    deadLimitMs: () => timeoutMs,
  })),
  {
    name: 'learnt',
    busyLimitMs: (chainDetector, clock) => chainDetector.suspectAtMs() - clock.nowMs(),
    deadLimitMs: (chainDetector, clock) => chainDetector.suspectAtMs() - clock.nowMs(),
  },
  {
    name: 'learnt-and-asked',
    busyLimitMs: (chainDetector, clock) => chainDetector.giveUpAtMs() - clock.nowMs(),
    deadLimitMs: (chainDetector, clock) =>
      chainDetector.suspectAtMs() - clock.nowMs() + PROBE_LIMIT_MS,
  },
];

function createTrace(random: Random): readonly number[] {
  let busyTokensLeft = 0;
  return Array.from({ length: TOKENS }, () => {
    if (busyTokensLeft === 0 && random.nextInt(BUSY_EVERY) === 0) busyTokensLeft = BUSY_TOKENS;
    const jitterMs = STEP_MS * (0.8 + 0.4 * random.nextFloat());
    if (busyTokensLeft === 0) return jitterMs;
    busyTokensLeft -= 1;
    return jitterMs * (BUSY_FACTOR.from + random.nextFloat() * BUSY_FACTOR.spread);
  });
}

interface DetectionResult {
  readonly falseMoves: number;
  readonly detectionMs: readonly number[];
}

function measureDetector(detector: Detector): DetectionResult {
  const random = createSeededRandom(11);
  let falseMoves = 0;
  const detectionMs: number[] = [];
  for (let session = 0; session < SESSIONS; session += 1) {
    const clock = createManualClock();
    const chainDetector = createChainFailureDetector({
      clock,
      estimatedStepMs: STEP_MS,
      prefillTokens: 0,
    });
    const isTimedOut = (gapMs: number) => {
      const isLate = gapMs > detector.busyLimitMs(chainDetector, clock);
      clock.advance(gapMs);
      chainDetector.observe();
      return isLate;
    };
    falseMoves += createTrace(random).filter(isTimedOut).length;
    detectionMs.push(detector.deadLimitMs(chainDetector, clock));
  }
  return { falseMoves, detectionMs };
}

export function detectionBench(): Promise<readonly Figure[]> {
  const figures = DETECTORS.flatMap((detector): readonly Figure[] => {
    const { falseMoves, detectionMs } = measureDetector(detector);
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
