/**
 * Decides the next change of a group's members, from what its leader knows of them.
 *
 * At no step does the loss of a VM that is to be borne leave fewer voters than a majority, if it
 * would not have done so before the step: voters are only exchanged, by joint consensus, and only
 * for members that are in step. See docs/design/group-membership.md.
 */
import { listReplicas, vmOfReplica } from './configuration';
import type { Configuration, ConfigurationChange, ReplicaId } from './configuration';
import type { MembershipLimits } from './membershipLimits';

/** A replica that asks to be taken in. */
export interface JoinRequest {
  readonly replicaId: ReplicaId;
  /** Data centre of its VM; unknown where the settings name none. */
  readonly dataCentre?: string;
  /** Whether its VM starts with the whole system, and so takes nobody's place. */
  readonly isFounding?: boolean;
}

/** What a leader knows of a member. */
export interface MemberView {
  /** Time since it last answered as itself, in milliseconds; 0 for the leader. */
  readonly silentForMs: number;
  /** How long it has answered without a gap and held what was committed; null while it does not. */
  readonly steadyForMs: number | null;
  /** Whether it holds all that is committed now. */
  readonly isInStep: boolean;
}

export interface GroupView {
  readonly leader: ReplicaId;
  readonly configuration: Configuration;
  viewOf(id: ReplicaId): MemberView;
  dataCentreOf(id: ReplicaId): string | undefined;
  /** Those that ask to be taken in now. */
  readonly joining: readonly JoinRequest[];
  /** Members whose process is about to end. */
  readonly leaving: readonly ReplicaId[];
}

export type MembershipStep =
  | { readonly kind: 'change'; readonly change: ConfigurationChange; readonly reason: string }
  /** The leader itself gives way: another voter has to lead first. */
  | { readonly kind: 'hand-over'; readonly successor: ReplicaId; readonly reason: string };

type Rule = (view: GroupView, limits: MembershipLimits) => MembershipStep | null;

const change = (made: ConfigurationChange, reason: string): MembershipStep => ({
  kind: 'change',
  change: made,
  reason,
});

/** Those that hold what is committed, have done so for a while, and are not about to end. */
function listReady(
  { viewOf, leaving }: GroupView,
  ids: readonly ReplicaId[],
  leastMs: number,
): readonly ReplicaId[] {
  return ids.filter((id) => {
    const { isInStep, steadyForMs } = viewOf(id);
    return isInStep && steadyForMs !== null && steadyForMs >= leastMs && !leaving.includes(id);
  });
}

const listReadyLearners = (view: GroupView, { steadyForMs }: MembershipLimits) =>
  listReady(view, view.configuration.learners, steadyForMs);

/** Standbys have shown themselves before; a new leader need not wait for that again. */
const listReadyStandbys = (view: GroupView) =>
  listReady(view, view.configuration.standbys ?? [], 0);

function findMostSilent(
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

/** Those of data centres with the fewest voters first. */
function sortBySpread(view: GroupView, ids: readonly ReplicaId[]): readonly ReplicaId[] {
  const count = (id: ReplicaId) => countVoters(view, view.dataCentreOf(id));
  return [...ids].sort((a, b) => count(a) - count(b));
}

/** Lets another voter lead; one whose own process is about to end would only hand over again. */
function handOver({ configuration, leader, leaving, viewOf }: GroupView, reason: string) {
  const [successor] = configuration.voters
    .filter((id) => id !== leader && !leaving.includes(id))
    .sort((a, b) => viewOf(a).silentForMs - viewOf(b).silentForMs);
  return successor === undefined ? null : ({ kind: 'hand-over', successor, reason } as const);
}

/** Exchanges one voter; a leader that is to go hands over first. */
function exchangeVoter(
  view: GroupView,
  incoming: ReplicaId,
  outgoing: ReplicaId,
  reason: string,
): MembershipStep | null {
  if (outgoing === view.leader) return handOver(view, reason);
  // An identity that its VM has lost never comes back.
  const isLost = vmOfReplica(incoming) === vmOfReplica(outgoing);
  const kept = isLost ? [] : [outgoing];
  return change({ kind: 'exchange', incoming: [incoming], outgoing: [outgoing], kept }, reason);
}

/** Removes identities without a vote whose VM has another one by now. */
const removeLostIdentities: Rule = ({ configuration, joining }) => {
  const { learners, standbys = [] } = configuration;
  const inOrder = [...standbys, ...learners, ...joining.map(({ replicaId }) => replicaId)];
  const newestOf = (vmId: string) => inOrder.findLast((id) => vmOfReplica(id) === vmId);
  const lost = [...standbys, ...learners].find((id) => newestOf(vmOfReplica(id)) !== id);
  if (lost === undefined) return null;
  return change({ kind: 'remove', replicaId: lost }, 'its VM has another identity');
};

const takeIn: Rule = ({ configuration, joining }) => {
  const members = listReplicas(configuration);
  const [newcomer] = joining.filter(({ replicaId }) => !members.includes(replicaId));
  if (!newcomer) return null;
  const { replicaId, isFounding = false } = newcomer;
  const hasPredecessor = configuration.voters.some(
    (id) => vmOfReplica(id) === vmOfReplica(replicaId),
  );
  return isFounding && !hasPredecessor
    ? change({ kind: 'keep-standby', replicaId }, 'starts with the system')
    : change({ kind: 'add-learner', replicaId }, 'asks to be taken in');
};

/** Gives a VM that lost its disk its vote back. */
const replaceLostIdentity: Rule = (view, limits) => {
  const { configuration } = view;
  for (const learner of listReadyLearners(view, limits)) {
    const lost = configuration.voters.find((id) => vmOfReplica(id) === vmOfReplica(learner));
    if (lost !== undefined) return exchangeVoter(view, learner, lost, 'its VM has lost its disk');
  }
  return null;
};

/** Adds voters where there are too few, to an odd number: an even one bears no more losses. */
const addVoters: Rule = (view, limits) => {
  const { voters } = view.configuration;
  const missing = limits.votersWanted - voters.length;
  if (missing <= 0) return null;
  const ready = sortBySpread(view, [
    ...listReadyLearners(view, limits),
    ...listReadyStandbys(view),
  ]);
  const count = Math.min(missing, ready.length);
  // One voter alone is joined by whoever there is: what is acknowledged then lies on two disks.
  const isOdd = (voters.length + count) % 2 === 1 || voters.length === 1;
  const incoming = ready.slice(0, isOdd ? count : count - 1);
  if (incoming.length === 0) return null;
  return change({ kind: 'exchange', incoming, outgoing: [], kept: [] }, 'too few voters');
};

/**
 * Gives a newcomer the vote of the one whose place it takes, before that one is seen to go: a
 * voter that is silent or leaving, or the only one of the newcomer's data centre. Where there are
 * several, which of them goes would be a guess.
 */
const placeNewcomer: Rule = (view, limits) => {
  const { configuration, dataCentreOf } = view;
  const { voters } = configuration;
  const [newcomer] = listReadyLearners(view, limits);
  if (newcomer === undefined) return null;
  const silent = findMostSilent(view, voters, limits.freshForMs);
  if (silent !== undefined) return exchangeVoter(view, newcomer, silent, 'silent voter');
  const leaving = voters.find((id) => view.leaving.includes(id));
  if (leaving !== undefined) return exchangeVoter(view, newcomer, leaving, 'leaving voter');
  const dataCentre = dataCentreOf(newcomer);
  const neighbours =
    dataCentre === undefined ? [] : voters.filter((id) => dataCentreOf(id) === dataCentre);
  const [only, ...others] = neighbours;
  if (only !== undefined && others.length === 0) {
    return exchangeVoter(view, newcomer, only, 'newer in the data centre');
  }
  return change({ kind: 'keep-standby', replicaId: newcomer }, 'voters enough');
};

/** The standby to take a voter's place: one of its data centre where there is one. */
function findStandby(view: GroupView, voter: ReplicaId): ReplicaId | undefined {
  const { dataCentreOf } = view;
  const ready = listReadyStandbys(view);
  const near = ready.find((id) => dataCentreOf(id) === dataCentreOf(voter));
  return near ?? sortBySpread(view, ready)[0];
}

const replaceLeavingVoter: Rule = (view) => {
  const { configuration, leaving } = view;
  const voter = configuration.voters.find((id) => leaving.includes(id));
  const standby = voter === undefined ? undefined : findStandby(view, voter);
  if (voter === undefined || standby === undefined) return null;
  return exchangeVoter(view, standby, voter, 'leaving voter');
};

const replaceSilentVoter: Rule = (view, limits) => {
  const silent = findMostSilent(view, view.configuration.voters, limits.silentAfterMs);
  const standby = silent === undefined ? undefined : findStandby(view, silent);
  if (silent === undefined || standby === undefined) return null;
  return exchangeVoter(view, standby, silent, 'silent voter');
};

/** Takes the vote from as many as are too many; a silent one first. */
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

/** Moves a vote to a data centre that has none from one that has several. */
const spreadVoters: Rule = (view, limits) => {
  const { configuration, dataCentreOf, leader, viewOf } = view;
  const isCalm = configuration.voters.every((id) => viewOf(id).silentForMs <= limits.freshForMs);
  if (!isCalm) return null;
  const standby = listReadyStandbys(view).find((id) => {
    const dataCentre = dataCentreOf(id);
    return dataCentre !== undefined && countVoters(view, dataCentre) === 0;
  });
  const crowded = configuration.voters.find((id) => {
    const dataCentre = dataCentreOf(id);
    return id !== leader && dataCentre !== undefined && countVoters(view, dataCentre) > 1;
  });
  if (standby === undefined || crowded === undefined) return null;
  return exchangeVoter(view, standby, crowded, 'a data centre without a voter');
};

const removeSilent: Rule = (view, limits) => {
  const { learners, standbys = [] } = view.configuration;
  const silent = findMostSilent(view, [...learners, ...standbys], limits.removeAfterMs);
  if (silent === undefined) return null;
  return change({ kind: 'remove', replicaId: silent }, 'silent without a vote');
};

/** A leader whose process is about to end lets another one lead, whoever takes its vote. */
const handOverLead: Rule = (view) =>
  view.leaving.includes(view.leader) ? handOver(view, 'leaving leader') : null;

/** The first that has something to do goes first. */
const RULES: readonly Rule[] = [
  handOverLead,
  replaceLeavingVoter,
  removeLostIdentities,
  replaceLostIdentity,
  addVoters,
  placeNewcomer,
  replaceSilentVoter,
  takeIn,
  removeVoters,
  spreadVoters,
  removeSilent,
];

/** The next step of a group; null when there is nothing to do. */
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
