import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideRecovery } from '..';
import type { GroupCopy } from '..';

const VOTERS = ['vm1#a', 'vm2#b', 'vm3#c'];

function createCopy(overrides: Partial<GroupCopy> = {}): GroupCopy {
  return {
    replicaId: 'vm1#a',
    generation: 0,
    configuration: { voters: VOTERS, learners: [] },
    lastIndex: 20,
    lastTerm: 3,
    commitIndex: 18,
    ...overrides,
  };
}

describe('a group that has permanently lost its majority', () => {
  it('recovers from the only copy and reports the missing voters and the possible loss', () => {
    assert.deepEqual(decideRecovery([createCopy()]), {
      kind: 'recover',
      copy: createCopy(),
      missing: ['vm2#b', 'vm3#c'],
      risk: 'what vm2#b, vm3#c acknowledged after entry 20 is lost',
    });
  });

  it('recovers from the longest copy of the latest term', () => {
    const standby = createCopy({ replicaId: 'vm4#d', lastIndex: 22 });
    const longer = createCopy({ replicaId: 'vm5#e', lastIndex: 40, lastTerm: 2 });
    const decision = decideRecovery([createCopy(), longer, standby]);
    assert.equal(decision.kind === 'recover' && decision.copy.replicaId, 'vm4#d');
  });

  it('ignores copies of an earlier generation', () => {
    const old = createCopy({ replicaId: 'vm2#b', lastIndex: 90, lastTerm: 9 });
    const decision = decideRecovery([old, createCopy({ generation: 1 })]);
    assert.equal(decision.kind === 'recover' && decision.copy.replicaId, 'vm1#a');
  });
});

describe('a recovery is refused', () => {
  it('while a majority is reachable in the configuration of any copy', () => {
    const second = createCopy({ replicaId: 'vm2#b' });
    assert.equal(decideRecovery([createCopy(), second]).kind, 'refuse');
    const newer = createCopy({ configuration: { voters: ['vm1#a'], learners: [] }, lastIndex: 21 });
    assert.equal(decideRecovery([newer]).kind, 'refuse');
  });

  it('if the copies are inconsistent', () => {
    const ahead = createCopy({
      replicaId: 'vm4#d',
      lastTerm: 2,
      lastIndex: 30,
      commitIndex: 30,
    });
    const decision = decideRecovery([createCopy(), ahead]);
    assert.equal(decision.kind, 'refuse');
  });

  it('if there is no copy', () => {
    assert.equal(decideRecovery([]).kind, 'refuse');
  });
});
