/**
 * A VM that joined could hear nothing for two seconds. The leader had taken it in as a learner and
 * removed it again when it stayed silent; the VM received neither message. It was reachable again
 * and never asked to be taken in: it believed in the leader that it had known last, as a replica
 * without a vote holds no election and nothing else made it give that leader up. Later losses,
 * each of which the settings allow, then met a group in which two voters were gone for good.
 *
 * What settled it: the schedule below, in which the VM was up and reachable for five seconds, its
 * log ended at the entry that took it in, and no line after that said that it asked.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { deriveMembershipLimits, listReplicas } from '..';
import { findProblem, optionsOf, runGroupSchedule } from './groupSchedules';
import { MemoryGroup } from './memoryGroup';

const PROMISE = { lossesBorne: 1, catchUpMs: 4000 };
const LIMITS = deriveMembershipLimits(PROMISE);
const ELECTION_MS = 3000;
const MARGIN_MS = 1000;
const SEED_OF_A_DEAF_NEWCOMER = 2916;

describe('a VM without a vote that was away until it was removed', () => {
  it('is a member again soon after it can be reached', () => {
    const group = new MemoryGroup({ seed: 1, size: 3, promise: PROMISE, dataCentres: 3 });
    const listMembers = () => {
      const status = group.confirmedLeader()?.node.replica?.status();
      return status ? listReplicas(status.configuration) : [];
    };
    group.run(ELECTION_MS);
    const { node } = group.addVm('dc3');
    group.run(LIMITS.stableForMs + MARGIN_MS);
    assert.ok(listMembers().includes(node.id));
    node.isCut = true;
    group.run(LIMITS.removeAfterMs + MARGIN_MS);
    assert.ok(!listMembers().includes(node.id));
    node.isCut = false;
    group.run(PROMISE.catchUpMs);
    assert.ok(listMembers().includes(node.id));
  });

  it('is a member again before further losses that the settings allow', () => {
    const result = runGroupSchedule(optionsOf(SEED_OF_A_DEAF_NEWCOMER));
    assert.equal(findProblem(result), null);
  });
});
