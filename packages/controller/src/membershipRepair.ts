/** Brings replicas with a new identity into the group, one step of membership at a time. */
import type {
  Configuration,
  ConfigurationChange,
  ReplicaId,
  ReplicaStatus,
} from '@spoolplank/consensus';
import { vmOfReplica } from './raftTransport';

/** How far behind a learner may be to be made a voter. */
const PROMOTE_WITHIN_ENTRIES = 50;

function findPredecessor(
  { voters, learners }: Configuration,
  candidate: ReplicaId,
): ReplicaId | undefined {
  return [...voters, ...learners].find(
    (id) => id !== candidate && vmOfReplica(id) === vmOfReplica(candidate),
  );
}

/**
 * The next change that brings a candidate closer to being a voter; null when it is one, or
 * when it has to catch up first. The identity that the VM had before goes first: it will
 * never vote again, and with it gone a majority needs one replica fewer.
 */
export function decideRepair(
  status: ReplicaStatus,
  candidate: ReplicaId,
): ConfigurationChange | null {
  const { configuration, matchIndexes, commitIndex } = status;
  const predecessor = findPredecessor(configuration, candidate);
  if (predecessor) return { kind: 'remove', replicaId: predecessor };
  if (configuration.voters.includes(candidate)) return null;
  if (!configuration.learners.includes(candidate))
    return { kind: 'add-learner', replicaId: candidate };
  const isCaughtUp = (matchIndexes[candidate] ?? 0) + PROMOTE_WITHIN_ENTRIES >= commitIndex;
  return isCaughtUp ? { kind: 'promote', replicaId: candidate } : null;
}

/**
 * Removes a silent replica where that lowers the number of votes a majority needs: an even
 * number of voters tolerates no more losses than one fewer. A learner that fell silent goes
 * too. Null when nothing is gained.
 */
export function decideRetirement(
  { voters, learners }: Configuration,
  silent: readonly ReplicaId[],
): ConfigurationChange | null {
  const learner = learners.find((id) => silent.includes(id));
  if (learner !== undefined) return { kind: 'remove', replicaId: learner };
  const voter = voters.find((id) => silent.includes(id));
  const isWorthwhile = voters.length > 2 && voters.length % 2 === 0;
  return voter !== undefined && isWorthwhile ? { kind: 'remove', replicaId: voter } : null;
}
