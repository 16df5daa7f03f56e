import type { Clock, Random } from '@spoolplank/shared';
import { isVoterOf } from './configuration';
import type { ReplicaId } from './configuration';
import type { HardState, Message, SnapshotMeta } from './messages';
import type { RaftLog } from './raftLog';

export type ReplicaRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/**
 * How the leader replicates to one follower. `probe`: one message at a time until the logs are
 * known to match; `replicate`: pipelined without waiting for replies; `snapshot`: in chunks.
 */
export type ProgressMode = 'probe' | 'replicate' | 'snapshot';

export interface Progress {
  mode: ProgressMode;
  matchIndex: number;
  nextIndex: number;
  /** Latest send time, on the leader's clock, that the follower has acknowledged. */
  ackedSentAtMs: number;
  /** When to send even without new entries: a heartbeat, or a retry of an unanswered probe. */
  nextSendMs: number;
  snapshotOffset: number;
  snapshotIndex: number;
}

/** A snapshot that is being received. */
export interface IncomingSnapshot {
  readonly meta: SnapshotMeta;
  readonly from: ReplicaId;
  data: string;
}

export interface ReplicaTimings {
  readonly electionTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
  /** Maximum number of entries in one message. */
  readonly maxBatchEntries: number;
  /** Maximum number of unacknowledged entries sent to one follower. */
  readonly maxInFlightEntries: number;
}

/** Why a replica denied a vote. */
export type VoteDenialReason =
  /** It has received a message from a leader within an election timeout. */
  | 'leader-alive'
  /** Its own log is more up to date than the candidate's. */
  | 'log-behind'
  /** It voted for another candidate in this term. */
  | 'already-voted'
  /** The candidate's term is not newer than its own. */
  | 'term-not-newer';

/** The last vote, or pre-vote, that a replica denied. */
export interface VoteDenial {
  readonly candidate: ReplicaId;
  readonly term: number;
  readonly reason: VoteDenialReason;
  readonly isPreVote: boolean;
}

/** The in-memory state of a replica, on which the functions of this package operate. */
export interface ReplicaState {
  readonly id: ReplicaId;
  readonly group: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly timings: ReplicaTimings;
  readonly log: RaftLog;
  role: ReplicaRole;
  term: number;
  votedFor: ReplicaId | null;
  savedHardState: HardState;
  leaderId: ReplicaId | null;
  commitIndex: number;
  /** Index up to which committed entries have been delivered to the caller for applying. */
  deliveredIndex: number;
  /** Index of the first entry of this leader's term; reads wait until it is committed. */
  termStartIndex: number;
  becameLeaderMs: number;
  /** In `steadyMs` time, as the period in which this replica does not vote is measured from it. */
  lastLeaderContactMs: number;
  electionDeadlineMs: number;
  isTransferElection: boolean;
  /** Whether this replica delays its elections in favour of others. */
  isDeferringElections: boolean;
  transferTarget: ReplicaId | null;
  /** In `steadyMs` time. */
  transferDeadlineMs: number;
  readonly votes: Map<ReplicaId, boolean>;
  /** When the last message from each other replica was received. */
  readonly receivedAtMs: Map<ReplicaId, number>;
  lastDenial: VoteDenial | null;
  readonly progress: Map<ReplicaId, Progress>;
  incomingSnapshot: IncomingSnapshot | null;
  /** A completely received snapshot that has not been passed to the caller yet. */
  pendingSnapshot: { readonly meta: SnapshotMeta; readonly data: string } | null;
  outbox: Message[];
}

type Body<M> = M extends Message
  ? Omit<M, 'group' | 'from' | 'to' | 'term'> & { readonly term?: number }
  : never;

/** Adds a message to the outbox, with the replica's current term unless `body` has one. */
export function queueMessage(state: ReplicaState, to: ReplicaId, body: Body<Message>): void {
  const envelope = { group: state.group, from: state.id, to };
  state.outbox.push({ ...envelope, ...body, term: body.term ?? state.term });
}

/** Additional election timeouts that a replica waits while it defers elections to others. */
const DEFERRED_TIMEOUTS = 2;

/** Sets a randomised time of the next election, so that split votes are rare. */
export function resetElectionDeadline(state: ReplicaState): void {
  const { electionTimeoutMs } = state.timings;
  // The election is delayed, not disabled: this replica may have the only log that can win.
  const deferredTimeouts = state.isDeferringElections ? DEFERRED_TIMEOUTS : 0;
  state.electionDeadlineMs =
    state.clock.nowMs() + electionTimeoutMs * (1 + deferredTimeouts + state.random.nextFloat());
}

/** Minimum delay before pre-votes are requested again, as a fraction of the election timeout. */
const PRE_VOTE_RETRY_SHARE = 0.25;
/** The same for votes, which take longer as both candidate and voter save them to disk first. */
const VOTE_RETRY_SHARE = 0.5;

/**
 * Sets the time at which an undecided election is retried. No leader was active when it started,
 * so the retry need not wait for a whole election timeout.
 */
export function resetRetryDeadline(state: ReplicaState): void {
  const share = state.role === 'candidate' ? VOTE_RETRY_SHARE : PRE_VOTE_RETRY_SHARE;
  const retryMs = state.timings.electionTimeoutMs * share;
  state.electionDeadlineMs = state.clock.nowMs() + retryMs * (1 + state.random.nextFloat());
}

/** Whether this replica is a voter in the newest configuration in its log. */
export function isVoter(state: ReplicaState): boolean {
  return isVoterOf(state.log.configuration, state.id);
}

/**
 * Whether this replica may start an election: it is a voter in a configuration that may be in
 * force. A replica whose removal is not committed may be the only one that has stored the entry
 * with the removal, and then no other replica can win an election.
 */
export function mayCampaign(state: ReplicaState): boolean {
  const { id, log, commitIndex } = state;
  return log.configurationsFrom(commitIndex).some((configuration) => isVoterOf(configuration, id));
}

/** Enters a term as a follower. */
export function becomeFollower(
  state: ReplicaState,
  term: number,
  leaderId: ReplicaId | null,
): void {
  if (term > state.term) {
    state.term = term;
    state.votedFor = null;
  }
  state.role = 'follower';
  state.leaderId = leaderId;
  state.isTransferElection = false;
  state.transferTarget = null;
  state.votes.clear();
  state.progress.clear();
  resetElectionDeadline(state);
}
