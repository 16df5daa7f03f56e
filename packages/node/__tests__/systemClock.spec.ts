import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSystemClock } from '../src/systemClock';

/** Creates a machine whose two clocks are set by the test. */
function createManualMachine() {
  let steadyMs = 1000;
  let wallMs = 1_700_000_000_000;
  let pendingInterruptsMs: readonly number[] = [];
  const clock = createSystemClock({
    steadyMs: () => steadyMs,
    wallMs() {
      // The process may be preempted between two readings.
      const [interruptMs = 0, ...rest] = pendingInterruptsMs;
      pendingInterruptsMs = rest;
      steadyMs += interruptMs;
      wallMs += interruptMs;
      return wallMs;
    },
  });
  return {
    clock,
    advance(durationMs: number) {
      steadyMs += durationMs;
      wallMs += durationMs;
    },
    suspend(durationMs: number) {
      wallMs += durationMs;
    },
    stepWall(byMs: number) {
      wallMs += byMs;
    },
    interruptReadings(...durationsMs: readonly number[]) {
      pendingInterruptsMs = durationsMs;
    },
  };
}

describe('the system clock', () => {
  it('includes the time for which the machine was suspended, from its first reading on', () => {
    for (const suspendedMs of [1000, 5000, 30_000]) {
      const { clock, advance, suspend } = createManualMachine();
      const beforeMs = clock.nowMs();
      const steadyBeforeMs = clock.steadyMs();
      advance(100);
      suspend(suspendedMs);
      assert.equal(clock.nowMs() - beforeMs, 100 + suspendedMs);
      assert.equal(clock.steadyMs() - steadyBeforeMs, 100);
      advance(40);
      assert.equal(clock.nowMs() - beforeMs, 140 + suspendedMs);
    }
  });

  it('adds up several suspensions', () => {
    const { clock, advance, suspend } = createManualMachine();
    const beforeMs = clock.nowMs();
    suspend(2000);
    clock.nowMs();
    advance(10);
    suspend(3000);
    assert.equal(clock.nowMs() - beforeMs, 5010);
  });

  it('never goes back, and detects a later suspension, when the wall clock is stepped back', () => {
    const { clock, advance, stepWall, suspend } = createManualMachine();
    const beforeMs = clock.nowMs();
    stepWall(-2000);
    assert.equal(clock.nowMs() - beforeMs, 0);
    advance(10);
    suspend(1000);
    assert.equal(clock.nowMs() - beforeMs, 1010);
  });

  it('moves nowMs but not steadyMs when the wall clock is stepped forward', () => {
    const { clock, stepWall } = createManualMachine();
    const beforeMs = clock.nowMs();
    const steadyBeforeMs = clock.steadyMs();
    stepWall(2000);
    assert.equal(clock.nowMs() - beforeMs, 2000);
    assert.equal(clock.steadyMs() - steadyBeforeMs, 0);
  });

  it('does not count slewing of the wall clock as a suspension', () => {
    const { clock, advance, stepWall } = createManualMachine();
    const beforeMs = clock.nowMs();
    for (let second = 0; second < 600; second += 1) {
      advance(1000);
      stepWall(0.5);
      clock.nowMs();
    }
    assert.equal(clock.nowMs() - beforeMs, 600_000);
  });

  it('does not count a preemption between its readings as a suspension', () => {
    const { clock, advance, interruptReadings } = createManualMachine();
    const beforeMs = clock.nowMs();
    advance(10);
    interruptReadings(400, 300);
    clock.nowMs();
    assert.equal(clock.nowMs() - beforeMs, 710);
  });
});
