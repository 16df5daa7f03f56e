/** Goodput under overload, fairness to a small organisation, and draining of a leaving service. */
import { delay, digestToken } from '@spoolplank/node';
import { callService } from '../caller';
import type { Deployment, RunningFake } from '../deployment';
import type { Figure } from '../figures';
import { percentile } from '../statistics';
import { waitForBackendServers } from '../observe';
import { BENCH_SERVICE, BENCH_TOKEN, withDeployment } from './benchDeployment';

const CAPACITY = 20;
const DURATION_MS = 50;
/** Requests per second that the service can answer. */
const CAPACITY_PER_S = (CAPACITY / DURATION_MS) * 1000;
const LOADS = [0.5, 1, 2, 5] as const;
const WINDOW_MS = 4000;
const DEADLINE_MS = 500;
const SMALL_TOKEN = 'token-of-a-small-organisation';
const SMALL_INTERVAL_MS = 25;

interface CallResult {
  readonly status: number;
  readonly durationMs: number;
}

function callOnce(deployment: Deployment, token: string): Promise<CallResult> {
  const startedMs = performance.now();
  return callService({
    address: deployment.addresses[1] ?? '',
    token,
    service: BENCH_SERVICE,
    headers: { 'spoolplank-deadline-ms': String(DEADLINE_MS) },
  }).then(
    ({ status }) => ({ status, durationMs: performance.now() - startedMs }),
    () => ({ status: 0, durationMs: performance.now() - startedMs }),
  );
}

/** Sends requests at a fixed rate, independent of the answers (open loop). */
async function sendAtRate(
  deployment: Deployment,
  token: string,
  perS: number,
  windowMs: number,
): Promise<readonly CallResult[]> {
  const calls: Promise<CallResult>[] = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < windowMs) {
    const dueCount = Math.floor(((performance.now() - startedMs) / 1000) * perS);
    while (calls.length < dueCount) calls.push(callOnce(deployment, token));
    await delay(2);
  }
  return Promise.all(calls);
}

async function startBenchService(deployment: Deployment): Promise<RunningFake> {
  const service = await deployment.startService({
    name: 'service-1',
    service: BENCH_SERVICE,
    durationMs: DURATION_MS,
    capacity: CAPACITY,
    announceIntervalMs: 300,
  });
  await waitForBackendServers(deployment, 1);
  const organisation = {
    tokenDigests: [digestToken(SMALL_TOKEN)],
    services: { [BENCH_SERVICE]: {} },
  };
  const { version } = (await deployment.operatorGet('vm1', '/v1/config')) as { version: number };
  const edits = [
    { pointer: '/organisations/small', value: organisation },
    {
      pointer: `/services/${BENCH_SERVICE}/policy`,
      value: { maxInFlight: CAPACITY, maxQueueLength: 400, maxRetries: 0 },
    },
  ];
  await deployment.operatorPost('vm1', '/v1/config/changes', { baseVersion: version, edits });
  await delay(1500);
  return service;
}

async function measureGoodput(deployment: Deployment): Promise<readonly Figure[]> {
  const goodputs: number[] = [];
  const refusalsMs: number[] = [];
  for (const load of LOADS) {
    const sent = await sendAtRate(deployment, BENCH_TOKEN, load * CAPACITY_PER_S, WINDOW_MS);
    goodputs.push((sent.filter(({ status }) => status === 200).length / WINDOW_MS) * 1000);
    refusalsMs.push(
      ...sent.filter(({ status }) => status === 429).map(({ durationMs }) => durationMs),
    );
    await delay(800);
  }
  const peak = Math.max(...goodputs);
  return [
    ...LOADS.map((load, index): Figure => ({
      metric: `goodput-at-${load}x`,
      value: goodputs[index] ?? 0,
      unit: 'requests/s',
    })),
    {
      metric: 'goodput-at-5x-of-peak',
      value: (goodputs.at(-1) ?? 0) / peak,
      unit: 'share',
      bound: { atLeast: 0.9 },
    },
    { metric: 'refusal-p50', value: percentile(refusalsMs, 0.5), unit: 'ms' },
  ];
}

async function measureSmallOrganisation(deployment: Deployment): Promise<readonly number[]> {
  const durationsMs: number[] = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < WINDOW_MS) {
    const { status, durationMs } = await callOnce(deployment, SMALL_TOKEN);
    durationsMs.push(status === 200 ? durationMs : DEADLINE_MS);
    await delay(SMALL_INTERVAL_MS);
  }
  return durationsMs;
}

async function measureFairness(deployment: Deployment): Promise<readonly Figure[]> {
  const alone = percentile(await measureSmallOrganisation(deployment), 0.99);
  const flood = sendAtRate(deployment, BENCH_TOKEN, 2 * CAPACITY_PER_S, WINDOW_MS);
  const besideFlood = percentile(await measureSmallOrganisation(deployment), 0.99);
  await flood;
  return [
    { metric: 'small-organisation-p99-alone', value: alone, unit: 'ms' },
    { metric: 'small-organisation-p99-beside-flood', value: besideFlood, unit: 'ms' },
    {
      metric: 'small-organisation-ratio',
      value: besideFlood / alone,
      unit: 'ratio',
      bound: { atMost: 3 },
    },
  ];
}

/** Measures the time from the leaving announcement to the last request that the service got. */
async function measureLeaving(
  deployment: Deployment,
  service: RunningFake,
): Promise<readonly Figure[]> {
  await deployment.startService({
    name: 'service-2',
    service: BENCH_SERVICE,
    durationMs: DURATION_MS,
    capacity: CAPACITY,
  });
  await waitForBackendServers(deployment, 2);
  const sending = sendAtRate(deployment, BENCH_TOKEN, CAPACITY_PER_S / 2, 3000);
  await delay(1000);
  const leaving = service.post('/-/leave', {});
  const leaveStartedAtMs = performance.now();
  await leaving;
  await sending;
  const { lastRequestAgoMs } = (await service.get('/-/totals')) as { lastRequestAgoMs: number };
  const untilLastMs = Math.max(0, performance.now() - lastRequestAgoMs - leaveStartedAtMs);
  return [
    { metric: 'leaving-to-last-request', value: untilLastMs, unit: 'ms', bound: { atMost: 3000 } },
  ];
}

export function overloadBench(): Promise<readonly Figure[]> {
  return withDeployment(1, 1, async (deployment) => {
    const service = await startBenchService(deployment);
    return [
      ...(await measureGoodput(deployment)),
      ...(await measureFairness(deployment)),
      ...(await measureLeaving(deployment, service)),
    ];
  });
}
