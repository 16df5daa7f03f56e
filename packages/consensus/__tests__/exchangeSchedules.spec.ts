/** The random schedules of faults over a group that exchanges its voters by joint consensus. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { listReplicas } from '..';
import type { MemoryCluster } from './memoryCluster';
import { changeMembership } from './memoryNode';
import type { Node } from './memoryNode';
import { runSchedule } from './schedules';
import type { MembershipPlay } from './schedules';

/** Adds a VM that is no voter, so that there is always one to exchange a voter for. */
function prepare(cluster: MemoryCluster): void {
  cluster.start(cluster.addBlank('spare'));
}

/** Takes in who is outside, and exchanges a lost identity, or else a voter as it is told. */
function exchange(cluster: MemoryCluster, drawn?: string): void {
  const leader = cluster.leader();
  const status = leader?.replica?.status();
  if (!leader || !status) return;
  const { configuration, matchIndexes, commitIndex } = status;
  const { voters, learners, standbys = [] } = configuration;
  const isCurrent = (id: string) => cluster.nodes.some((node) => node.id === id);
  const members = listReplicas(configuration);
  const lostOther = [...learners, ...standbys].find((id) => !isCurrent(id));
  const outside = cluster.nodes.find(({ id }) => !members.includes(id));
  const ready = [...learners, ...standbys].find(
    (id) => isCurrent(id) && (matchIndexes[id] ?? 0) >= commitIndex,
  );
  const lostVoter = voters.find((id) => !isCurrent(id));
  const out = lostVoter ?? drawn;
  if (lostOther !== undefined) changeMembership(leader, { kind: 'remove', replicaId: lostOther });
  else if (outside) changeMembership(leader, { kind: 'add-learner', replicaId: outside.id });
  else if (ready !== undefined && out !== undefined) {
    changeMembership(leader, {
      kind: 'exchange',
      incoming: [ready],
      outgoing: [out],
      kept: lostVoter === undefined ? [out] : [],
    });
  }
}

function exchangeAny(cluster: MemoryCluster): void {
  const voters = cluster.leader()?.replica?.status().configuration.voters ?? [];
  exchange(cluster, voters[cluster.random.nextInt(Math.max(1, voters.length))]);
}

/** A disk is taken only while every voter runs as the identity that votes, with all committed. */
function wipe(cluster: MemoryCluster, node: Node): void {
  const status = cluster.leader()?.replica?.status();
  if (!status || !cluster.nodes.every(({ replica }) => replica)) return;
  const { voters, outgoing } = status.configuration;
  const isWhole = voters.every((id) => cluster.nodes.some((other) => other.id === id));
  const isSettled = !outgoing && status.commitIndex === status.lastIndex;
  // A voter that has only just been let in may hold less than the leader knows of it.
  const holdsAll = voters.every(
    (id) => id === status.id || (status.matchIndexes[id] ?? 0) >= status.commitIndex,
  );
  if (isWhole && isSettled && holdsAll) cluster.wipe(node);
}

const EXCHANGE: MembershipPlay = {
  prepare,
  repair: exchangeAny,
  mend: (cluster) => exchange(cluster),
  wipe,
};
const SCHEDULES = 2000;
const STEPS = 150;

describe('a replicated log that exchanges its voters under faults', () => {
  it('keeps what it acknowledged and reads nothing stale', () => {
    let committed = 0;
    for (let seed = 1; seed <= SCHEDULES; seed += 1)
      committed += runSchedule(seed, STEPS, EXCHANGE).committed;
    assert.ok(committed > SCHEDULES, 'the schedules get work done');
  });
});
