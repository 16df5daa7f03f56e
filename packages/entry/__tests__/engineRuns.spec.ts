import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, FACT_KEYS, isRestart, parseInstanceId } from '@spoolplank/membership';
import type { BackendFact, SystemFact } from '@spoolplank/membership';
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createEngineHealth } from '../src/repair/engineHealth';
import { createEngine, createTables } from './fixtures';

function createSetting() {
  const clock = createManualClock(100_000);
  let losses = 0;
  const table = createFactTable<SystemFact>({
    clock,
    instance: 'run',
    isUrgent: (body, before) => isRestart(body, before),
    onUrgent: () => {
      losses += 1;
    },
  });
  const health = createEngineHealth({
    clock,
    log: createEventLog({ vmId: 'vm', clock, writeChunk: () => {} }),
    metrics: createMetrics(),
    table,
    dataCentre: 'a',
    exchangeNow: () => {},
  });
  function announce(fact: BackendFact, sequence: number): void {
    const { incarnation } = parseInstanceId(fact.instanceId);
    table.put(FACT_KEYS.backend(fact.instanceId), { incarnation, sequence }, fact);
  }
  return { clock, table, health, announce, losses: () => losses };
}

describe('an engine that has restarted under its name', () => {
  it('is lost for the streams of its earlier incarnation as soon as the restart is known', () => {
    const { health, announce, losses } = createSetting();
    announce(createEngine('a1/1', 0, 4), 40);
    assert.equal(health.isLost('a1/1'), false);
    assert.equal(losses(), 0);
    announce(createEngine('a1/2', 0, 4), 1);
    assert.equal(losses(), 1);
    assert.equal(health.isLost('a1/1'), true);
    assert.equal(health.isLost('a1/2'), false);
  });

  it('is not suspected for failed probes of its earlier incarnation', () => {
    const { health, announce, table } = createSetting();
    announce(createEngine('a1/1', 0, 4), 40);
    announce(createEngine('a1/2', 0, 4), 1);
    health.suspect('a1/1', 'no-connection');
    assert.deepEqual(health.listOutgoingFacts(), []);
    assert.equal(table.find(FACT_KEYS.suspicion('a1/1')), undefined);
    assert.equal(health.isLost('a1/2'), false);
  });

  it('is not excluded because of a suspicion against its earlier incarnation', () => {
    const { health, announce } = createSetting();
    announce(createEngine('a1/1', 0, 4), 40);
    health.suspect('a1/1', 'no-connection');
    assert.equal(health.isLost('a1/1'), true);
    announce(createEngine('a1/2', 0, 4), 1);
    assert.equal(health.isLost('a1/2'), false);
    health.avoid('a1/1');
    assert.equal(health.isAvoided('a1/2'), false);
  });

  it('replaces its earlier incarnation among the servers that receive requests', () => {
    const { view, table, sync } = createTables();
    const put = (fact: BackendFact, sequence: number) => {
      const { incarnation } = parseInstanceId(fact.instanceId);
      table.put(FACT_KEYS.backend(fact.instanceId), { incarnation, sequence }, fact);
      sync();
    };
    put(createEngine('a1/1', 0, 4, { address: 'a1:80' }), 40);
    put(createEngine('a1/2', 0, 4, { address: 'a1:80' }), 1);
    put(createEngine('a1/1', 0, 4, { address: 'a1:80' }), 41);
    assert.deepEqual(
      view.listBackends('engines').map(({ instanceId }) => instanceId),
      ['a1/2'],
    );
    assert.equal((view.findByAddress('a1:80')?.body as BackendFact).instanceId, 'a1/2');
  });
});
