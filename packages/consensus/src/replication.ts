/** Replication of the log by the leader, commitment, and the leader's lease. */
import { finishExchange, listReplicas, majorityOf, voterSets } from './configuration';
import type { ReplicaId } from './configuration';
import type { EntryPayload, MessageOf } from './messages';
import { becomeFollower, isVoter, queueMessage, resetElectionDeadline } from './replicaState';
import type { Progress, ReplicaState } from './replicaState';

/** Fraction of the election timeout that a lease leaves unused, to allow for clock drift. */
const LEASE_MARGIN = 0.1;

function createProgress(state: ReplicaState): Progress {
  return {
    mode: 'probe',
    matchIndex: 0,
    nextIndex: state.log.lastIndex + 1,
    ackedSentAtMs: Number.NEGATIVE_INFINITY,
    nextSendMs: state.clock.nowMs(),
    snapshotOffset: 0,
    snapshotIndex: 0,
  };
}

/** Updates the leader's follower progress to match the configuration. */
function syncProgress(state: ReplicaState): void {
  const others = listReplicas(state.log.configuration).filter((id) => id !== state.id);
  [...state.progress.keys()]
    .filter((id) => !others.includes(id))
    .forEach((id) => state.progress.delete(id));
  others
    .filter((id) => !state.progress.has(id))
    .forEach((id) => state.progress.set(id, createProgress(state)));
}

/** Appends an entry to the leader's log and returns its index. */
export function appendAsLeader(state: ReplicaState, payload: EntryPayload): number {
  const index = state.log.lastIndex + 1;
  state.log.append([{ index, term: state.term, payload }]);
  if (payload.kind === 'configuration') syncProgress(state);
  return index;
}

/** Becomes leader of the current term; its first entry commits entries of earlier terms. */
export function becomeLeader(state: ReplicaState): void {
  state.role = 'leader';
  state.leaderId = state.id;
  state.transferTarget = null;
  state.isTransferElection = false;
  state.becameLeaderMs = state.clock.nowMs();
  state.progress.clear();
  syncProgress(state);
  state.termStartIndex = appendAsLeader(state, { kind: 'noop' });
}

/** The highest value that a majority of each voter set has reached. */
function quorumValue(state: ReplicaState, valueOf: (id: ReplicaId) => number): number {
  const reached = voterSets(state.log.configuration).map((voters) => {
    const values = voters.map(valueOf).sort((a, b) => b - a);
    return values[majorityOf(voters) - 1] ?? Number.NEGATIVE_INFINITY;
  });
  return Math.min(...reached);
}

/** Latest send time that a quorum is known to have acknowledged. */
function quorumContactMs(state: ReplicaState): number {
  const nowMs = state.clock.nowMs();
  return quorumValue(state, (id) =>
    id === state.id ? nowMs : (state.progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY),
  );
}

/** Whether no other leader can have been elected yet, so that reads are linearizable. */
export function isLeaseValid(state: ReplicaState): boolean {
  if (state.role !== 'leader' || state.transferTarget !== null) return false;
  const leaseMs = state.timings.electionTimeoutMs * (1 - LEASE_MARGIN);
  return state.clock.nowMs() < quorumContactMs(state) + leaseMs;
}

/** Steps down if a quorum has not replied within an election timeout. */
export function checkQuorumContact(state: ReplicaState): void {
  const { electionTimeoutMs } = state.timings;
  const contactMs = Math.max(quorumContactMs(state), state.becameLeaderMs);
  if (state.clock.nowMs() - contactMs > electionTimeoutMs) becomeFollower(state, state.term, null);
}

/**
 * Finishes an exchange of voters once both voter sets have committed it, also if an earlier leader
 * started it. From then on the previous voters no longer count for a quorum.
 */
function finishExchangeIfDue(state: ReplicaState): void {
  const { log } = state;
  const isCommitted = state.commitIndex >= log.configurationIndex;
  if (!isCommitted || !log.configuration.outgoing || state.transferTarget !== null) return;
  appendAsLeader(state, {
    kind: 'configuration',
    configuration: finishExchange(log.configuration),
  });
}

/** Commits entries that a quorum has on disk, provided the last one is of this leader's term. */
export function advanceCommit(state: ReplicaState): void {
  if (state.role !== 'leader') return;
  const index = quorumValue(state, (id) =>
    id === state.id ? state.log.savedIndex : (state.progress.get(id)?.matchIndex ?? 0),
  );
  if (index <= state.commitIndex || state.log.termAt(index) !== state.term) return;
  state.commitIndex = index;
  state.progress.forEach((progress) => {
    progress.nextSendMs = state.clock.nowMs();
  });
  finishExchangeIfDue(state);
  const isRemoved = state.commitIndex >= state.log.configurationIndex && !isVoter(state);
  if (isRemoved) becomeFollower(state, state.term, null);
}

function sendSnapshotChunk(state: ReplicaState, to: ReplicaId, progress: Progress): void {
  const meta = state.log.snapshot;
  if (!meta) return;
  if (progress.snapshotIndex !== meta.index) {
    progress.snapshotIndex = meta.index;
    progress.snapshotOffset = 0;
  }
  queueMessage(state, to, {
    kind: 'snapshot',
    meta,
    offset: progress.snapshotOffset,
    data: '',
    isLast: false,
    sentAtMs: state.clock.nowMs(),
  });
}

function sendAppend(state: ReplicaState, to: ReplicaId, progress: Progress): void {
  const { log, timings } = state;
  const prevIndex = progress.nextIndex - 1;
  const prevTerm = log.termAt(prevIndex);
  if (prevTerm === undefined) {
    progress.mode = 'snapshot';
    sendSnapshotChunk(state, to, progress);
    return;
  }
  const inFlight = prevIndex - progress.matchIndex;
  const isWithinWindow = progress.mode === 'probe' || inFlight < timings.maxInFlightEntries;
  const entries = isWithinWindow ? log.slice(progress.nextIndex, timings.maxBatchEntries) : [];
  queueMessage(state, to, {
    kind: 'append',
    prevIndex,
    prevTerm,
    entries,
    commitIndex: state.commitIndex,
    sentAtMs: state.clock.nowMs(),
  });
  if (progress.mode === 'replicate') progress.nextIndex += entries.length;
}

function shouldSend(state: ReplicaState, progress: Progress): boolean {
  if (state.clock.nowMs() >= progress.nextSendMs) return true;
  if (progress.mode !== 'replicate') return false;
  const inFlight = progress.nextIndex - 1 - progress.matchIndex;
  return progress.nextIndex <= state.log.lastIndex && inFlight < state.timings.maxInFlightEntries;
}

/** Queues pending messages for each follower: new entries, snapshot chunks or a heartbeat. */
export function flushReplication(state: ReplicaState): void {
  if (state.role !== 'leader') return;
  state.progress.forEach((progress, id) => {
    if (!shouldSend(state, progress)) return;
    progress.nextSendMs = state.clock.nowMs() + state.timings.heartbeatIntervalMs;
    if (progress.mode === 'snapshot') sendSnapshotChunk(state, id, progress);
    else sendAppend(state, id, progress);
  });
}

function recordLeader(state: ReplicaState, leaderId: ReplicaId): void {
  if (state.role !== 'follower' || state.leaderId !== leaderId)
    becomeFollower(state, state.term, leaderId);
  state.lastLeaderContactMs = state.clock.steadyMs();
  resetElectionDeadline(state);
}

/** Index at which the leader should retry after a mismatch: just before the conflicting term. */
function findRetryIndex(state: ReplicaState, prevIndex: number): number {
  const { log } = state;
  if (prevIndex > log.lastIndex) return log.lastIndex;
  const conflictTerm = log.termAt(prevIndex);
  let index = prevIndex - 1;
  while (index > state.commitIndex && log.termAt(index) === conflictTerm) index -= 1;
  return Math.max(index, state.commitIndex);
}

export function receiveAppend(state: ReplicaState, message: MessageOf<'append'>): void {
  const { from, sentAtMs } = message;
  if (message.term < state.term) {
    queueMessage(state, from, {
      kind: 'append-reply',
      isAccepted: false,
      matchIndex: 0,
      sentAtMs,
    });
    return;
  }
  recordLeader(state, from);
  const { log } = state;
  const reply = (isAccepted: boolean, matchIndex: number) =>
    queueMessage(state, from, {
      kind: 'append-reply',
      isAccepted,
      matchIndex,
      sentAtMs,
    });
  // Entries before the base of the log are committed and therefore match.
  const isBeforeBase = message.prevIndex < log.base.index;
  if (!isBeforeBase && log.termAt(message.prevIndex) !== message.prevTerm) {
    reply(false, findRetryIndex(state, message.prevIndex));
    return;
  }
  const firstNew = message.entries.findIndex(
    ({ index, term }) => index > log.base.index && log.termAt(index) !== term,
  );
  if (firstNew >= 0) log.append(message.entries.slice(firstNew));
  const matchIndex = message.prevIndex + message.entries.length;
  state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matchIndex));
  reply(true, matchIndex);
}

function finishTransfer(state: ReplicaState, id: ReplicaId, progress: Progress): void {
  if (state.transferTarget !== id || progress.matchIndex < state.log.lastIndex) return;
  queueMessage(state, id, { kind: 'timeout-now' });
}

export function receiveAppendReply(state: ReplicaState, message: MessageOf<'append-reply'>): void {
  const progress = state.progress.get(message.from);
  if (state.role !== 'leader' || message.term !== state.term || !progress) return;
  progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, message.sentAtMs);
  if (!message.isAccepted) {
    const nextIndex = Math.min(progress.nextIndex - 1, message.matchIndex + 1);
    progress.nextIndex = Math.max(nextIndex, progress.matchIndex + 1);
    progress.mode = 'probe';
    progress.nextSendMs = state.clock.nowMs();
    return;
  }
  if (message.matchIndex > progress.matchIndex) progress.matchIndex = message.matchIndex;
  // In snapshot mode, an accepted reply confirms that the follower has installed the snapshot.
  if (progress.mode !== 'replicate') {
    progress.mode = 'replicate';
    progress.nextIndex = progress.matchIndex + 1;
  }
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  advanceCommit(state);
  finishTransfer(state, message.from, progress);
}
