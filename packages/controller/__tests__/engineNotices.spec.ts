import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, isLeaving } from '@spoolplank/membership';
import type { BackoffDirective, ServerNotice, SystemFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import type { EngineOrders } from '../src/engineOperations';
import { createEngineNotices } from '../src/engineNotices';
import { guardOrders } from '../src/guardedOrders';

function createFixture() {
  const clock = createManualClock(1000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const log = createEventLog({ vmId: 'vm', clock, writeChunk: () => {} });
  const forwarded: BackoffDirective[] = [];
  const onBackoff = (directive: BackoffDirective) => forwarded.push(directive);
  return {
    clock,
    table,
    forwarded,
    notices: createEngineNotices({ clock, log, table, onBackoff }),
  };
}

const NOTICE: ServerNotice = {
  instanceId: 'e1',
  address: 'e1:80',
  requestId: null,
  status: 503,
  backoffMs: null,
  isLeaving: false,
  culpritAddress: null,
};

describe('the notice of an engine to a control VM', () => {
  it('starts a backoff for the requested time', () => {
    const { clock, notices } = createFixture();
    notices.handle({ ...NOTICE, backoffMs: 2000 });
    assert.equal(notices.isBackingOff('e1'), true);
    assert.equal(notices.isBackingOff('e2'), false);
    clock.advance(2000);
    assert.equal(notices.isBackingOff('e1'), false);
  });

  it('is told to the other process of the VM, and what that one was told is told back to nobody', () => {
    const { notices, forwarded } = createFixture();
    notices.handle({ ...NOTICE, backoffMs: 2000 });
    notices.recordBackoff({ instanceId: 'e2', backoffMs: 500 });
    assert.deepEqual(forwarded, [{ instanceId: 'e1', backoffMs: 2000 }]);
    assert.equal(notices.isBackingOff('e2'), true);
    assert.deepEqual(notices.describe(), [
      { instanceId: 'e1', remainingMs: 2000 },
      { instanceId: 'e2', remainingMs: 500 },
    ]);
  });

  it('publishes once that the engine is leaving', () => {
    const { table, notices } = createFixture();
    notices.handle({ ...NOTICE, status: 202, isLeaving: true });
    assert.equal(isLeaving(table, 'e1'), true);
    const { revision } = table;
    notices.handle({ ...NOTICE, status: 200, isLeaving: true });
    assert.equal(table.revision, revision, 'published once');
  });
});

describe('an engine that backs off', () => {
  const ENGINE = { instanceId: 'e1', address: 'e1:80' };
  const ORDER = { firstLayer: 0, endLayer: 4, isPreempting: false, timeoutMs: 100 };

  it('is sent neither orders nor polls by a control VM until the backoff is over', async () => {
    const { clock, notices } = createFixture();
    const sent: string[] = [];
    const orders = guardOrders(
      {
        onNotice: () => {},
        place({ instanceId }) {
          sent.push(`order ${instanceId}`);
          return Promise.resolve('begun');
        },
        inspect({ instanceId }) {
          sent.push(`question ${instanceId}`);
          return Promise.resolve({ held: null, slowdown: 1 });
        },
        isReachable: () => Promise.resolve(true),
      } satisfies EngineOrders,
      notices,
    );
    notices.recordBackoff({ instanceId: 'e1', backoffMs: 500 });
    assert.equal(await orders.place(ENGINE, ORDER), 'refused');
    await assert.rejects(orders.inspect(ENGINE), { code: 'server-closed' });
    await orders.inspect({ instanceId: 'e2', address: 'e2:80' });
    assert.deepEqual(sent, ['question e2']);
    clock.advance(500);
    assert.equal(await orders.place(ENGINE, ORDER), 'begun');
    await orders.inspect(ENGINE);
    assert.deepEqual(sent, ['question e2', 'order e1', 'question e1']);
  });
});
