import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideBootstrap } from '..';
import type { Configuration } from '..';

const GROUP: Configuration = { voters: ['vm1#a', 'vm2#b', 'vm3#c'], learners: [] };

describe('a blank control VM', () => {
  const blank = (replicaId: string) => ({ replicaId, configuration: null });
  const member = (replicaId: string) => ({ replicaId, configuration: GROUP });

  it('founds a group only when every other one is blank too', () => {
    const step = decideBootstrap({ self: 'vm1#x', others: [blank('vm2#y'), blank('vm3#z')] });
    assert.deepEqual(step, {
      kind: 'found',
      configuration: { voters: ['vm1#x', 'vm2#y', 'vm3#z'], learners: [] },
    });
  });

  it('waits for one that does not answer, which may hold everything', () => {
    assert.equal(
      decideBootstrap({ self: 'vm1#x', others: [blank('vm2#y'), undefined] }).kind,
      'wait',
    );
  });

  it('founds it without a VM that has no disk, and will never vote', () => {
    const step = decideBootstrap({
      self: 'vm1#x',
      others: [blank('vm2#y'), { replicaId: null, configuration: null }],
    });
    assert.equal(step.kind, 'found');
    assert.deepEqual(step.kind === 'found' && step.configuration.voters, ['vm1#x', 'vm2#y']);
  });

  it('leaves it to one of them to found the group', () => {
    assert.equal(
      decideBootstrap({ self: 'vm2#y', others: [blank('vm1#x'), blank('vm3#z')] }).kind,
      'wait',
    );
  });

  it('joins a group that does not know this life of its disk, and takes part in one that does', () => {
    assert.equal(
      decideBootstrap({ self: 'vm1#new', others: [member('vm2#b'), undefined] }).kind,
      'join',
    );
    assert.equal(
      decideBootstrap({ self: 'vm1#a', others: [member('vm2#b'), blank('vm3#z')] }).kind,
      'take-part',
    );
  });
});
