/** Receives a snapshot in chunks, and processes the follower's replies on the leader. */
import type { MessageOf } from './messages';
import { becomeFollower, queueMessage, resetElectionDeadline } from './replicaState';
import type { ReplicaState } from './replicaState';

function replyAccepted(
  state: ReplicaState,
  message: MessageOf<'snapshot'>,
  matchIndex: number,
): void {
  state.incomingSnapshot = null;
  queueMessage(state, message.from, {
    kind: 'append-reply',
    isAccepted: true,
    matchIndex,
    sentAtMs: message.sentAtMs,
  });
}

function installSnapshot(state: ReplicaState, message: MessageOf<'snapshot'>, data: string): void {
  const { meta } = message;
  state.pendingSnapshot = { meta, data };
  state.log.reset(meta);
  state.commitIndex = meta.index;
  state.deliveredIndex = meta.index;
  replyAccepted(state, message, meta.index);
}

export function receiveSnapshot(state: ReplicaState, message: MessageOf<'snapshot'>): void {
  if (message.term < state.term) return;
  if (state.role !== 'follower' || state.leaderId !== message.from) {
    becomeFollower(state, state.term, message.from);
  }
  state.lastLeaderContactMs = state.clock.steadyMs();
  resetElectionDeadline(state);
  const { meta } = message;
  if (meta.index <= state.commitIndex) {
    replyAccepted(state, message, state.commitIndex);
    return;
  }
  // The log contains the snapshot's last entry. Later entries are kept, as they may already have
  // been acknowledged.
  if (state.log.termAt(meta.index) === meta.term) {
    state.commitIndex = meta.index;
    replyAccepted(state, message, meta.index);
    return;
  }
  const isSameTransfer =
    state.incomingSnapshot?.meta.index === meta.index &&
    state.incomingSnapshot.from === message.from;
  if (!isSameTransfer) state.incomingSnapshot = { meta, from: message.from, data: '' };
  const incoming = state.incomingSnapshot;
  if (!incoming) return;
  if (message.offset === incoming.data.length) {
    incoming.data += message.data;
    if (message.isLast) {
      installSnapshot(state, message, incoming.data);
      return;
    }
  }
  queueMessage(state, message.from, {
    kind: 'snapshot-reply',
    snapshotIndex: meta.index,
    nextOffset: incoming.data.length,
    sentAtMs: message.sentAtMs,
  });
}

export function receiveSnapshotReply(
  state: ReplicaState,
  message: MessageOf<'snapshot-reply'>,
): void {
  const progress = state.progress.get(message.from);
  if (state.role !== 'leader' || message.term !== state.term || !progress) return;
  progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, message.sentAtMs);
  if (progress.mode !== 'snapshot' || progress.snapshotIndex !== message.snapshotIndex) return;
  progress.snapshotOffset = message.nextOffset;
  progress.nextSendMs = state.clock.nowMs();
}
