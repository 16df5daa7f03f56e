/**
 * Tracks the backoffs and departures that backend servers announced to this VM, and holds sends
 * back accordingly. This needs no other VM. See docs/design/server-backoff.md.
 */
import { FACT_KEYS, isLeaving, stateLeaving } from '@spoolplank/membership';
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
  /** Sends the statements of this VM to others at once. */
  readonly spread: () => void;
  /** Called with each backoff that a server requests from this process. */
  readonly onBackoff?: (directive: BackoffDirective) => void;
}

/** Why a server is sent nothing now. */
export type ClosedReason = 'backoff' | 'leaves' | 'limit';

export interface ServerNotices {
  readonly backoffs: BackoffTable;
  /** Applies a notice that a server attached to a response. */
  take(notice: ServerNotice): void;
  /** Applies a backoff that a server requested from the other process of this VM. */
  recordBackoff(directive: BackoffDirective): void;
  /** Why a server must not be sent a request now; null when it may be. */
  closedReason(instanceId: string): ClosedReason | null;
  /**
   * Servers that are sent nothing now. VMs that choose a server on behalf of this one need the list
   * because they may learn of a departure later.
   */
  listClosed(): readonly string[];
  /** Counts a send that was held back. */
  recordHeldBack(reason: ClosedReason): void;
  /** Statements to send with the next exchange. */
  listStatements(): readonly FactUpdate<SystemFact>[];
  /** Removes expired entries. */
  sweep(): void;
  describe(): JsonValue;
}

/** Departures are stated for this long, in case this VM has just switched its control VM. */
const STATEMENT_REPEAT_MS = 5000;

export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { clock, log, metrics, table, findByAddress, onBackoff = () => {} } = options;
  const backoffs = createBackoffTable({ clock });
  const leavingSinceMs = new Map<string, number>();

  /**
   * Instances that a backoff applies to: the engine that answered, because it asked for the
   * backoff, and the engine that it named as the culprit, because paths over that one would be
   * rejected for the same reason.
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
      // Requests already on their way are rejected as well, so only the first one is logged.
      if (!isFirst) return;
      const { status, requestId, address, instanceId: answeredBy } = notice;
      log.info('server-backoff', { instanceId, backoffMs, status, requestId, answeredBy, address });
    });
  }

  function applyLeaving({ instanceId, address, status, requestId }: ServerNotice): void {
    if (!stateLeaving(table, instanceId)) return;
    leavingSinceMs.set(instanceId, clock.nowMs());
    metrics.count('spoolplank_servers_leaving_total');
    log.info('server-leaves', { instanceId, address, status, requestId });
    options.spread();
  }

  return {
    backoffs,
    take(notice) {
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
    listStatements() {
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
