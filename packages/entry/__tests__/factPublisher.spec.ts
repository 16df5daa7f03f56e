/**
 * Guards against a fact that other VMs ignore because the wall clock of its publisher is behind the
 * one of the VM that published the same fact before.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, FACT_KEYS } from '@spoolplank/membership';
import type { SystemFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createFactPublisher } from '../src/gossip/factPublisher';

const KEY = FACT_KEYS.clearance('content');

function createVm(name: string, wallAheadMs: number) {
  const manual = createManualClock(100_000);
  const clock = { ...manual, wallMs: () => manual.wallMs() + wallAheadMs };
  const table = createFactTable<SystemFact>({ clock, instance: name, isUrgent: () => true });
  const publisher = createFactPublisher({ clock, table, exchangeNow: () => {} });
  return {
    table,
    publish(reason: 'served' | 'operator') {
      const body = { kind: 'clearance', content: 'content', reason, wallMs: clock.wallMs() };
      publisher.publish(KEY, body as SystemFact);
    },
    reason() {
      const body = table.find(KEY)?.body;
      return body?.kind === 'clearance' ? body.reason : null;
    },
    hear: (updates: ReturnType<typeof publisher.list>) =>
      table.merge(updates, clock.nowMs(), 'other'),
    list: () => publisher.list(),
  };
}

describe('a fact that a VM publishes after it has heard of the same fact from another VM', () => {
  it('replaces that one on both, although the wall clock of the VM is behind', () => {
    const ahead = createVm('ahead', 5000);
    const behind = createVm('behind', 0);
    ahead.publish('served');
    behind.hear(ahead.list());
    behind.publish('operator');
    ahead.hear(behind.list());
    assert.deepEqual([behind.reason(), ahead.reason()], ['operator', 'operator']);
  });
});
