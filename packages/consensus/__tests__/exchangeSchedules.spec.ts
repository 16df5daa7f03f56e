/** Random fault schedules for a group that exchanges its voters by joint consensus. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { listReplicas } from '..';
import type { MemoryCluster } from './memoryCluster';
import { changeMembership } from './memoryNode';
import type { Node } from './memoryNode';
import { runSchedule } from './schedules';
import type { MembershipStrategy } from './schedules';

/** Adds a non-voting VM, so that there is always a replacement for a voter. */
function prepare(cluster: MemoryCluster): void {
  cluster.start(cluster.addBlank('spare'));
}

/** Adds non-members, and exchanges a lost voter or else the chosen one. */
function exchange(cluster: MemoryCluster, chosenVoter?: string): void {
  const leader = cluster.leader();
  const status = leader?.replica?.status();
  if (!leader || !status) return;
  const { configuration, matchIndexes, commitIndex } = status;
  const { voters, learners, standbys = [] } = configuration;
  const isCurrent = (id: string) => cluster.nodes.some((node) => node.id === id);
  const members = listReplicas(configuration);
  const lostNonVoter = [...learners, ...standbys].find((id) => !isCurrent(id));
  const nonMember = cluster.nodes.find(({ id }) => !members.includes(id));
  const ready = [...learners, ...standbys].find(
    (id) => isCurrent(id) && (matchIndexes[id] ?? 0) >= commitIndex,
  );
  const lostVoter = voters.find((id) => !isCurrent(id));
  const outgoingVoter = lostVoter ?? chosenVoter;
  if (lostNonVoter !== undefined)
    changeMembership(leader, { kind: 'remove', replicaId: lostNonVoter });
  else if (nonMember) changeMembership(leader, { kind: 'add-learner', replicaId: nonMember.id });
  else if (ready !== undefined && outgoingVoter !== undefined) {
    changeMembership(leader, {
      kind: 'exchange',
      incoming: [ready],
      outgoing: [outgoingVoter],
      kept: lostVoter === undefined ? [outgoingVoter] : [],
    });
  }
}

function exchangeRandomVoter(cluster: MemoryCluster): void {
  const voters = cluster.leader()?.replica?.status().configuration.voters ?? [];
  exchange(cluster, voters[cluster.random.nextInt(Math.max(1, voters.length))]);
}

/** Wipes a disk only if every voter runs under its voting identity and holds all entries. */
function wipe(cluster: MemoryCluster, node: Node): void {
  const status = cluster.leader()?.replica?.status();
  if (!status || !cluster.nodes.every(({ replica }) => replica)) return;
  const { voters, outgoing } = status.configuration;
  const isWhole = voters.every((id) => cluster.nodes.some((other) => other.id === id));
  const isSettled = !outgoing && status.commitIndex === status.lastIndex;
  // A voter that was added recently may not have stored all committed entries yet.
  const holdsAll = voters.every(
    (id) => id === status.id || (status.matchIndexes[id] ?? 0) >= status.commitIndex,
  );
  if (isWhole && isSettled && holdsAll) cluster.wipe(node);
}

const EXCHANGE_STRATEGY: MembershipStrategy = {
  prepare,
  repair: exchangeRandomVoter,
  restoreMembership: (cluster) => exchange(cluster),
  wipe,
};
const SCHEDULES = 2000;
const STEPS = 150;

describe('a replicated log that exchanges its voters under faults', () => {
  it('loses no acknowledged entry and serves no stale read', () => {
    let committed = 0;
    for (let seed = 1; seed <= SCHEDULES; seed += 1)
      committed += runSchedule(seed, STEPS, EXCHANGE_STRATEGY).committed;
    assert.ok(committed > SCHEDULES, 'the schedules commit entries');
  });
});
