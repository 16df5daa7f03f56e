/**
 * Decides whether a group that has permanently lost its quorum may be recovered from one copy, and
 * from which. A recovery discards entries that only the missing voters had stored.
 */
import { hasQuorum, listVoters } from './configuration';
import type { Configuration, ReplicaId } from './configuration';

/** The copy of the group's state on one VM. */
export interface GroupCopy {
  readonly replicaId: ReplicaId;
  /** Number of recoveries from a single copy; messages of another generation are refused. */
  readonly generation: number;
  readonly configuration: Configuration;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly commitIndex: number;
}

export type RecoveryDecision<Copy extends GroupCopy = GroupCopy> =
  | { readonly kind: 'refuse'; readonly reason: string }
  | {
      readonly kind: 'recover';
      readonly copy: Copy;
      /** Voters without a reachable copy. */
      readonly missing: readonly ReplicaId[];
      readonly risk: string;
    };

/** Orders copies as Raft elections do: a later term takes precedence over a longer log. */
function compareCopies(a: GroupCopy, b: GroupCopy): number {
  return a.lastTerm - b.lastTerm || a.lastIndex - b.lastIndex;
}

function findQuorum(copies: readonly GroupCopy[]): Configuration | undefined {
  const found = new Set(copies.map(({ replicaId }) => replicaId));
  return copies
    .map(({ configuration }) => configuration)
    .find(({ voters, ...rest }) => hasQuorum({ voters, ...rest }, (id) => found.has(id)));
}

/** Decides from the copies of all reachable VMs. */
export function decideRecovery<Copy extends GroupCopy>(
  copies: readonly Copy[],
): RecoveryDecision<Copy> {
  const generation = Math.max(...copies.map((copy) => copy.generation));
  const current = copies.filter((copy) => copy.generation === generation);
  const [copy] = [...current].sort((a, b) => compareCopies(b, a));
  if (!copy) return { kind: 'refuse', reason: 'no reachable VM has a copy of the group' };
  const quorum = findQuorum(current);
  if (quorum) {
    const voters = listVoters(quorum).join(', ');
    return { kind: 'refuse', reason: `a majority can be reached, and leads by itself: ${voters}` };
  }
  const ahead = current.find((other) => other.commitIndex > copy.lastIndex);
  if (ahead) {
    return {
      kind: 'refuse',
      reason: `the copies are inconsistent: ${ahead.replicaId} has committed up to entry ${ahead.commitIndex}, but ${copy.replicaId}, of a later term, ends at entry ${copy.lastIndex}`,
    };
  }
  const found = new Set(current.map(({ replicaId }) => replicaId));
  const missing = listVoters(copy.configuration).filter((id) => !found.has(id));
  return {
    kind: 'recover',
    copy,
    missing,
    risk: `what ${missing.join(', ')} acknowledged after entry ${copy.lastIndex} is lost`,
  };
}
