/**
 * Tracks the requests that were sent to backend servers and that nothing shows to have been read.
 *
 * The kernel of a server takes the bytes of a request while its process stands still, and the
 * process reads them once it goes on, also after this VM has given up the request and closed the
 * connection. A sending may therefore arrive until the server is known to have read on: it answered
 * this request or one that was sent later, or it has restarted.
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
  /** Records that the server answered it. */
  recordAnswer(): void;
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
  /** Time at which the server has read it, as far as is known; infinite while nothing tells. */
  readByMs: number;
}

/** Why a sending that was given up cannot arrive any more. */
type Evidence = 'answered' | 'restarted' | 'expired';

/** Time within which a server that answers one request reads those that were sent before it. */
const READ_ON_MS = 300;
/** Time after which a server that shows no sign of life is taken for gone. */
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

  function remove(row: Row): void {
    const set = rows.get(row.instanceId);
    if (!set?.delete(row)) return;
    count -= 1;
    if (set.size === 0) rows.delete(row.instanceId);
  }

  function settle(row: Row): void {
    remove(row);
    row.onRead();
  }

  /** Records that a server reads what was sent to it before `sentAtMs`. */
  function recordReading({ instanceId, sentAtMs }: Row): void {
    const readByMs = clock.nowMs() + READ_ON_MS;
    rows.get(instanceId)?.forEach((row) => {
      if (row.sentAtMs <= sentAtMs) row.readByMs = Math.min(row.readByMs, readByMs);
    });
  }

  function findEvidence({ instanceId, sentAtMs, readByMs }: Row): Evidence | null {
    const nowMs = clock.nowMs();
    if (nowMs >= readByMs) return 'answered';
    if (hasRestarted(instanceId)) return 'restarted';
    return nowMs - sentAtMs >= MAX_UNREAD_MS ? 'expired' : null;
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
        readByMs: Number.POSITIVE_INFINITY,
      };
      const { instanceId, requestId, service } = details;
      const set = rows.get(instanceId) ?? new Set<Row>();
      rows.set(instanceId, set.add(row));
      count += 1;
      if (count > MAX_ROWS) listGivenUp().slice(0, 1).forEach(settle);
      return {
        begin() {
          // An answer to a request that was sent while this one was connecting shows nothing.
          Object.assign(row, { sentAtMs: clock.nowMs(), readByMs: Number.POSITIVE_INFINITY });
        },
        recordAnswer() {
          settle(row);
          recordReading(row);
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
