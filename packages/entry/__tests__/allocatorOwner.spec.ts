import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createAllocatorRank } from '../src/slots/allocatorRank';

const HOSTS: readonly string[] = ['vm1', 'vm2', 'vm3'];

function createRank() {
  const clock = createManualClock(100_000);
  let hosts = HOSTS;
  const toMember = (host: string): MemberFact => ({
    kind: 'member',
    vmId: host,
    dataCentre: 'a',
    host,
    role: 'entry',
    peerPort: 1,
    state: 'ready',
  });
  const rank = createAllocatorRank({ clock, listEntries: () => hosts.map(toMember) });
  return {
    clock,
    rank,
    lose(host: string) {
      hosts = hosts.filter((name) => name !== host);
    },
  };
}

describe('the owner of the account of a data centre', () => {
  it('is the VM that all others ask', () => {
    const { rank } = createRank();
    assert.equal(rank.findOwner('a'), rank.find('a')?.host);
    assert.equal(rank.findOwner('b'), undefined);
  });

  it('stays the owner while it only times out, as others may reach it', () => {
    const { clock, rank } = createRank();
    const owner = rank.findOwner('a') ?? '';
    for (let count = 0; count < 5; count += 1) {
      rank.recordTimeout(owner);
      clock.advance(400);
    }
    assert.notEqual(rank.find('a')?.host, owner);
    assert.equal(rank.findOwner('a'), owner);
  });

  it('changes when the owner refused a connection, or is no longer known', () => {
    const { clock, rank, lose } = createRank();
    const owner = rank.findOwner('a') ?? '';
    rank.recordUnavailable(owner);
    const next = rank.findOwner('a') ?? '';
    assert.notEqual(next, owner);
    clock.advance(3000);
    assert.equal(rank.findOwner('a'), owner, 'the owner may be back');
    lose(owner);
    assert.equal(rank.findOwner('a'), next);
  });
});
