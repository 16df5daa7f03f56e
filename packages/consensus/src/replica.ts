import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { changeConfiguration, listReplicas } from './configuration';
import type { Configuration, ConfigurationChange, ReplicaId } from './configuration';
import {
  receivePreVote,
  receivePreVoteReply,
  receiveVote,
  receiveVoteReply,
  startPreVote,
  startTransferElection,
} from './election';
import type { HardState, LogEntry, Message, SnapshotMeta } from './messages';
import { createRaftLog } from './raftLog';
import {
  advanceCommit,
  appendAsLeader,
  checkQuorumContact,
  flushReplication,
  isLeaseValid,
  receiveAppend,
  receiveAppendReply,
} from './replication';
import { becomeFollower, mayCampaign, queueMessage, resetElectionDeadline } from './replicaState';
import type { ReplicaRole, ReplicaState, ReplicaTimings, VoteDenial } from './replicaState';
import { receiveSnapshot, receiveSnapshotReply } from './snapshotTransfer';
import type { LogBase, StoredState } from './storage';

export interface ReplicaOptions {
  readonly id: ReplicaId;
  /** Name of the group; one process can run replicas of several groups. */
  readonly group: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly stored: StoredState;
  readonly timings?: Partial<ReplicaTimings>;
}

export const DEFAULT_REPLICA_TIMINGS: ReplicaTimings = {
  electionTimeoutMs: 1000,
  heartbeatIntervalMs: 150,
  maxBatchEntries: 512,
  maxInFlightEntries: 4096,
};

/**
 * Work for the caller, in this order: save the state, send `messages`, apply `committed`. The
 * caller calls `onSaved` once the state is saved.
 */
export interface Ready {
  readonly hardState: HardState | null;
  readonly snapshot: { readonly meta: SnapshotMeta; readonly data: string } | null;
  readonly entries: readonly LogEntry[];
  /** Must be sent only after the fields above are on disk. */
  readonly messages: readonly Message[];
  /** May be sent before the save completes. */
  readonly earlyMessages: readonly Message[];
  readonly committed: readonly LogEntry[];
}

export interface ReplicaStatus {
  readonly id: ReplicaId;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId: ReplicaId | null;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly savedIndex: number;
  readonly snapshotIndex: number;
  readonly configuration: Configuration;
  /** Index of the entry that holds the configuration. */
  readonly configurationIndex: number;
  readonly isLeaseValid: boolean;
  /** Leader only: the highest index known to be stored on each follower. */
  readonly matchIndexes: Readonly<Record<ReplicaId, number>>;
  /** Leader only: time since the send of the newest message that each follower has acknowledged. */
  readonly answerAgesMs: Readonly<Record<ReplicaId, number>>;
  /** Time since the last message from each member that has sent one since this replica's start. */
  readonly contactAgesMs: Readonly<Record<ReplicaId, number>>;
  /** The last vote that this replica denied since its start, or null. */
  readonly lastDenial: VoteDenial | null;
}

/** A Raft replica. It does no I/O: the caller provides time, disk and network. */
export interface Replica {
  /** Processes a message from another replica. */
  receive(message: Message): void;
  /** Processes expired timers: elections, leadership transfers and the quorum check. */
  tick(): void;
  /** Appends a command; returns its position, or null if this replica cannot accept proposals. */
  propose(command: JsonValue): { readonly index: number; readonly term: number } | null;
  /**
   * Changes the membership; returns null if this replica is not the leader or a change is in
   * progress. An exchange finishes automatically once it is committed by both voter sets.
   */
  proposeConfiguration(
    change: ConfigurationChange,
  ): { readonly index: number; readonly term: number } | null;
  /**
   * Transfers leadership to a voter, by default to the one with the most up-to-date log. Returns
   * whether the transfer has started.
   */
  transferLeadership(successor?: ReplicaId): boolean;
  /** Delays this replica's elections from now on, because it is about to stop. */
  deferElections(): void;
  /** Whether a read of the applied state is linearizable now; does not wait. */
  canRead(): boolean;
  takeReady(): Ready;
  /** Confirms that everything of a `Ready` is on disk. */
  onSaved(ready: Ready): void;
  /** The configuration at an entry, which a snapshot up to that entry must contain. */
  configurationAt(index: number): Configuration;
  /** The base for compacting the log up to `index`, or the current base if that is later. */
  baseFor(index: number): LogBase;
  /** Drops entries up to `baseIndex` after a snapshot has been saved. */
  compact(baseIndex: number, snapshot: SnapshotMeta): void;
  status(): ReplicaStatus;
}

type Receive = (state: ReplicaState, message: never) => void;

const RECEIVERS: Readonly<Record<Message['kind'], Receive>> = {
  'pre-vote': receivePreVote,
  'pre-vote-reply': receivePreVoteReply,
  vote: receiveVote,
  'vote-reply': receiveVoteReply,
  append: receiveAppend,
  'append-reply': receiveAppendReply,
  snapshot: receiveSnapshot,
  'snapshot-reply': receiveSnapshotReply,
  'timeout-now': startTransferElection,
};

/**
 * Messages whose higher term does not cause a step-down by itself: a pre-vote and its reply carry a
 * prospective term, and a vote request is checked against the leader lease before its term is
 * adopted.
 */
const TERM_NEUTRAL_KINDS: ReadonlySet<Message['kind']> = new Set([
  'pre-vote',
  'pre-vote-reply',
  'vote',
]);

function createState({ id, group, clock, random, stored, timings }: ReplicaOptions): ReplicaState {
  const { hardState, snapshot } = stored;
  const state: ReplicaState = {
    id,
    group,
    clock,
    random,
    timings: { ...DEFAULT_REPLICA_TIMINGS, ...timings },
    log: createRaftLog(stored),
    role: 'follower',
    term: hardState.term,
    votedFor: hardState.votedFor,
    savedHardState: hardState,
    leaderId: null,
    commitIndex: snapshot?.index ?? 0,
    deliveredIndex: snapshot?.index ?? 0,
    termStartIndex: 0,
    becameLeaderMs: 0,
    lastLeaderContactMs: clock.steadyMs(),
    electionDeadlineMs: 0,
    isTransferElection: false,
    isDeferringElections: false,
    transferTarget: null,
    transferDeadlineMs: 0,
    votes: new Map(),
    receivedAtMs: new Map(),
    lastDenial: null,
    progress: new Map(),
    incomingSnapshot: null,
    pendingSnapshot: null,
    outbox: [],
  };
  resetElectionDeadline(state);
  return state;
}

/** Records members only, so that former identities do not accumulate. */
function recordContact(state: ReplicaState, from: ReplicaId): void {
  const members = listReplicas(state.log.configuration);
  if (members.includes(from)) state.receivedAtMs.set(from, state.clock.nowMs());
}

function receiveMessage(state: ReplicaState, message: Message): void {
  if (message.group !== state.group || message.to !== state.id) return;
  recordContact(state, message.from);
  if (message.term > state.term && !TERM_NEUTRAL_KINDS.has(message.kind)) {
    becomeFollower(state, message.term, null);
  }
  if (message.kind === 'timeout-now' && message.term !== state.term) return;
  RECEIVERS[message.kind](state, message as never);
}

function tickReplica(state: ReplicaState): void {
  const nowMs = state.clock.nowMs();
  if (state.role === 'leader') {
    checkQuorumContact(state);
    // The `timeout-now` message may still be in transit, so the lease must not become valid again
    // in this term. The leader therefore steps down even if the transfer did not complete.
    const hasTransferTimedOut =
      state.transferTarget !== null && state.clock.steadyMs() >= state.transferDeadlineMs;
    if (hasTransferTimedOut) becomeFollower(state, state.term, null);
    return;
  }
  if (nowMs < state.electionDeadlineMs) return;
  if (mayCampaign(state)) startPreVote(state);
  // A non-voter receives no message if it was removed while it was unreachable, so it
  // discards its leader when the timer expires.
  else state.leaderId = null;
}

function takeHardState(state: ReplicaState): HardState | null {
  const { term, votedFor, savedHardState } = state;
  if (term === savedHardState.term && votedFor === savedHardState.votedFor) return null;
  state.savedHardState = { term, votedFor };
  return state.savedHardState;
}

function takeCommitted(state: ReplicaState): readonly LogEntry[] {
  const from = state.deliveredIndex + 1;
  const committed = state.log.slice(from, state.commitIndex - state.deliveredIndex);
  state.deliveredIndex += committed.length;
  return committed;
}

function takeReady(state: ReplicaState): Ready {
  flushReplication(state);
  const hardState = takeHardState(state);
  const snapshot = state.pendingSnapshot;
  state.pendingSnapshot = null;
  const { outbox } = state;
  state.outbox = [];
  // A leader may send entries before they are on its own disk, because its own copy counts for the
  // quorum only after the save. All other messages depend on state that must be on disk first.
  const isEarly = ({ kind }: Message) =>
    kind === 'append' && hardState === null && snapshot === null;
  return {
    hardState,
    snapshot,
    entries: state.log.takeUnsaved(),
    messages: outbox.filter((message) => !isEarly(message)),
    earlyMessages: outbox.filter(isEarly),
    committed: takeCommitted(state),
  };
}

function transferLeadership(state: ReplicaState, successor?: ReplicaId): boolean {
  if (state.role !== 'leader' || state.transferTarget !== null) return false;
  const { voters } = state.log.configuration;
  const [candidate] = [...state.progress.entries()]
    .filter(([id]) => voters.includes(id) && (successor === undefined || id === successor))
    .sort(([, a], [, b]) => b.matchIndex - a.matchIndex || b.ackedSentAtMs - a.ackedSentAtMs);
  if (!candidate) return false;
  const [target, progress] = candidate;
  state.transferTarget = target;
  state.transferDeadlineMs = state.clock.steadyMs() + state.timings.electionTimeoutMs;
  if (progress.matchIndex >= state.log.lastIndex)
    queueMessage(state, target, { kind: 'timeout-now' });
  else progress.nextSendMs = state.clock.nowMs();
  return true;
}

function proposeConfiguration(state: ReplicaState, change: ConfigurationChange) {
  const { commitIndex, log, termStartIndex } = state;
  const isSettled =
    commitIndex >= log.configurationIndex &&
    commitIndex >= termStartIndex &&
    !log.configuration.outgoing;
  if (state.role !== 'leader' || state.transferTarget !== null || !isSettled) return null;
  const configuration = changeConfiguration(log.configuration, change);
  if (configuration.voters.length === 0) return null;
  const index = appendAsLeader(state, { kind: 'configuration', configuration });
  return { index, term: state.term };
}

function describeStatus(state: ReplicaState): ReplicaStatus {
  const { log } = state;
  return {
    id: state.id,
    role: state.role,
    term: state.term,
    leaderId: state.leaderId,
    commitIndex: state.commitIndex,
    lastIndex: log.lastIndex,
    lastTerm: log.lastTerm,
    savedIndex: log.savedIndex,
    snapshotIndex: log.snapshot?.index ?? 0,
    configuration: log.configuration,
    configurationIndex: log.configurationIndex,
    isLeaseValid: isLeaseValid(state),
    matchIndexes: Object.fromEntries(
      [...state.progress].map(([id, { matchIndex }]) => [id, matchIndex]),
    ),
    answerAgesMs: Object.fromEntries(
      [...state.progress]
        .filter(([, { ackedSentAtMs }]) => ackedSentAtMs > Number.NEGATIVE_INFINITY)
        .map(([id, { ackedSentAtMs }]) => [id, state.clock.nowMs() - ackedSentAtMs]),
    ),
    contactAgesMs: Object.fromEntries(
      [...state.receivedAtMs].map(([id, atMs]) => [id, state.clock.nowMs() - atMs]),
    ),
    lastDenial: state.lastDenial,
  };
}

/** Creates a replica from its stored state; see docs/design/replicated-log.md. */
export function createReplica(options: ReplicaOptions): Replica {
  const state = createState(options);
  return {
    receive: (message) => receiveMessage(state, message),
    tick: () => tickReplica(state),
    propose(command) {
      if (state.role !== 'leader' || state.transferTarget !== null) return null;
      return { index: appendAsLeader(state, { kind: 'command', command }), term: state.term };
    },
    proposeConfiguration: (change) => proposeConfiguration(state, change),
    transferLeadership: (successor) => transferLeadership(state, successor),
    deferElections() {
      state.isDeferringElections = true;
    },
    canRead: () => isLeaseValid(state) && state.commitIndex >= state.termStartIndex,
    takeReady: () => takeReady(state),
    onSaved({ entries }) {
      const last = entries.at(-1);
      if (last) state.log.markSaved(last.index, last.term);
      advanceCommit(state);
    },
    configurationAt: (index) => state.log.configurationAt(index),
    baseFor(index) {
      const term = state.log.termAt(index);
      return term === undefined ? state.log.base : { index, term };
    },
    compact: (baseIndex, snapshot) => state.log.compact(baseIndex, snapshot),
    status: () => describeStatus(state),
  };
}
