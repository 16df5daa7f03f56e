/**
 * Identity of one replica: a VM and one life of its disk. A VM that lost its disk comes back
 * under a new identity, so that it can never vote as its predecessor.
 */
export type ReplicaId = string;

/** The VM of a replica: what its identity begins with. */
export function vmOfReplica(replicaId: ReplicaId): string {
  return replicaId.split('#')[0] ?? replicaId;
}

/** Who takes part in a group. Only voters vote and count; all others just receive the log. */
export interface Configuration {
  readonly voters: readonly ReplicaId[];
  /** Newcomers that are to become voters. */
  readonly learners: readonly ReplicaId[];
  /** Kept in step, to take the place of a voter that is lost. */
  readonly standbys?: readonly ReplicaId[];
  /**
   * The voters before an exchange that is under way: until it is finished, whatever needs a
   * majority needs one of these and one of the voters.
   */
  readonly outgoing?: readonly ReplicaId[];
}

/** One change of the membership; only one is under way at a time. */
export type ConfigurationChange =
  | { readonly kind: 'add-learner'; readonly replicaId: ReplicaId }
  /** A learner is kept as a standby. */
  | { readonly kind: 'keep-standby'; readonly replicaId: ReplicaId }
  | { readonly kind: 'promote'; readonly replicaId: ReplicaId }
  | { readonly kind: 'remove'; readonly replicaId: ReplicaId }
  | ExchangeVoters;

/**
 * Exchanges voters in one step, by joint consensus.
 *
 * Source: Ongaro, "Consensus: bridging theory and practice", 2014, section 4.3.
 */
export interface ExchangeVoters {
  readonly kind: 'exchange';
  /** Learners or standbys that become voters. */
  readonly incoming: readonly ReplicaId[];
  /** Voters that no longer vote. */
  readonly outgoing: readonly ReplicaId[];
  /** Those of them that are kept as standbys; the others are removed. */
  readonly kept: readonly ReplicaId[];
}

/** The replicas that a change is about. */
export function replicasOf(change: ConfigurationChange): readonly ReplicaId[] {
  return change.kind === 'exchange' ? [...change.incoming, ...change.outgoing] : [change.replicaId];
}

function without(
  ids: readonly ReplicaId[] = [],
  ...removed: readonly ReplicaId[]
): readonly ReplicaId[] {
  return ids.filter((id) => !removed.includes(id));
}

/** Leaves empty lists out, as most groups have neither standbys nor an exchange under way. */
function createConfiguration({
  voters,
  learners,
  standbys = [],
  outgoing = [],
}: Configuration): Configuration {
  return {
    voters,
    learners,
    ...(standbys.length > 0 ? { standbys } : {}),
    ...(outgoing.length > 0 ? { outgoing } : {}),
  };
}

type ChangeOf<Kind extends ConfigurationChange['kind']> = Extract<
  ConfigurationChange,
  { readonly kind: Kind }
>;

type ChangeAppliers = {
  readonly [Kind in ConfigurationChange['kind']]: (
    configuration: Configuration,
    change: ChangeOf<Kind>,
  ) => Configuration;
};

const CHANGES: ChangeAppliers = {
  'add-learner': ({ voters, learners, standbys }, { replicaId }) => ({
    voters,
    learners: voters.includes(replicaId) ? learners : [...without(learners, replicaId), replicaId],
    standbys: without(standbys, replicaId),
  }),
  'keep-standby': ({ voters, learners, standbys }, { replicaId }) => ({
    voters,
    learners: without(learners, replicaId),
    standbys: [...without(standbys, replicaId), replicaId],
  }),
  promote: ({ voters, learners, standbys }, { replicaId }) => ({
    voters: [...without(voters, replicaId), replicaId],
    learners: without(learners, replicaId),
    standbys: without(standbys, replicaId),
  }),
  remove: ({ voters, learners, standbys }, { replicaId }) => ({
    voters: without(voters, replicaId),
    learners: without(learners, replicaId),
    standbys: without(standbys, replicaId),
  }),
  exchange: ({ voters, learners, standbys }, { incoming, outgoing, kept }) => ({
    voters: [...without(voters, ...outgoing, ...incoming), ...incoming],
    learners: without(learners, ...incoming),
    standbys: [...without(standbys, ...incoming), ...kept],
    outgoing: voters,
  }),
};

/** Returns the configuration after a change; an exchange has to be finished after that. */
export function changeConfiguration(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  const apply = CHANGES[change.kind] as (
    before: Configuration,
    change: ConfigurationChange,
  ) => Configuration;
  return createConfiguration(apply(configuration, change));
}

/** Returns the configuration after an exchange: the voters before it no longer count. */
export function finishExchange({ voters, learners, standbys }: Configuration): Configuration {
  return createConfiguration({ voters, learners, standbys });
}

/** The sets of voters of which each must agree: two while voters are exchanged. */
export function voterSets({ voters, outgoing }: Configuration): readonly (readonly ReplicaId[])[] {
  return outgoing ? [voters, outgoing] : [voters];
}

/** Number of voters that make a majority of a set. */
export function majorityOf(voters: readonly ReplicaId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** Whether those for which `agrees` holds are a majority of each set of voters. */
export function hasQuorum(
  configuration: Configuration,
  agrees: (id: ReplicaId) => boolean,
): boolean {
  return voterSets(configuration).every(
    (voters) => voters.filter(agrees).length >= majorityOf(voters),
  );
}

/** Whether a replica votes. */
export function isVoterOf(configuration: Configuration, replicaId: ReplicaId): boolean {
  return voterSets(configuration).some((voters) => voters.includes(replicaId));
}

/** Every voter, also those that an exchange under way takes out. */
export function listVoters(configuration: Configuration): readonly ReplicaId[] {
  return [...new Set(voterSets(configuration).flat())];
}

/** Every replica that takes part, in whatever way. */
export function listReplicas(configuration: Configuration): readonly ReplicaId[] {
  const { learners, standbys = [] } = configuration;
  return [...new Set([...listVoters(configuration), ...learners, ...standbys])];
}
