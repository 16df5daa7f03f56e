/**
 * Tokens per second, compared with the upper bound that the engines allow.
 *
 * An engine finishes at most `maxBatch` tokens in a step of
 * `stepBaseMs + stepPerItemMs * (maxBatch - 1)`. Every token passes each part of the layers once,
 * so the bound is the combined rate of the engines of the slowest part.
 */
import { delay } from '@spoolplank/node';
import type { FakeEngineOptions } from '@spoolplank/fakes';
import { streamCompletion } from '../caller';
import type { Deployment } from '../deployment';
import type { Figure } from '../figures';
import { percentile } from '../statistics';
import { waitForBackendServers } from '../observe';
import { BENCH_LAYERS, BENCH_MODEL, BENCH_TOKEN, withDeployment } from './benchDeployment';

type EnginePlan = Partial<FakeEngineOptions> & {
  readonly name: string;
  readonly maxBatch: number;
  readonly stepBaseMs: number;
  readonly stepPerItemMs: number;
  readonly firstLayer: number;
};

interface ThroughputResult {
  readonly tokensPerS: number;
  readonly gapsMs: readonly number[];
}

const PARTS = 2;
const TOKENS = 120;
const WARM_UP_MS = 2500;
const MEASURE_MS = 6000;
const MS_PER_S = 1000;

/** Four kinds of accelerators; the step times span a factor of 8, the link rates one of 100. */
const KINDS = [
  { stepBaseMs: 10, linkBytesPerS: 1e9 },
  { stepBaseMs: 20, linkBytesPerS: 3e8 },
  { stepBaseMs: 40, linkBytesPerS: 5e7 },
  { stepBaseMs: 80, linkBytesPerS: 1e7 },
] as const;

function planPart(part: number, name: string, options: Partial<FakeEngineOptions>): EnginePlan {
  const size = BENCH_LAYERS / PARTS;
  return {
    maxBatch: 16,
    stepBaseMs: 20,
    stepPerItemMs: 0.2,
    linkDelayMs: 0.2,
    announceIntervalMs: 500,
    ...options,
    name: `${name}-${part}`,
    model: BENCH_MODEL,
    layers: BENCH_LAYERS,
    firstLayer: part * size,
    lastLayer: (part + 1) * size - 1,
  };
}

function boundPerS(plans: readonly EnginePlan[]): number {
  const byPart = new Map<number, number>();
  plans.forEach(({ firstLayer, maxBatch, stepBaseMs, stepPerItemMs }) => {
    const stepMs = stepBaseMs + stepPerItemMs * (maxBatch - 1);
    byPart.set(firstLayer, (byPart.get(firstLayer) ?? 0) + (maxBatch / stepMs) * MS_PER_S);
  });
  return Math.min(...byPart.values());
}

/** Counters of a run, shared by its concurrent callers. */
interface Measurement {
  tokens: number;
  isMeasuring: boolean;
  isStopped: boolean;
  readonly gapsMs: number[];
}

async function streamUntilStopped(
  deployment: Deployment,
  index: number,
  measurement: Measurement,
): Promise<void> {
  let lastMs = 0;
  const onToken = (position: number) => {
    const nowMs = performance.now();
    if (measurement.isMeasuring) {
      measurement.tokens += 1;
      if (position > 0) measurement.gapsMs.push(nowMs - lastMs);
    }
    lastMs = nowMs;
  };
  while (!measurement.isStopped) {
    await streamCompletion({
      address: deployment.addresses[1] ?? '',
      token: BENCH_TOKEN,
      model: BENCH_MODEL,
      prompt: `note ${index}`,
      maxTokens: TOKENS,
      onToken,
    });
  }
}

async function measure(deployment: Deployment, sessions: number): Promise<ThroughputResult> {
  const measurement: Measurement = { tokens: 0, isMeasuring: false, isStopped: false, gapsMs: [] };
  const callers = Array.from({ length: sessions }, (_unused, index) =>
    streamUntilStopped(deployment, index, measurement),
  );
  await delay(WARM_UP_MS);
  measurement.isMeasuring = true;
  const startedMs = performance.now();
  await delay(MEASURE_MS);
  measurement.isMeasuring = false;
  const tokensPerS = (measurement.tokens / (performance.now() - startedMs)) * MS_PER_S;
  measurement.isStopped = true;
  await Promise.all(callers);
  return { tokensPerS, gapsMs: measurement.gapsMs };
}

function measurePlan(
  name: string,
  plans: readonly EnginePlan[],
  sessions: number,
  minShare: number,
): Promise<readonly Figure[]> {
  return withDeployment(1, 1, async (deployment) => {
    await Promise.all(plans.map((plan) => deployment.startEngine(plan)));
    await waitForBackendServers(deployment, plans.length);
    const { tokensPerS, gapsMs } = await measure(deployment, sessions);
    const bound = boundPerS(plans);
    return [
      { metric: `${name}-bound`, value: bound, unit: 'tokens/s' },
      { metric: `${name}-tokens`, value: tokensPerS, unit: 'tokens/s' },
      {
        metric: `${name}-share-of-bound`,
        value: tokensPerS / bound,
        unit: 'share',
        bound: { atLeast: minShare },
      },
      { metric: `${name}-token-gap-p95`, value: percentile(gapsMs, 0.95), unit: 'ms' },
    ];
  });
}

export async function throughputBench(): Promise<readonly Figure[]> {
  const parts = Array.from({ length: PARTS }, (_unused, part) => part);
  const single = parts.map((part) => planPart(part, 'only', {}));
  const mixed = KINDS.flatMap((kind, index) =>
    parts.map((part) =>
      planPart(part, `kind${index}`, { ...kind, acceleratorKind: `kind-${index}` }),
    ),
  );
  return [
    ...(await measurePlan('one-chain', single, 64, 0.9)),
    ...(await measurePlan('four-kinds', mixed, 288, 0.85)),
  ];
}
