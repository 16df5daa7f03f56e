import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FACT_KEYS } from '@spoolplank/membership';
import type { BackendOperations } from '../src/dispatch/backendOperations';
import { createEngine } from './fixtures';
import { createNotice, createBackoffSetting, BACKOFF_MS, SERVERS } from './backoffFixtures';

describe('a notice from a server', () => {
  it('of a backoff is logged once, however many requests the server rejects', () => {
    const { notices, linesOf, metrics } = createBackoffSetting();
    [1, 2, 3].forEach(() => notices.applyNotice(createNotice()));
    assert.equal(linesOf('server-backoff').length, 1);
    const repeated = metrics.valueOf('spoolplank_server_backoffs_total', { kind: 'repeated' });
    assert.equal(repeated, 2);
    assert.deepEqual(notices.describe(), [{ instanceId: 'e1', remainingMs: BACKOFF_MS }]);
  });

  it('applies to the engine that answered and to the culprit that it names', () => {
    const { notices } = createBackoffSetting();
    notices.applyNotice(createNotice({ culpritAddress: 'e2:80' }));
    const closed = SERVERS.map((id) => notices.closedReason(id));
    assert.deepEqual(closed, ['backoff', 'backoff', null]);
  });

  it('of a backoff is passed on to the control process, whose own backoffs are not passed back', () => {
    const { notices, passedOn } = createBackoffSetting();
    notices.applyNotice(createNotice());
    notices.recordBackoff({ instanceId: 'e2', backoffMs: 500 });
    assert.deepEqual(passedOn, [{ instanceId: 'e1', backoffMs: BACKOFF_MS }]);
    assert.equal(notices.closedReason('e2'), 'backoff');
  });

  it('does not apply to the next incarnation of the server, even when it arrives late', () => {
    const { notices } = createBackoffSetting();
    notices.applyNotice(createNotice({ instanceId: 'e1/1' }));
    assert.equal(notices.closedReason('e1/2'), null);
  });

  it('of a departure is not revoked by a later announcement', () => {
    const { notices, view, announce } = createBackoffSetting();
    notices.applyNotice(createNotice({ backoffMs: null, isLeaving: true, status: 200 }));
    announce(createEngine('e1', 0, 8), 7);
    assert.equal(notices.closedReason('e1'), 'leaves');
    const left = view.listBackends('engines').map(({ instanceId }) => instanceId);
    assert.deepEqual(left, ['e2', 'e3']);
  });

  it('of a departure applies to one incarnation only', () => {
    const { notices, view, announce, table } = createBackoffSetting();
    notices.applyNotice(createNotice({ instanceId: 'e1/1', backoffMs: null, isLeaving: true }));
    announce(createEngine('e1/2', 0, 8), 2);
    table.put(
      FACT_KEYS.backend('e1/2'),
      { incarnation: 2, sequence: 1 },
      createEngine('e1/2', 0, 8),
    );
    const left = view.listBackends('engines').map(({ instanceId }) => instanceId);
    assert.ok(left.includes('e1/2'), left.join(' '));
  });

  it('of a departure is published to other VMs for five seconds, and logged once', () => {
    const { notices, clock, linesOf } = createBackoffSetting();
    [1, 2].forEach(() => notices.applyNotice(createNotice({ backoffMs: null, isLeaving: true })));
    assert.equal(linesOf('server-leaves').length, 1);
    const [update] = notices.listOutgoingFacts();
    assert.deepEqual(update?.body, { kind: 'leaving', instanceId: 'e1' });
    assert.deepEqual(notices.listClosed(), ['e1'], 'for VMs that may not know of it');
    clock.advance(5001);
    assert.deepEqual(notices.listOutgoingFacts(), []);
    notices.sweep();
    assert.equal(notices.closedReason('e1'), 'leaves');
  });
});

describe('the check before a send', () => {
  const target = { instanceId: 'e1', address: 'e1:80' };
  const request = { id: 'request-1' };
  const call = { target, request } as unknown as Parameters<BackendOperations['open']>[0];

  it('holds back requests, reports and repairs to a server in backoff', async () => {
    const { notices, guarded, sends, metrics } = createBackoffSetting();
    notices.applyNotice(createNotice());
    await assert.rejects(guarded.open(call), { code: 'server-closed', outcome: 'not-run' });
    await assert.rejects(guarded.report(target, 100), { code: 'server-closed' });
    assert.equal((await guarded.repair(target, 'r1', [], 100)).kind, 'failed');
    assert.equal(await guarded.isReachable('e1:80', 100), true);
    assert.deepEqual(sends, []);
    assert.equal(metrics.valueOf('spoolplank_sends_held_back_total', { reason: 'backoff' }), 3);
  });

  it('allows repairs on an engine that is leaving, but no new requests', async () => {
    const { notices, guarded } = createBackoffSetting();
    notices.applyNotice(createNotice({ backoffMs: null, isLeaving: true }));
    await assert.rejects(guarded.open(call), { code: 'server-closed' });
    assert.equal((await guarded.repair(target, 'r1', [], 100)).kind, 'repaired');
  });

  it('allows repairs while requests are readmitted to a server one by one', async () => {
    const { notices, guarded, clock } = createBackoffSetting();
    notices.applyNotice(createNotice());
    clock.advance(BACKOFF_MS);
    await guarded.open(call);
    assert.equal(notices.backoffs.isHeldBack('e1'), true);
    assert.equal((await guarded.repair(target, 'r1', [], 100)).kind, 'repaired');
  });
});
