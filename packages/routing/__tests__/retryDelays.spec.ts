import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { createRetryDelays } from '../src/retryDelays';

const REMAINING_MS = 20_000;

function createDelays() {
  const clock = createManualClock();
  return { clock, delays: createRetryDelays({ clock, random: createSeededRandom(7) }) };
}

const drawMany = (draw: () => number) => Array.from({ length: 200 }, draw);

describe('the retry-after time', () => {
  it('increases with the duration of the overload', () => {
    const { clock, delays } = createDelays();
    delays.recordOverload();
    const early = Math.max(...drawMany(() => delays.retryAfterMs(REMAINING_MS)));
    clock.advance(3500);
    const late = Math.min(...drawMany(() => delays.retryAfterMs(REMAINING_MS)));
    assert.ok(late > early, `${late} and ${early}`);
  });

  it('differs by up to about its mean between callers refused at the same time', () => {
    const { clock, delays } = createDelays();
    delays.recordOverload();
    clock.advance(2000);
    const drawn = drawMany(() => delays.retryAfterMs(REMAINING_MS));
    assert.ok(Math.max(...drawn) - Math.min(...drawn) > 1900);
  });

  it('is short again after a second with free capacity', () => {
    const { clock, delays } = createDelays();
    delays.recordOverload();
    clock.advance(4000);
    delays.recordFreeCapacity();
    clock.advance(1001);
    delays.recordFreeCapacity();
    delays.recordOverload();
    assert.ok(Math.max(...drawMany(() => delays.retryAfterMs(REMAINING_MS))) <= 1500);
  });

  it('never exceeds a third of the remaining time of the caller', () => {
    const { delays } = createDelays();
    assert.ok(drawMany(() => delays.retryAfterMs(600)).every((ms) => ms <= 200));
  });
});
