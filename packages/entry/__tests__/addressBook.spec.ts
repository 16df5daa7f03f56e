import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FACT_KEYS } from '@spoolplank/membership';
import type { MemberFact } from '@spoolplank/membership';
import { createAddressBook } from '../src/addressBook';
import { createTables } from './fixtures';

/** Entries of two data centres, all of which were announced just now. */
function createBook(perDataCentre: number, overrides: Partial<MemberFact> = {}) {
  const { view, table, sync } = createTables();
  ['a', 'b'].forEach((dataCentre) => {
    for (let index = 0; index < perDataCentre; index += 1) {
      const host = `${dataCentre}${index}`;
      table.put(FACT_KEYS.member(host, 'run'), 1, {
        kind: 'member',
        vmId: host,
        dataCentre,
        host,
        role: 'entry',
        callerAddress: `${host}:80`,
        state: 'ready',
        ...overrides,
      });
    }
  });
  sync();
  let own: string | null = 'a0:80';
  const book = createAddressBook({ view, selfAddress: 'a0:80', ownAddress: () => own });
  return {
    list: (caller: string, dataCentre = 'a') => book.list({ dataCentre, caller }),
    leave: () => {
      own = null;
    },
  };
}

describe('the addresses that a caller gets', () => {
  it('are a few from its own data centre, and the same each time', () => {
    const { list } = createBook(43);
    const first = list('caller-1');
    assert.equal(first.length, 6);
    assert.ok(first.every((address) => address.startsWith('a')));
    assert.deepEqual(list('caller-1'), first);
    assert.notDeepEqual(list('caller-2'), first);
  });

  it('include few dead ones when a quarter of all VMs is lost', () => {
    const { list } = createBook(43);
    const isDead = (address: string) => Number(address.slice(1).split(':')[0]) % 4 === 0;
    const dead = Array.from({ length: 200 }, (_, index) => list(`c${index}`).filter(isDead).length);
    const mean = dead.reduce((sum, count) => sum + count, 0) / dead.length;
    assert.ok(mean < 1.8, String(mean));
    assert.ok(dead.every((count) => count < 6));
  });

  it('spread callers over all VMs', () => {
    const { list } = createBook(43);
    const counts = new Map<string, number>();
    for (let index = 0; index < 430; index += 1) {
      list(`c${index}`).forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
    }
    assert.equal(counts.size, 43);
    assert.ok([...counts.values()].every((count) => count > 30 && count < 95));
  });

  it('come from all data centres when its own has fewer than two', () => {
    const { list } = createBook(1);
    assert.deepEqual([...list('caller-1')].sort(), ['a0:80', 'b0:80']);
    assert.deepEqual([...list('caller-1', 'elsewhere')].sort(), ['a0:80', 'b0:80']);
  });

  it('exclude entries that are leaving, including the entry that is asked', () => {
    const { list, leave } = createBook(3);
    assert.equal(list('caller-1').length, 3);
    leave();
    assert.deepEqual([...list('caller-1')].sort(), ['a1:80', 'a2:80']);
    assert.deepEqual(createBook(3, { state: 'leaving' }).list('caller-1'), ['a0:80']);
  });
});
