/**
 * Bootstrap of a control VM with an empty data folder. It creates a new group only if every control
 * VM reports that its folder is empty too. A majority is not enough, because a single unreachable
 * VM may hold committed state. See docs/design/replicated-log.md.
 */
import { listReplicas } from './configuration';
import type { Configuration, ReplicaId } from './configuration';

/** A control VM's description of its own replica. */
export interface GroupDescription {
  /** Null on a VM without a disk, which only relays and is never a member. */
  readonly replicaId: ReplicaId | null;
  /** Null while its folder is empty. */
  readonly configuration: Configuration | null;
  /** Number of recoveries from a single copy; 0 by default. */
  readonly generation?: number;
}

export type BootstrapStep =
  /** The group has this replica as a member: start it. */
  | { readonly kind: 'take-part' }
  /** A group exists without this replica: ask to join. */
  | { readonly kind: 'join' }
  /** No group exists: create it with this configuration. */
  | { readonly kind: 'found'; readonly configuration: Configuration }
  | { readonly kind: 'wait'; readonly reason: string };

export interface BootstrapView {
  readonly self: ReplicaId;
  /** The reply of every other control VM; undefined if it did not reply. */
  readonly others: readonly (GroupDescription | undefined)[];
}

/** The highest reported generation of the group; copies of earlier generations do not count. */
export function newestGeneration(others: readonly (GroupDescription | undefined)[]): number {
  return Math.max(0, ...others.map((other) => other?.generation ?? 0));
}

/** Decides the next step of a replica with an empty folder. */
export function decideBootstrap({ self, others }: BootstrapView): BootstrapStep {
  const answers = others.filter((other) => other !== undefined);
  const generation = newestGeneration(others);
  const groups = answers.flatMap(({ configuration, generation: groupGeneration = 0 }) =>
    configuration && groupGeneration === generation ? [configuration] : [],
  );
  if (groups.some((configuration) => listReplicas(configuration).includes(self)))
    return { kind: 'take-part' };
  if (groups.length > 0) return { kind: 'join' };
  if (answers.length < others.length) {
    return {
      kind: 'wait',
      reason: 'not every control VM answers, and one that does not may hold the state',
    };
  }
  const voters = [self, ...answers.flatMap(({ replicaId }) => replicaId ?? [])].sort();
  // Only the VM with the lowest id creates the group, so that two VMs cannot create different ones.
  if (voters[0] !== self) return { kind: 'wait', reason: `${voters[0]} founds the group` };
  return { kind: 'found', configuration: { voters, learners: [] } };
}
