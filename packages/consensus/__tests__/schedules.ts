/** Random fault schedules for a group, reproducible by seed. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryCluster } from './memoryCluster';
import { appliedCommands, changeMembership } from './memoryNode';
import type { Node } from './memoryNode';

type Operation = (cluster: MemoryCluster, node: Node) => unknown;

/** An operation and its relative frequency in each kind of schedule. */
interface WeightedOperation {
  readonly weights: readonly [mixed: number, churn: number, cuts: number, disks: number];
  readonly run: Operation;
}

function deliverRandomMessage(cluster: MemoryCluster): void {
  if (cluster.network.length > 0) cluster.deliver(cluster.random.nextInt(cluster.network.length));
}

/** Replaces the identity of a wiped replica: removes the old one, then adds the new one. */
function repairMembership(cluster: MemoryCluster): void {
  const leader = cluster.leader();
  const configuration = leader?.replica?.status().configuration;
  if (!leader || !configuration) return;
  const isCurrent = (id: string) => cluster.nodes.some((node) => node.id === id);
  const old = [...configuration.voters, ...configuration.learners].find((id) => !isCurrent(id));
  const missing = cluster.nodes.find(({ id }) => !configuration.voters.includes(id));
  if (old !== undefined) changeMembership(leader, { kind: 'remove', replicaId: old });
  else if (missing) {
    const isLearner = configuration.learners.includes(missing.id);
    const matchIndex = leader.replica?.status().matchIndexes[missing.id] ?? 0;
    if (!isLearner) changeMembership(leader, { kind: 'add-learner', replicaId: missing.id });
    else if (matchIndex + 3 >= (leader.replica?.status().commitIndex ?? 0)) {
      changeMembership(leader, { kind: 'promote', replicaId: missing.id });
    }
  }
}

/**
 * Wipes a disk only if the group tolerates it: every replica is a voter, and the membership change
 * that made it one is committed. Before that, the group may still consist of two voters and cannot
 * survive the loss of one.
 */
function wipeIfTolerable(cluster: MemoryCluster, node: Node): void {
  const status = cluster.leader()?.replica?.status();
  if (!status || !cluster.nodes.every(({ replica }) => replica)) return;
  const { voters } = status.configuration;
  const isWhole =
    cluster.nodes.every(({ id }) => voters.includes(id)) && voters.length === cluster.nodes.length;
  if (isWhole && status.commitIndex === status.lastIndex) cluster.wipe(node);
}

function proposeToRandomLeader(cluster: MemoryCluster, node: Node): void {
  const leaders = cluster.nodes.filter(({ replica }) => replica?.status().role === 'leader');
  cluster.propose(leaders[cluster.random.nextInt(Math.max(1, leaders.length))] ?? node);
}

/** Advances time so that one replica starts an election, even if the leader is healthy. */
function triggerElection(cluster: MemoryCluster, node: Node): void {
  cluster.advance(600 + cluster.random.nextInt(1200));
  node.replica?.tick();
  cluster.beginSave(node);
  cluster.finishSave(node);
}

function crashOrStart(cluster: MemoryCluster, node: Node): void {
  if (node.replica) cluster.crash(node);
  else cluster.start(node);
}

/** Restarts without advancing time, so that no vote restriction can expire meanwhile. */
function restartImmediately(cluster: MemoryCluster, node: Node): void {
  if (node.replica) cluster.crash(node);
  cluster.start(node);
}

/** How a schedule changes the membership and wipes disks. */
export interface MembershipStrategy {
  /** Prepares the cluster before its first step. */
  readonly prepare: (cluster: MemoryCluster) => void;
  readonly repair: (cluster: MemoryCluster) => void;
  /** Makes all replicas members again after the faults. */
  readonly restoreMembership: (cluster: MemoryCluster) => void;
  readonly wipe: (cluster: MemoryCluster, node: Node) => void;
}

const REMOVE_THEN_ADD: MembershipStrategy = {
  prepare: () => {},
  repair: repairMembership,
  restoreMembership: repairMembership,
  wipe: wipeIfTolerable,
};

const listOperations = (strategy: MembershipStrategy): readonly WeightedOperation[] => [
  { weights: [40, 50, 40, 40], run: deliverRandomMessage },
  { weights: [12, 15, 10, 20], run: (cluster, node) => cluster.beginSave(node) },
  { weights: [12, 15, 10, 12], run: (cluster, node) => cluster.finishSave(node) },
  {
    weights: [10, 8, 10, 8],
    run(cluster) {
      cluster.advance(cluster.random.nextInt(250));
      cluster.tick();
    },
  },
  { weights: [2, 6, 3, 2], run: triggerElection },
  { weights: [16, 4, 12, 8], run: (cluster) => cluster.runTurn() },
  { weights: [12, 10, 14, 12], run: proposeToRandomLeader },
  {
    weights: [3, 6, 3, 3],
    run(cluster) {
      if (cluster.network.length > 0)
        cluster.network.splice(cluster.random.nextInt(cluster.network.length), 1);
    },
  },
  {
    weights: [2, 3, 2, 2],
    run(cluster) {
      const copy = cluster.network[cluster.random.nextInt(Math.max(1, cluster.network.length))];
      if (copy) cluster.network.push(copy);
    },
  },
  { weights: [2, 1, 1, 3], run: crashOrStart },
  { weights: [1, 4, 1, 6], run: restartImmediately },
  {
    weights: [2, 1, 2, 1],
    run(cluster, node) {
      if (node.isFrozen) cluster.unfreeze(node);
      else cluster.freeze(node);
    },
  },
  {
    weights: [1, 2, 10, 1],
    run(_cluster, node) {
      node.isPartitioned = !node.isPartitioned;
    },
  },
  { weights: [2, 1, 2, 3], run: strategy.repair },
  { weights: [1, 0, 1, 2], run: strategy.wipe },
  {
    weights: [1, 2, 3, 1],
    run(_cluster, node) {
      node.replica?.transferLeadership();
    },
  },
];

const KINDS = 4;

function pickOperation(
  cluster: MemoryCluster,
  operations: readonly WeightedOperation[],
  kind: number,
): Operation {
  const total = operations.reduce((sum, { weights }) => sum + (weights[kind] ?? 0), 0);
  let left = cluster.random.nextInt(total);
  const found = operations.find(({ weights }) => {
    left -= weights[kind] ?? 0;
    return left < 0;
  });
  return found?.run ?? deliverRandomMessage;
}

export interface ScheduleResult {
  readonly committed: number;
  readonly terms: number;
}

/** Runs one schedule and checks that no acknowledged entry is lost. */
export function runSchedule(
  seed: number,
  steps: number,
  strategy: MembershipStrategy = REMOVE_THEN_ADD,
): ScheduleResult {
  const operations = listOperations(strategy);
  const kind = seed % KINDS;
  const cluster = new MemoryCluster({
    seed,
    size: seed % 5 === 0 ? 5 : 3,
    snapshotEvery: seed % 3 === 0 ? 3 : 9,
  });
  strategy.prepare(cluster);
  if (cluster.random.nextInt(4) > 0) cluster.electLeader();
  for (let step = 0; step < steps; step += 1) {
    const node = cluster.nodes[cluster.random.nextInt(cluster.nodes.length)];
    if (node) pickOperation(cluster, operations, kind)(cluster, node);
    cluster.checkInvariants();
  }
  const acked = cluster.ackedIndex;
  cluster.runWithoutFaults(60);
  for (let round = 0; round < 8; round += 1) {
    strategy.restoreMembership(cluster);
    cluster.runWithoutFaults(6);
  }
  const leader = cluster.leader();
  assert.ok(leader, `seed ${seed}: no leader after the faults`);
  assert.ok(
    leader.appliedIndex >= acked,
    `seed ${seed}: entry ${acked} was acknowledged, but the leader ends at ${leader.appliedIndex}`,
  );
  cluster.nodes.forEach((node) => {
    assert.deepEqual(
      appliedCommands(node),
      appliedCommands(leader),
      `seed ${seed}: ${node.id} differs from the leader`,
    );
  });
  return { committed: cluster.committed.size, terms: cluster.leadersByTerm.size };
}

const PARTS = 4;
const SCHEDULES = 10_000;
const STEPS = 150;

/** One of four equal parts of the schedules, in a test file each so that they run in parallel. */
export function describeSchedules(part: number): void {
  describe('a replicated log under faults', () => {
    it(`loses no acknowledged entry and serves no stale read, part ${part} of ${PARTS}`, () => {
      let committed = 0;
      for (let seed = part; seed <= SCHEDULES; seed += PARTS)
        committed += runSchedule(seed, STEPS).committed;
      assert.ok(committed > SCHEDULES / PARTS, 'the schedules commit entries');
    });
  });
}
