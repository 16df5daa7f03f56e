import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createManualClock } from '@spoolplank/shared';
import { createLogClock, createSettingsState } from '..';
import type { ControlRequest } from '..';
import { claim, createControlFixture, settingsChange } from './fixtures';

describe('settings state', () => {
  it('accepts one of two changes based on the same version and returns the current version to the other', () => {
    const { submit, state } = createControlFixture();
    assert.deepEqual(submit(settingsChange('a', 0, 3)), { status: 'accepted', version: 1 });
    assert.deepEqual(submit(settingsChange('b', 0, 4)), { status: 'conflict', version: 1 });
    assert.equal(state.settings.tree.policy?.priority, 3);
  });

  it('returns the original result for a retried change, also after a snapshot', () => {
    const first = createControlFixture();
    first.submit(settingsChange('a', 0));
    first.submit(settingsChange('b', 1));
    assert.deepEqual(first.submit(settingsChange('a', 0)), { status: 'accepted', version: 1 });
    const second = createControlFixture();
    second.state.restore(first.state.takeSnapshot());
    assert.deepEqual(second.submit(settingsChange('a', 0)), { status: 'accepted', version: 1 });
    assert.equal(second.state.settings.version, 2, 'the change was not applied a second time');
  });

  it('refuses a different change with a used change id', () => {
    const { submit } = createControlFixture();
    submit(settingsChange('a', 0, 3));
    assert.equal(submit(settingsChange('a', 0, 4)).status, 'reused');
  });

  it('updates a reader from any version to the newest, by changes or by the whole tree', () => {
    const state = createSettingsState({ maxHistory: 10 });
    for (let version = 0; version < 40; version += 1) {
      state.apply({
        ...settingsChange(`c${version}`, version, version % 10),
        logTimeMs: 0,
      } as Parameters<typeof state.apply>[0]);
    }
    const recent = state.deltaSince(35);
    assert.equal(recent.kind === 'changes' && recent.changes.length, 5);
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

  it('are not granted to another holder before they expire', () => {
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
  it('ignores wall-clock jumps and never runs ahead of elapsed time', () => {
    const clock = createManualClock();
    const logClock = createLogClock(clock);
    logClock.observe(5000);
    clock.stepWallClock(1e9);
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
    assert.equal(submit(claim('a')).status, 'granted', 'the owner retries after losing the reply');
  });

  it('return the stored answer to later requests once they are settled', () => {
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

  it('can be released by their owner only', () => {
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

  it('are refused, never evicted, when the store is full', () => {
    const { submit, clock } = createControlFixture(2);
    submit(claim('a', 'k1'));
    submit(claim('a', 'k2'));
    assert.equal(submit(claim('a', 'k3')).status, 'full');
    assert.equal(submit(claim('b', 'k1')).status, 'held');
    clock.advance(80_000);
    assert.equal(submit(claim('a', 'k3')).status, 'granted', 'expired claims no longer count');
  });

  it('are granted to one owner per key for any sequence of commands and snapshots', () => {
    const command = fc.record({
      kind: fc.constantFrom('acquire', 'settle', 'void', 'snapshot', 'wait'),
      owner: fc.constantFrom('a', 'b', 'c'),
      key: fc.constantFrom('k1', 'k2'),
    });
    fc.assert(
      fc.property(fc.array(command, { maxLength: 40 }), (commands) => {
        let fixture = createControlFixture();
        /** Owner of each key; a grant requires that the key is free or has the same owner. */
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
              `${key} was granted to ${owner} while another owner holds it`,
            );
            holders.set(key, owner);
          }
        });
      }),
      { seed: 7, numRuns: 2000 },
    );
  });
});
