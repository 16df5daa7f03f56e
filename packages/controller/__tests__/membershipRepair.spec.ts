import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideRetirement } from '../src/membershipRepair';

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
