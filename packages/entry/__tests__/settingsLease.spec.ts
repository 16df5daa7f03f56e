import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { SettingsPull, SettingsPullReply } from '@spoolplank/controller';
import { createMetrics, delay } from '@spoolplank/node';
import { DEFAULT_TIMINGS } from '@spoolplank/settings';
import { createSeededRandom } from '@spoolplank/shared';
import type { VmContext } from '@spoolplank/vm';
import type { ControlCallOptions, ControlClient } from '../src/sessions/controlClient';
import { createSettingsMirror } from '../src/sessions/settingsMirror';

const STEP_MS = 10;
const RUN_MS = 20_000;
const LOGGER = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

/** Runs a mirror whose n-th pull is answered or not; returns for how long it was not confirmed. */
async function measureStaleMs(
  isAnswered: (pull: number, usesNewConnection: boolean) => boolean,
): Promise<number> {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 100_000 });
  const clock = { nowMs: () => Date.now(), steadyMs: () => Date.now(), wallMs: () => Date.now() };
  let pulls = 0;
  const control: ControlClient = {
    async call<Result>(_method: string, params: unknown, options: ControlCallOptions = {}) {
      const { waitMs } = params as SettingsPull;
      pulls += 1;
      if (!isAnswered(pulls, options.usesNewConnection ?? false)) {
        await delay(options.tryTimeoutMs ?? 0);
        throw new Error('no answer');
      }
      await delay(waitMs);
      const { settingsLeaseMs: leaseMs } = DEFAULT_TIMINGS;
      const delta = { kind: 'changes', changes: [] } as const;
      const reply: SettingsPullReply = { version: 1, waitedMs: waitMs, leaseMs, delta };
      return reply as Result;
    },
  };
  const vm = { vmId: 'vm1', dataCentre: 'dc1', roles: ['entry'] };
  const context = {
    clock,
    metrics: createMetrics(),
    logger: LOGGER,
    timings: DEFAULT_TIMINGS,
    random: createSeededRandom(1),
    settings: { vm, peers: [] },
  } as unknown as VmContext;
  const mirror = createSettingsMirror({ context, control });
  await mirror.start();
  let staleMs = 0;
  for (let passedMs = 0; passedMs < RUN_MS; passedMs += STEP_MS) {
    for (let turn = 0; turn < 3; turn += 1) await nextTurn();
    if (!mirror.isFresh()) staleMs += STEP_MS;
    mock.timers.tick(STEP_MS);
  }
  mirror.stop();
  mock.timers.reset();
  return staleMs;
}

describe('the lease on the settings', () => {
  it('does not run out while every pull is answered', async () => {
    assert.ok((await measureStaleMs(() => true)) <= 1000 + STEP_MS);
  });

  it('does not run out when a pull gets no answer', async () => {
    const always = await measureStaleMs(() => true);
    assert.equal(await measureStaleMs((pull) => pull !== 4), always);
    assert.equal(await measureStaleMs((pull) => pull % 4 !== 0), always);
  });

  it('does not run out when all pooled connections are silent', async () => {
    const always = await measureStaleMs(() => true);
    const isAnswered = (pull: number, usesNewConnection: boolean) =>
      usesNewConnection || pull < 4 || pull > 20;
    assert.equal(await measureStaleMs(isAnswered), always);
  });

  it('does not run out when two pulls in a row get no answer', async () => {
    const always = await measureStaleMs(() => true);
    assert.equal(await measureStaleMs((pull) => pull !== 4 && pull !== 5), always);
  });
});
