/**
 * Tracks the requests that were sent to backend servers and that nothing shows to have been read.
 *
 * A request may be held back on its connection, or by the kernel of a server whose process stands
 * still, and arrive after this VM has given it up. It has arrived once the server answers it.
 * Without an answer it cannot arrive any more when two things are known: its connection ended so
 * long ago that nothing is held back on it, and the server has read on since, as it answered a
 * request that was sent later or has restarted. What other connections do tells nothing about one
 * that is open.
 * See docs/design/retry-budget.md.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface UnreadSendingsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'gauge'>;
  /** Whether another incarnation of a server has announced itself. */
  readonly hasRestarted: (instanceId: string) => boolean;
}

export interface SendingDetails {
  readonly requestId: string;
  readonly service: string;
  readonly instanceId: string;
}

/** A request on its way to a server. */
export interface Sending {
  /** Records that the request has a connection, so that it may arrive from now on. */
  begin(): void;
  /** Records that the server answered it, in time or after it was given up. */
  recordAnswer(): void;
  /** Records that its connection ended without an answer. */
  recordEnd(): void;
  /** Records that no answer is awaited any more; the request may still arrive. */
  giveUp(): void;
  /** Records that nothing was sent. */
  cancel(): void;
}

export interface UnreadSendings {
  /** Adds a request that is sent now; `onRead` is called once it cannot arrive any more. */
  add(details: SendingDetails, onRead: () => void): Sending;
  /** Finds the sendings that cannot arrive any more; called periodically. */
  tick(): void;
  /** Number of sendings to each server that were given up and may still arrive. */
  describe(): Readonly<Record<string, number>>;
}

interface Row extends SendingDetails {
  readonly onRead: () => void;
  sentAtMs: number;
  isGivenUp: boolean;
  /** When its connection ended; infinite while it may be open. */
  endedAtMs: number;
  /** When the server has read what it received before then; infinite while nothing tells. */
  readByMs: number;
}

/** Why a sending that was given up cannot arrive any more. */
type Evidence = 'answered' | 'ended' | 'expired';

/** Time within which a server that answers one request reads those that were sent before it. */
const READ_ON_MS = 300;
/** Longest time for which a link holds what was sent on a connection that has ended. */
const MAX_HELD_ON_LINK_MS = 15_000;
/** Time after which a request without an answer or an end is taken for lost. */
const MAX_UNREAD_MS = 60_000;
const MAX_ROWS = 10_000;
/** Request ids that a log line names. */
const MAX_LOGGED_IDS = 32;

export function createUnreadSendings(options: UnreadSendingsOptions): UnreadSendings {
  const { clock, log, metrics, hasRestarted } = options;
  /** By server; the oldest first. */
  const rows = new Map<string, Set<Row>>();
  let count = 0;

  const listGivenUp = (): readonly Row[] =>
    [...rows.values()].flatMap((set) => [...set].filter(({ isGivenUp }) => isGivenUp));
  metrics.gauge('spoolplank_sendings_unread', () => listGivenUp().length);

  /** Returns whether the row was still tracked. */
  function remove(row: Row): boolean {
    const set = rows.get(row.instanceId);
    if (!set?.delete(row)) return false;
    count -= 1;
    if (set.size === 0) rows.delete(row.instanceId);
    return true;
  }

  function settle(row: Row): void {
    if (remove(row)) row.onRead();
  }

  /** Records that a server has read what it received before it was sent the answered request. */
  function recordReading({ instanceId, sentAtMs }: Row): void {
    const readByMs = clock.nowMs() + READ_ON_MS;
    rows.get(instanceId)?.forEach((row) => {
      if (row.endedAtMs <= sentAtMs) row.readByMs = Math.min(row.readByMs, readByMs);
    });
  }

  function recordRestart(row: Row): void {
    const nowMs = clock.nowMs();
    row.endedAtMs = Math.min(row.endedAtMs, nowMs);
    row.readByMs = Math.min(row.readByMs, nowMs);
  }

  function findEvidence(row: Row): Evidence | null {
    if (hasRestarted(row.instanceId)) recordRestart(row);
    const { sentAtMs, endedAtMs, readByMs } = row;
    const nowMs = clock.nowMs();
    if (nowMs >= Math.max(readByMs, endedAtMs + MAX_HELD_ON_LINK_MS)) return 'ended';
    return nowMs - sentAtMs >= MAX_UNREAD_MS ? 'expired' : null;
  }

  /** Records a late answer to a request that was given up. */
  function logLateAnswer({ instanceId, requestId, sentAtMs }: Row): void {
    const oldestMs = Math.round(clock.nowMs() - sentAtMs);
    const unread = [...(rows.get(instanceId) ?? [])].filter(({ isGivenUp }) => isGivenUp).length;
    const evidence: Evidence = 'answered';
    const requestIds = [requestId];
    log.info('sendings-read', { instanceId, evidence, sendings: 1, requestIds, oldestMs, unread });
  }

  function settleRead(instanceId: string, set: ReadonlySet<Row>): void {
    const byEvidence = new Map<Evidence, Row[]>();
    set.forEach((row) => {
      const evidence = row.isGivenUp ? findEvidence(row) : null;
      if (evidence) byEvidence.set(evidence, [...(byEvidence.get(evidence) ?? []), row]);
    });
    byEvidence.forEach((found, evidence) => {
      const oldestMs = Math.round(clock.nowMs() - (found[0]?.sentAtMs ?? clock.nowMs()));
      found.forEach(settle);
      log.info('sendings-read', {
        instanceId,
        evidence,
        sendings: found.length,
        requestIds: found.slice(0, MAX_LOGGED_IDS).map(({ requestId }) => requestId),
        oldestMs,
        unread: set.size,
      });
    });
  }

  return {
    add(details, onRead) {
      const row: Row = {
        ...details,
        onRead,
        sentAtMs: clock.nowMs(),
        isGivenUp: false,
        endedAtMs: Number.POSITIVE_INFINITY,
        readByMs: Number.POSITIVE_INFINITY,
      };
      const { instanceId, requestId, service } = details;
      const set = rows.get(instanceId) ?? new Set<Row>();
      rows.set(instanceId, set.add(row));
      count += 1;
      if (count > MAX_ROWS) listGivenUp().slice(0, 1).forEach(settle);
      return {
        begin() {
          row.sentAtMs = clock.nowMs();
        },
        recordAnswer() {
          settle(row);
          recordReading(row);
          if (row.isGivenUp) logLateAnswer(row);
        },
        recordEnd() {
          row.endedAtMs = Math.min(row.endedAtMs, clock.nowMs());
        },
        giveUp() {
          row.isGivenUp = true;
          const waitedMs = Math.round(clock.nowMs() - row.sentAtMs);
          const unread = [...set].filter(({ isGivenUp }) => isGivenUp).length;
          log.info('sending-unread', { requestId, service, instanceId, waitedMs, unread });
        },
        cancel: () => settle(row),
      };
    },
    tick: () => rows.forEach((set, instanceId) => settleRead(instanceId, set)),
    describe: () =>
      Object.fromEntries(
        [...rows]
          .map(([instanceId, set]) => [instanceId, [...set].filter((row) => row.isGivenUp).length])
          .filter(([, unread]) => unread !== 0),
      ) as Readonly<Record<string, number>>,
  };
}
