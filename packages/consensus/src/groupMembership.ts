/** Membership management of one replica: the leader changes members, others may ask to join. */
import type { Clock } from '@spoolplank/shared';
import { listReplicas, vmIdOfReplica } from './configuration';
import type { ReplicaId } from './configuration';
import type { MembershipLimits } from './membershipLimits';
import { decideMembershipStep } from './membershipRules';
import type { JoinRequest, MembershipStep, MemberView } from './membershipRules';
import type { ReplicaStatus } from './replica';

export interface GroupMembershipOptions {
  readonly clock: Clock;
  readonly replicaId: ReplicaId;
  readonly limits: MembershipLimits;
  /** Data centre of a replica's VM if its join request did not name one. */
  readonly dataCentreOf?: (replicaId: ReplicaId) => string | undefined;
}

export type MembershipAction =
  | MembershipStep
  /** This replica is not a member, or has lost contact with the leader, and must ask to join. */
  | { readonly kind: 'ask-to-join' }
  /** This replica's process is shutting down and must ask the leader to replace its vote. */
  | { readonly kind: 'ask-to-leave' };

export interface GroupMembership {
  /** Records a request to join; called on the leader. */
  recordJoin(request: JoinRequest): void;
  /** Records that a member's process is shutting down; called on the leader. */
  recordLeave(replicaId: ReplicaId): void;
  /** Records that this replica's process is shutting down. */
  beginLeaving(): void;
  /** Records that the leader has acknowledged the shutdown of this replica. */
  confirmLeave(): void;
  /**
   * Whether the shutdown has to wait: this replica still has its leadership or its vote and another
   * member can take it, or it has no vote but the leader, not yet aware of the shutdown, may assign
   * one.
   */
  mustDelayShutdown(status: ReplicaStatus): boolean;
  /** Returns the next action; called periodically in every role. */
  next(status: ReplicaStatus): MembershipAction | null;
}

interface PendingJoin {
  readonly request: JoinRequest;
  readonly atMs: number;
}

export function createGroupMembership(options: GroupMembershipOptions): GroupMembership {
  const { clock, replicaId, limits, dataCentreOf = () => undefined } = options;
  const pendingJoins = new Map<ReplicaId, PendingJoin>();
  const leavingAtMs = new Map<ReplicaId, number>();
  const dataCentres = new Map<ReplicaId, string>();
  const stableSinceMs = new Map<ReplicaId, number>();
  /** When this leader first saw each member. */
  const memberSinceMs = new Map<ReplicaId, number>();
  let previousCommitIndex = 0;
  let isLeaving = false;
  let isLeaveConfirmed = false;
  /** Whether this replica was the leader at the previous call of `next`. */
  let wasLeader = false;
  let lastLeader: ReplicaId | null = null;
  let leaderSeenAtMs = clock.nowMs();

  function silentForMs({ answerAgesMs, contactAgesMs }: ReplicaStatus, id: ReplicaId): number {
    if (id === replicaId) return 0;
    const answeredMs = answerAgesMs[id];
    if (answeredMs !== undefined) return answeredMs;
    // Before becoming leader, a replica regularly hears only from the previous leader. For other
    // members, silence is counted from when this leader first saw them.
    const contactAgeMs = id === lastLeader ? contactAgesMs[id] : undefined;
    return contactAgeMs ?? clock.nowMs() - (memberSinceMs.get(id) ?? clock.nowMs());
  }

  function hasMatched(status: ReplicaStatus, id: ReplicaId, index: number): boolean {
    return (status.matchIndexes[id] ?? 0) >= index;
  }

  /** Caches the data centre of a VM, which never changes and may be slow to look up. */
  function dataCentreOfMember(id: ReplicaId): string | undefined {
    const dataCentre = dataCentres.get(id) ?? dataCentreOf(id);
    if (dataCentre !== undefined) dataCentres.set(id, dataCentre);
    return dataCentre;
  }

  function recordMembers({ configuration }: ReplicaStatus): void {
    const members = listReplicas(configuration);
    [...memberSinceMs.keys()]
      .filter((id) => !members.includes(id))
      .forEach((id) => {
        memberSinceMs.delete(id);
        stableSinceMs.delete(id);
      });
    [...dataCentres.keys()]
      .filter((id) => !members.includes(id) && !pendingJoins.has(id))
      .forEach((id) => dataCentres.delete(id));
    members
      .filter((id) => !memberSinceMs.has(id))
      .forEach((id) => memberSinceMs.set(id, clock.nowMs()));
  }

  /** Records since when each member has kept replying and kept up with committed entries. */
  function recordStability(status: ReplicaStatus): void {
    listReplicas(status.configuration).forEach((id) => {
      const answeredMs = id === replicaId ? 0 : status.answerAgesMs[id];
      const isStable =
        answeredMs !== undefined &&
        answeredMs <= limits.maxContactAgeMs &&
        hasMatched(status, id, previousCommitIndex);
      if (!isStable) stableSinceMs.delete(id);
      else if (!stableSinceMs.has(id)) stableSinceMs.set(id, clock.nowMs());
    });
    previousCommitIndex = status.commitIndex;
  }

  function viewOf(status: ReplicaStatus, id: ReplicaId): MemberView {
    const nowMs = clock.nowMs();
    const sinceMs = stableSinceMs.get(id);
    return {
      silentForMs: silentForMs(status, id),
      stableForMs: sinceMs === undefined ? null : nowMs - sinceMs,
      isCaughtUp: hasMatched(status, id, status.commitIndex),
    };
  }

  function listJoining(): readonly JoinRequest[] {
    const oldestMs = clock.nowMs() - limits.maxContactAgeMs;
    [...pendingJoins]
      .filter(([, { atMs }]) => atMs < oldestMs)
      .forEach(([id]) => pendingJoins.delete(id));
    return [...pendingJoins.values()].map(({ request }) => request);
  }

  function listLeaving(): readonly ReplicaId[] {
    // The entry is kept until the member's silence is detected.
    const oldestMs = clock.nowMs() - 2 * limits.maxContactAgeMs;
    const others = [...leavingAtMs].filter(([, atMs]) => atMs >= oldestMs).map(([id]) => id);
    return isLeaving ? [...others, replicaId] : others;
  }

  function stepAsLeader(status: ReplicaStatus): MembershipStep | null {
    if (!wasLeader) {
      wasLeader = true;
      previousCommitIndex = status.commitIndex;
      stableSinceMs.clear();
      memberSinceMs.clear();
    }
    recordMembers(status);
    recordStability(status);
    const isChanging = status.commitIndex < status.configurationIndex;
    if (isChanging || status.configuration.outgoing) return null;
    return decideMembershipStep(
      {
        leader: replicaId,
        configuration: status.configuration,
        viewOf: (id) => viewOf(status, id),
        dataCentreOf: dataCentreOfMember,
        joining: listJoining(),
        leaving: listLeaving(),
      },
      limits,
    );
  }

  /** A replica that was removed while unreachable is not notified, so it asks to join again. */
  function stepAsFollower({ configuration, leaderId }: ReplicaStatus): MembershipAction | null {
    wasLeader = false;
    pendingJoins.clear();
    leavingAtMs.clear();
    const nowMs = clock.nowMs();
    if (leaderId !== null) {
      lastLeader = leaderId;
      leaderSeenAtMs = nowMs;
    }
    if (isLeaving) return { kind: 'ask-to-leave' };
    const isMember = listReplicas(configuration).includes(replicaId);
    const isCutOff = nowMs - leaderSeenAtMs > limits.contactTimeoutMs;
    return isMember && !isCutOff ? null : { kind: 'ask-to-join' };
  }

  return {
    recordJoin(request) {
      const vmId = vmIdOfReplica(request.replicaId);
      // A VM has one identity at a time, so requests of its earlier identities are dropped.
      [...pendingJoins.keys()]
        .filter((id) => vmIdOfReplica(id) === vmId)
        .forEach((id) => pendingJoins.delete(id));
      pendingJoins.set(request.replicaId, { request, atMs: clock.nowMs() });
      if (request.dataCentre !== undefined) dataCentres.set(request.replicaId, request.dataCentre);
    },
    recordLeave: (id) => leavingAtMs.set(id, clock.nowMs()),
    beginLeaving() {
      isLeaving = true;
    },
    confirmLeave() {
      isLeaveConfirmed = true;
    },
    mustDelayShutdown({ role, configuration }) {
      const { voters, learners, standbys = [] } = configuration;
      if (!voters.includes(replicaId)) return !isLeaveConfirmed;
      const leaving = listLeaving();
      const hasSuccessor = voters.some((id) => id !== replicaId && !leaving.includes(id));
      return learners.length + standbys.length > 0 || (role === 'leader' && hasSuccessor);
    },
    next: (status) => (status.role === 'leader' ? stepAsLeader(status) : stepAsFollower(status)),
  };
}
