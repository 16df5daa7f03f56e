/**
 * Tracks the backoffs and departures that backend servers announced to this VM in their responses,
 * and tells which servers must therefore not be sent anything. A backoff applies to this VM only. A
 * departure applies to all VMs; this VM observes it at once and also publishes it as a fact, which
 * is a record that all VMs replicate by gossip. See docs/design/server-backoff.md.
 */
import { FACT_KEYS, isLeaving, publishLeaving } from '@spoolplank/membership';
import type {
  FactTable,
  FactUpdate,
  BackoffDirective,
  ServerNotice,
  SystemFact,
} from '@spoolplank/membership';
import type { EventLog, Metrics } from '@spoolplank/node';
import { createBackoffTable } from '@spoolplank/routing';
import type { BackoffTable } from '@spoolplank/routing';
import type { Clock, JsonValue } from '@spoolplank/shared';
import type { RoutingView } from '../gossip/routingView';

export interface ServerNoticesOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly table: FactTable<SystemFact>;
  readonly findByAddress: RoutingView['findByAddress'];
  /**
   * Sends the facts that this VM publishes to its control VM at once instead of with the next
   * exchange.
   */
  readonly exchangeNow: () => void;
  /** Called with each backoff that a server requests in a response to this process. */
  readonly onBackoff?: (directive: BackoffDirective) => void;
}

/**
 * Why a request is not sent to a server now: the server asked for a backoff, it is leaving, or it
 * named a rate limit and the request has neither a permit nor a share of this VM's own quota.
 */
export type ClosedReason = 'backoff' | 'leaves' | 'limit';

export interface ServerNotices {
  readonly backoffs: BackoffTable;
  /** Applies a notice that a server attached to a response. */
  applyNotice(notice: ServerNotice): void;
  /** Applies a backoff that a server requested in a response to the control process of this VM. */
  recordBackoff(directive: BackoffDirective): void;
  /**
   * Why a server must not be sent a request now; null when it may be. Rate limits are not
   * considered here, so the reason is never `limit`.
   */
  closedReason(instanceId: string): ClosedReason | null;
  /**
   * Servers that this VM must not send requests to: those in backoff, and those that announced
   * their departure to this VM recently. The list is passed to the VMs that allocate slots for this
   * one, which do not know its backoffs and learn of a departure only by gossip.
   */
  listClosed(): readonly string[];
  /** Counts a send that was held back. */
  recordHeldBack(reason: ClosedReason): void;
  /** The recent departures, as facts to publish with the next exchange. */
  listOutgoingFacts(): readonly FactUpdate<SystemFact>[];
  /** Removes backoffs and departures that have expired; called periodically. */
  sweep(): void;
  describe(): JsonValue;
}

/**
 * Time for which a departure is published with each exchange. The first message may be lost, or go
 * to a control VM that this VM is just replacing by another one.
 */
const STATEMENT_REPEAT_MS = 5000;

export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { clock, log, metrics, table, findByAddress, onBackoff = () => {} } = options;
  const backoffs = createBackoffTable({ clock });
  const leavingSinceMs = new Map<string, number>();

  /**
   * Instances that a backoff applies to: the server that answered, because it asked for the
   * backoff, and the engine that it named as the culprit, if any, because requests over other paths
   * that include this engine would be rejected for the same reason.
   */
  function listAffected({ instanceId, culpritAddress }: ServerNotice): readonly string[] {
    const culprit = culpritAddress === null ? undefined : findByAddress(culpritAddress)?.body;
    return culprit?.kind === 'backend' && culprit.instanceId !== instanceId
      ? [instanceId, culprit.instanceId]
      : [instanceId];
  }

  function applyBackoff(notice: ServerNotice, backoffMs: number): void {
    listAffected(notice).forEach((instanceId) => {
      const isFirst = backoffs.record(instanceId, backoffMs);
      onBackoff({ instanceId, backoffMs });
      metrics.count('spoolplank_server_backoffs_total', { kind: isFirst ? 'first' : 'repeated' });
      // Requests already on their way are rejected too, so only the first rejection is logged.
      if (!isFirst) return;
      const { status, requestId, address, instanceId: answeredBy } = notice;
      log.info('server-backoff', { instanceId, backoffMs, status, requestId, answeredBy, address });
    });
  }

  function applyLeaving({ instanceId, address, status, requestId }: ServerNotice): void {
    if (!publishLeaving(table, instanceId)) return;
    leavingSinceMs.set(instanceId, clock.nowMs());
    metrics.count('spoolplank_servers_leaving_total');
    log.info('server-leaves', { instanceId, address, status, requestId });
    options.exchangeNow();
  }

  return {
    backoffs,
    applyNotice(notice) {
      if (notice.backoffMs !== null) applyBackoff(notice, notice.backoffMs);
      if (notice.isLeaving) applyLeaving(notice);
    },
    recordBackoff: ({ instanceId, backoffMs }) => {
      backoffs.record(instanceId, backoffMs);
    },
    closedReason(instanceId) {
      if (isLeaving(table, instanceId)) return 'leaves';
      return backoffs.isHeldBack(instanceId) ? 'backoff' : null;
    },
    listClosed: () => [...backoffs.list().map(({ name }) => name), ...leavingSinceMs.keys()],
    recordHeldBack(reason) {
      metrics.count('spoolplank_sends_held_back_total', { reason });
    },
    listOutgoingFacts() {
      const nowMs = clock.nowMs();
      return [...leavingSinceMs]
        .filter(([, sinceMs]) => nowMs - sinceMs < STATEMENT_REPEAT_MS)
        .flatMap(([instanceId]) => table.find(FACT_KEYS.leaving(instanceId)) ?? [])
        .map(({ key, sequence, receivedAtMs, body }) => ({
          key,
          sequence,
          ageMs: Math.round(nowMs - receivedAtMs),
          body,
        }));
    },
    sweep() {
      backoffs.sweep();
      leavingSinceMs.forEach((sinceMs, instanceId) => {
        if (clock.nowMs() - sinceMs > STATEMENT_REPEAT_MS) leavingSinceMs.delete(instanceId);
      });
    },
    describe: () =>
      backoffs.list().map(({ name, remainingMs }) => ({ instanceId: name, remainingMs })),
  };
}
