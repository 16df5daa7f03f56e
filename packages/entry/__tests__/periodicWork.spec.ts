import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberFact } from '@spoolplank/membership';
import { createPeriodicWork } from '../src/periodicWork';
import { createSlotClient } from '../src/slots/slotClient';
import { createVirtualTime } from './virtualTime';

/** The periodic work of one entry that holds a slot, or none, with a count of its wake-ups. */
function createSetting({ hasSlot = false } = {}) {
  const time = createVirtualTime();
  const { clock } = time;
  const sentAtMs: number[] = [];
  const checkedAtMs: number[] = [];
  const slot = { ticket: 't', headId: 'e', size: 1 };
  let wakeUps = 0;
  let openRuns = 0;
  let sweeps = 0;
  const slots = createSlotClient({
    clock,
    holder: 'h0/1',
    dataCentre: 'a',
    rank: {
      find: () => ({ host: 'h1', peerPort: 1 }) as MemberFact,
      recordAnswer() {},
      recordTimeout() {},
      recordUnavailable() {},
    } as never,
    call() {
      sentAtMs.push(clock.nowMs());
      return Promise.resolve({ kind: 'listed' } as never);
    },
    listHeld: () => (hasSlot ? [slot] : []),
    listAvoided: () => [],
    schedule: time.schedule,
    listClosed: () => [],
    listLimits: () => [],
    onUnlimited() {},
    onFailure() {},
  });
  const work = createPeriodicWork({
    clock,
    schedule(run, delayMs) {
      time.schedule(() => {
        wakeUps += 1;
        run();
      }, delayMs);
    },
    onTick() {},
    slots,
    crashes: {
      get isFollowing() {
        return openRuns > 0;
      },
      tick() {
        checkedAtMs.push(clock.nowMs());
      },
    },
    sweep() {
      sweeps += 1;
    },
  });
  return {
    ...time,
    work,
    slots,
    sentAtMs,
    checkedAtMs,
    wakeUps: () => wakeUps,
    sweeps: () => sweeps,
    setOpenRuns(count: number) {
      openRuns = count;
      work.watchCrashes();
    },
  };
}

describe('the periodic work of an entry', () => {
  it('wakes an idle entry five times a second, and never after the entry has stopped', async () => {
    const { work, pass, wakeUps, sweeps } = createSetting();
    work.start();
    await pass(10_000);
    assert.equal(wakeUps(), 50);
    assert.equal(sweeps(), 1);
    work.stop();
    await pass(10_000);
    assert.equal(wakeUps(), 51);
  });

  it('renews leases each second, although the ticks do not fall on that time', async () => {
    const { work, slots, pass, sentAtMs, wakeUps } = createSetting({ hasSlot: true });
    work.start();
    await pass(130);
    slots.recordReleased('a', 'other');
    await pass(10_000);
    const gapsMs = sentAtMs.slice(1).map((atMs, index) => atMs - (sentAtMs[index] ?? 0));
    assert.deepEqual(
      gapsMs,
      Array.from({ length: 9 }, () => 1000),
    );
    assert.ok(wakeUps() <= 60, `${wakeUps()} wake-ups`);
  });

  it('checks open runs every 40 ms while there are any, and not at all otherwise', async () => {
    const { work, pass, setOpenRuns, checkedAtMs, clock, wakeUps } = createSetting();
    work.start();
    await pass(1010);
    assert.deepEqual(checkedAtMs, []);
    const sinceMs = clock.nowMs();
    setOpenRuns(1);
    setOpenRuns(2);
    await pass(100);
    assert.deepEqual(
      checkedAtMs.map((atMs) => atMs - sinceMs),
      [40, 80],
    );
    setOpenRuns(0);
    await pass(1000);
    assert.equal(checkedAtMs.length, 3);
    assert.equal(wakeUps(), 13, 'ten ticks and three checks');
  });
});
