/**
 * Identity of a replica: its VM and an id of its disk contents. A VM that lost its disk rejoins
 * with a new identity, so that it cannot vote a second time under the old one.
 */
export type ReplicaId = string;

/** The VM of a replica, which is the part of its identity before `#`. */
export function vmIdOfReplica(replicaId: ReplicaId): string {
  return replicaId.split('#')[0] ?? replicaId;
}

/** The members of a group. Only voters vote and count for a quorum; others receive the log. */
export interface Configuration {
  readonly voters: readonly ReplicaId[];
  /** New members that are catching up before they become voters. */
  readonly learners: readonly ReplicaId[];
  /** Non-voting members that are kept up to date to replace a lost voter. */
  readonly standbys?: readonly ReplicaId[];
  /**
   * The voters before an exchange in progress. Until it is finished, a quorum requires a majority
   * of these as well as a majority of `voters`.
   */
  readonly outgoing?: readonly ReplicaId[];
}

/** A membership change; only one may be in progress at a time. */
export type ConfigurationChange =
  | { readonly kind: 'add-learner'; readonly replicaId: ReplicaId }
  /** Makes a learner a standby. */
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
  /** Voters that lose their vote. */
  readonly outgoing: readonly ReplicaId[];
  /** The outgoing voters that become standbys; the others are removed. */
  readonly kept: readonly ReplicaId[];
}

/** The replicas affected by a change. */
export function affectedReplicas(change: ConfigurationChange): readonly ReplicaId[] {
  return change.kind === 'exchange' ? [...change.incoming, ...change.outgoing] : [change.replicaId];
}

function excludeIds(
  ids: readonly ReplicaId[] = [],
  ...removed: readonly ReplicaId[]
): readonly ReplicaId[] {
  return ids.filter((id) => !removed.includes(id));
}

/** Omits empty lists, as most groups have neither standbys nor an exchange in progress. */
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

const CHANGE_APPLIERS: ChangeAppliers = {
  'add-learner': ({ voters, learners, standbys }, { replicaId }) => ({
    voters,
    learners: voters.includes(replicaId)
      ? learners
      : [...excludeIds(learners, replicaId), replicaId],
    standbys: excludeIds(standbys, replicaId),
  }),
  'keep-standby': ({ voters, learners, standbys }, { replicaId }) => ({
    voters,
    learners: excludeIds(learners, replicaId),
    standbys: [...excludeIds(standbys, replicaId), replicaId],
  }),
  promote: ({ voters, learners, standbys }, { replicaId }) => ({
    voters: [...excludeIds(voters, replicaId), replicaId],
    learners: excludeIds(learners, replicaId),
    standbys: excludeIds(standbys, replicaId),
  }),
  remove: ({ voters, learners, standbys }, { replicaId }) => ({
    voters: excludeIds(voters, replicaId),
    learners: excludeIds(learners, replicaId),
    standbys: excludeIds(standbys, replicaId),
  }),
  exchange: ({ voters, learners, standbys }, { incoming, outgoing, kept }) => ({
    voters: [...excludeIds(voters, ...outgoing, ...incoming), ...incoming],
    learners: excludeIds(learners, ...incoming),
    standbys: [...excludeIds(standbys, ...incoming), ...kept],
    outgoing: voters,
  }),
};

/** Returns the configuration after a change; `finishExchange` must follow an exchange. */
export function changeConfiguration(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  const apply = CHANGE_APPLIERS[change.kind] as (
    before: Configuration,
    change: ConfigurationChange,
  ) => Configuration;
  return createConfiguration(apply(configuration, change));
}

/** Returns the configuration after an exchange, without the previous voters. */
export function finishExchange({ voters, learners, standbys }: Configuration): Configuration {
  return createConfiguration({ voters, learners, standbys });
}

/** The voter sets that must each reach a majority: two during an exchange, otherwise one. */
export function voterSets({ voters, outgoing }: Configuration): readonly (readonly ReplicaId[])[] {
  return outgoing ? [voters, outgoing] : [voters];
}

/** Smallest number of voters that is a majority of a set. */
export function majorityOf(voters: readonly ReplicaId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** Whether the replicas for which `agrees` holds are a majority of each voter set. */
export function hasQuorum(
  configuration: Configuration,
  agrees: (id: ReplicaId) => boolean,
): boolean {
  return voterSets(configuration).every(
    (voters) => voters.filter(agrees).length >= majorityOf(voters),
  );
}

/** Whether a replica is in a voter set, including one that an exchange replaces. */
export function isVoterOf(configuration: Configuration, replicaId: ReplicaId): boolean {
  return voterSets(configuration).some((voters) => voters.includes(replicaId));
}

/** All voters, including those that an exchange in progress removes. */
export function listVoters(configuration: Configuration): readonly ReplicaId[] {
  return [...new Set(voterSets(configuration).flat())];
}

/** All members: voters, learners and standbys. */
export function listReplicas(configuration: Configuration): readonly ReplicaId[] {
  const { learners, standbys = [] } = configuration;
  return [...new Set([...listVoters(configuration), ...learners, ...standbys])];
}
