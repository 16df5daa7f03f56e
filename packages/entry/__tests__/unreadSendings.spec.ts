import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createUnreadSendings } from '../src/dispatch/unreadSendings';

const READ_ON_MS = 300;
const MAX_HELD_ON_LINK_MS = 15_000;
const MAX_UNREAD_MS = 60_000;

function createSetting() {
  const clock = createManualClock(100_000);
  const events: Readonly<Record<string, unknown>>[] = [];
  const log = {
    info: (event: string, fields: object = {}) => events.push({ event, ...fields }),
  };
  const restarted = new Set<string>();
  const hasRestarted = (instanceId: string) => restarted.has(instanceId);
  const unread = createUnreadSendings({ clock, log, metrics: createMetrics(), hasRestarted });
  const read: string[] = [];
  function send(requestId: string, instanceId = 's1') {
    const details = { requestId, service: 'app', instanceId };
    const sending = unread.add(details, () => read.push(requestId));
    sending.begin();
    return sending;
  }
  return { clock, events, restarted, unread, read, send };
}

describe('a request that was sent', () => {
  it('has been read once it is answered', () => {
    const { read, send } = createSetting();
    send('r1').recordAnswer();
    assert.deepEqual(read, ['r1']);
  });

  it('cannot arrive if nothing was sent', () => {
    const { read, send } = createSetting();
    send('r1').cancel();
    assert.deepEqual(read, ['r1']);
  });

  it('may arrive after it was given up, until its server answers it', () => {
    const { clock, unread, read, send } = createSetting();
    const late = send('r1');
    late.giveUp();
    assert.deepEqual(unread.describe(), { s1: 1 });
    clock.advance(20_000);
    unread.tick();
    assert.deepEqual(read, []);
    late.recordAnswer();
    assert.deepEqual(read, ['r1']);
    assert.deepEqual(unread.describe(), {});
  });

  it('may arrive although its server answers later ones, while its connection is open', () => {
    const { clock, unread, read, send } = createSetting();
    send('r1').giveUp();
    clock.advance(5000);
    send('r2').recordAnswer();
    clock.advance(20_000);
    unread.tick();
    assert.deepEqual(read, ['r2']);
  });

  it('may arrive while a link holds it, after its connection has ended', () => {
    const { clock, unread, read, send } = createSetting();
    const ended = send('r1');
    ended.recordEnd();
    ended.giveUp();
    send('r2').recordAnswer();
    clock.advance(MAX_HELD_ON_LINK_MS - 1);
    unread.tick();
    assert.deepEqual(read, ['r2']);
    clock.advance(1);
    unread.tick();
    assert.deepEqual(read, ['r2', 'r1']);
  });

  it('may arrive after its connection has ended, until its server answers a later one', () => {
    const { clock, unread, read, send } = createSetting();
    const earlier = send('r1');
    clock.advance(10);
    const ended = send('r2');
    ended.recordEnd();
    ended.giveUp();
    clock.advance(MAX_HELD_ON_LINK_MS);
    earlier.recordAnswer();
    send('r3', 's2').recordAnswer();
    clock.advance(READ_ON_MS);
    unread.tick();
    assert.deepEqual(read, ['r1', 'r3']);
    send('r4').recordAnswer();
    unread.tick();
    assert.deepEqual(read, ['r1', 'r3', 'r4'], 'the server may read the earlier one just after');
    clock.advance(READ_ON_MS);
    unread.tick();
    assert.deepEqual(read, ['r1', 'r3', 'r4', 'r2']);
  });

  it('may arrive while a link holds it, after its server has restarted', () => {
    const { clock, restarted, unread, read, send } = createSetting();
    send('r1').giveUp();
    send('r2');
    restarted.add('s1');
    unread.tick();
    clock.advance(MAX_HELD_ON_LINK_MS - 1);
    unread.tick();
    assert.deepEqual(read, []);
    clock.advance(1);
    unread.tick();
    assert.deepEqual(read, ['r1'], 'the other one is still awaited');
  });

  it('is settled once, also if it is answered after that', () => {
    const { clock, unread, read, send } = createSetting();
    const late = send('r1');
    late.giveUp();
    clock.advance(MAX_UNREAD_MS);
    unread.tick();
    late.recordAnswer();
    assert.deepEqual(read, ['r1']);
  });

  it('counts as lost when its server shows no sign of life for long', () => {
    const { clock, unread, read, send } = createSetting();
    send('r1').giveUp();
    clock.advance(MAX_UNREAD_MS - 1);
    unread.tick();
    assert.deepEqual(read, []);
    clock.advance(1);
    unread.tick();
    assert.deepEqual(read, ['r1']);
  });

  it('leaves a log line when it is given up, and when it cannot arrive any more', () => {
    const { clock, events, unread, send } = createSetting();
    const sendings = [send('r1'), send('r2'), send('r3')] as const;
    sendings.forEach((sending) => sending.giveUp());
    sendings[0].recordEnd();
    sendings[1].recordEnd();
    clock.advance(MAX_HELD_ON_LINK_MS);
    send('r4').recordAnswer();
    clock.advance(READ_ON_MS);
    unread.tick();
    sendings[2].recordAnswer();
    const common = { event: 'sendings-read', instanceId: 's1', oldestMs: 15_300 };
    assert.deepEqual(events.slice(2), [
      {
        event: 'sending-unread',
        requestId: 'r3',
        service: 'app',
        instanceId: 's1',
        waitedMs: 0,
        unread: 3,
      },
      { ...common, evidence: 'ended', sendings: 2, requestIds: ['r1', 'r2'], unread: 1 },
      { ...common, evidence: 'answered', sendings: 1, requestIds: ['r3'], unread: 0 },
    ]);
  });
});
