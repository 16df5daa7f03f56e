import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_POLICY } from '@spoolplank/settings';
import type { Policy } from '@spoolplank/settings';
import { createManualClock } from '@spoolplank/shared';
import type { CallerRequest } from '../src/sessions/callerRequest';
import { createGate } from '../src/sessions/gate';
import type { SettingsMirror } from '../src/sessions/settingsMirror';

function createFixture(overrides: Partial<Policy>) {
  const policy: Policy = { ...DEFAULT_POLICY, ...overrides };
  const clock = createManualClock(1000);
  const mirror = { policyOf: () => policy } as unknown as SettingsMirror;
  const gate = createGate(mirror, clock);
  let requests = 0;
  const releases: (() => void)[] = [];

  function createCaller(organisation: string, deadlineMs = 10_000): CallerRequest {
    requests += 1;
    return {
      requestId: `r${requests}`,
      organisation,
      service: 's',
      policy,
      receivedAtMs: clock.nowMs(),
      statedDeadlineMs: clock.nowMs() + deadlineMs,
      isDeadlineForStart: false,
      isRepeatable: true,
      idempotencyKey: undefined,
      keyIssuedWallMs: undefined,
    };
  }

  return {
    clock,
    gate,
    createCaller,
    /** Runs until it is released; resolves with the name. */
    run: (caller: CallerRequest) =>
      gate.run(
        caller,
        () =>
          new Promise<string>((resolve) => {
            releases.push(() => resolve(caller.requestId));
          }),
      ),
    async release() {
      releases.shift()?.();
      for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    },
  };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

describe('gate', () => {
  it('refuses at once, as not run and with a time, what cannot meet its deadline', async () => {
    const { gate, clock, createCaller, run, release } = createFixture({ maxInFlight: 1 });
    const first = run(createCaller('a'));
    await settle();
    clock.advance(200);
    await release();
    await first;
    const running = run(createCaller('a'));
    const waiting = run(createCaller('a'));
    await settle();
    assert.throws(() => gate.check(createCaller('a', 300)), {
      code: 'overloaded',
      outcome: 'not-run',
      retryAfterMs: 400,
    });
    gate.check(createCaller('a', 5000));
    await release();
    await running;
    await release();
    await waiting;
  });

  it('lets the newest request of who has most waiting give way in a full queue', async () => {
    const { createCaller, run, release } = createFixture({ maxInFlight: 1, maxQueueLength: 3 });
    const running = run(createCaller('flood'));
    await settle();
    const waiting = [1, 2, 3].map(() => run(createCaller('flood')));
    await settle();
    const newest = waiting.at(-1);
    assert.ok(newest);
    const turnedAway = assert.rejects(newest, { code: 'overloaded', outcome: 'not-run' });
    const small = run(createCaller('small'));
    await turnedAway;
    await assert.rejects(run(createCaller('flood')), { code: 'overloaded' });
    for (let slot = 0; slot < 4; slot += 1) await release();
    assert.equal((await Promise.all([running, small, ...waiting.slice(0, 2)])).length, 4);
  });

  it('spends no slot on a request that waited until it must be late', async () => {
    const { clock, createCaller, run, release, gate } = createFixture({ maxInFlight: 1 });
    const quick = run(createCaller('a'));
    await settle();
    clock.advance(10);
    await release();
    await quick;
    const first = run(createCaller('a'));
    await settle();
    const second = run(createCaller('a', 1000));
    await settle();
    clock.advance(950);
    const late = assert.rejects(second, { code: 'overloaded', outcome: 'not-run' });
    await release();
    await first;
    await late;
    assert.equal(gate.running, 0);
  });

  it('asks only for the first token in time where a session states no deadline', async () => {
    const { gate, clock, createCaller, run, release } = createFixture({ maxInFlight: 2 });
    const first = run(createCaller('a'));
    await settle();
    clock.advance(200);
    await release();
    await first;
    const running = [run(createCaller('a')), run(createCaller('a'))];
    await settle();
    // A slot comes free in 100 ms by estimate; a mean run takes 200 ms.
    assert.throws(() => gate.check(createCaller('a', 300)), { code: 'overloaded' });
    gate.check({ ...createCaller('a', 300), isDeadlineForStart: true });
    await release();
    await release();
    await Promise.all(running);
  });

  it('takes nothing for a branch that is disabled', async () => {
    const { createCaller, run } = createFixture({ isEnabled: false });
    await assert.rejects(run(createCaller('a')), { code: 'forbidden', outcome: 'not-run' });
  });
});
