/** Capacity of an entry VM per core: relayed tokens and plain requests. */
import { callService, streamCompletion } from '../caller';
import type { Deployment } from '../deployment';
import type { Figure } from '../figures';
import { percentile } from '../statistics';
import { waitForBackendServers } from '../observe';
import {
  BENCH_MODEL,
  BENCH_SERVICE,
  BENCH_TOKEN,
  planEngines,
  readMetric,
  withDeployment,
} from './benchDeployment';

const STREAMS = 120;
const TOKENS = 300;
const REQUESTS = 6000;
const CONCURRENCY = 64;
const CPU_METRIC = 'spoolplank_processor_seconds';

async function measureCpuS(
  deployment: Deployment,
  vmId: string,
  run: () => Promise<void>,
): Promise<number> {
  const before = await readMetric(deployment, vmId, CPU_METRIC);
  await run();
  return (await readMetric(deployment, vmId, CPU_METRIC)) - before;
}

async function callConcurrently(
  address: string,
  count: number,
  onDuration: (durationMs: number) => void,
): Promise<void> {
  let remaining = count;
  const worker = async () => {
    while (remaining > 0) {
      remaining -= 1;
      const startedMs = performance.now();
      const { status } = await callService({ address, token: BENCH_TOKEN, service: BENCH_SERVICE });
      if (status !== 200) throw new Error(`a request was answered with ${status}`);
      onDuration(performance.now() - startedMs);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
}

export function relayBench(): Promise<readonly Figure[]> {
  return withDeployment(1, 1, async (deployment) => {
    // Fast engines that fit all streams into one step, so that the entry VM is the bottleneck.
    const plans = planEngines(2, 3, {
      stepBaseMs: 2,
      stepPerItemMs: 0.01,
      maxBatch: 256,
      linkDelayMs: 0,
    });
    await Promise.all(plans.map((plan) => deployment.startEngine(plan)));
    await deployment.startService({
      name: 'service-1',
      service: BENCH_SERVICE,
      durationMs: 0,
      capacity: 1000,
    });
    await waitForBackendServers(deployment, plans.length + 1);
    const [, entry] = deployment.vms;
    if (!entry) throw new Error('the deployment has no entry VM');
    const address = entry.callerAddress;
    let tokens = 0;
    const gapsMs: number[] = [];
    const tokenCpuS = await measureCpuS(deployment, entry.vmId, async () => {
      const answers = await Promise.all(
        Array.from({ length: STREAMS }, (_unused, index) =>
          streamCompletion({
            address,
            token: BENCH_TOKEN,
            model: BENCH_MODEL,
            prompt: `note ${index}`,
            maxTokens: TOKENS,
          }),
        ),
      );
      answers.forEach((answer) => {
        tokens += answer.tokens;
        gapsMs.push(...answer.gapsMs);
      });
    });
    const durationsMs: number[] = [];
    const requestCpuS = await measureCpuS(deployment, entry.vmId, () =>
      callConcurrently(address, REQUESTS, (durationMs) => durationsMs.push(durationMs)),
    );
    return [
      {
        metric: 'tokens-per-core-second',
        value: tokens / tokenCpuS,
        unit: 'tokens/s',
        bound: { atLeast: 8000 },
      },
      { metric: 'token-gap-p95', value: percentile(gapsMs, 0.95), unit: 'ms' },
      {
        metric: 'requests-per-core-second',
        value: REQUESTS / requestCpuS,
        unit: 'requests/s',
        bound: { atLeast: 800 },
      },
      { metric: 'request-p50', value: percentile(durationsMs, 0.5), unit: 'ms' },
      { metric: 'request-p99', value: percentile(durationsMs, 0.99), unit: 'ms' },
    ];
  });
}
