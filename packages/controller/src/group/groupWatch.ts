/** Logs when a group lacks a quorum or voters, and when this replica waits to be admitted. */
import { listReplicas, listVoters, majorityOf, voterSets } from '@spoolplank/consensus';
import type { ReplicaId, ReplicaStatus, VoteDenial } from '@spoolplank/consensus';
import type { EventLog, LogFields } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

/** A group as seen by one of its replicas; for logs, metrics and the dump. */
export interface GroupSummary {
  readonly replica: ReplicaId;
  readonly role: ReplicaStatus['role'];
  readonly term: number;
  readonly leader: ReplicaId | null;
  /** Includes the outgoing voters of a configuration change in progress. */
  readonly voters: readonly ReplicaId[];
  /** New members that receive the log in order to become voters. */
  readonly learners: readonly ReplicaId[];
  /** Non-voting members that are kept up to date as replacements for lost voters. */
  readonly standbys: readonly ReplicaId[];
  /** Number of further voters that the losses in the settings require; 0 if there are enough. */
  readonly missingVoters: number;
  /** Index of the log entry that contains the configuration. */
  readonly configurationIndex: number;
  /**
   * Voters from which this replica has received no recent message. Null on a follower that knows
   * its leader: it receives messages from the leader only and cannot tell whether other voters run.
   */
  readonly silentVoters: readonly ReplicaId[] | null;
  /**
   * Number of further voters whose failure would still leave a majority; negative when there is no
   * majority already. Null whenever `silentVoters` is null, from which it is derived.
   */
  readonly tolerableLosses: number | null;
}

export interface GroupWatchOptions {
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'info' | 'warn'>;
  /** Longest duration of an ordinary election, in milliseconds. */
  readonly electionLimitMs: number;
  /** Time without messages after which a voter counts as silent, in milliseconds. */
  readonly silentAfterMs: number;
  /** Number of voters of which a majority remains after the VM losses that must be tolerated. */
  readonly votersWanted: number;
  /**
   * Time with fewer voters after which a leader logs a warning, in milliseconds. By then a VM that
   * started with the system or replaces another one is a voter, and the next loss may follow.
   */
  readonly fewVotersLimitMs: number;
  /**
   * Most recent reply of each VM that this replica has asked to let it join, as `VM: accepted` or
   * `VM: CODE` with the code of the error; empty by default.
   */
  readonly joinReplies?: () => readonly string[];
}

/** What a summary needs to know beside the status of the replica. */
export type GroupSummaryOptions = Pick<GroupWatchOptions, 'silentAfterMs' | 'votersWanted'>;

export interface GroupWatch {
  /**
   * Logs what has changed in the replica's status since the last call. `isConfirmed` tells whether
   * the group has a leader: on the leader, that a quorum confirms it now; on other replicas, that
   * they know a leader.
   */
  observe(status: ReplicaStatus, isConfirmed: boolean): void;
  /**
   * Time in milliseconds since `observe` was last called with a confirmed leader; infinite when it
   * never was.
   */
  unconfirmedMs(): number;
}

/** Intervals at which a wait for admission and a lack of voters that continue are logged again. */
const JOIN_LOG_INTERVAL_MS = 5000;
const FEW_VOTERS_LOG_INTERVAL_MS = 60_000;

/** Summarizes a group as seen by one of its replicas. */
export function summarizeGroup(
  status: ReplicaStatus,
  { silentAfterMs, votersWanted }: GroupSummaryOptions,
): GroupSummary {
  const { id, role, term, leaderId, configuration, configurationIndex, contactAgesMs } = status;
  const { learners } = configuration;
  const isSilent = (voter: ReplicaId) =>
    voter !== id && (contactAgesMs[voter] ?? Number.POSITIVE_INFINITY) > silentAfterMs;
  const receivesFromVoters = role !== 'follower' || leaderId === null;
  const silentVoters = receivesFromVoters ? listVoters(configuration).filter(isSilent) : null;
  const countTolerableLosses = (voters: readonly ReplicaId[]) =>
    voters.filter((voter) => !isSilent(voter)).length - majorityOf(voters);
  return {
    replica: id,
    role,
    term,
    leader: leaderId,
    voters: listVoters(configuration),
    learners,
    standbys: configuration.standbys ?? [],
    missingVoters: Math.max(0, votersWanted - configuration.voters.length),
    configurationIndex,
    silentVoters,
    tolerableLosses: receivesFromVoters
      ? Math.min(...voterSets(configuration).map(countTolerableLosses))
      : null,
  };
}

/** Selects the fields of a summary that are logged. */
export function toGroupFields(summary: GroupSummary): LogFields {
  const { role, term, leader, voters, silentVoters, configurationIndex } = summary;
  return {
    role,
    term,
    leader,
    voters,
    silentVoters,
    configurationIndex,
  };
}

/** Creates the watch for one replica. */
export function createGroupWatch(options: GroupWatchOptions): GroupWatch {
  const { clock, log, electionLimitMs, votersWanted, joinReplies = () => [] } = options;
  let confirmedAtMs: number | null = null;
  /** Like `confirmedAtMs`, but before the first confirmation the time at which the watch began. */
  let lastConfirmedOrStartMs = clock.nowMs();
  /** Whether the loss of the quorum has been logged and the quorum has not returned since. */
  let isLost = false;
  let lastLoggedDenial: VoteDenial | null = null;
  /** Last time at which the group had enough voters or this replica was not the leader. */
  let enoughVotersAtMs = clock.nowMs();
  /** When the lack of voters was last logged; null while there is none. */
  let fewVotersLoggedAtMs: number | null = null;
  /** When this replica started to wait for its admission; null while it is a member. */
  let joiningSinceMs: number | null = null;
  let joinLoggedAtMs = 0;

  function recordConfirmed(status: ReplicaStatus): void {
    const nowMs = clock.nowMs();
    if (isLost) {
      log.info('quorum-regained', {
        ...toGroupFields(summarizeGroup(status, options)),
        lostForMs: Math.round(nowMs - lastConfirmedOrStartMs),
      });
    }
    isLost = false;
    confirmedAtMs = nowMs;
    lastConfirmedOrStartMs = nowMs;
  }

  function recordUnconfirmed(status: ReplicaStatus): void {
    // A replica that has not joined the group yet has no quorum to lose.
    if (!listReplicas(status.configuration).includes(status.id)) return;
    if (isLost || clock.nowMs() - lastConfirmedOrStartMs <= electionLimitMs) return;
    isLost = true;
    log.warn('quorum-lost', toGroupFields(summarizeGroup(status, options)));
  }

  function recordVoters({ role, configuration }: ReplicaStatus): void {
    const { voters, learners, standbys = [] } = configuration;
    const nowMs = clock.nowMs();
    if (role !== 'leader' || voters.length >= votersWanted) {
      if (fewVotersLoggedAtMs !== null && role === 'leader')
        log.info('voters-complete', { voters, votersWanted });
      enoughVotersAtMs = nowMs;
      fewVotersLoggedAtMs = null;
      return;
    }
    if (nowMs - enoughVotersAtMs <= options.fewVotersLimitMs) return;
    if (fewVotersLoggedAtMs !== null && nowMs - fewVotersLoggedAtMs < FEW_VOTERS_LOG_INTERVAL_MS)
      return;
    fewVotersLoggedAtMs = nowMs;
    const remedy = `run the role control on ${votersWanted - voters.length} more VMs with a disk`;
    log.warn('voters-missing', {
      voters,
      // The group adds voters by itself only as long as there are other members.
      learners,
      standbys,
      votersWanted,
      lossesTolerated: voters.length - majorityOf(voters),
      remedy,
    });
  }

  /** Logs for whom a replica waits that is not a member yet. */
  function recordAdmission({ id, configuration, leaderId }: ReplicaStatus): void {
    const nowMs = clock.nowMs();
    if (listReplicas(configuration).includes(id)) {
      joiningSinceMs = null;
      return;
    }
    if (joiningSinceMs === null) {
      joiningSinceMs = nowMs;
      joinLoggedAtMs = nowMs;
    }
    if (nowMs - joinLoggedAtMs < JOIN_LOG_INTERVAL_MS) return;
    joinLoggedAtMs = nowMs;
    const waitedMs = Math.round(nowMs - joiningSinceMs);
    log.warn('join-awaited', { leader: leaderId, waitedMs, replies: joinReplies() });
  }

  function recordDenial({ lastDenial }: ReplicaStatus): void {
    if (lastDenial === null || lastDenial === lastLoggedDenial) return;
    const isRepeated =
      lastDenial.candidate === lastLoggedDenial?.candidate &&
      lastDenial.reason === lastLoggedDenial.reason;
    lastLoggedDenial = lastDenial;
    if (!isRepeated) log.info('vote-denied', { ...lastDenial });
  }

  return {
    observe(status, isConfirmed) {
      if (isConfirmed) recordConfirmed(status);
      else recordUnconfirmed(status);
      recordDenial(status);
      recordVoters(status);
      recordAdmission(status);
    },
    unconfirmedMs: () =>
      confirmedAtMs === null ? Number.POSITIVE_INFINITY : clock.nowMs() - confirmedAtMs,
  };
}
