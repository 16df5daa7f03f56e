import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createUnreadSendings } from '../src/dispatch/unreadSendings';

const READ_ON_MS = 300;
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

  it('may arrive after it was given up, until its server answers a later one', () => {
    const { clock, unread, read, send } = createSetting();
    send('r1').giveUp();
    assert.deepEqual(unread.describe(), { s1: 1 });
    clock.advance(5000);
    send('r2', 's2').recordAnswer();
    clock.advance(5000);
    unread.tick();
    assert.deepEqual(read, ['r2']);
    send('r3').recordAnswer();
    unread.tick();
    assert.deepEqual(read, ['r2', 'r3'], 'the server may read the earlier one just after');
    clock.advance(READ_ON_MS);
    unread.tick();
    assert.deepEqual(read, ['r2', 'r3', 'r1']);
    assert.deepEqual(unread.describe(), {});
  });

  it('may arrive although its server answered one that was sent before it', () => {
    const { clock, unread, read, send } = createSetting();
    const earlier = send('r1');
    clock.advance(10);
    send('r2').giveUp();
    earlier.recordAnswer();
    clock.advance(READ_ON_MS);
    unread.tick();
    assert.deepEqual(read, ['r1']);
  });

  it('may arrive although its server answered another one while it was connecting', () => {
    const { clock, unread, read, send } = createSetting();
    const connecting = unread.add({ requestId: 'r1', service: 'app', instanceId: 's1' }, () =>
      read.push('r1'),
    );
    clock.advance(10);
    send('r2').recordAnswer();
    clock.advance(10);
    connecting.begin();
    connecting.giveUp();
    clock.advance(READ_ON_MS);
    unread.tick();
    assert.deepEqual(read, ['r2']);
  });

  it('cannot arrive any more once its server has restarted', () => {
    const { restarted, unread, read, send } = createSetting();
    send('r1').giveUp();
    send('r2');
    restarted.add('s1');
    unread.tick();
    assert.deepEqual(read, ['r1'], 'the other one is still awaited');
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

  it('leaves a log line when it is given up, and when it has been read', () => {
    const { clock, events, unread, send } = createSetting();
    send('r1').giveUp();
    send('r2').giveUp();
    clock.advance(2000);
    send('r3').recordAnswer();
    clock.advance(READ_ON_MS);
    unread.tick();
    const [, second, last] = events;
    assert.deepEqual(
      [second, last],
      [
        {
          event: 'sending-unread',
          requestId: 'r2',
          service: 'app',
          instanceId: 's1',
          waitedMs: 0,
          unread: 2,
        },
        {
          event: 'sendings-read',
          instanceId: 's1',
          evidence: 'answered',
          sendings: 2,
          requestIds: ['r1', 'r2'],
          oldestMs: 2300,
          unread: 0,
        },
      ],
    );
  });
});
