import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSystemClock } from '../src/systemClock';

/** A machine whose two times are moved by hand. */
function createMachine() {
  let steadyMs = 1000;
  let wallMs = 1_700_000_000_000;
  let interruptsMs: readonly number[] = [];
  const clock = createSystemClock({
    steadyMs: () => steadyMs,
    wallMs() {
      // The process may lose the processor between two readings.
      const [lostMs = 0, ...rest] = interruptsMs;
      interruptsMs = rest;
      steadyMs += lostMs;
      wallMs += lostMs;
      return wallMs;
    },
  });
  return {
    clock,
    pass(durationMs: number) {
      steadyMs += durationMs;
      wallMs += durationMs;
    },
    suspend(durationMs: number) {
      wallMs += durationMs;
    },
    step(byMs: number) {
      wallMs += byMs;
    },
    interrupt(...durationsMs: readonly number[]) {
      interruptsMs = durationsMs;
    },
  };
}

describe('the clock of a machine', () => {
  it('counts the time for which the machine was suspended, at its first reading', () => {
    for (const suspendedMs of [1000, 5000, 30_000]) {
      const { clock, pass, suspend } = createMachine();
      const beforeMs = clock.nowMs();
      const steadyBeforeMs = clock.steadyMs();
      pass(100);
      suspend(suspendedMs);
      assert.equal(clock.nowMs() - beforeMs, 100 + suspendedMs);
      assert.equal(clock.steadyMs() - steadyBeforeMs, 100);
      pass(40);
      assert.equal(clock.nowMs() - beforeMs, 140 + suspendedMs);
    }
  });

  it('adds suspensions up', () => {
    const { clock, pass, suspend } = createMachine();
    const beforeMs = clock.nowMs();
    suspend(2000);
    clock.nowMs();
    pass(10);
    suspend(3000);
    assert.equal(clock.nowMs() - beforeMs, 5010);
  });

  it('never goes back, and misses no later suspension, when the time of day is stepped back', () => {
    const { clock, pass, step, suspend } = createMachine();
    const beforeMs = clock.nowMs();
    step(-2000);
    assert.equal(clock.nowMs() - beforeMs, 0);
    pass(10);
    suspend(1000);
    assert.equal(clock.nowMs() - beforeMs, 1010);
  });

  it('lets only the time that may run ahead do so when the time of day is stepped forward', () => {
    const { clock, step } = createMachine();
    const beforeMs = clock.nowMs();
    const steadyBeforeMs = clock.steadyMs();
    step(2000);
    assert.equal(clock.nowMs() - beforeMs, 2000);
    assert.equal(clock.steadyMs() - steadyBeforeMs, 0);
  });

  it('takes no slewing of the time of day for a suspension', () => {
    const { clock, pass, step } = createMachine();
    const beforeMs = clock.nowMs();
    for (let second = 0; second < 600; second += 1) {
      pass(1000);
      step(0.5);
      clock.nowMs();
    }
    assert.equal(clock.nowMs() - beforeMs, 600_000);
  });

  it('takes no loss of the processor between its readings for a suspension', () => {
    const { clock, pass, interrupt } = createMachine();
    const beforeMs = clock.nowMs();
    pass(10);
    interrupt(400, 300);
    clock.nowMs();
    assert.equal(clock.nowMs() - beforeMs, 710);
  });
});
