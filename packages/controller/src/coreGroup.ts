/**
 * The replicated log's group when its members are not listed anywhere: it is founded by the
 * seeds of the first start, found again through what members say of each other, and repaired
 * when a member comes back with an empty disk or another takes its place.
 */
import { join } from 'node:path';
import {
  createGroupMembership,
  createGroupRunner,
  decideBootstrap,
  replicasOf,
  vmOfReplica,
} from '@spoolplank/consensus';
import type {
  GroupDescription,
  GroupRunner,
  JoinRequest,
  ReplicaStatus,
  StateMachine,
  Message,
} from '@spoolplank/consensus';
import { createFileStorage, delay, loadIdentity, scheduleTimer } from '@spoolplank/node';
import type { EventLog, PeerClient, PeerMethod, PeerTarget } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { createGroupWatch, summarizeGroup } from './groupWatch';
import type { GroupSummary } from './groupWatch';
import { createRaftTransport } from './raftTransport';

export interface CoreGroupOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly peers: PeerClient;
  /** Name of this VM among its peers; begins the identity of its replica. */
  readonly vmId: string;
  readonly dataFolder: string;
  /** VMs that found the group when all of them are blank. */
  readonly founders: readonly string[];
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Other control VMs known now. */
  readonly listOthers: () => readonly string[];
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
  readonly stateMachine: StateMachine;
  readonly onApplied: () => void;
  /** Told when the replica cannot go on; the process should end. */
  readonly onFatal: (error: SpoolplankError) => void;
}

export interface CoreGroup {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly replicaId: string;
  start(): Promise<void>;
  stop(): Promise<void>;
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

const GROUP = 'documents';
/** A leader that ended is replaced within 1.4 s; a pause of 300 ms on a busy VM is borne. */
const TIMINGS = { electionTimeoutMs: 700, heartbeatIntervalMs: 200 };
/** A quarter of a heartbeat: a finer clock only costs wake-ups. */
const GROUP_TICK_MS = 50;
const STEP_MS = 250;
const DESCRIBE_TIMEOUT_MS = 500;
/** Place of the founding configuration, before the first elected term. */
const FOUNDING_PLACE = { index: 1, term: 0 };
/** A document of 100 KB is 10 KB compressed: 64 entries and their snapshot stay below 2 MB. */
const SNAPSHOT_EVERY_ENTRIES = 64;
const KEEP_ENTRIES = 16;
/** Operators move on after a second without an answer. */
const PROPOSAL_TIMEOUT_MS = 2000;
/** Two random election timeouts, and one more where the votes were split. */
const ELECTION_LIMIT_MS = 3 * TIMINGS.electionTimeoutMs;
/** A replica that takes part answers, or asks for votes, within twice the election timeout. */
const SILENT_AFTER_MS = 2 * TIMINGS.electionTimeoutMs;

export async function createCoreGroup(options: CoreGroupOptions): Promise<CoreGroup> {
  const { clock, log, peers, vmId, findTarget, stateMachine, dataFolder } = options;
  const replicaId = await loadIdentity(dataFolder, vmId);
  const storage = createFileStorage({ folder: join(dataFolder, GROUP) });
  const membership = createGroupMembership({ clock, replicaId });
  let isTakingPart = false;
  let isStopped = false;
  let wasLeader = false;

  const transport = createRaftTransport({
    peers,
    findTarget,
    onDelivered: membership.noteDelivered,
  });
  const runner: GroupRunner = createGroupRunner({
    id: replicaId,
    group: GROUP,
    clock,
    random: options.random,
    storage,
    stateMachine,
    send: transport.send,
    schedule: scheduleTimer,
    timings: TIMINGS,
    tickIntervalMs: GROUP_TICK_MS,
    snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
    keepEntries: KEEP_ENTRIES,
    proposalTimeoutMs: PROPOSAL_TIMEOUT_MS,
    onApplied: options.onApplied,
    onStorageState(error) {
      if (!error) log.info('storage-recovered');
      else if (error.code === 'storage-full') log.error('storage-full', { detail: error.message });
      else options.onFatal(error);
    },
  });

  const watch = createGroupWatch({
    clock,
    log,
    electionLimitMs: ELECTION_LIMIT_MS,
    silentAfterMs: SILENT_AFTER_MS,
  });

  const status = () => (isTakingPart ? runner.status() : null);

  function describeGroup(): GroupDescription {
    const configuration = status()?.configuration ?? null;
    return {
      replicaId,
      configuration: configuration && configuration.voters.length > 0 ? configuration : null,
    };
  }

  async function ask(others: readonly string[]): Promise<(GroupDescription | undefined)[]> {
    return Promise.all(
      others.map(async (other) => {
        const target = findTarget(other);
        if (!target) return undefined;
        return peers
          .call<GroupDescription>(target, 'group.describe', {}, DESCRIBE_TIMEOUT_MS)
          .catch(() => undefined);
      }),
    );
  }

  async function tryToFindGroup(): Promise<boolean> {
    const isFounder = options.isFirstStart && options.founders.includes(vmId);
    const others = isFounder
      ? options.founders.filter((founder) => founder !== vmId)
      : options.listOthers();
    const decision = decideBootstrap({ self: replicaId, others: await ask(others) });
    if (decision.kind === 'wait') return false;
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

  async function askToJoin(): Promise<void> {
    await Promise.all(
      options.listOthers().map(async (other) => {
        const target = findTarget(other);
        if (!target) return;
        // Only the leader answers with success, and which one that is may not be known.
        await peers
          .call(target, 'group.join', { replicaId }, DESCRIBE_TIMEOUT_MS)
          .catch(() => null);
      }),
    );
  }

  async function step(): Promise<void> {
    const current = status();
    if (!current) return;
    const isLeader = current.role === 'leader';
    watch.observe(current, isLeader ? runner.canRead() : current.leaderId !== null);
    if (isLeader !== wasLeader) {
      if (isLeader) membership.beginLead();
      log.info(isLeader ? 'lead-won' : 'lead-lost', {
        term: current.term,
        leader: current.leaderId,
      });
      wasLeader = isLeader;
    }
    if (!isLeader) {
      membership.endLead();
      if (!current.configuration.voters.includes(replicaId)) await askToJoin();
      return;
    }
    const change = membership.nextChange(current);
    if (!change) return;
    log.info('group-change', {
      kind: change.kind,
      replicas: replicasOf(change),
      voters: current.configuration.voters,
    });
    await runner.changeMembership(change);
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      await step().catch((error: unknown) =>
        log.warn('group-step-failed', { problem: String(error) }),
      );
      await delay(STEP_MS);
    }
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
    'group.join': (params, sender) => {
      const { replicaId: candidate } = params as unknown as JoinRequest;
      if (!isTakingPart || !runner.canRead()) throw new SpoolplankError('not-leader');
      if (vmOfReplica(candidate) !== sender) throw new SpoolplankError('forbidden');
      membership.noteJoin(candidate);
      return null;
    },
  };

  return {
    methods,
    replicaId,
    async start() {
      const stored = await storage.load();
      const isBlank = stored.snapshot === null && stored.entries.length === 0;
      while (isBlank && !isStopped && !(await tryToFindGroup())) await delay(STEP_MS);
      if (isStopped) return;
      await runner.start();
      isTakingPart = true;
      log.info('replica-started', { replica: replicaId, isBlank });
      run().catch((error: unknown) => log.error('group-ended', { problem: String(error) }));
    },
    async stop() {
      isStopped = true;
      if (!isTakingPart) return;
      if (runner.status().role === 'leader' && runner.transferLeadership()) await delay(STEP_MS);
      isTakingPart = false;
      await runner.stop();
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
      return current && summarizeGroup(current, SILENT_AFTER_MS);
    },
    unconfirmedMs: () => watch.unconfirmedMs(),
  };
}
