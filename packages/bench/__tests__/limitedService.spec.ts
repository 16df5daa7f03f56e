import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { delay } from '@spoolplank/node';
import { callService, waitForBackendServers } from '..';
import type { Deployment, RunningFake } from '..';
import { KALAHARI_TOKEN, SERVICE, startReadyDeployment } from './fixtures';

const LIMIT_PER_S = 3;
const CONTROL_VMS = 3;
const ENTRY_VMS = 3;
const WINDOW_MS = 4000;
const MS_PER_S = 1000;
const CALLING_MS = 7000;
const CALL_INTERVAL_MS = 40;

interface TimedAnswer {
  readonly atMs: number;
  readonly status: number;
  readonly servedBy: string;
  readonly retryAfterS: number;
}

describe('a plain service with a server that announces a rate limit', () => {
  let deployment: Deployment;
  let services: readonly RunningFake[];

  before(async () => {
    deployment = await startReadyDeployment(CONTROL_VMS, ENTRY_VMS);
    services = await Promise.all(
      ['service-1', 'service-2'].map((name) =>
        deployment.startService({ name, service: SERVICE, announceIntervalMs: 300 }),
      ),
    );
    await waitForBackendServers(deployment, 2);
  });

  after(() => deployment.stop());

  async function call(count: number): Promise<TimedAnswer> {
    const answer = await callService({
      address: deployment.addresses[CONTROL_VMS + (count % ENTRY_VMS)] ?? '',
      token: KALAHARI_TOKEN,
      service: SERVICE,
      path: '/look',
    });
    const { served = '' } = JSON.parse(answer.body.toString('utf8')) as {
      readonly served?: string;
    };
    const retryAfterS = Number(answer.headers['retry-after'] ?? 0);
    return { atMs: performance.now(), status: answer.status, servedBy: served, retryAfterS };
  }

  /** Calls the entry VMs round-robin for a time. */
  async function callFor(durationMs: number): Promise<readonly TimedAnswer[]> {
    const answers: Promise<TimedAnswer>[] = [];
    const endsAtMs = performance.now() + durationMs;
    while (performance.now() < endsAtMs) {
      answers.push(call(answers.length));
      await delay(CALL_INTERVAL_MS);
    }
    return Promise.all(answers);
  }

  function maxCountInWindow(times: readonly number[]): number {
    const counts = times.map(
      (endMs) => times.filter((atMs) => atMs > endMs - WINDOW_MS && atMs <= endMs).length,
    );
    return Math.max(0, ...counts);
  }

  it('sends it no more from all VMs together, and serves callers by the other', async () => {
    await services[0]?.post('/-/faults', { limitPerS: LIMIT_PER_S });
    const answers = await callFor(CALLING_MS);
    const startedAtMs = answers[0]?.atMs ?? 0;
    assert.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
    const times = answers
      .filter(({ servedBy, atMs }) => servedBy === 'service-1' && atMs > startedAtMs + MS_PER_S)
      .map(({ atMs }) => atMs);
    const allowed = (1.1 * LIMIT_PER_S * WINDOW_MS) / MS_PER_S + 2;
    assert.ok(times.length > 0, 'the limited server received no request');
    const maxCount = maxCountInWindow(times);
    assert.ok(maxCount <= allowed, `${maxCount} of ${allowed} in a window`);
  });

  it('refuses requests above the limits of all servers at once, and says when to retry', async () => {
    await services[1]?.post('/-/faults', { limitPerS: LIMIT_PER_S });
    const answers = await callFor(CALLING_MS);
    const startedAtMs = answers[0]?.atMs ?? 0;
    const steady = answers.filter(({ atMs }) => atMs > startedAtMs + 2 * MS_PER_S);
    const served = steady.filter(({ status }) => status === 200);
    const refused = steady.filter(({ status }) => status !== 200);
    const steadyS = (CALLING_MS - 2 * MS_PER_S) / MS_PER_S;
    const allowed = 2 * (1.1 * LIMIT_PER_S * steadyS + 2);
    assert.ok(served.length <= allowed, `${served.length} of ${allowed} served`);
    assert.ok(served.length >= 0.8 * 2 * LIMIT_PER_S * steadyS, `${served.length} served`);
    assert.ok(refused.length > 0, 'no request was refused');
    refused.forEach(({ retryAfterS }) => assert.ok(retryAfterS > 0, 'no retry-after header'));
  });
});
