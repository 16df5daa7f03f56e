import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createManualClock } from '@spoolplank/shared';
import { createDirectory, parseAnnouncement } from '..';
import type { Announcement, Directory } from '..';

const TTL_MS = 3000;

function announcement(overrides: Partial<Announcement> = {}): Announcement {
  return {
    name: 's1',
    dataCentre: 'dc1',
    host: '127.0.0.1',
    port: 80,
    incarnation: 1,
    sequence: 1,
    state: 'ready',
    services: ['bookings'],
    load: { running: 0, queued: 0 },
    ...overrides,
  };
}

function createFixture() {
  const clock = createManualClock();
  const create = (instance: string): Directory =>
    createDirectory({ clock, instance, ttlMs: TTL_MS });
  return { clock, registrar: create('registrar'), entry: create('entry') };
}

/** Merges a delta of the registrar into the entry; the reply arrives after `answeredAfterMs`. */
function pull(
  { clock, registrar, entry }: ReturnType<typeof createFixture>,
  answeredAfterMs = 0,
): void {
  const requestedAtMs = clock.nowMs();
  const delta = registrar.deltaSince('', 0);
  clock.advance(answeredAfterMs);
  entry.merge(delta, requestedAtMs);
}

describe('directory', () => {
  it('does not list a backend server as live after its time to live has expired', () => {
    const { clock, registrar } = createFixture();
    registrar.announce(announcement());
    clock.advance(TTL_MS - 1);
    assert.ok(registrar.findAvailable('s1'));
    clock.advance(1);
    assert.equal(registrar.findAvailable('s1'), undefined);
  });

  it('does not list a leaving backend server as live', () => {
    const { registrar } = createFixture();
    registrar.announce(announcement());
    registrar.announce(announcement({ sequence: 2, state: 'leaving' }));
    assert.equal(registrar.findAvailable('s1'), undefined);
  });

  it('does not extend the life of a row by a delayed reply', () => {
    const fixture = createFixture();
    fixture.registrar.announce(announcement());
    pull(fixture, 2500);
    assert.ok(fixture.entry.findAvailable('s1'));
    fixture.clock.advance(500);
    assert.equal(fixture.entry.findAvailable('s1'), undefined, 'the transfer time counts');
  });

  it('expires a row everywhere within its time to live, however often VMs exchange it', () => {
    const fixture = createFixture();
    const { clock, registrar, entry } = fixture;
    registrar.announce(announcement());
    for (let round = 0; round < 30; round += 1) {
      pull(fixture);
      registrar.merge(entry.deltaSince('', 0), clock.nowMs());
      clock.advance(100);
    }
    assert.deepEqual([...registrar.listAvailable(), ...entry.listAvailable()], []);
  });

  it('does not return from leaving to ready on a delayed update of the same incarnation', () => {
    const { clock, registrar, entry } = createFixture();
    registrar.announce(announcement());
    const old = registrar.deltaSince('', 0);
    registrar.announce(announcement({ sequence: 2, state: 'leaving' }));
    entry.merge(registrar.deltaSince('', 0), clock.nowMs());
    entry.merge(old, clock.nowMs());
    assert.equal(entry.findAvailable('s1'), undefined);
  });

  it('accepts a backend server again under the same name with a new incarnation', () => {
    const { registrar } = createFixture();
    registrar.announce(announcement({ sequence: 9, state: 'leaving' }));
    registrar.announce(announcement({ incarnation: 2, sequence: 1 }));
    assert.ok(registrar.findAvailable('s1'));
    registrar.announce(announcement({ incarnation: 1, sequence: 10 }));
    assert.equal(
      registrar.findAvailable('s1')?.announcement.incarnation,
      2,
      'announcements of the old incarnation are ignored',
    );
  });

  it('applies a longer time to live to selected rows, also after replication', () => {
    const clock = createManualClock();
    const ttlMsOf = ({ name }: Announcement) => (name === 's1' ? TTL_MS : 3 * TTL_MS);
    const create = (instance: string) =>
      createDirectory({ clock, instance, ttlMs: TTL_MS, ttlMsOf });
    const [registrar, entry] = [create('registrar'), create('entry')];
    registrar.announce(announcement());
    registrar.announce(announcement({ name: '@vm1' }));
    entry.merge(registrar.deltaSince('', 0), clock.nowMs());
    clock.advance(2 * TTL_MS);
    assert.deepEqual(
      entry.listAvailable().map((row) => row.announcement.name),
      ['@vm1'],
    );
    clock.advance(TTL_MS);
    assert.deepEqual(entry.listAvailable(), []);
  });

  it('sends loads without the body that the other VM already has', () => {
    const { registrar } = createFixture();
    registrar.announce(announcement());
    const { instance, revision } = registrar.deltaSince('', 0);
    registrar.announce(announcement({ sequence: 2, load: { running: 5, queued: 1 } }));
    const [update] = registrar.deltaSince(instance, revision).updates;
    assert.equal(update?.body, undefined);
    assert.deepEqual(update?.load, { running: 5, queued: 1 });
  });

  it('sends all rows to a VM that has the state of an earlier incarnation', () => {
    const { registrar } = createFixture();
    registrar.announce(announcement());
    assert.equal(registrar.deltaSince('an earlier run', 99).updates.length, 1);
  });
});

describe('announcement', () => {
  it('is rejected with a finding for each violation', () => {
    const wrong = { ...announcement(), name: '@vm1', port: 0, extra: true };
    assert.throws(
      () => parseAnnouncement(wrong),
      (error: { findings: readonly { pointer: string }[] }) => error.findings.length === 3,
    );
  });

  it('is rejected with a well-defined error for arbitrary JSON', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        assert.throws(() => parseAnnouncement(value), { code: 'bad-request', outcome: 'not-run' });
      }),
      { seed: 5, numRuns: 1000 },
    );
  });
});
