/** Overhead of the entry VM: streams through it against streams directly from the same engines. */
import { createInterface } from 'node:readline';
import { sendHttpRequest } from '@spoolplank/node';
import { chatPrompt, streamCompletion } from '../caller';
import type { RunningFake } from '../deployment';
import type { Figure } from '../figures';
import { percentile } from '../statistics';
import { waitForBackendServers } from '../observe';
import {
  BENCH_LAYERS,
  BENCH_MODEL,
  BENCH_TOKEN,
  planEngines,
  withDeployment,
} from './benchDeployment';

const ROUNDS = 12;
const TOKENS = 60;
const PROMPT = 'draft a quotation for two skips at the north yard';

interface StreamTiming {
  readonly firstTokenMs: number;
  readonly tokensPerS: number;
}

async function streamDirect(engines: readonly RunningFake[], round: number): Promise<StreamTiming> {
  const layersPerEngine = BENCH_LAYERS / engines.length;
  const stages = engines.map(({ name, port }, index) => ({
    name,
    host: '127.0.0.1',
    port,
    firstLayer: index * layersPerEngine,
    lastLayer: (index + 1) * layersPerEngine - 1,
  }));
  const session = `direct-${round}`;
  const startedMs = performance.now();
  const response = await sendHttpRequest({
    endpoint: { host: '127.0.0.1', port: engines[0]?.port ?? 0 },
    method: 'POST',
    path: '/streams',
    body: JSON.stringify({
      handle: `${session}.1`,
      session,
      attempt: 1,
      fencingNumber: 1,
      model: BENCH_MODEL,
      version: 'v1',
      stages,
      prompt: chatPrompt(PROMPT),
      historyTokenIds: [],
      maxTokens: TOKENS,
      priority: 5,
    }),
  });
  let firstTokenMs = 0;
  let tokens = 0;
  for await (const line of createInterface({ input: response })) {
    if (line.includes('"token"')) {
      tokens += 1;
      if (tokens === 1) firstTokenMs = performance.now() - startedMs;
    }
  }
  return { firstTokenMs, tokensPerS: (tokens / (performance.now() - startedMs)) * 1000 };
}

async function streamThroughEntry(address: string): Promise<StreamTiming> {
  const answer = await streamCompletion({
    address,
    token: BENCH_TOKEN,
    model: BENCH_MODEL,
    prompt: PROMPT,
    maxTokens: TOKENS,
  });
  return {
    firstTokenMs: answer.firstTokenMs,
    tokensPerS: (answer.tokens / answer.durationMs) * 1000,
  };
}

export function thinBench(): Promise<readonly Figure[]> {
  return withDeployment(1, 1, async (deployment) => {
    const engines = await Promise.all(
      planEngines(3, 1).map((engine) => deployment.startEngine(engine)),
    );
    await waitForBackendServers(deployment, engines.length);
    const direct: StreamTiming[] = [];
    const routed: StreamTiming[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      direct.push(await streamDirect(engines, round));
      routed.push(await streamThroughEntry(deployment.addresses[1] ?? ''));
    }
    const median = (timings: readonly StreamTiming[], pick: (timing: StreamTiming) => number) =>
      percentile(timings.map(pick), 0.5);
    const firstDirect = median(direct, ({ firstTokenMs }) => firstTokenMs);
    const firstRouted = median(routed, ({ firstTokenMs }) => firstTokenMs);
    const rateDirect = median(direct, ({ tokensPerS }) => tokensPerS);
    const rateRouted = median(routed, ({ tokensPerS }) => tokensPerS);
    return [
      { metric: 'first-token-direct', value: firstDirect, unit: 'ms' },
      { metric: 'first-token-through-entry', value: firstRouted, unit: 'ms' },
      {
        metric: 'first-token-ratio',
        value: firstRouted / firstDirect,
        unit: 'ratio',
        bound: { atMost: 1.6 },
      },
      {
        metric: 'token-rate-ratio',
        value: rateRouted / rateDirect,
        unit: 'ratio',
        bound: { atLeast: 0.9 },
      },
    ];
  });
}
