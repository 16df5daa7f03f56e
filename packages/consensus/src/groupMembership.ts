/** Brings replicas with a new identity into the group, one step of membership at a time. */
import type { Clock } from '@spoolplank/shared';
import { listReplicas, vmOfReplica } from './configuration';
import type { Configuration, ConfigurationChange, ReplicaId } from './configuration';
import type { ReplicaStatus } from './replica';

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

export interface GroupMembershipOptions {
  readonly clock: Clock;
  readonly replicaId: ReplicaId;
}

/** The leader's record of who asks to be taken in and who has fallen silent. */
export interface GroupMembership {
  /** Notes that a replica asks to be taken in. */
  noteJoin(candidate: ReplicaId): void;
  /** Notes that a VM took messages. */
  noteDelivered(vmId: string): void;
  /** Gives everyone the whole time to be heard; for a new leader. */
  beginLead(): void;
  endLead(): void;
  /** The next change of the leader's group; null when there is nothing to do. */
  nextChange(status: ReplicaStatus): ConfigurationChange | null;
}

/** Longer than a killed or frozen process is away; one that is back later joins again. */
const RETIRE_AFTER_MS = 6000;

/** Creates the record of one replica. */
export function createGroupMembership(options: GroupMembershipOptions): GroupMembership {
  const { clock, replicaId } = options;
  const joining = new Set<ReplicaId>();
  const heardAtMs = new Map<string, number>();

  function isSilent(id: ReplicaId): boolean {
    if (id === replicaId) return false;
    const vmId = vmOfReplica(id);
    const nowMs = clock.nowMs();
    const heardMs = heardAtMs.get(vmId) ?? nowMs;
    heardAtMs.set(vmId, heardMs);
    return nowMs - heardMs > RETIRE_AFTER_MS;
  }

  return {
    noteJoin: (candidate) => joining.add(candidate),
    noteDelivered: (vmId) => heardAtMs.set(vmId, clock.nowMs()),
    beginLead: () => heardAtMs.clear(),
    endLead: () => joining.clear(),
    nextChange(status) {
      for (const candidate of joining) {
        const change = decideRepair(status, candidate);
        if (change) return change;
        if (status.configuration.voters.includes(candidate)) joining.delete(candidate);
      }
      const silent = listReplicas(status.configuration).filter(isSilent);
      return decideRetirement(status.configuration, silent);
    },
  };
}
