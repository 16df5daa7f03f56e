import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, FACT_KEYS, readSlowdown } from '@spoolplank/membership';
import type { BackendFact, SystemFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createStragglerWatch } from '../src/stragglerWatch';

const TICK_MS = 200;

function createEngine(instanceId: string, dataCentre = 'a'): BackendFact {
  return {
    kind: 'backend',
    instanceId,
    service: 'engines',
    address: `${instanceId}:80`,
    dataCentre,
    state: 'ready',
    slots: 10,
    engine: { acceleratorKind: 'big', held: { firstLayer: 0, endLayer: 4 }, version: 1 },
  };
}

function createWatch(isDesignated = true) {
  const clock = createManualClock(100_000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const polled: string[] = [];
  const slowdowns = new Map<string, number>();
  const watch = createStragglerWatch({
    clock,
    log: createEventLog({ vmId: 'vm', clock, writeChunk: () => {} }),
    table,
    orders: {
      inspect({ instanceId }) {
        polled.push(instanceId);
        const slowdown = slowdowns.get(instanceId);
        return slowdown === undefined
          ? Promise.reject(new Error('gone'))
          : Promise.resolve({ held: null, slowdown });
      },
    },
    dataCentre: 'a',
    isDesignated: () => isDesignated,
  });
  return {
    table,
    polled,
    slowdowns,
    slowdownOf: (id: string) => readSlowdown(table, id, clock.nowMs()),
    announce: (fact: BackendFact) => table.put(FACT_KEYS.backend(fact.instanceId), 1, fact),
    async runFor(durationMs: number): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
        clock.advance(TICK_MS);
        watch.tick();
        await Promise.resolve();
        await Promise.resolve();
      }
    },
  };
}

describe('the straggler watch', () => {
  it('publishes a slow engine within two seconds and a tick, for as long as it is slow', async () => {
    const { announce, slowdowns, slowdownOf, runFor } = createWatch();
    announce(createEngine('e1'));
    slowdowns.set('e1', 12);
    await runFor(2200);
    assert.equal(slowdownOf('e1'), 12);
    await runFor(20_000);
    assert.equal(slowdownOf('e1'), 12);
    slowdowns.set('e1', 1);
    await runFor(2200);
    assert.equal(slowdownOf('e1'), 1);
  });

  it('publishes nothing about an engine of usual speed or one that does not respond', async () => {
    const { announce, slowdowns, table, runFor } = createWatch();
    announce(createEngine('e1'));
    announce(createEngine('e2'));
    slowdowns.set('e1', 1.1);
    await runFor(6000);
    assert.equal(table.find(FACT_KEYS.straggler('e1')), undefined);
    assert.equal(table.find(FACT_KEYS.straggler('e2')), undefined);
  });

  it('polls only engines of its own data centre, each every two seconds, evenly spread', async () => {
    const { announce, polled, slowdowns, runFor } = createWatch();
    ['e1', 'e2', 'e3', 'e4'].forEach((id) => {
      announce(createEngine(id));
      slowdowns.set(id, 1);
    });
    announce(createEngine('far', 'b'));
    await runFor(600);
    assert.ok(polled.length < 4);
    await runFor(5400);
    assert.ok(polled.length >= 8 && polled.length <= 12, `${polled.length} questions`);
    assert.ok(!polled.includes('far'));
  });

  it('polls no engines on a control VM that is not designated', async () => {
    const { announce, polled, runFor } = createWatch(false);
    announce(createEngine('e1'));
    await runFor(6000);
    assert.deepEqual(polled, []);
  });
});

describe('the straggler fact of an engine', () => {
  it('expires when it is not renewed', () => {
    const clock = createManualClock(100_000);
    const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
    table.put(FACT_KEYS.straggler('e1'), 1, { kind: 'straggler', instanceId: 'e1', slowdown: 6 });
    assert.equal(readSlowdown(table, 'e1', clock.nowMs()), 6);
    clock.advance(6001);
    assert.equal(readSlowdown(table, 'e1', clock.nowMs()), 1);
  });
});
