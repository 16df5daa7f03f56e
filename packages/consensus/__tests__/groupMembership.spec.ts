import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideRepair, decideRetirement } from '..';
import type { Configuration, ReplicaStatus } from '..';

const GROUP: Configuration = { voters: ['vm1#a', 'vm2#b', 'vm3#c'], learners: [] };

describe('a replica that fell silent', () => {
  it('is removed where a majority then needs fewer votes', () => {
    const change = decideRetirement({ voters: ['a', 'b', 'c', 'd'], learners: [] }, ['c']);
    assert.deepEqual(change, { kind: 'remove', replicaId: 'c' });
  });

  it('stays where nothing is gained, so that it can come back', () => {
    assert.equal(decideRetirement({ voters: ['a', 'b', 'c'], learners: [] }, ['c']), null);
    assert.equal(decideRetirement({ voters: ['a', 'b'], learners: [] }, ['b']), null);
  });

  it('goes at once when it was a learner', () => {
    const change = decideRetirement({ voters: ['a', 'b', 'c'], learners: ['d'] }, ['c', 'd']);
    assert.deepEqual(change, { kind: 'remove', replicaId: 'd' });
  });
});

describe('repair of the membership', () => {
  function status(configuration: Configuration, matchIndex = 0): ReplicaStatus {
    return {
      id: 'vm2#b',
      role: 'leader',
      term: 1,
      leaderId: 'vm2#b',
      commitIndex: 100,
      lastIndex: 100,
      savedIndex: 100,
      snapshotIndex: 0,
      configuration,
      configurationIndex: 1,
      isLeaseValid: true,
      matchIndexes: { 'vm1#new': matchIndex },
      heardAgesMs: {},
      lastDenial: null,
    };
  }

  it('goes step by step: out with the lost identity, in as a learner, then a voter', () => {
    assert.deepEqual(decideRepair(status(GROUP), 'vm1#new'), {
      kind: 'remove',
      replicaId: 'vm1#a',
    });
    const two = { voters: ['vm2#b', 'vm3#c'], learners: [] };
    assert.deepEqual(decideRepair(status(two), 'vm1#new'), {
      kind: 'add-learner',
      replicaId: 'vm1#new',
    });
    const learning = { ...two, learners: ['vm1#new'] };
    assert.equal(decideRepair(status(learning, 10), 'vm1#new'), null, 'it has to catch up first');
    assert.deepEqual(decideRepair(status(learning, 99), 'vm1#new'), {
      kind: 'promote',
      replicaId: 'vm1#new',
    });
  });
});
