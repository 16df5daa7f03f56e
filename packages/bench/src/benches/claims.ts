/** Cost of a claim: a request with against one without, and grouped against single disk syncs. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createGroupRunner } from '@spoolplank/consensus';
import { createControlState, createLogClock } from '@spoolplank/control';
import { createFileStorage, scheduleTimer, SYSTEM_CLOCK } from '@spoolplank/node';
import { createSeededRandom } from '@spoolplank/shared';
import { callService } from '../caller';
import { waitUntil } from '../childProcess';
import type { Figure } from '../figures';
import { percentile } from '../statistics';
import { waitForBackendServers } from '../observe';
import { BENCH_SERVICE, BENCH_TOKEN, withDeployment } from './benchDeployment';

const CLAIMS = 4000;
const CLAIMS_ONE_BY_ONE = 300;
const CONCURRENCY = 256;
const CALLS = 400;
const LOADED_CALLS = 3000;
const LOADED_CONCURRENCY = 64;

/** Runs a task `count` times in concurrent workers; returns the executions per second. */
async function measureRate(
  count: number,
  workers: number,
  task: (index: number) => Promise<unknown>,
): Promise<number> {
  let next = 0;
  const startedMs = performance.now();
  const worker = async () => {
    while (next < count) {
      next += 1;
      await task(next);
    }
  };
  await Promise.all(Array.from({ length: workers }, worker));
  return (count / (performance.now() - startedMs)) * 1000;
}

/** Claims per second of one replica on a real disk. */
async function measureLogClaims(): Promise<{
  readonly groupedPerS: number;
  readonly singlePerS: number;
}> {
  const folder = mkdtempSync(join(tmpdir(), 'spoolplank-claims-'));
  const storage = createFileStorage({ folder });
  await storage.load();
  await storage.installSnapshot(
    { index: 1, term: 0, configuration: { voters: ['a'], learners: [] } },
    '',
  );
  const runner = createGroupRunner({
    id: 'a',
    group: 'g',
    clock: SYSTEM_CLOCK,
    random: createSeededRandom(1),
    storage,
    stateMachine: createControlState({ logClock: createLogClock(SYSTEM_CLOCK) }),
    send: () => {},
    schedule: scheduleTimer,
    timings: { electionTimeoutMs: 100 },
  });
  await runner.start();
  await waitUntil('the replica leads', () => runner.canRead());
  const claim = (key: string) =>
    runner.propose({
      kind: 'claim.acquire',
      organisation: 'o',
      key,
      requestDigest: 'digest-of-the-request-in-base64url-form-000',
      owner: 'vm1/instance/request',
      retentionMs: 86_400_000,
      logTimeMs: 0,
    });
  const groupedPerS = await measureRate(CLAIMS, CONCURRENCY, (index) => claim(`grouped-${index}`));
  const singlePerS = await measureRate(CLAIMS_ONE_BY_ONE, 1, (index) => claim(`single-${index}`));
  await runner.stop();
  rmSync(folder, { recursive: true });
  return { groupedPerS, singlePerS };
}

export async function claimsBench(): Promise<readonly Figure[]> {
  const { groupedPerS, singlePerS } = await measureLogClaims();
  return withDeployment(3, 1, async (deployment) => {
    await deployment.startService({
      name: 'service-1',
      service: BENCH_SERVICE,
      durationMs: 2,
      capacity: 1000,
    });
    await waitForBackendServers(deployment, 1);
    const address = deployment.addresses[3] ?? '';
    const call = async (key: string, needsClaim: boolean) => {
      const headers = { 'idempotency-key': key, 'spoolplank-repeatable': String(!needsClaim) };
      const startedMs = performance.now();
      const { status } = await callService({
        address,
        token: BENCH_TOKEN,
        service: BENCH_SERVICE,
        headers,
      });
      if (status !== 200) throw new Error(`a request was answered with ${status}`);
      return performance.now() - startedMs;
    };
    const plainMs: number[] = [];
    const claimedMs: number[] = [];
    for (let index = 0; index < CALLS; index += 1) {
      plainMs.push(await call(`plain-${index}`, false));
      claimedMs.push(await call(`claimed-${index}`, true));
    }
    const loadedMs: number[] = [];
    const loadedPerS = await measureRate(LOADED_CALLS, LOADED_CONCURRENCY, async (index) => {
      loadedMs.push(await call(`loaded-${index}`, true));
    });
    return [
      { metric: 'log-claims-grouped', value: groupedPerS, unit: 'claims/s' },
      { metric: 'log-claims-one-sync-each', value: singlePerS, unit: 'claims/s' },
      {
        metric: 'grouping-gain',
        value: groupedPerS / singlePerS,
        unit: 'ratio',
        bound: { atLeast: 3 },
      },
      { metric: 'request-p50-without-claim', value: percentile(plainMs, 0.5), unit: 'ms' },
      { metric: 'request-p50-with-claim', value: percentile(claimedMs, 0.5), unit: 'ms' },
      { metric: 'request-p99-with-claim', value: percentile(claimedMs, 0.99), unit: 'ms' },
      { metric: 'claimed-requests-loaded', value: loadedPerS, unit: 'requests/s' },
      { metric: 'claimed-request-p99-loaded', value: percentile(loadedMs, 0.99), unit: 'ms' },
    ];
  });
}
