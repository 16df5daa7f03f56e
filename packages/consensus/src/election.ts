/**
 * Election with pre-vote.
 *
 * Source: Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014;
 * Ongaro, "Consensus: bridging theory and practice", 2014, section 9.6 (pre-vote) and
 * section 6.4.1 (leader leases).
 */
import { hasQuorum, listVoters, majorityOf, voterSets } from './configuration';
import type { MessageOf, PreVoteMessage, VoteMessage } from './messages';
import { becomeLeader, isLeaseValid } from './replication';
import {
  becomeFollower,
  isVoter,
  queueMessage,
  resetElectionDeadline,
  resetRetryDeadline,
} from './replicaState';
import type { ReplicaState, VoteDenialReason } from './replicaState';

function isLogUpToDate(
  state: ReplicaState,
  { lastIndex, lastTerm }: PreVoteMessage | VoteMessage,
): boolean {
  const { log } = state;
  return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
}

/**
 * Whether this replica must not vote because a leader may rely on it. The safety of the leader's
 * lease depends on this rule. It also applies for one election timeout after a start, because the
 * time of the last leader contact before a restart is not stored.
 */
function isLeaderLeaseInForce(state: ReplicaState): boolean {
  if (state.role === 'leader') return isLeaseValid(state);
  // `steadyMs` never runs ahead of real time, so the leader's lease ends before this period does.
  return state.clock.steadyMs() - state.lastLeaderContactMs < state.timings.electionTimeoutMs;
}

function hasWon(state: ReplicaState): boolean {
  return hasQuorum(state.log.configuration, (id) => state.votes.get(id) === true);
}

function hasLost(state: ReplicaState): boolean {
  return voterSets(state.log.configuration).some((voters) => {
    const denials = voters.filter((id) => state.votes.get(id) === false);
    return denials.length >= majorityOf(voters);
  });
}

function requestVotes(state: ReplicaState, kind: 'pre-vote' | 'vote', term: number): void {
  const { lastIndex, lastTerm } = state.log;
  listVoters(state.log.configuration)
    .filter((id) => id !== state.id)
    .forEach((id) => {
      if (kind === 'vote') {
        queueMessage(state, id, {
          kind,
          term,
          lastIndex,
          lastTerm,
          isTransfer: state.isTransferElection,
        });
      } else {
        queueMessage(state, id, {
          kind,
          term,
          lastIndex,
          lastTerm,
        });
      }
    });
}

function startElection(state: ReplicaState): void {
  state.role = 'candidate';
  state.term += 1;
  state.votedFor = state.id;
  state.leaderId = null;
  state.votes.clear();
  state.votes.set(state.id, true);
  resetRetryDeadline(state);
  requestVotes(state, 'vote', state.term);
  if (hasWon(state)) becomeLeader(state);
}

/** Checks whether an election could be won, without raising the term of any replica. */
export function startPreVote(state: ReplicaState): void {
  state.role = 'pre-candidate';
  state.leaderId = null;
  state.isTransferElection = false;
  state.votes.clear();
  state.votes.set(state.id, true);
  resetRetryDeadline(state);
  requestVotes(state, 'pre-vote', state.term + 1);
  if (hasWon(state)) startElection(state);
}

/** Starts an election immediately, because the leader transfers leadership. */
export function startTransferElection(state: ReplicaState): void {
  if (!isVoter(state)) return;
  state.isTransferElection = true;
  startElection(state);
}

function recordDenial(
  state: ReplicaState,
  { kind, from, term }: PreVoteMessage | VoteMessage,
  reason: VoteDenialReason,
): void {
  state.lastDenial = {
    candidate: from,
    term,
    reason,
    isPreVote: kind === 'pre-vote',
  };
}

function findPreVoteDenial(
  state: ReplicaState,
  message: MessageOf<'pre-vote'>,
): VoteDenialReason | null {
  if (message.term <= state.term) return 'term-not-newer';
  if (isLeaderLeaseInForce(state)) return 'leader-alive';
  return isLogUpToDate(state, message) ? null : 'log-behind';
}

export function receivePreVote(state: ReplicaState, message: MessageOf<'pre-vote'>): void {
  const denial = findPreVoteDenial(state, message);
  if (denial !== null) recordDenial(state, message, denial);
  const isGranted = denial === null;
  const term = isGranted ? message.term : state.term;
  queueMessage(state, message.from, { kind: 'pre-vote-reply', term, isGranted });
}

export function receivePreVoteReply(
  state: ReplicaState,
  message: MessageOf<'pre-vote-reply'>,
): void {
  if (state.role !== 'pre-candidate') return;
  if (!message.isGranted) {
    if (message.term > state.term) becomeFollower(state, message.term, null);
    return;
  }
  if (message.term !== state.term + 1) return;
  state.votes.set(message.from, true);
  if (hasWon(state)) startElection(state);
}

function findVoteDenial(state: ReplicaState, message: MessageOf<'vote'>): VoteDenialReason | null {
  if (message.term !== state.term) return 'term-not-newer';
  const canVote = state.votedFor === null || state.votedFor === message.from;
  if (!canVote) return 'already-voted';
  return isLogUpToDate(state, message) ? null : 'log-behind';
}

export function receiveVote(state: ReplicaState, message: MessageOf<'vote'>): void {
  // The term is not adopted either: a candidate must not disrupt a leader that is still active.
  if (message.term > state.term && !message.isTransfer && isLeaderLeaseInForce(state)) {
    recordDenial(state, message, 'leader-alive');
    return;
  }
  if (message.term > state.term) becomeFollower(state, message.term, null);
  const denial = findVoteDenial(state, message);
  if (denial !== null) recordDenial(state, message, denial);
  const isGranted = denial === null;
  if (isGranted) {
    state.votedFor = message.from;
    resetElectionDeadline(state);
  }
  queueMessage(state, message.from, { kind: 'vote-reply', isGranted });
}

export function receiveVoteReply(state: ReplicaState, message: MessageOf<'vote-reply'>): void {
  if (state.role !== 'candidate' || message.term !== state.term) return;
  state.votes.set(message.from, message.isGranted);
  if (hasWon(state)) becomeLeader(state);
  else if (hasLost(state)) becomeFollower(state, state.term, null);
}
