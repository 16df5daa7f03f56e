import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { createAdvertisedLimits } from '../src/namedLimits';
import { createRetrySchedule } from '../src/retryTurns';

function createVms(count: number) {
  const clock = createManualClock(100_000);
  const random = createSeededRandom(1);
  const vms = Array.from({ length: count }, () =>
    createAdvertisedLimits({ clock, random, countVms: () => count }),
  );
  return { clock, vms };
}

describe('the own quota of a VM for a server with a rate limit', () => {
  for (const count of [2, 11, 78, 300]) {
    it(`adds up to about a seventh of the limit over ${count} VMs from the start`, () => {
      const { clock, vms } = createVms(count);
      vms.forEach((limits) => limits.recordLimit('s1', 20));
      let sent = 0;
      for (let passedMs = 0; passedMs < 4000; passedMs += 20) {
        clock.advance(20);
        sent += vms.filter((limits) => limits.tryConsumeOwnQuota('s1')).length;
      }
      // The initial fill is random, so a tolerance of three standard deviations is added.
      const mean = 20 * 4 * 0.15;
      const allowed = mean + 3 * Math.sqrt(mean);
      assert.ok(sent <= allowed, `${sent} of ${allowed}`);
      assert.ok(sent > 0);
    });
  }

  it('does not accumulate while the account is reachable', () => {
    const { clock, vms } = createVms(300);
    vms.forEach((limits) => limits.recordLimit('s1', 20));
    clock.advance(3_000_000);
    const sent = vms.filter((limits) => limits.tryConsumeOwnQuota('s1')).length;
    assert.equal(sent, 0);
  });

  it('is unlimited for a server that announced no limit', () => {
    const { vms } = createVms(1);
    assert.equal(vms[0]?.tryConsumeOwnQuota('s1'), true);
    assert.equal(vms[0]?.maySendWithoutPermit('s1'), true);
  });

  it('is limited until the account ends the limit, and again after the next announcement', () => {
    const { clock, vms } = createVms(1);
    const [limits] = vms;
    assert.equal(limits?.recordLimit('s1', 3), null);
    assert.equal(limits?.recordLimit('s1', 4), 3);
    clock.advance(100);
    assert.equal(limits?.end('s1', 200), false, 'announced after the account was asked');
    assert.equal(limits?.limitPerSOf('s1'), 4);
    assert.equal(limits?.end('s1', 50), true);
    assert.equal(limits?.limitPerSOf('s1'), null);
    assert.equal(limits?.end('s1', 50), false);
  });

  it('is removed after a minute without an announcement', () => {
    const { clock, vms } = createVms(1);
    vms[0]?.recordLimit('s1', 3);
    clock.advance(61_000);
    vms[0]?.sweep();
    assert.deepEqual(vms[0]?.list(), []);
  });
});

describe('the retry turns of callers of a rate-limited service', () => {
  it('are consecutive and follow the requests that are queued already', () => {
    const clock = createManualClock(100_000);
    const turns = createRetrySchedule({ clock });
    const given = [0, 1, 2].map(() => turns.reserveDelayMs('app', 4, 3));
    assert.deepEqual(given, [1000, 1250, 1500]);
    assert.equal(turns.reserveDelayMs('other', 4, 0), 250);
    clock.advance(5000);
    assert.equal(turns.reserveDelayMs('app', 4, 0), 250);
  });

  it('are at most ten seconds ahead', () => {
    const turns = createRetrySchedule({ clock: createManualClock(100_000) });
    const given = Array.from({ length: 50 }, () => turns.reserveDelayMs('app', 1, 0));
    assert.equal(Math.max(...given), 10_000);
  });
});
