import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideBootstrap } from '..';
import type { Configuration } from '..';

const GROUP: Configuration = { voters: ['vm1#a', 'vm2#b', 'vm3#c'], learners: [] };

describe('a control VM with an empty folder', () => {
  const blank = (replicaId: string) => ({ replicaId, configuration: null });
  const member = (replicaId: string) => ({ replicaId, configuration: GROUP });

  it('creates a group only if all others have empty folders too', () => {
    const step = decideBootstrap({ self: 'vm1#x', others: [blank('vm2#y'), blank('vm3#z')] });
    assert.deepEqual(step, {
      kind: 'found',
      configuration: { voters: ['vm1#x', 'vm2#y', 'vm3#z'], learners: [] },
    });
  });

  it('waits for a VM that does not reply, as it may hold committed state', () => {
    assert.equal(
      decideBootstrap({ self: 'vm1#x', others: [blank('vm2#y'), undefined] }).kind,
      'wait',
    );
  });

  it('creates the group without a VM that has no disk and never votes', () => {
    const step = decideBootstrap({
      self: 'vm1#x',
      others: [blank('vm2#y'), { replicaId: null, configuration: null }],
    });
    assert.equal(step.kind, 'found');
    assert.deepEqual(step.kind === 'found' && step.configuration.voters, ['vm1#x', 'vm2#y']);
  });

  it('leaves the creation of the group to the VM with the lowest id', () => {
    assert.equal(
      decideBootstrap({ self: 'vm2#y', others: [blank('vm1#x'), blank('vm3#z')] }).kind,
      'wait',
    );
  });

  it('joins a group without its replica identity and starts in a group that has it as a member', () => {
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
