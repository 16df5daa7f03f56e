/** Logs when a replication group loses and regains its quorum, and which voters are silent. */
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
  /** Time with fewer voters after which a leader logs a warning, in milliseconds. */
  readonly fewVotersLimitMs: number;
}

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

/** Summarizes a group as seen by one of its replicas. */
export function summarizeGroup(status: ReplicaStatus, silentAfterMs: number): GroupSummary {
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
  const { clock, log, electionLimitMs, silentAfterMs } = options;
  let confirmedAtMs: number | null = null;
  /** Like `confirmedAtMs`, but before the first confirmation the time at which the watch began. */
  let lastConfirmedOrStartMs = clock.nowMs();
  /** Whether the loss of the quorum has been logged and the quorum has not returned since. */
  let isLost = false;
  let lastLoggedDenial: VoteDenial | null = null;
  /** Last time at which the group had enough voters or this replica was not the leader. */
  let enoughVotersAtMs = clock.nowMs();
  /** Whether the lack of voters has been logged and continues. */
  let isBelowTarget = false;

  function recordConfirmed(status: ReplicaStatus): void {
    const nowMs = clock.nowMs();
    if (isLost) {
      log.info('quorum-regained', {
        ...toGroupFields(summarizeGroup(status, silentAfterMs)),
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
    log.warn('quorum-lost', toGroupFields(summarizeGroup(status, silentAfterMs)));
  }

  function recordVoters({ role, configuration }: ReplicaStatus): void {
    const { voters, standbys = [] } = configuration;
    const nowMs = clock.nowMs();
    if (role !== 'leader' || voters.length >= options.votersWanted) {
      enoughVotersAtMs = nowMs;
      isBelowTarget = false;
    } else if (!isBelowTarget && nowMs - enoughVotersAtMs > options.fewVotersLimitMs) {
      isBelowTarget = true;
      log.warn('voters-missing', { voters, standbys, votersWanted: options.votersWanted });
    }
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
    },
    unconfirmedMs: () =>
      confirmedAtMs === null ? Number.POSITIVE_INFINITY : clock.nowMs() - confirmedAtMs,
  };
}
