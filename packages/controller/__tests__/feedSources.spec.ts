import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberFact } from '@spoolplank/membership';
import { createFeedSources } from '../src/feedSources';

const SOURCES_PER_RELAY = 2;

function createMember(host: string, dataCentre: string, hasDisk: boolean): MemberFact {
  return {
    kind: 'member',
    vmId: host,
    dataCentre,
    host,
    role: 'control',
    ...(hasDisk ? { replicaId: `${host}#disk` } : {}),
    state: 'ready',
  };
}

/** Three data centres with one VM with a disk and `relays` VMs without one. */
function createMembers(relays: number): readonly MemberFact[] {
  return ['a', 'b', 'c'].flatMap((dataCentre) => [
    createMember(`${dataCentre}-disk`, dataCentre, true),
    ...Array.from({ length: relays }, (_unused, index) =>
      createMember(`${dataCentre}-relay-${index}`, dataCentre, false),
    ),
  ]);
}

function listSources(host: string, members: readonly MemberFact[]): readonly string[] {
  const others = members.map((member) => member.host).filter((other) => other !== host);
  return createFeedSources({ host, sourcesPerRelay: SOURCES_PER_RELAY })({ members, others });
}

describe('the feed sources of a control VM', () => {
  it('are all other replica VMs if it has a replica', () => {
    const sources = listSources('a-disk', createMembers(0));
    assert.deepEqual(sources, ['b-disk', 'c-disk']);
  });

  it('are as many replica VMs as set if it is a relay VM, its own data centre first', () => {
    const [first, ...others] = listSources('b-relay-1', createMembers(4));
    assert.equal(first, 'b-disk');
    assert.equal(others.length, SOURCES_PER_RELAY - 1);
  });

  it('include each relay VM at exactly the replica VMs from which that one receives', () => {
    const members = createMembers(4);
    const relays = members.filter(({ replicaId }) => replicaId === undefined);
    relays.forEach((relay) => {
      const receivers = members
        .filter(({ replicaId }) => replicaId !== undefined)
        .filter(({ host }) => listSources(host, members).includes(relay.host))
        .map(({ host }) => host);
      assert.deepEqual(receivers.sort(), [...listSources(relay.host, members)].sort());
    });
  });

  it('are other replica VMs once one of them is lost', () => {
    const members = createMembers(2);
    const [lost = ''] = listSources('a-relay-0', members);
    const remaining = members.filter(({ host }) => host !== lost);
    const sources = listSources('a-relay-0', remaining);
    assert.equal(sources.length, SOURCES_PER_RELAY);
    assert.equal(sources.includes(lost), false);
  });

  it('are all known hosts for a relay VM that knows no replica VM yet', () => {
    const select = createFeedSources({ host: 'a', sourcesPerRelay: SOURCES_PER_RELAY });
    const members = [createMember('a', 'x', false)];
    assert.deepEqual(select({ members, others: ['seed-1', 'seed-2'] }), ['seed-1', 'seed-2']);
  });

  it('include a host that is known only by its address', () => {
    const select = createFeedSources({ host: 'a', sourcesPerRelay: SOURCES_PER_RELAY });
    const members = [createMember('a', 'x', true), createMember('b', 'x', true)];
    assert.deepEqual(select({ members, others: ['b', 'seed-1'] }), ['b', 'seed-1']);
  });
});
