/** Receiving a snapshot in chunks, and the leader's side of the answers. */
import type { MessageOf } from './messages';
import { becomeFollower, queueMessage, resetElectionDeadline } from './replicaState';
import type { ReplicaState } from './replicaState';

function acceptAsAppended(
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

function installWhole(state: ReplicaState, message: MessageOf<'snapshot'>, data: string): void {
  const { meta } = message;
  state.pendingSnapshot = { meta, data };
  state.log.reset(meta);
  state.commitIndex = meta.index;
  state.handedOutIndex = meta.index;
  acceptAsAppended(state, message, meta.index);
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
    acceptAsAppended(state, message, state.commitIndex);
    return;
  }
  // Entries after the snapshot may already have been acknowledged, so they are kept.
  if (state.log.termAt(meta.index) === meta.term) {
    state.commitIndex = meta.index;
    acceptAsAppended(state, message, meta.index);
    return;
  }
  const isSame =
    state.incomingSnapshot?.meta.index === meta.index &&
    state.incomingSnapshot.from === message.from;
  if (!isSame) state.incomingSnapshot = { meta, from: message.from, data: '' };
  const incoming = state.incomingSnapshot;
  if (!incoming) return;
  if (message.offset === incoming.data.length) {
    incoming.data += message.data;
    if (message.isLast) {
      installWhole(state, message, incoming.data);
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
