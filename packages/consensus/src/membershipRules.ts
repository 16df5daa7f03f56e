/**
 * Decides the next membership change of a group from the leader's view of its members.
 *
 * No step makes a tolerated loss of VMs break the quorum if the group would have survived that loss
 * before the step: voters change only by joint consensus, and only caught-up members become voters.
 * See docs/design/group-membership.md.
 */
import { listReplicas, vmIdOfReplica } from './configuration';
import type { Configuration, ConfigurationChange, ReplicaId } from './configuration';
import type { MembershipLimits } from './membershipLimits';

/** A request of a replica to join the group. */
export interface JoinRequest {
  readonly replicaId: ReplicaId;
  /** Data centre of its VM; undefined if the settings name none. */
  readonly dataCentre?: string;
  /** Whether its VM starts together with the whole system and therefore replaces no voter. */
  readonly isFounding?: boolean;
}

/** The leader's view of a member. */
export interface MemberView {
  /** Time since the last reply under this identity; 0 for the leader. */
  readonly silentForMs: number;
  /** Time for which it has replied without a gap and kept up with commits; null otherwise. */
  readonly stableForMs: number | null;
  /** Whether it has stored every committed entry. */
  readonly isCaughtUp: boolean;
}

export interface GroupView {
  readonly leader: ReplicaId;
  readonly configuration: Configuration;
  viewOf(id: ReplicaId): MemberView;
  dataCentreOf(id: ReplicaId): string | undefined;
  /** Replicas with a current request to join. */
  readonly joining: readonly JoinRequest[];
  /** Members whose process is shutting down. */
  readonly leaving: readonly ReplicaId[];
}

export type MembershipStep =
  | { readonly kind: 'change'; readonly change: ConfigurationChange; readonly reason: string }
  /** Leadership must move to another voter before the leader can lose its vote. */
  | { readonly kind: 'hand-over'; readonly successor: ReplicaId; readonly reason: string };

type Rule = (view: GroupView, limits: MembershipLimits) => MembershipStep | null;

const change = (proposed: ConfigurationChange, reason: string): MembershipStep => ({
  kind: 'change',
  change: proposed,
  reason,
});

/** Members that are caught up, have been stable for `leastMs`, and are not shutting down. */
function listReady(
  { viewOf, leaving }: GroupView,
  ids: readonly ReplicaId[],
  minStableMs: number,
): readonly ReplicaId[] {
  return ids.filter((id) => {
    const { isCaughtUp, stableForMs } = viewOf(id);
    return (
      isCaughtUp && stableForMs !== null && stableForMs >= minStableMs && !leaving.includes(id)
    );
  });
}

const listReadyLearners = (view: GroupView, { stableForMs }: MembershipLimits) =>
  listReady(view, view.configuration.learners, stableForMs);

/** Standbys have been stable before, so a new leader does not wait for that again. */
const listReadyStandbys = (view: GroupView) =>
  listReady(view, view.configuration.standbys ?? [], 0);

function findLongestSilent(
  { viewOf }: GroupView,
  ids: readonly ReplicaId[],
  longerThanMs: number,
): ReplicaId | undefined {
  const silence = (id: ReplicaId) => viewOf(id).silentForMs;
  const [most] = [...ids].sort((a, b) => silence(b) - silence(a));
  return most !== undefined && silence(most) > longerThanMs ? most : undefined;
}

function countVoters(
  { configuration, dataCentreOf }: GroupView,
  dataCentre: string | undefined,
): number {
  return configuration.voters.filter((id) => dataCentreOf(id) === dataCentre).length;
}

/** Sorts replicas of data centres with the fewest voters first. */
function sortBySpread(view: GroupView, ids: readonly ReplicaId[]): readonly ReplicaId[] {
  const count = (id: ReplicaId) => countVoters(view, view.dataCentreOf(id));
  return [...ids].sort((a, b) => count(a) - count(b));
}

/** Transfers leadership to a voter that is not shutting down itself, as it would transfer again. */
function handOver({ configuration, leader, leaving, viewOf }: GroupView, reason: string) {
  const [successor] = configuration.voters
    .filter((id) => id !== leader && !leaving.includes(id))
    .sort((a, b) => viewOf(a).silentForMs - viewOf(b).silentForMs);
  return successor === undefined ? null : ({ kind: 'hand-over', successor, reason } as const);
}

/** Exchanges one voter; a leader that is to be replaced transfers leadership first. */
function exchangeVoter(
  view: GroupView,
  incoming: ReplicaId,
  outgoing: ReplicaId,
  reason: string,
): MembershipStep | null {
  if (outgoing === view.leader) return handOver(view, reason);
  // The identity of a lost disk never returns, so it is not kept as a standby.
  const isLost = vmIdOfReplica(incoming) === vmIdOfReplica(outgoing);
  const kept = isLost ? [] : [outgoing];
  return change({ kind: 'exchange', incoming: [incoming], outgoing: [outgoing], kept }, reason);
}

/** Removes non-voting identities whose VM has a newer identity. */
const removeLostIdentities: Rule = ({ configuration, joining }) => {
  const { learners, standbys = [] } = configuration;
  const inOrder = [...standbys, ...learners, ...joining.map(({ replicaId }) => replicaId)];
  const newestOf = (vmId: string) => inOrder.findLast((id) => vmIdOfReplica(id) === vmId);
  const lost = [...standbys, ...learners].find((id) => newestOf(vmIdOfReplica(id)) !== id);
  if (lost === undefined) return null;
  return change({ kind: 'remove', replicaId: lost }, 'its VM has a newer identity');
};

const admitJoiningReplica: Rule = ({ configuration, joining }) => {
  const members = listReplicas(configuration);
  const [newcomer] = joining.filter(({ replicaId }) => !members.includes(replicaId));
  if (!newcomer) return null;
  const { replicaId, isFounding = false } = newcomer;
  const hasPredecessor = configuration.voters.some(
    (id) => vmIdOfReplica(id) === vmIdOfReplica(replicaId),
  );
  return isFounding && !hasPredecessor
    ? change({ kind: 'keep-standby', replicaId }, 'starts with the system')
    : change({ kind: 'add-learner', replicaId }, 'requests to join');
};

/** Exchanges the old identity of a VM that lost its disk for its new one. */
const replaceLostIdentity: Rule = (view, limits) => {
  const { configuration } = view;
  for (const learner of listReadyLearners(view, limits)) {
    const lost = configuration.voters.find((id) => vmIdOfReplica(id) === vmIdOfReplica(learner));
    if (lost !== undefined) return exchangeVoter(view, learner, lost, 'its VM has lost its disk');
  }
  return null;
};

/** Adds missing voters up to an odd number; an even number tolerates no more losses. */
const addVoters: Rule = (view, limits) => {
  const { voters } = view.configuration;
  const missing = limits.votersWanted - voters.length;
  if (missing <= 0) return null;
  const ready = sortBySpread(view, [
    ...listReadyLearners(view, limits),
    ...listReadyStandbys(view),
  ]);
  const count = Math.min(missing, ready.length);
  // A single voter is joined by any ready member, so that commits are stored on two disks.
  const isOdd = (voters.length + count) % 2 === 1 || voters.length === 1;
  const incoming = ready.slice(0, isOdd ? count : count - 1);
  if (incoming.length === 0) return null;
  return change({ kind: 'exchange', incoming, outgoing: [], kept: [] }, 'too few voters');
};

/**
 * Exchanges a voter for a ready learner that replaces it, without waiting until the voter counts as
 * failed: a voter that is silent or leaving, or the only voter in the learner's data centre. If the
 * data centre has several voters, the one to be replaced is unknown and the learner becomes a
 * standby.
 */
const placeReadyLearner: Rule = (view, limits) => {
  const { configuration, dataCentreOf } = view;
  const { voters } = configuration;
  const [newcomer] = listReadyLearners(view, limits);
  if (newcomer === undefined) return null;
  const silent = findLongestSilent(view, voters, limits.maxContactAgeMs);
  if (silent !== undefined) return exchangeVoter(view, newcomer, silent, 'silent voter');
  const leaving = voters.find((id) => view.leaving.includes(id));
  if (leaving !== undefined) return exchangeVoter(view, newcomer, leaving, 'leaving voter');
  const dataCentre = dataCentreOf(newcomer);
  const sameDataCentreVoters =
    dataCentre === undefined ? [] : voters.filter((id) => dataCentreOf(id) === dataCentre);
  const [only, ...others] = sameDataCentreVoters;
  if (only !== undefined && others.length === 0) {
    return exchangeVoter(view, newcomer, only, 'replacement in the data centre');
  }
  return change({ kind: 'keep-standby', replicaId: newcomer }, 'enough voters');
};

/** The standby to replace a voter, preferably from the same data centre. */
function findStandby(view: GroupView, voter: ReplicaId): ReplicaId | undefined {
  const { dataCentreOf } = view;
  const ready = listReadyStandbys(view);
  const sameDataCentre = ready.find((id) => dataCentreOf(id) === dataCentreOf(voter));
  return sameDataCentre ?? sortBySpread(view, ready)[0];
}

const replaceLeavingVoter: Rule = (view) => {
  const { configuration, leaving } = view;
  const voter = configuration.voters.find((id) => leaving.includes(id));
  const standby = voter === undefined ? undefined : findStandby(view, voter);
  if (voter === undefined || standby === undefined) return null;
  return exchangeVoter(view, standby, voter, 'leaving voter');
};

const replaceSilentVoter: Rule = (view, limits) => {
  const silent = findLongestSilent(view, view.configuration.voters, limits.contactTimeoutMs);
  const standby = silent === undefined ? undefined : findStandby(view, silent);
  if (silent === undefined || standby === undefined) return null;
  return exchangeVoter(view, standby, silent, 'silent voter');
};

/** Removes surplus voters, silent ones first. */
const removeVoters: Rule = (view, limits) => {
  const { configuration, leader, viewOf } = view;
  const { voters } = configuration;
  const tooMany = voters.length - limits.votersWanted;
  const isEven = voters.length > 2 && voters.length % 2 === 0;
  const count = tooMany > 0 ? tooMany : Number(isEven);
  if (count === 0) return null;
  const outgoing = sortBySpread(
    view,
    voters.filter((id) => id !== leader),
  )
    .toReversed()
    .sort((a, b) => viewOf(b).silentForMs - viewOf(a).silentForMs)
    .slice(0, count);
  const made: ConfigurationChange = { kind: 'exchange', incoming: [], outgoing, kept: outgoing };
  return change(made, tooMany > 0 ? 'too many voters' : 'an even number of voters');
};

/** Moves a vote from a data centre with several voters to one without. */
const spreadVoters: Rule = (view, limits) => {
  const { configuration, dataCentreOf, leader, viewOf } = view;
  const areAllResponsive = configuration.voters.every(
    (id) => viewOf(id).silentForMs <= limits.maxContactAgeMs,
  );
  if (!areAllResponsive) return null;
  const standby = listReadyStandbys(view).find((id) => {
    const dataCentre = dataCentreOf(id);
    return dataCentre !== undefined && countVoters(view, dataCentre) === 0;
  });
  const crowded = configuration.voters.find((id) => {
    const dataCentre = dataCentreOf(id);
    return id !== leader && dataCentre !== undefined && countVoters(view, dataCentre) > 1;
  });
  if (standby === undefined || crowded === undefined) return null;
  return exchangeVoter(view, standby, crowded, 'data centre without a voter');
};

const removeSilent: Rule = (view, limits) => {
  const { learners, standbys = [] } = view.configuration;
  const silent = findLongestSilent(view, [...learners, ...standbys], limits.removeAfterMs);
  if (silent === undefined) return null;
  return change({ kind: 'remove', replicaId: silent }, 'silent non-voter');
};

/** A leader that is shutting down transfers leadership, whichever member gets its vote. */
const handOverLeadership: Rule = (view) =>
  view.leaving.includes(view.leader) ? handOver(view, 'leaving leader') : null;

/** Rules in order of priority; the first one that returns a step applies. */
const RULES: readonly Rule[] = [
  handOverLeadership,
  replaceLeavingVoter,
  removeLostIdentities,
  replaceLostIdentity,
  addVoters,
  placeReadyLearner,
  replaceSilentVoter,
  admitJoiningReplica,
  removeVoters,
  spreadVoters,
  removeSilent,
];

/** Returns the next membership step of a group, or null if none is due. */
export function decideMembershipStep(
  view: GroupView,
  limits: MembershipLimits,
): MembershipStep | null {
  for (const rule of RULES) {
    const step = rule(view, limits);
    if (step) return step;
  }
  return null;
}
