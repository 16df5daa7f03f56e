import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createReadingGaps } from '../src/admission/readingGaps';

const TICK_MS = 200;
/** Bytes may be under way, or wait for a process that runs, for this long. */
const DELIVERY_MS = 300;

function createSetting() {
  const clock = createManualClock(100_000);
  const events: string[] = [];
  const log = { info: (event: string) => events.push(event) };
  const gaps = createReadingGaps({ clock, log, metrics: createMetrics() });
  function run(durationMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
      clock.advance(TICK_MS);
      gaps.mark();
    }
  }
  const read = (): number => gaps.sentAfterMs(clock.nowMs());
  run(2000);
  return { clock, gaps, events, run, read };
}

describe('the time at which a request was sent', () => {
  it('is just before it was read by a process that runs', () => {
    const { clock, gaps, events, run, read } = createSetting();
    assert.equal(read(), clock.steadyMs() - DELIVERY_MS);
    const arrivedAtMs = clock.nowMs();
    const arrivedSteadyMs = clock.steadyMs();
    run(1000);
    assert.equal(gaps.sentAfterMs(arrivedAtMs), arrivedSteadyMs - DELIVERY_MS);
    assert.deepEqual(events, []);
  });

  // After a stop, Node.js may read sockets before it runs timers, or after.
  ['timers', 'sockets'].forEach((first) => {
    it(`is before the stop of a process that reads its ${first} first`, () => {
      const { clock, gaps, events, read } = createSetting();
      const stoppedAtMs = clock.steadyMs();
      clock.advance(4000);
      const arrivedAtMs = clock.nowMs();
      if (first === 'timers') gaps.mark();
      clock.advance(5);
      gaps.mark();
      assert.equal(gaps.sentAfterMs(arrivedAtMs), stoppedAtMs - DELIVERY_MS);
      assert.equal(read(), stoppedAtMs - DELIVERY_MS);
      assert.deepEqual(events, ['reading-gap']);
    });
  });

  it('may be before the stop until the process had as long to read', () => {
    const { clock, gaps, run, read } = createSetting();
    const stoppedAtMs = clock.steadyMs();
    clock.advance(1000);
    gaps.mark();
    run(800);
    assert.equal(read(), stoppedAtMs - DELIVERY_MS);
    run(400);
    assert.equal(read(), clock.steadyMs() - DELIVERY_MS);
  });

  it('may be before the first stop of a process that is stopped again before it has read', () => {
    const { clock, gaps, run, read } = createSetting();
    const stoppedAtMs = clock.steadyMs();
    clock.advance(1000);
    gaps.mark();
    clock.advance(5000);
    gaps.mark();
    run(800);
    assert.equal(read(), stoppedAtMs - DELIVERY_MS);
  });

  it('is not after the suspension of a VM, during which the steady clock stands still', () => {
    const { clock, gaps, run, read } = createSetting();
    const suspendedAtMs = clock.steadyMs();
    clock.suspend(4000);
    gaps.mark();
    run(1000);
    assert.equal(read(), suspendedAtMs - DELIVERY_MS);
  });
});
