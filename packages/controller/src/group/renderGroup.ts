/** Renders the replication group as seen by a control VM. */
import { renderTable } from '@spoolplank/shared';
import type { GroupSummary } from './groupWatch';

function describeLosses({ tolerableLosses }: GroupSummary): string {
  if (tolerableLosses === null) return 'only the leader knows how many losses it bears now';
  if (tolerableLosses < 0) return 'NO MAJORITY of the voters is heard';
  return `bears ${tolerableLosses} more ${tolerableLosses === 1 ? 'loss' : 'losses'}`;
}

/** Returns the warning that the losses in the settings are not tolerated, if that is so. */
function describeMissingVoters({ missingVoters }: GroupSummary): readonly string[] {
  if (missingVoters === 0) return [];
  const vms = missingVoters === 1 ? 'VM' : 'VMs';
  return [
    `TOO FEW VOTERS for the losses in the settings: run the role control on ${missingVoters} more ${vms} with a disk`,
  ];
}

/** Returns a heading, a warning if voters are missing, and a table with one row per member. */
export function renderGroup(group: GroupSummary): readonly string[] {
  const { replica, role, term, leader, voters, learners, standbys, silentVoters } = group;
  const states: Readonly<Record<string, readonly string[]>> = {
    voter: voters,
    learner: learners,
    standby: standbys,
  };
  const rows = Object.entries(states).flatMap(([part, ids]) =>
    ids.map((id) => [
      id,
      part,
      id === leader ? 'leads' : '',
      silentVoters?.includes(id) ? 'SILENT' : '',
      id === replica ? 'this VM' : '',
    ]),
  );
  return [
    `Control group: ${role} in term ${term}, ${describeLosses(group)}`,
    ...describeMissingVoters(group),
    ...renderTable([['REPLICA', 'PART', 'LEADER', 'HEARD', ''], ...rows]),
  ];
}
