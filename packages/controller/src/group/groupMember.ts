/**
 * A member of a replication group within a process. It finds the group or bootstraps it with
 * others, runs the replica, and executes the decisions of `createGroupMembership`.
 */
import { join } from 'node:path';
import {
  createGroupMembership,
  createGroupRunner,
  deriveElectionLimitMs,
  deriveMembershipLimits,
  findFaultToleranceProblem,
  vmIdOfReplica,
} from '@spoolplank/consensus';
import type {
  ElectionTimings,
  GroupDescription,
  FaultTolerance,
  GroupRunner,
  JoinRequest,
  Message,
  ReplicaStatus,
  StateMachine,
} from '@spoolplank/consensus';
import { createFileStorage, delay, loadOrCreateReplicaId, scheduleTimer } from '@spoolplank/node';
import type { EventLog, PeerClient, PeerMethod, PeerTarget } from '@spoolplank/node';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { loadGroupGeneration } from './groupGeneration';
import { createGroupLoop } from './groupLoop';
import { createGroupRecovery } from './groupRecovery';
import type { DescribedCopy, GroupRecovery } from './groupRecovery';
import { createGroupSearch } from './groupSearch';
import { createGroupWatch, summarizeGroup } from './groupWatch';
import type { GroupSummary } from './groupWatch';
import { restartFromCopy } from './copyRestart';
import { createRaftTransport } from './raftTransport';

export interface GroupMemberOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Pick<EventLog, 'info' | 'warn' | 'error'>;
  readonly peers: PeerClient;
  /** Name of the group, and of its folder in the data folder. */
  readonly group: string;
  /** Name of this VM among its peers; prefix of its replica id. */
  readonly vmId: string;
  readonly dataCentre: string;
  readonly dataFolder: string;
  /** VMs that bootstrap the group when none of them has data; empty when the group must exist. */
  readonly bootstrapVmIds: readonly string[];
  /** Whether this VM starts together with the whole system and so replaces no other member. */
  readonly isFirstStart: boolean;
  readonly faultTolerance: FaultTolerance;
  readonly timings: ElectionTimings;
  /** Options of the runner; see `GroupRunnerOptions`. */
  readonly running?: {
    readonly tickIntervalMs?: number;
    readonly snapshotEveryEntries?: number;
    readonly keepEntries?: number;
    readonly proposalTimeoutMs?: number;
  };
  /** The other control VMs that are currently known. */
  readonly listOthers: () => readonly string[];
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
  readonly dataCentreOf: (vmId: string) => string | undefined;
  readonly stateMachine: StateMachine;
  /** Short description of the state machine, for an operator who compares copies. */
  readonly describeState: () => string;
  readonly onApplied: () => void;
  readonly onElected?: () => void;
  /** Called when the replica cannot continue; the process should exit. */
  readonly onFatal: (error: SpoolplankError) => void;
}

export interface GroupMember extends Pick<GroupRecovery, 'report' | 'recover'> {
  /** RPC methods that other control VMs call. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  start(): Promise<void>;
  /** Transfers leadership, and the vote if another member can take it, and stops. */
  stop(): Promise<void>;
  /** @throws SpoolplankError `not-leader`, and those of `GroupRunner.propose`. */
  propose(command: JsonValue): Promise<JsonValue>;
  /** Whether this replica is the leader and a quorum confirms it now. */
  canRead(): boolean;
  /** The term that this replica knows; the one in which it leads while it may read. */
  term(): number;
  /** The leader's VM, as far as this replica knows. */
  leaderVm(): string | undefined;
  /** Null while the replica searches for its group. */
  status(): ReplicaStatus | null;
  /** The group as seen by this replica; null while it searches for its group. */
  summary(): GroupSummary | null;
  /** Time in milliseconds since the group last had a confirmed leader; infinite if it never had. */
  unconfirmedMs(): number;
  readonly replicaId: string;
}

const POLL_MS = 100;
const REQUEST_TIMEOUT_MS = 500;
/** Share of the interval between two tolerated VM losses that a process may use for hand-over. */
const HAND_OVER_SHARE = 0.5;
/** An active replica responds or requests votes within twice the election timeout. */
const SILENT_AFTER_TIMEOUTS = 2;

export async function createGroupMember(options: GroupMemberOptions): Promise<GroupMember> {
  const { clock, log, peers, vmId, group, findTarget, stateMachine, dataFolder } = options;
  const { faultTolerance, timings } = options;
  const replicaId = await loadOrCreateReplicaId(dataFolder, vmId);
  const generation = await loadGroupGeneration({ dataFolder, group });
  const storage = createFileStorage({ folder: join(dataFolder, group) });
  const limits = deriveMembershipLimits(faultTolerance);
  const silentAfterMs = SILENT_AFTER_TIMEOUTS * timings.electionTimeoutMs;
  const transport = createRaftTransport({
    peers,
    findTarget,
    overdueMs: timings.heartbeatIntervalMs,
  });
  const search = createGroupSearch({
    ...options,
    replicaId,
    storage,
    generation,
    votersWanted: limits.votersWanted,
  });
  let runner: GroupRunner | null = null;
  let isStopping = false;

  const membership = createGroupMembership({
    clock,
    replicaId,
    limits,
    dataCentreOf: (id) => options.dataCentreOf(vmIdOfReplica(id)),
  });
  const joinReplies = new Map<string, string>();
  const watch = createGroupWatch({
    clock,
    log,
    electionLimitMs: deriveElectionLimitMs(timings),
    silentAfterMs,
    votersWanted: limits.votersWanted,
    fewVotersLimitMs: faultTolerance.catchUpMs,
    joinReplies: () => [...joinReplies].map(([vm, reply]) => `${vm}: ${reply}`),
  });

  const status = () => runner?.status() ?? null;
  const canRead = () => runner?.canRead() ?? false;

  async function startReplica(): Promise<void> {
    const created = createGroupRunner({
      ...options.running,
      id: replicaId,
      group: generation.groupName,
      clock,
      random: options.random,
      storage,
      stateMachine,
      send: transport.send,
      schedule: scheduleTimer,
      timings,
      onApplied: options.onApplied,
      onStorageState(error) {
        if (!error) log.info('storage-recovered');
        else if (error.code === 'storage-full')
          log.error('storage-full', { detail: error.message });
        else options.onFatal(error);
      },
    });
    await created.start();
    runner = created;
  }

  async function stopReplica(): Promise<void> {
    const ending = runner;
    runner = null;
    await ending?.stop();
  }

  function describeGroup(): GroupDescription {
    const configuration = status()?.configuration ?? null;
    return {
      replicaId,
      configuration: configuration && configuration.voters.length > 0 ? configuration : null,
      generation: generation.current,
    };
  }

  function describeCopy(): DescribedCopy | null {
    const current = status();
    if (!current || current.configuration.voters.length === 0) return null;
    const { configuration, lastIndex, lastTerm, commitIndex } = current;
    return {
      vmId,
      replicaId,
      generation: generation.current,
      configuration,
      lastIndex,
      lastTerm,
      commitIndex,
      state: options.describeState(),
    };
  }

  const recovery = createGroupRecovery({
    log,
    peers,
    vmId,
    listOthers: search.listOthers,
    findTarget,
    describeCopy,
    async restartAsOnlyVoter() {
      await stopReplica();
      await generation.advance(generation.current + 1);
      await restartFromCopy({ storage, stateMachine, replicaId });
      await startReplica();
    },
  });

  /** Moves this replica's log aside, as the group was recovered without it; the VM restarts. */
  async function retireReplica(newer: number): Promise<void> {
    log.warn('group-superseded', { generation: generation.current, newer });
    await stopReplica();
    await generation.supersede(newer);
    options.onFatal(new SpoolplankError('superseded'));
  }

  async function checkGeneration(): Promise<void> {
    const newer = await search.findNewerGeneration();
    if (newer !== null && !isStopping) await retireReplica(newer);
  }

  function askOthers(method: string, request: JoinRequest, onAccepted: () => void): void {
    const others = search.listOthers();
    [...joinReplies.keys()]
      .filter((vm) => !others.includes(vm))
      .forEach((vm) => joinReplies.delete(vm));
    others.forEach((other) => {
      const target = findTarget(other);
      if (!target) return;
      peers.call(target, method, request, { timeoutMs: REQUEST_TIMEOUT_MS }).then(
        () => {
          joinReplies.set(other, 'accepted');
          onAccepted();
        },
        (error: unknown) => joinReplies.set(other, toSpoolplankError(error).code),
      );
    });
  }

  const loop = createGroupLoop({
    clock,
    log,
    membership,
    watch,
    isFirstStart: options.isFirstStart,
    dataCentre: options.dataCentre,
    replicaId,
    runner: () => runner,
    askOthers,
    checkGeneration,
    onElected: options.onElected,
  });

  /** Creates the method by which a member or joining VM sends a request to the leader. */
  function createLeaderMethod(handle: (request: JoinRequest) => void): PeerMethod {
    return (params, sender) => {
      const request = params as unknown as JoinRequest;
      if (!canRead()) throw new SpoolplankError('not-leader');
      if (vmIdOfReplica(request.replicaId) !== sender) throw new SpoolplankError('forbidden');
      handle(request);
      loop.evaluateNow();
      return null;
    };
  }

  const methods: Readonly<Record<string, PeerMethod>> = {
    'consensus.step': (params, sender) => {
      const { messages } = params as unknown as { readonly messages: readonly Message[] };
      // A VM may only send messages of its own replicas.
      messages
        .filter(({ from }) => vmIdOfReplica(from) === sender)
        .forEach((message) => runner?.receive(message));
      return null;
    },
    'group.describe': () => describeGroup() as unknown as JsonValue,
    'group.join': createLeaderMethod((request) => membership.recordJoin(request)),
    'group.leave': createLeaderMethod((request) => membership.recordLeave(request.replicaId)),
    ...recovery.methods,
  };

  async function handOver(ending: GroupRunner): Promise<void> {
    membership.beginLeaving();
    ending.deferElections();
    const endsAtMs = clock.nowMs() + faultTolerance.catchUpMs * HAND_OVER_SHARE;
    while (membership.mustDelayShutdown(ending.status()) && clock.nowMs() < endsAtMs) {
      await delay(POLL_MS);
    }
    // Leaves time for the vote for the successor to arrive.
    await delay(POLL_MS);
  }

  return {
    methods,
    replicaId,
    report: recovery.report,
    recover: recovery.recover,
    async start() {
      const problem = findFaultToleranceProblem(faultTolerance);
      if (problem !== null) log.warn('promise-not-kept', { problem });
      const stored = await storage.load();
      const isBlank = stored.snapshot === null && stored.entries.length === 0;
      while (isBlank && !isStopping && !(await search.tryToFind())) await delay(POLL_MS);
      if (isStopping) return;
      await startReplica();
      log.info('replica-started', { replica: replicaId, isBlank });
      loop.start();
    },
    async stop() {
      isStopping = true;
      if (runner) await handOver(runner);
      await stopReplica();
      loop.stop();
    },
    propose: (command) =>
      runner ? runner.propose(command) : Promise.reject(new SpoolplankError('not-leader')),
    canRead,
    term: () => status()?.term ?? 0,
    leaderVm() {
      const leaderId = status()?.leaderId;
      return leaderId ? vmIdOfReplica(leaderId) : undefined;
    },
    status,
    summary() {
      const current = status();
      return (
        current && summarizeGroup(current, { silentAfterMs, votersWanted: limits.votersWanted })
      );
    },
    unconfirmedMs: () => watch.unconfirmedMs(),
  };
}
