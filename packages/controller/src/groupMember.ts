/**
 * One member of a replicated log's group, as a process runs it: it founds the group with others or
 * finds it, takes part in it, and does what `createGroupMembership` decides.
 */
import { join } from 'node:path';
import {
  createGroupMembership,
  createGroupRunner,
  decideBootstrap,
  deriveMembershipLimits,
  findPromiseProblem,
  listVoters,
  replicasOf,
  vmOfReplica,
} from '@spoolplank/consensus';
import type {
  ConfigurationChange,
  ElectionTimings,
  GroupDescription,
  GroupPromise,
  GroupRunner,
  JoinRequest,
  MembershipAction,
  Message,
  ReplicaStatus,
  StateMachine,
} from '@spoolplank/consensus';
import { createFileStorage, delay, loadIdentity, scheduleTimer } from '@spoolplank/node';
import type { EventLog, PeerClient, PeerMethod, PeerTarget } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { createGroupWatch, summarizeGroup } from './groupWatch';
import type { GroupSummary } from './groupWatch';
import { createRaftTransport } from './raftTransport';

export interface GroupMemberOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Pick<EventLog, 'info' | 'warn' | 'error'>;
  readonly peers: PeerClient;
  /** Name of the group, and of its folder in the data folder. */
  readonly group: string;
  /** Name of this VM among its peers; begins the identity of its replica. */
  readonly vmId: string;
  readonly dataCentre: string;
  readonly dataFolder: string;
  /** VMs that found the group when all of them are blank; none where it must exist already. */
  readonly founders: readonly string[];
  /** Whether this VM starts with the whole system, and so takes nobody's place. */
  readonly isFirstStart: boolean;
  readonly promise: GroupPromise;
  readonly timings: ElectionTimings;
  /** How the replica is run; see `GroupRunnerOptions`. */
  readonly running?: {
    readonly tickIntervalMs?: number;
    readonly snapshotEveryEntries?: number;
    readonly keepEntries?: number;
    readonly proposalTimeoutMs?: number;
  };
  /** Other control VMs known now. */
  readonly listOthers: () => readonly string[];
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
  readonly dataCentreOf: (vmId: string) => string | undefined;
  readonly stateMachine: StateMachine;
  readonly onApplied: () => void;
  readonly onLeadWon?: () => void;
  /** Told when the replica cannot go on; the process should end. */
  readonly onFatal: (error: SpoolplankError) => void;
}

export interface GroupMember {
  /** What other control VMs call here. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly replicaId: string;
  start(): Promise<void>;
  /** Hands over the lead, and the vote where another member can take it, and stops. */
  stop(): Promise<void>;
  /** @throws SpoolplankError `not-leader`, and those of `GroupRunner.propose`. */
  propose(command: JsonValue): Promise<JsonValue>;
  /** Whether this replica leads and a quorum confirms it now. */
  canRead(): boolean;
  /** The VM that leads, as far as this replica knows. */
  leaderVm(): string | undefined;
  status(): ReplicaStatus | null;
  /** What this replica believes of the group; null while it looks for it. */
  summary(): GroupSummary | null;
  /** Time since a leader was last known to be confirmed by a quorum; infinite when never. */
  unconfirmedMs(): number;
}

const STEP_MS = 100;
/** Pause between two rounds of asking all others for the same. */
const ASK_PAUSE_MS = 250;
const ASK_TIMEOUT_MS = 500;
/** Part of the time after which the next VM may be lost that a process takes to hand over. */
const HAND_OVER_SHARE = 0.5;
/** Place of the founding configuration, before the first elected term. */
const FOUNDING_PLACE = { index: 1, term: 0 };
/** Two random election timeouts, and one more where the votes were split. */
const ELECTION_LIMIT_TIMEOUTS = 3;
/** A replica that takes part answers, or asks for votes, within twice the election timeout. */
const SILENT_AFTER_TIMEOUTS = 2;

export async function createGroupMember(options: GroupMemberOptions): Promise<GroupMember> {
  const { clock, log, peers, vmId, group, findTarget, stateMachine, dataFolder } = options;
  const { promise, timings, founders } = options;
  const replicaId = await loadIdentity(dataFolder, vmId);
  const storage = createFileStorage({ folder: join(dataFolder, group) });
  const limits = deriveMembershipLimits(promise);
  const silentAfterMs = SILENT_AFTER_TIMEOUTS * timings.electionTimeoutMs;
  /** VMs of the voters, as others told; the list of known VMs may have none of them. */
  const knownVoterVms = new Set<string>();
  let isTakingPart = false;
  let isStopping = false;
  let hasStopped = false;
  let wasLeader = false;
  let awaitedReason = '';
  let askedAtMs = Number.NEGATIVE_INFINITY;

  const runner: GroupRunner = createGroupRunner({
    ...options.running,
    id: replicaId,
    group,
    clock,
    random: options.random,
    storage,
    stateMachine,
    send: createRaftTransport({ peers, findTarget }).send,
    schedule: scheduleTimer,
    timings,
    onApplied: options.onApplied,
    onStorageState(error) {
      if (!error) log.info('storage-recovered');
      else if (error.code === 'storage-full') log.error('storage-full', { detail: error.message });
      else options.onFatal(error);
    },
  });
  const membership = createGroupMembership({
    clock,
    replicaId,
    limits,
    dataCentreOf: (id) => options.dataCentreOf(vmOfReplica(id)),
  });
  const watch = createGroupWatch({
    clock,
    log,
    electionLimitMs: ELECTION_LIMIT_TIMEOUTS * timings.electionTimeoutMs,
    silentAfterMs,
    votersWanted: limits.votersWanted,
    fewVotersLimitMs: limits.removeAfterMs,
  });

  const status = () => (isTakingPart ? runner.status() : null);

  function listOthers(): readonly string[] {
    const all = new Set([...options.listOthers(), ...knownVoterVms]);
    return [...all].filter((other) => other !== vmId);
  }

  function describeGroup(): GroupDescription {
    const configuration = status()?.configuration ?? null;
    return {
      replicaId,
      configuration: configuration && configuration.voters.length > 0 ? configuration : null,
    };
  }

  async function describeOthers(
    others: readonly string[],
  ): Promise<readonly (GroupDescription | undefined)[]> {
    return Promise.all(
      others.map(async (other) => {
        const target = findTarget(other);
        if (!target) return undefined;
        return peers
          .call<GroupDescription>(target, 'group.describe', {}, ASK_TIMEOUT_MS)
          .catch(() => undefined);
      }),
    );
  }

  function noteVoters(descriptions: readonly (GroupDescription | undefined)[]): void {
    descriptions
      .flatMap((description) => description?.configuration ?? [])
      .flatMap(listVoters)
      .forEach((id) => knownVoterVms.add(vmOfReplica(id)));
  }

  async function tryToFindGroup(): Promise<boolean> {
    const isFounder = founders.includes(vmId);
    const others = isFounder ? founders.filter((founder) => founder !== vmId) : listOthers();
    const descriptions = await describeOthers(others);
    noteVoters(descriptions);
    const decision = decideBootstrap({ self: replicaId, others: descriptions });
    if (decision.kind === 'wait') {
      const { reason } = decision;
      if (reason !== awaitedReason) log.info('group-awaited', { reason });
      awaitedReason = reason;
      return false;
    }
    if (decision.kind !== 'found') {
      log.info('group-found', { step: decision.kind });
      return true;
    }
    if (!isFounder) return false;
    const { configuration } = decision;
    await storage.installSnapshot({ ...FOUNDING_PLACE, configuration }, '');
    log.info('group-founded', { voters: configuration.voters });
    return true;
  }

  /** Only the leader answers with success, and which one that is may not be known. */
  function askAll(method: string, request: JoinRequest, onTaken = () => {}): void {
    if (clock.nowMs() - askedAtMs < ASK_PAUSE_MS) return;
    askedAtMs = clock.nowMs();
    listOthers().forEach((other) => {
      const target = findTarget(other);
      if (target) peers.call(target, method, request, ASK_TIMEOUT_MS).then(onTaken, () => null);
    });
  }

  function changeMembership(change: ConfigurationChange, reason: string): void {
    const { voters } = runner.status().configuration;
    log.info('group-change', {
      kind: change.kind,
      replicas: replicasOf(change),
      reason,
      voters,
    });
    runner
      .changeMembership(change)
      .catch((error: unknown) => log.warn('group-change-failed', { problem: String(error) }));
  }

  function act(action: MembershipAction): void {
    if (action.kind === 'change') changeMembership(action.change, action.reason);
    else if (action.kind === 'hand-over') {
      const { successor, reason } = action;
      if (runner.transferLeadership(successor)) log.info('lead-handed-over', { successor, reason });
    } else if (action.kind === 'ask-to-join') {
      const { dataCentre, isFirstStart } = options;
      askAll('group.join', { replicaId, dataCentre, isFounding: isFirstStart });
    } else askAll('group.leave', { replicaId }, membership.noteLeaveHeard);
  }

  function noteLead(current: ReplicaStatus): void {
    const isLeader = current.role === 'leader';
    if (isLeader === wasLeader) return;
    wasLeader = isLeader;
    log.info(isLeader ? 'lead-won' : 'lead-lost', {
      term: current.term,
      leader: current.leaderId,
    });
    if (isLeader) options.onLeadWon?.();
  }

  function step(): void {
    const current = status();
    if (!current) return;
    noteLead(current);
    const isConfirmed = wasLeader ? runner.canRead() : current.leaderId !== null;
    watch.observe(current, isConfirmed);
    const action = membership.next(current);
    if (action) act(action);
  }

  async function run(): Promise<void> {
    while (!hasStopped) {
      step();
      await delay(STEP_MS);
    }
  }

  /** Takes what a member, or a VM that wants to be one, asks of the leader. */
  function takeRequest(take: (request: JoinRequest) => void): PeerMethod {
    return (params, sender) => {
      const request = params as unknown as JoinRequest;
      if (!isTakingPart || !runner.canRead()) throw new SpoolplankError('not-leader');
      if (vmOfReplica(request.replicaId) !== sender) throw new SpoolplankError('forbidden');
      take(request);
      return null;
    };
  }

  const methods: Readonly<Record<string, PeerMethod>> = {
    'consensus.step': (params, sender) => {
      const { messages } = params as unknown as { readonly messages: readonly Message[] };
      if (!isTakingPart) return null;
      // A VM speaks for its own replicas only.
      messages
        .filter(({ from }) => vmOfReplica(from) === sender)
        .forEach((message) => runner.receive(message));
      return null;
    },
    'group.describe': () => describeGroup() as unknown as JsonValue,
    'group.join': takeRequest((request) => membership.noteJoin(request)),
    'group.leave': takeRequest((request) => membership.noteLeave(request.replicaId)),
  };

  async function handOver(): Promise<void> {
    membership.beginLeaving();
    runner.avoidLead();
    const endsAtMs = clock.nowMs() + promise.catchUpMs * HAND_OVER_SHARE;
    while (membership.hasToHandOver(runner.status()) && clock.nowMs() < endsAtMs) {
      await delay(STEP_MS);
    }
    // The vote for the successor is still on its way.
    await delay(STEP_MS);
  }

  return {
    methods,
    replicaId,
    async start() {
      const problem = findPromiseProblem(promise);
      if (problem !== null) log.warn('promise-not-kept', { problem });
      const stored = await storage.load();
      const isBlank = stored.snapshot === null && stored.entries.length === 0;
      while (isBlank && !isStopping && !(await tryToFindGroup())) await delay(STEP_MS);
      if (isStopping) return;
      await runner.start();
      isTakingPart = true;
      log.info('replica-started', { replica: replicaId, isBlank });
      run().catch((error: unknown) => log.error('group-ended', { problem: String(error) }));
    },
    async stop() {
      isStopping = true;
      if (isTakingPart) {
        await handOver();
        isTakingPart = false;
        await runner.stop();
      }
      hasStopped = true;
    },
    propose: (command) => {
      if (!isTakingPart) return Promise.reject(new SpoolplankError('not-leader'));
      return runner.propose(command);
    },
    canRead: () => isTakingPart && runner.canRead(),
    leaderVm() {
      const leaderId = status()?.leaderId;
      return leaderId ? vmOfReplica(leaderId) : undefined;
    },
    status,
    summary() {
      const current = status();
      return current && summarizeGroup(current, silentAfterMs);
    },
    unconfirmedMs: () => watch.unconfirmedMs(),
  };
}
