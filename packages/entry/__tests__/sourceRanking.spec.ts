import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberFact } from '@spoolplank/membership';
import { createManualClock, rankByRendezvous } from '@spoolplank/shared';
import { createSourceRanking } from '../src/gossip/sourceRanking';
import { createAllocatorRank } from '../src/slots/allocatorRank';

const createMember = (host: string, dataCentre: string) =>
  ({ host, dataCentre, state: 'ready', peerPort: 1 }) as MemberFact;

describe('the order of control VMs', () => {
  function createRanking() {
    let members = ['c1', 'c2', 'c3', 'c4'].map((host, index) =>
      createMember(host, index < 2 ? 'a' : 'b'),
    );
    let ranked = 0;
    const list = createSourceRanking({
      host: 'e1',
      dataCentre: 'a',
      listControlMembers: () => members,
      seeds: () => ['c1', 's1'],
      rank(key, hosts) {
        ranked += hosts.length;
        return rankByRendezvous(key, hosts);
      },
    });
    return {
      list,
      ranked: () => ranked,
      setMembers(changed: readonly MemberFact[]) {
        members = [...changed];
      },
    };
  }

  it('begins with those of the own data centre and ends with the seeds', () => {
    const order = createRanking().list();
    assert.deepEqual([...order.slice(0, 2)].sort(), ['c1', 'c2']);
    assert.deepEqual([...order.slice(2, 4)].sort(), ['c3', 'c4']);
    assert.deepEqual(order.slice(4), ['s1']);
  });

  it('is computed again only when a member has changed', () => {
    const { list, ranked, setMembers } = createRanking();
    for (let exchange = 0; exchange < 100; exchange += 1) list();
    assert.equal(ranked(), 6);
    setMembers([createMember('c9', 'a')]);
    assert.deepEqual(list(), ['c9', 'c1', 's1']);
    setMembers([createMember('c9', 'b')]);
    list();
    assert.equal(ranked(), 6 + 2 + 1);
  });
});

describe('the allocator of a data centre', () => {
  it('is found without visiting the entries again while their list is the same', () => {
    let visits = 0;
    const createEntries = () =>
      ['e1', 'e2', 'e3'].map((host) => ({
        ...createMember(host, 'a'),
        get dataCentre() {
          visits += 1;
          return 'a';
        },
      }));
    let entries = createEntries();
    const rank = createAllocatorRank({
      clock: createManualClock(),
      listEntries: () => entries,
    });
    const first = rank.find('a');
    for (let call = 0; call < 100; call += 1) assert.equal(rank.find('a'), first);
    assert.equal(visits, 3);
    entries = createEntries().filter(({ host }) => host !== first?.host);
    assert.notEqual(rank.find('a')?.host, first?.host);
  });
});
