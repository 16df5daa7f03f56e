import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Fact, CapacityFact, ServiceCapacity } from '@spoolplank/membership';
import { rankDataCentres } from '../src/slots/dataCentreRank';

function createCapacity(
  dataCentre: string,
  overrides: Partial<ServiceCapacity>,
  receivedAtMs = 1000,
): Fact<CapacityFact> {
  const services = { engines: { capacity: 100, inFlight: 0, waiting: 0, ...overrides } };
  return {
    key: `capacity/${dataCentre}/${receivedAtMs}`,
    incarnation: 0,
    sequence: 1,
    body: { kind: 'capacity', dataCentre, services },
    receivedAtMs,
    revision: 1,
    bodyRevision: 1,
    origin: '',
  };
}

function rank(capacities: readonly Fact<CapacityFact>[]): readonly string[] {
  const rated = rankDataCentres({ own: 'a', capacities, service: 'engines', oldestMs: 500 });
  return rated.map(({ dataCentre, hasCapacity }) => `${dataCentre}${hasCapacity ? '' : ' full'}`);
}

describe('the order in which data centres are asked for a slot', () => {
  it('starts with the own data centre while it is not much fuller than the others', () => {
    const capacities = [
      createCapacity('a', { inFlight: 60 }),
      createCapacity('b', { inFlight: 40 }),
    ];
    assert.deepEqual(rank(capacities), ['a', 'b']);
  });

  it('starts with another data centre when the own one is full or has a queue', () => {
    const other = createCapacity('b', { inFlight: 40 });
    assert.deepEqual(rank([createCapacity('a', { inFlight: 94 }), other]), ['b', 'a full']);
    assert.deepEqual(rank([createCapacity('a', { inFlight: 50, waiting: 60 }), other]), [
      'b',
      'a full',
    ]);
  });

  it('puts the own data centre last while it has no chain, and omits others without a chain', () => {
    const capacities = [
      createCapacity('a', { capacity: 0 }),
      createCapacity('b', { inFlight: 10 }),
      createCapacity('c', { capacity: 0 }),
    ];
    assert.deepEqual(rank(capacities), ['b', 'a full']);
  });

  it('asks the own data centre first while its capacity is unknown', () => {
    assert.deepEqual(rank([]), ['a full']);
    assert.deepEqual(rank([createCapacity('b', { inFlight: 10 })]), ['a full', 'b']);
  });

  it('uses the newest capacity of a data centre, and ignores stale ones', () => {
    const capacities = [
      createCapacity('b', { inFlight: 90 }, 1000),
      createCapacity('b', { inFlight: 10 }, 900),
      createCapacity('c', { inFlight: 0 }, 400),
    ];
    assert.deepEqual(rank(capacities), ['a full', 'b full']);
  });
});
