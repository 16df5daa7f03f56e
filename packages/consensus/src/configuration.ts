/**
 * Identity of one replica: a VM and one life of its disk. A VM that lost its disk comes back
 * under a new identity, so that it can never vote as its predecessor.
 */
export type ReplicaId = string;

/** The VM of a replica: what its identity begins with. */
export function vmOfReplica(replicaId: ReplicaId): string {
  return replicaId.split('#')[0] ?? replicaId;
}

/** Who takes part in a group. Learners receive the log but neither vote nor count. */
export interface Configuration {
  readonly voters: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
}

/** One step of a membership change; single steps keep old and new quorums overlapping. */
export type ConfigurationChange =
  | { readonly kind: 'add-learner'; readonly replicaId: ReplicaId }
  | { readonly kind: 'promote'; readonly replicaId: ReplicaId }
  | { readonly kind: 'remove'; readonly replicaId: ReplicaId };

type ApplyChange = (configuration: Configuration, replicaId: ReplicaId) => Configuration;

function without(ids: readonly ReplicaId[], replicaId: ReplicaId): readonly ReplicaId[] {
  return ids.filter((id) => id !== replicaId);
}

const CHANGES: Readonly<Record<ConfigurationChange['kind'], ApplyChange>> = {
  'add-learner': ({ voters, learners }, replicaId) => ({
    voters,
    learners: voters.includes(replicaId) ? learners : [...without(learners, replicaId), replicaId],
  }),
  promote: ({ voters, learners }, replicaId) => ({
    voters: [...without(voters, replicaId), replicaId],
    learners: without(learners, replicaId),
  }),
  remove: ({ voters, learners }, replicaId) => ({
    voters: without(voters, replicaId),
    learners: without(learners, replicaId),
  }),
};

/** Returns the configuration after one step. */
export function changeConfiguration(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  return CHANGES[change.kind](configuration, change.replicaId);
}

/** Number of voters that make a majority. */
export function quorumSize({ voters }: Configuration): number {
  return Math.floor(voters.length / 2) + 1;
}

/** Every replica that takes part, in whatever way. */
export function listReplicas({ voters, learners }: Configuration): readonly ReplicaId[] {
  return [...voters, ...learners];
}
