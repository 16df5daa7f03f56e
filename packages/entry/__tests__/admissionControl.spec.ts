import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_POLICY } from '@spoolplank/settings';
import type { Policy } from '@spoolplank/settings';
import { createManualClock } from '@spoolplank/shared';
import type { CallerRequest } from '../src/sessions/callerRequest';
import { createAdmissionControl } from '../src/sessions/admissionControl';
import type { SettingsMirror } from '../src/sessions/settingsMirror';

function createFixture(overrides: Partial<Policy>) {
  const policy: Policy = { ...DEFAULT_POLICY, ...overrides };
  const clock = createManualClock(1000);
  const mirror = { policyOf: () => policy } as unknown as SettingsMirror;
  const admissionControl = createAdmissionControl(mirror, clock);
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
      isFirstTokenDeadline: false,
      isRepeatable: true,
      idempotencyKey: undefined,
      keyIssuedWallMs: undefined,
    };
  }

  return {
    clock,
    admissionControl,
    createCaller,
    /** Runs a request until `release` ends it; resolves with the request's id. */
    run: (caller: CallerRequest) =>
      admissionControl.run(
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

describe('admission control', () => {
  it('rejects a request that cannot meet its deadline as not run, with a retry delay', async () => {
    const { admissionControl, clock, createCaller, run, release } = createFixture({
      maxInFlight: 1,
    });
    const first = run(createCaller('a'));
    await settle();
    clock.advance(200);
    await release();
    await first;
    const running = run(createCaller('a'));
    const waiting = run(createCaller('a'));
    await settle();
    assert.throws(() => admissionControl.check(createCaller('a', 300)), {
      code: 'overloaded',
      outcome: 'not-run',
      retryAfterMs: 400,
    });
    admissionControl.check(createCaller('a', 5000));
    await release();
    await running;
    await release();
    await waiting;
  });

  it('evicts the newest request of the organisation with most queued requests from a full queue', async () => {
    const { createCaller, run, release } = createFixture({ maxInFlight: 1, maxQueueLength: 3 });
    const running = run(createCaller('flood'));
    await settle();
    const waiting = [1, 2, 3].map(() => run(createCaller('flood')));
    await settle();
    const newest = waiting.at(-1);
    assert.ok(newest);
    const evicted = assert.rejects(newest, { code: 'overloaded', outcome: 'not-run' });
    const small = run(createCaller('small'));
    await evicted;
    await assert.rejects(run(createCaller('flood')), { code: 'overloaded' });
    for (let slot = 0; slot < 4; slot += 1) await release();
    assert.equal((await Promise.all([running, small, ...waiting.slice(0, 2)])).length, 4);
  });

  it('gives no slot to a queued request that can no longer meet its deadline', async () => {
    const { clock, createCaller, run, release, admissionControl } = createFixture({
      maxInFlight: 1,
    });
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
    assert.equal(admissionControl.running, 0);
  });

  it('applies the deadline to the first token only where a session has no explicit deadline', async () => {
    const { admissionControl, clock, createCaller, run, release } = createFixture({
      maxInFlight: 2,
    });
    const first = run(createCaller('a'));
    await settle();
    clock.advance(200);
    await release();
    await first;
    const running = [run(createCaller('a')), run(createCaller('a'))];
    await settle();
    // The estimated wait for a slot is 100 ms, and the mean run time is 200 ms.
    assert.throws(() => admissionControl.check(createCaller('a', 300)), { code: 'overloaded' });
    admissionControl.check({ ...createCaller('a', 300), isFirstTokenDeadline: true });
    await release();
    await release();
    await Promise.all(running);
  });

  it('rejects requests of a disabled branch', async () => {
    const { createCaller, run } = createFixture({ isEnabled: false });
    await assert.rejects(run(createCaller('a')), { code: 'forbidden', outcome: 'not-run' });
  });
});
