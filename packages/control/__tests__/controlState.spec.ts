import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createManualClock } from '@spoolplank/shared';
import { createLogClock, createSettingsState } from '..';
import type { ControlRequest } from '..';
import { claim, createControlFixture, settingsChange } from './fixtures';

describe('settings state', () => {
  it('accepts one of two changes based on one version, and shows the other what is in force', () => {
    const { submit, state } = createControlFixture();
    assert.deepEqual(submit(settingsChange('a', 0, 3)), { status: 'accepted', version: 1 });
    assert.deepEqual(submit(settingsChange('b', 0, 4)), { status: 'conflict', version: 1 });
    assert.equal(state.settings.tree.policy?.priority, 3);
  });

  it('answers a resent change as the first time, also after a snapshot', () => {
    const first = createControlFixture();
    first.submit(settingsChange('a', 0));
    first.submit(settingsChange('b', 1));
    assert.deepEqual(first.submit(settingsChange('a', 0)), { status: 'accepted', version: 1 });
    const second = createControlFixture();
    second.state.restore(first.state.takeSnapshot());
    assert.deepEqual(second.submit(settingsChange('a', 0)), { status: 'accepted', version: 1 });
    assert.equal(second.state.settings.version, 2, 'it was not applied again');
  });

  it('refuses another change under a change id that was used', () => {
    const { submit } = createControlFixture();
    submit(settingsChange('a', 0, 3));
    assert.equal(submit(settingsChange('a', 0, 4)).status, 'reused');
  });

  it('brings a reader from any version to the newest, by changes or by the tree', () => {
    const state = createSettingsState({ maxHistory: 10 });
    for (let version = 0; version < 40; version += 1) {
      state.apply({
        ...settingsChange(`c${version}`, version, version % 10),
        logTimeMs: 0,
      } as Parameters<typeof state.apply>[0]);
    }
    const near = state.deltaSince(35);
    assert.equal(near.kind === 'changes' && near.changes.length, 5);
    assert.equal(state.deltaSince(3).kind, 'tree');
    assert.deepEqual(state.deltaSince(40), { kind: 'changes', changes: [] });
  });
});

describe('leases', () => {
  const acquire = (holder: string): ControlRequest => ({
    kind: 'lease.acquire',
    name: 'n',
    holder,
    durationMs: 1000,
  });

  it('are not granted before the old one has run out', () => {
    const { submit, clock } = createControlFixture();
    assert.deepEqual(submit(acquire('a')), { status: 'granted', fencingNumber: 1 });
    clock.advance(999);
    assert.equal(submit(acquire('b')).status, 'held');
    clock.advance(1);
    assert.deepEqual(submit(acquire('b')), { status: 'granted', fencingNumber: 2 });
  });

  it('keep their fencing number while they are renewed', () => {
    const { submit, clock } = createControlFixture();
    submit(acquire('a'));
    clock.advance(500);
    assert.deepEqual(submit(acquire('a')), { status: 'granted', fencingNumber: 1 });
  });

  it('never reuse a fencing number, also after a snapshot', () => {
    const first = createControlFixture();
    first.submit(acquire('a'));
    first.submit({ kind: 'lease.release', name: 'n', holder: 'a' });
    const second = createControlFixture();
    second.state.restore(first.state.takeSnapshot());
    assert.deepEqual(second.submit(acquire('b')), { status: 'granted', fencingNumber: 2 });
  });
});

describe('log clock', () => {
  it('does not follow the wall clock, and never runs ahead of the time that passed', () => {
    const clock = createManualClock();
    const logClock = createLogClock(clock);
    logClock.observe(5000);
    clock.jumpWall(1e9);
    clock.advance(100);
    assert.equal(logClock.nowMs(), 5100);
    logClock.observe(5050);
    assert.ok(logClock.nowMs() <= 5100);
  });
});

describe('claims', () => {
  it('are granted to one owner only', () => {
    const { submit } = createControlFixture();
    assert.equal(submit(claim('a')).status, 'granted');
    assert.equal(submit(claim('b')).status, 'held');
    assert.equal(submit(claim('a')).status, 'granted', 'the owner lost the answer and asks again');
  });

  it('give the stored answer to whoever asks after they were settled', () => {
    const { submit } = createControlFixture();
    submit(claim('a'));
    const answer = { status: 200, contentType: 'text/plain', bodyBase64: 'aGk=' };
    submit({
      kind: 'claim.settle',
      organisation: 'o',
      key: 'k',
      owner: 'a',
      outcome: 'done',
      answer,
    });
    assert.deepEqual(submit(claim('b')), { status: 'settled', outcome: 'done', answer });
  });

  it('refuse a key that was used for another request', () => {
    const { submit } = createControlFixture();
    submit(claim('a'));
    assert.equal(submit(claim('b', 'k', 'other')).status, 'mismatch');
  });

  it('can be given back by their owner alone', () => {
    const { submit } = createControlFixture();
    submit(claim('a'));
    assert.equal(
      submit({ kind: 'claim.void', organisation: 'o', key: 'k', owner: 'b' }).status,
      'lost',
    );
    assert.equal(
      submit({ kind: 'claim.void', organisation: 'o', key: 'k', owner: 'a' }).status,
      'voided',
    );
    assert.equal(submit(claim('b')).status, 'granted');
  });

  it('are refused, not forgotten, when the store is full', () => {
    const { submit, clock } = createControlFixture(2);
    submit(claim('a', 'k1'));
    submit(claim('a', 'k2'));
    assert.equal(submit(claim('a', 'k3')).status, 'full');
    assert.equal(submit(claim('b', 'k1')).status, 'held');
    clock.advance(80_000);
    assert.equal(submit(claim('a', 'k3')).status, 'granted', 'expired ones make room');
  });

  it('are granted once for each key in any order of commands, snapshots between them', () => {
    const command = fc.record({
      kind: fc.constantFrom('acquire', 'settle', 'void', 'snapshot', 'wait'),
      owner: fc.constantFrom('a', 'b', 'c'),
      key: fc.constantFrom('k1', 'k2'),
    });
    fc.assert(
      fc.property(fc.array(command, { maxLength: 40 }), (commands) => {
        let fixture = createControlFixture();
        /** Who may send the request of a key; a grant must find the key free or its own. */
        const holders = new Map<string, string>();
        commands.forEach(({ kind, owner, key }) => {
          const identity = { organisation: 'o', key, owner };
          if (kind === 'snapshot') {
            const next = createControlFixture();
            next.state.restore(fixture.state.takeSnapshot());
            fixture = next;
          } else if (kind === 'wait') fixture.clock.advance(10);
          else if (kind === 'settle')
            fixture.submit({ kind: 'claim.settle', ...identity, outcome: 'done', answer: null });
          else if (kind === 'void') {
            if (fixture.submit({ kind: 'claim.void', ...identity }).status === 'voided')
              holders.delete(key);
          } else if (fixture.submit(claim(owner, key)).status === 'granted') {
            assert.ok(
              (holders.get(key) ?? owner) === owner,
              `${key} was granted to ${owner} as well`,
            );
            holders.set(key, owner);
          }
        });
      }),
      { seed: 7, numRuns: 2000 },
    );
  });
});
