import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createServerReach } from '../src/serverReach';
import { createSilenceWatch } from '../src/silenceWatch';

function createSetting(servers = 40) {
  const clock = createManualClock(1000);
  const changes: (string | null)[] = [];
  let contacts = 0;
  const countContacts = () => contacts;
  const reach = createServerReach({
    clock,
    log: createEventLog({ vmId: 'vm1', clock, writeChunk: () => {} }),
    metrics: createMetrics(),
    countContacts,
    countServers: () => servers,
    onChange: (address) => changes.push(address),
  });
  return {
    clock,
    reach,
    changes,
    countContacts,
    receive() {
      contacts += 1;
    },
    fail: (...ids: readonly number[]) =>
      ids.forEach((id) => reach.recordFailure(`s${id}:80`, 'connection-failed')),
  };
}

describe('a VM that fails to connect to servers', () => {
  it('is partitioned once three of them are silent in a row, and reaches none then', () => {
    const { reach, fail, changes } = createSetting();
    fail(1, 2);
    assert.equal(reach.isPartitioned, false);
    assert.equal(reach.isUnreachable('s1:80'), true);
    assert.equal(reach.isUnreachable('s9:80'), false);
    fail(3);
    assert.equal(reach.isPartitioned, true);
    assert.equal(reach.isUnreachable('s9:80'), true);
    assert.deepEqual(changes, ['s1:80', 's2:80', 's3:80', null]);
  });

  it('is not partitioned while any server shows a sign of life', () => {
    const { reach, fail, receive } = createSetting();
    for (let id = 0; id < 20; id += 1) {
      fail(id);
      receive();
    }
    assert.equal(reach.isPartitioned, false);
    assert.equal(reach.isUnreachable('s7:80'), true);
  });

  it('is not partitioned by one silent server, however often it fails', () => {
    const { reach, fail, clock } = createSetting();
    for (let times = 0; times < 50; times += 1) {
      fail(1);
      clock.advance(20);
    }
    assert.equal(reach.isPartitioned, false);
  });

  it('is partitioned from fewer servers if there are no more', () => {
    const { reach, fail } = createSetting(2);
    fail(1, 2);
    assert.equal(reach.isPartitioned, true);
  });

  it('is not partitioned any more when a server accepts a connection', () => {
    const { reach, fail } = createSetting();
    fail(1, 2, 3);
    reach.recordContact('s2:80');
    assert.equal(reach.isPartitioned, false);
    assert.equal(reach.isUnreachable('s2:80'), false);
    assert.equal(reach.isUnreachable('s1:80'), true);
  });

  it('is not partitioned any more when bytes arrive over an old connection', () => {
    const { reach, fail, receive } = createSetting();
    fail(1, 2, 3);
    reach.tick();
    assert.equal(reach.isPartitioned, true);
    receive();
    reach.tick();
    assert.equal(reach.isPartitioned, false);
  });

  it('tries a few of them at a time, each in turn', () => {
    const { reach, fail, clock } = createSetting();
    fail(1, 2, 3, 4, 5, 6, 7, 8, 9);
    const tried = new Set<string>();
    for (let round = 0; round < 3; round += 1) {
      clock.advance(200);
      const due = reach.takeDue();
      assert.ok(due.length <= 3);
      due.forEach((address) => tried.add(address));
    }
    assert.equal(tried.size, 9);
  });

  it('forgets servers that are gone', () => {
    const { reach, fail } = createSetting();
    fail(1);
    reach.sweep(() => false);
    assert.equal(reach.isUnreachable('s1:80'), false);
  });
});

describe('the watch for silence', () => {
  it('asks for an attempt when nothing has arrived for a while, and not before', () => {
    const { clock, countContacts, receive } = createSetting();
    const watch = createSilenceWatch({ clock, countContacts });
    for (let times = 0; times < 10; times += 1) {
      clock.advance(200);
      receive();
      assert.equal(watch.isProbeDue(), false);
    }
    clock.advance(200);
    assert.equal(watch.isProbeDue(), false);
    clock.advance(200);
    assert.equal(watch.isProbeDue(), true);
  });

  it('asks an idle VM for about one attempt a second', () => {
    const { clock, countContacts } = createSetting();
    const watch = createSilenceWatch({ clock, countContacts });
    let attempts = 0;
    for (let times = 0; times < 50; times += 1) {
      clock.advance(200);
      if (watch.isProbeDue()) {
        attempts += 1;
        watch.recordAccepted();
      }
    }
    assert.ok(attempts >= 9 && attempts <= 11, `${attempts} in 10 s`);
  });
});
