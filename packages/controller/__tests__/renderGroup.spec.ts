import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { GroupSummary } from '../src/group/groupWatch';
import { renderGroup } from '../src/group/renderGroup';

const SUMMARY: GroupSummary = {
  replica: 'vm1#a',
  role: 'leader',
  term: 4,
  leader: 'vm1#a',
  voters: ['vm1#a', 'vm2#b', 'vm3#c'],
  learners: [],
  standbys: ['vm4#d'],
  missingVoters: 0,
  configurationIndex: 9,
  silentVoters: ['vm3#c'],
  tolerableLosses: 0,
};

describe('the table of a control group', () => {
  it('shows voters, leader, silent replicas and the number of tolerable losses', () => {
    assert.deepEqual(renderGroup(SUMMARY), [
      'Control group: leader in term 4, bears 0 more losses',
      'REPLICA  PART     LEADER  HEARD',
      'vm1#a    voter    leads           this VM',
      'vm2#b    voter',
      'vm3#c    voter            SILENT',
      'vm4#d    standby',
    ]);
  });

  it('shows how many control VMs are missing for the losses in the settings', () => {
    const [, warning] = renderGroup({ ...SUMMARY, missingVoters: 2 });
    assert.equal(
      warning,
      'TOO FEW VOTERS for the losses in the settings: run the role control on 2 more VMs with a disk',
    );
  });

  it('shows that there is no majority', () => {
    const [heading] = renderGroup({ ...SUMMARY, role: 'pre-candidate', tolerableLosses: -1 });
    assert.equal(
      heading,
      'Control group: pre-candidate in term 4, NO MAJORITY of the voters is heard',
    );
  });
});
