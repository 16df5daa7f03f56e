import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createSlotForecast, longestWaitMs, willMissQueueDeadline } from '../src/slotForecast';

const HELD_MS = 2000;
const WAIT = { ahead: 0, inTimeForMs: 400, isOvertaken: false };

/** Measures slots on chain `c1`, and on `c2` until it is removed. */
function createMeasured(releases = 40) {
  const clock = createManualClock(100_000);
  const chains = new Set(['c1', 'c2']);
  const forecast = createSlotForecast({ clock, hasChain: (headId) => chains.has(headId) });
  function hold(count: number, headId: string, heldMs: number): void {
    const slots = Array.from({ length: count }, (_, index) => `${clock.nowMs()}/${index}`);
    slots.forEach((ticket) => forecast.recordGrant('vm', ticket, headId));
    clock.advance(heldMs);
    slots.forEach((ticket) => forecast.recordEnded('vm', ticket));
  }
  if (releases > 0) hold(releases, 'c1', HELD_MS);
  clock.advance(1000);
  return { clock, chains, forecast, hold };
}

describe('a wait judged by the rate of grants', () => {
  it('is hopeless when the requests ahead take longer than the remaining time', () => {
    assert.equal(willMissQueueDeadline({ ahead: 11, slotsPerS: 10, remainingMs: 1000 }), true);
    assert.equal(willMissQueueDeadline({ ahead: 8, slotsPerS: 10, remainingMs: 1000 }), false);
  });

  it('is never hopeless without a known slot rate, as a chain may come back', () => {
    assert.equal(willMissQueueDeadline({ ahead: 30, slotsPerS: 0, remainingMs: 1000 }), false);
  });

  it('is judged by a rate limit however low it is, as a limit is known exactly', () => {
    const forecast = { ahead: 0, slotsPerS: 0, remainingMs: 1000 };
    assert.equal(willMissQueueDeadline({ ...forecast, limitedPerS: 0.5 }), true);
    assert.equal(willMissQueueDeadline({ ...forecast, limitedPerS: 2 }), false);
    assert.equal(willMissQueueDeadline({ ...forecast, ahead: 2, limitedPerS: 2 }), true);
    assert.equal(willMissQueueDeadline({ ...forecast, limitedPerS: null }), false);
  });
});

describe('the releases of slots', () => {
  /**
   * Guards against a list that grows for as long as slots are not scarce, as it was emptied by
   * forecasts only: the first one after a day would count millions of releases at once.
   */
  it('are counted while no forecast is made', () => {
    const clock = createManualClock(100_000);
    let counted = 0;
    const hasChain = () => {
      counted += 1;
      return true;
    };
    const forecast = createSlotForecast({ clock, hasChain });
    for (let index = 0; index < 5000; index += 1) {
      forecast.recordGrant('vm', `r${index}`, 'c1');
      clock.advance(25);
      forecast.recordEnded('vm', `r${index}`);
    }
    const before = counted;
    assert.equal(forecast.holdingMs(), 25);
    assert.ok(counted - before <= 256, `${counted - before} of 5000 are left`);
  });
});

describe('the longest wait for a slot', () => {
  it('is 0.6 of the time after which the caller leaves', () => {
    const waits = [
      longestWaitMs({ targetLatencyMs: 500, targetGapMs: 250 }),
      longestWaitMs({ targetLatencyMs: 1200, targetGapMs: 250 }),
      longestWaitMs({ targetLatencyMs: 500, targetGapMs: 500 }),
    ];
    assert.deepEqual(waits, [1200, 2880, 2400]);
  });
});

describe('the forecast of the time to a slot', () => {
  it('is zero while slots are free, also before anything was measured', () => {
    const { forecast } = createMeasured(0);
    assert.equal(forecast.waitMs(WAIT, { capacity: 100, inUse: 50 }), 0);
  });

  it('is unknown for full chains until enough slots were released', () => {
    assert.equal(createMeasured(19).forecast.waitMs(WAIT, { capacity: 100, inUse: 94 }), null);
    assert.notEqual(createMeasured(20).forecast.waitMs(WAIT, { capacity: 100, inUse: 94 }), null);
  });

  it('follows the slots in use at once when chains are lost', () => {
    const { forecast } = createMeasured();
    // 200 slots of 2 s are released at 100 a second, and 100 of them at 50 a second.
    const before = forecast.waitMs({ ...WAIT, ahead: 49 }, { capacity: 200, inUse: 200 });
    const after = forecast.waitMs({ ...WAIT, ahead: 49 }, { capacity: 100, inUse: 100 });
    assert.deepEqual([before, after], [500, 1000]);
  });

  it('does not take the slots that end with a lost chain for short ones', () => {
    const { clock, chains, forecast, hold } = createMeasured();
    hold(100, 'c2', 100);
    chains.delete('c2');
    clock.advance(1000);
    assert.equal(forecast.holdingMs(), HELD_MS);
  });

  it('ignores slots that were rejected, unused, or never seen to end', () => {
    const { clock, forecast, hold } = createMeasured();
    hold(50, 'c1', 3);
    forecast.recordGrant('vm', 'unused', 'c1');
    forecast.recordCancelled('vm', 'unused');
    forecast.recordGrant('lost', 'lost', 'c1');
    clock.advance(10_000);
    forecast.recordGrant('other', 'one', 'c1');
    forecast.recordListed('lost', { sequence: 1, slots: [] });
    clock.advance(1000);
    assert.equal(forecast.holdingMs(), HELD_MS);
  });

  it('measures a slot that its holder no longer lists, also when lists arrive late', () => {
    const { clock, forecast } = createMeasured(0);
    const slots = Array.from({ length: 20 }, (_, index) => ({
      ticket: `t${index}`,
      headId: 'c1',
      size: 1,
    }));
    slots.forEach(({ ticket }) => forecast.recordGrant('vm', ticket, 'c1'));
    clock.advance(500);
    forecast.recordListed('vm', { sequence: 2, slots });
    forecast.recordListed('vm', { sequence: 1, slots: [] });
    clock.advance(500);
    forecast.recordListed('vm', { sequence: 3, slots: [] });
    clock.advance(1000);
    assert.equal(forecast.holdingMs(), 1000);
  });

  it('is infinite for a late request while those in time take all slots', () => {
    const { clock, forecast } = createMeasured();
    const supply = { capacity: 100, inUse: 100 };
    const late = { ahead: 0, inTimeForMs: -100, isOvertaken: true };
    assert.equal(forecast.waitMs(late, supply), 20);
    for (let ms = 0; ms < 8000; ms += 10) {
      forecast.recordInTime();
      clock.advance(10);
    }
    assert.equal(forecast.waitMs(late, supply), Number.POSITIVE_INFINITY);
    assert.equal(forecast.waitMs({ ...late, isOvertaken: false }, supply), 20, 'a retry');
  });
});
