import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, isLeaving } from '@spoolplank/membership';
import type { ServerNotice, SystemFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createEngineNotices } from '../src/engineNotices';

function createSetting() {
  const clock = createManualClock(1000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const log = createEventLog({ vmId: 'vm', clock, writeChunk: () => {} });
  return { clock, table, notices: createEngineNotices({ clock, log, table }) };
}

const NOTICE: ServerNotice = {
  instanceId: 'e1',
  address: 'e1:80',
  requestId: null,
  status: 503,
  restMs: null,
  isLeaving: false,
  culpritAddress: null,
};

describe('what an engine says to a control VM', () => {
  it('is that it wants no orders for a while', () => {
    const { clock, notices } = createSetting();
    notices.take({ ...NOTICE, restMs: 2000 });
    assert.equal(notices.isResting('e1'), true);
    assert.equal(notices.isResting('e2'), false);
    clock.advance(2000);
    assert.equal(notices.isResting('e1'), false);
  });

  it('is that it leaves, which everybody then hears', () => {
    const { table, notices } = createSetting();
    notices.take({ ...NOTICE, status: 202, isLeaving: true });
    assert.equal(isLeaving(table, 'e1'), true);
    const { revision } = table;
    notices.take({ ...NOTICE, status: 200, isLeaving: true });
    assert.equal(table.revision, revision, 'said once');
  });
});
