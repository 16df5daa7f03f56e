/**
 * Guards against a learner that is removed while it is unreachable and never asks to join again.
 * Neither the addition nor the removal reached the VM. A non-voter starts no election, so it kept
 * the last leader it knew and did not notice that it was no longer a member. Later losses, each of
 * which the settings allow, then left the group with two voters permanently lost. In the schedule
 * of the seed below, the VM receives nothing for 2 s and is then reachable for 5 s.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { deriveMembershipLimits, listReplicas } from '..';
import { findProblem, optionsOf, runGroupSchedule } from './groupSchedules';
import { MemoryGroup } from './memoryGroup';

const FAULT_TOLERANCE = { lossesBorne: 1, catchUpMs: 4000 };
const LIMITS = deriveMembershipLimits(FAULT_TOLERANCE);
const ELECTION_MS = 3000;
const MARGIN_MS = 1000;
const UNREACHABLE_LEARNER_SEED = 2916;

describe('a non-voting VM that was removed while unreachable', () => {
  it('becomes a member again soon after it is reachable', () => {
    const group = new MemoryGroup({
      seed: 1,
      size: 3,
      faultTolerance: FAULT_TOLERANCE,
      dataCentres: 3,
    });
    const listMembers = () => {
      const status = group.confirmedLeader()?.node.replica?.status();
      return status ? listReplicas(status.configuration) : [];
    };
    group.run(ELECTION_MS);
    const { node } = group.addVm('dc3');
    group.run(LIMITS.stableForMs + MARGIN_MS);
    assert.ok(listMembers().includes(node.id));
    node.isPartitioned = true;
    group.run(LIMITS.removeAfterMs + MARGIN_MS);
    assert.ok(!listMembers().includes(node.id));
    node.isPartitioned = false;
    group.run(FAULT_TOLERANCE.catchUpMs);
    assert.ok(listMembers().includes(node.id));
  });

  it('becomes a member again before further losses that the settings allow', () => {
    const result = runGroupSchedule(optionsOf(UNREACHABLE_LEARNER_SEED));
    assert.equal(findProblem(result), null);
  });
});
