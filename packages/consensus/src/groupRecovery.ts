/**
 * Decides whether a group whose majority is gone for good may go on from one copy, and from which.
 * Whoever uses this gives up what only the missing voters had acknowledged.
 */
import { hasQuorum, listVoters } from './configuration';
import type { Configuration, ReplicaId } from './configuration';

/** What one VM holds of the group. */
export interface GroupCopy {
  readonly replicaId: ReplicaId;
  /** Counts how often the group went on from one copy; messages of another count are refused. */
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
      /** Voters of which no copy was found. */
      readonly missing: readonly ReplicaId[];
      readonly risk: string;
    };

/** Higher when it holds more: a later term goes before a longer log. */
function compareCopies(a: GroupCopy, b: GroupCopy): number {
  return a.lastTerm - b.lastTerm || a.lastIndex - b.lastIndex;
}

function findQuorum(copies: readonly GroupCopy[]): Configuration | undefined {
  const found = new Set(copies.map(({ replicaId }) => replicaId));
  return copies
    .map(({ configuration }) => configuration)
    .find(({ voters, ...rest }) => hasQuorum({ voters, ...rest }, (id) => found.has(id)));
}

/** Decides from the copies of all VMs that could be reached. */
export function decideRecovery<Copy extends GroupCopy>(
  copies: readonly Copy[],
): RecoveryDecision<Copy> {
  const generation = Math.max(...copies.map((copy) => copy.generation));
  const current = copies.filter((copy) => copy.generation === generation);
  const [copy] = [...current].sort((a, b) => compareCopies(b, a));
  if (!copy) return { kind: 'refuse', reason: 'no VM that can be reached holds a copy' };
  const quorum = findQuorum(current);
  if (quorum) {
    const voters = listVoters(quorum).join(', ');
    return { kind: 'refuse', reason: `a majority can be reached, and leads by itself: ${voters}` };
  }
  const ahead = current.find((other) => other.commitIndex > copy.lastIndex);
  if (ahead) {
    return {
      kind: 'refuse',
      reason: `${ahead.replicaId} has ${ahead.commitIndex} entries in force, and ${copy.replicaId} of a later term holds only ${copy.lastIndex}`,
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
