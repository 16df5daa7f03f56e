import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLimitedSite } from './limitFixtures';
import type { LimitedSite, LimitedSiteOptions } from './limitFixtures';
import { targetBound, playSchedule } from './limitSchedules';
import type { Vm } from './slotFixtures';

const USED_SHARE = 0.9;
/** Rate of calls as a multiple of the limit. */
const OVERLOAD_FACTOR = 4;

/** Starts a site on which all VMs know each other and callers have been calling for a while. */
async function start(options: LimitedSiteOptions): Promise<LimitedSite> {
  const site = createLimitedSite(options);
  await site.pass(1500);
  await site.callFor(1400, 20);
  return site;
}

function assertWithinTarget(site: LimitedSite, id = 'c1'): void {
  const excess = site.worstExcess(id, targetBound);
  assert.ok(excess <= 0, `${excess} too many in the worst window`);
}

async function callUnderLimit(site: LimitedSite, perS: number, durationMs: number): Promise<void> {
  site.setLimit('c1', perS);
  await site.callFor(durationMs, perS * OVERLOAD_FACTOR);
}

describe('the rate limit that a server sets', () => {
  for (const vms of [2, 11, 78, 300]) {
    for (const perS of [0.5, 3.2, 30]) {
      it(`is kept by ${vms} VMs together, and used: ${perS} a second`, async () => {
        const site = await start({ vms });
        const windowMs = Math.max(8000, 8000 / perS);
        await callUnderLimit(site, perS, windowMs + 2000);
        assertWithinTarget(site);
        const nowMs = site.clock.nowMs();
        const used = site.usedShare('c1', nowMs - windowMs, nowMs);
        assert.ok(used >= USED_SHARE, `used to ${used}`);
      });
    }
  }

  it('is used up by a single VM that has all callers', async () => {
    const site = await start({ vms: 78 });
    const [only] = site.vms;
    site.setLimit('c1', 3.2);
    await site.callFor(10_000, 13, () => only);
    assertWithinTarget(site);
    const nowMs = site.clock.nowMs();
    assert.ok(site.usedShare('c1', nowMs - 8000, nowMs) >= USED_SHARE);
  });

  it('stays in force when only every other answer contains it', async () => {
    const site = await start({ vms: 11 });
    site.setNamingInterval(2);
    await callUnderLimit(site, 3.2, 20_000);
    assertWithinTarget(site);
  });

  it('is followed when it rises and falls', async () => {
    const site = await start({ vms: 11 });
    for (const perS of [8, 2, 12, 0.5, 6]) await callUnderLimit(site, perS, 6000);
    assertWithinTarget(site);
  });

  it('ends within about a second, without a burst, when answers no longer contain it', async () => {
    const site = await start({ vms: 11 });
    await callUnderLimit(site, 3.2, 6000);
    site.setLimit('c1', null);
    const endedAtMs = site.clock.nowMs();
    await site.callFor(4000, 30);
    const countIn = (fromMs: number, endMs: number) =>
      site
        .arrivalsAt('c1')
        .filter(({ atMs }) => atMs > endedAtMs + fromMs && atMs <= endedAtMs + endMs).length;
    assert.ok(countIn(3000, 4000) >= 24, `${countIn(3000, 4000)} in the fourth second`);
    assert.ok(countIn(0, 1000) <= 10, `${countIn(0, 1000)} in the first second`);
    assert.deepEqual(
      site.vms.map(({ limits }) => limits.limitPerSOf('c1')).filter((perS) => perS !== null),
      [],
      'some VM believes in it still',
    );
  });

  it('ends when only VMs that never received it still get permits', async () => {
    const site = await start({ vms: 11 });
    const [informed] = site.vms;
    site.setLimit('c1', 0.5);
    await site.callFor(4000, 2, () => informed);
    site.setLimit('c1', null);
    await site.callFor(12_000, 10, (up) => up[1 + site.random.nextInt(up.length - 1)]);
    const nowMs = site.clock.nowMs();
    const late = site.arrivalsAt('c1').filter(({ atMs }) => atMs > nowMs - 2000).length;
    assert.ok(late >= 16, `${late} in the last two seconds`);
  });

  it('is not ended by late answers to requests sent before it was set', async () => {
    const site = await start({ vms: 3 });
    const [vm] = site.vms as [Vm];
    const target = { instanceId: 'c1', address: 'c1:1' };
    await callUnderLimit(site, 3.2, 4000);
    const sentAtMs = site.clock.steadyMs() - 4500;
    for (let count = 0; count < 20; count += 1) {
      vm.limits.recordAnswer(target, { kind: 'unnamed' }, sentAtMs);
    }
    await callUnderLimit(site, 3.2, 4000);
    assertWithinTarget(site);
  });

  it('is probed when it is zero, so that its end is noticed', async () => {
    const site = await start({ vms: 11 });
    site.setLimit('c1', 0);
    await site.callFor(1000, 10);
    const knownAtMs = site.clock.nowMs();
    await site.callFor(16_000, 10);
    const asked = site.arrivalsAt('c1').filter(({ atMs }) => atMs > knownAtMs).length;
    assert.ok(asked >= 2 && asked <= 6, `${asked} were sent`);
    site.setLimit('c1', null);
    await site.callFor(16_000, 10);
    const nowMs = site.clock.nowMs();
    const late = site.arrivalsAt('c1').filter(({ atMs }) => atMs > nowMs - 2000).length;
    assert.ok(late >= 16, `${late} in the last two seconds`);
  });

  it('does not affect another server', async () => {
    const site = await start({ vms: 11, servers: ['c1', 'c2'] });
    site.setLimit('c1', 3.2);
    site.outcomes.refused = 0;
    await site.callFor(8000, 20);
    assertWithinTarget(site);
    assert.equal(site.outcomes.refused, 0);
  });

  it('spreads the retry times of refused callers at the rate that it allows', async () => {
    const site = await start({ vms: 11 });
    site.setLimit('c1', 3.2);
    await site.callFor(2000, 13);
    site.outcomes.retryInMs.length = 0;
    await site.callFor(300, 60);
    const turns = [...site.outcomes.retryInMs].sort((a, b) => a - b);
    assert.ok(turns.length >= 5, `${turns.length} were refused`);
    const gaps = turns.slice(1).map((turn, index) => turn - (turns[index] ?? 0));
    assert.ok(Math.min(...gaps) >= 200, `${Math.min(...gaps)} ms apart`);
  });

  it('is kept after the allocator with its account fails, and used again within four seconds', async () => {
    const site = await start({ vms: 11 });
    await callUnderLimit(site, 3.2, 6000);
    site.allocator().isUp = false;
    await site.callFor(4000, 13);
    await site.callFor(4000, 13);
    assertWithinTarget(site);
    const nowMs = site.clock.nowMs();
    const used = site.usedShare('c1', nowMs - 4000, nowMs);
    assert.ok(used >= USED_SHARE, `used to ${used}`);
  });

  it('is kept by the own quotas of VMs that reach no other VM', async () => {
    const site = await start({ vms: 11 });
    await callUnderLimit(site, 3.2, 4000);
    site.vms.forEach((vm) => {
      const cut = vm;
      cut.isPartitioned = true;
      cut.losesAnswers = true;
    });
    const cutAtMs = site.clock.nowMs();
    await site.callFor(12_000, 13);
    assertWithinTarget(site);
    const sent = site.arrivalsAt('c1').filter(({ atMs }) => atMs > cutAtMs + 1000);
    assert.ok(sent.length > 0, 'no VM sent a request');
  });
});

describe('a rate limit under random failures, partitions, restarts and changes', () => {
  for (const [vms, seeds] of [
    [2, 60],
    [11, 60],
    [78, 12],
    [300, 3],
  ] as const) {
    it(`is never exceeded beyond its slack by ${vms} VMs, in ${seeds} of them`, async () => {
      for (let seed = 1; seed <= seeds; seed += 1) {
        const excess = await playSchedule(vms, seed);
        assert.ok(excess <= 0, `seed ${seed}: ${excess} too many in the worst window`);
      }
    });
  }

  it('is never exceeded beyond its slack by VMs that restart without a configuration', async () => {
    for (const [vms, configuredAfterMs] of [
      [2, 600],
      [3, 600],
      [3, 3000],
      [11, 600],
    ] as const) {
      for (let seed = 1; seed <= 15; seed += 1) {
        const excess = await playSchedule(vms, seed, configuredAfterMs);
        assert.ok(excess <= 0, `${vms} VMs, seed ${seed}: ${excess} too many in the worst window`);
      }
    }
  });
});
