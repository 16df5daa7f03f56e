import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, FACT_KEYS } from '@spoolplank/membership';
import type { SystemFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createDemandWatch } from '../src/demand';

const STEP_MS = 800;

function createFixture() {
  const clock = createManualClock(100_000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const watch = createDemandWatch({ clock, table });
  return {
    clock,
    watch,
    find: () => watch.find('a', 'engines')?.requests ?? null,
    publish(inFlight: number, waiting: number): void {
      clock.advance(STEP_MS);
      table.put(FACT_KEYS.capacity('a', 'vm'), clock.nowMs(), {
        kind: 'capacity',
        dataCentre: 'a',
        services: { engines: { capacity: 100, inFlight, waiting } },
      });
      watch.record();
    },
  };
}

describe('the demand of a data centre', () => {
  it('is the largest number in flight and waiting of the last two seconds, plus a quarter', () => {
    const { publish, find } = createFixture();
    assert.equal(find(), null);
    publish(60, 20);
    publish(40, 0);
    assert.equal(find(), 100);
    [0, 1, 2].forEach(() => publish(40, 0));
    assert.equal(find(), 50);
  });

  /** Guards against moves that begin and end with each fact while the load hardly changes. */
  it('ignores a decrease of less than a tenth, but no increase', () => {
    const { publish, find } = createFixture();
    [80, 76, 74, 73, 75, 74].forEach((inFlight) => publish(inFlight, 0));
    assert.equal(find(), 100);
    publish(84, 0);
    assert.equal(find(), 105);
  });

  it('is unknown while the facts are older than 3.5 s, or missing', () => {
    const { clock, publish, find, watch } = createFixture();
    publish(80, 0);
    clock.advance(3400);
    watch.record();
    assert.equal(find(), 100);
    clock.advance(200);
    watch.record();
    assert.equal(find(), null);
    assert.equal(watch.find('b', 'engines'), null);
    publish(8, 0);
    assert.equal(find(), 10);
  });
});
