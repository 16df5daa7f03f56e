import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FACT_KEYS } from '@spoolplank/membership';
import { SpoolplankError } from '@spoolplank/shared';
import type { Permit, PermitFinder, PermitOutcome } from '../src/limits/permitFinder';
import { createBackoffSetting, LIMIT_PER_S, SERVERS } from './backoffFixtures';

/** Creates a permit finder that grants one permit for each given server, and records its calls. */
function createPermits(permitted: readonly string[], outcome?: PermitOutcome) {
  const calls: string[] = [];
  const left = [...permitted];
  const ended: Permit[] = [];
  const permits: PermitFinder = {
    tryAcquire({ ticket }, servers) {
      calls.push('look');
      const instanceId = servers.find((server) => left.includes(server.instanceId))?.instanceId;
      if (instanceId === undefined) return Promise.resolve(undefined);
      left.splice(left.indexOf(instanceId), 1);
      return Promise.resolve({ instanceId, dataCentre: 'a', ticket });
    },
    acquire() {
      calls.push('wait');
      return Promise.resolve(outcome ?? { kind: 'unavailable' });
    },
    recordEnded: (permit) => ended.push(permit),
  };
  return { calls, ended, permits };
}

type Setting = ReturnType<typeof createBackoffSetting>;

/** Sets the limit of each server, and has the VM receive it once. */
async function nameLimits(setting: Setting, servers: readonly string[]): Promise<void> {
  servers.forEach((id) => setting.serverBehaviours.set(id, 'limited'));
  for (const id of servers) {
    const target = { instanceId: id, address: `${id}:80` };
    setting.limits.recordAnswer(target, { kind: 'named', perS: LIMIT_PER_S }, 0);
  }
}

/** Publishes a limit of each server that this VM did not receive itself. */
function publishLimits(setting: Setting): void {
  const limitsPerS = Object.fromEntries(SERVERS.map((id) => [id, LIMIT_PER_S]));
  setting.table.put(FACT_KEYS.capacity('a', 'vm9'), 1, {
    kind: 'capacity',
    dataCentre: 'a',
    services: {},
    limitsPerS,
  });
}

async function refusalOf(end: Promise<unknown>): Promise<SpoolplankError> {
  const error = await end.then(
    () => assert.fail('it was served'),
    (thrown: unknown) => thrown,
  );
  assert.ok(error instanceof SpoolplankError);
  return error;
}

describe('a VM that knows rate limits of servers', () => {
  for (const kind of ['stream', 'safe', 'once'] as const) {
    it(`sends nothing without a permit beyond its own quota (${kind})`, async () => {
      const setting = createBackoffSetting(kind);
      await nameLimits(setting, SERVERS);
      for (let count = 0; count < 20; count += 1) {
        const error = await refusalOf(setting.send());
        assert.equal(error.outcome, 'not-run');
      }
      assert.deepEqual(setting.sends, []);
      const held = setting.metrics.valueOf('spoolplank_sends_held_back_total', { reason: 'limit' });
      assert.equal(held > 0, kind === 'stream', 'a plain request is not sent as far as that');
    });
  }

  it('sends a request with a permit, and records when it has ended', async () => {
    const { calls, ended, permits } = createPermits(['e2']);
    const setting = createBackoffSetting('safe', permits);
    await nameLimits(setting, SERVERS);
    assert.equal((await setting.send()).outcome, 'served');
    assert.deepEqual(setting.sends, ['e2']);
    assert.deepEqual(calls, ['look']);
    assert.deepEqual(
      ended.map(({ instanceId }) => instanceId),
      ['e2'],
    );
  });

  it('does not wait for a permit while another server has no limit', async () => {
    const { calls, permits } = createPermits([]);
    const setting = createBackoffSetting('safe', permits);
    await nameLimits(setting, ['e1', 'e2']);
    for (let count = 0; count < 10; count += 1) {
      assert.equal((await setting.send()).outcome, 'served');
    }
    assert.deepEqual([...new Set(setting.sends)], ['e3']);
    assert.ok(!calls.includes('wait'));
  });

  it('refuses a request at once if it would wait in vain, with the time to retry', async () => {
    const { permits } = createPermits([], { kind: 'refused', retryInMs: 4321 });
    const setting = createBackoffSetting('safe', permits);
    await nameLimits(setting, SERVERS);
    const error = await refusalOf(setting.send());
    assert.deepEqual([error.code, error.outcome], ['overloaded', 'not-run']);
    assert.equal(error.retryAfterMs, 4321);
    assert.deepEqual(setting.sends, []);
  });

  it('never refuses a request as not run that may have run on another server', async () => {
    const { calls, permits } = createPermits([], { kind: 'refused', retryInMs: 4321 });
    const setting = createBackoffSetting('safe', permits);
    await nameLimits(setting, ['e1', 'e2']);
    setting.serverBehaviours.set('e3', 'fails');
    const end = await setting.send();
    assert.equal(end.outcome, 'failed-there');
    assert.deepEqual(setting.answers, [500]);
    assert.ok(!calls.includes('wait'));
  });

  it('requests a permit for a limit that only other VMs received', async () => {
    const { calls, permits } = createPermits([...SERVERS]);
    const setting = createBackoffSetting('safe', permits);
    publishLimits(setting);
    for (let count = 0; count < SERVERS.length; count += 1) {
      assert.equal((await setting.send()).outcome, 'served');
    }
    assert.equal(calls.length, SERVERS.length);
  });

  it('reports answers without a limit to requests under a limit that only other VMs received', async () => {
    const { permits } = createPermits([...SERVERS]);
    const setting = createBackoffSetting('safe', permits);
    publishLimits(setting);
    const reports: string[] = [];
    setting.limits.onReport(({ directive }) => reports.push(directive.kind));
    for (let count = 0; count < SERVERS.length; count += 1) await setting.send();
    assert.deepEqual(
      reports,
      SERVERS.map(() => 'unnamed'),
    );
  });
});
