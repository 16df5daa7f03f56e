/**
 * What backend servers said of themselves to this VM, and what it sends them no more because of it.
 * Both hold here by what was said here, without any other VM. See docs/design/server-rests.md.
 */
import { FACT_KEYS, isLeaving, stateLeaving } from '@spoolplank/membership';
import type {
  FactTable,
  FactUpdate,
  RestWord,
  ServerNotice,
  SystemFact,
} from '@spoolplank/membership';
import type { EventLog, Metrics } from '@spoolplank/node';
import { createRestTable } from '@spoolplank/routing';
import type { RestTable } from '@spoolplank/routing';
import type { Clock, JsonValue } from '@spoolplank/shared';
import type { RoutingView } from './routingView';

export interface ServerNoticesOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly table: FactTable<SystemFact>;
  readonly findByAddress: RoutingView['findByAddress'];
  /** Makes what this VM states known to others at once. */
  readonly spread: () => void;
  /** Told of each rest that a server asks this process for. */
  readonly onRest?: (word: RestWord) => void;
}

/** Why nothing is sent to a server now. */
export type ClosedReason = 'rests' | 'leaves';

export interface ServerNotices {
  readonly rests: RestTable;
  /** Takes in what a server said. */
  take(notice: ServerNotice): void;
  /** Takes in a rest that a server asked the other process of this VM for. */
  noteRest(word: RestWord): void;
  /** Why a request is not to be sent to a server; null when it may be. */
  closedReason(instanceId: string): ClosedReason | null;
  /**
   * Servers that are sent nothing now, for VMs that choose for this one: that a server leaves, they
   * may hear a moment later.
   */
  listClosed(): readonly string[];
  /** Counts a send that was held back. */
  noteHeldBack(reason: ClosedReason): void;
  /** What is to be stated with the next exchange. */
  listStatements(): readonly FactUpdate<SystemFact>[];
  /** Forgets what is over. */
  sweep(): void;
  describe(): JsonValue;
}

/** What this VM was told is repeated so long, for a control VM that was just exchanged. */
const REPEAT_MS = 5000;

export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { clock, log, metrics, table, findByAddress, onRest = () => {} } = options;
  const rests = createRestTable({ clock });
  const leavingSinceMs = new Map<string, number>();

  /**
   * The engine that is named as at fault rests as well as the one that answered: the first one
   * asked for it, and paths over the other one would be turned away for the same reason.
   */
  function listResting({ instanceId, culpritAddress }: ServerNotice): readonly string[] {
    const culprit = culpritAddress === null ? undefined : findByAddress(culpritAddress)?.body;
    return culprit?.kind === 'backend' && culprit.instanceId !== instanceId
      ? [instanceId, culprit.instanceId]
      : [instanceId];
  }

  function takeRest(notice: ServerNotice, restMs: number): void {
    listResting(notice).forEach((instanceId) => {
      const hasBegun = rests.note(instanceId, restMs);
      onRest({ instanceId, restMs });
      metrics.count('spoolplank_server_rests_total', { word: hasBegun ? 'first' : 'repeated' });
      // What was under way is turned away too: one line a rest.
      if (!hasBegun) return;
      const { status, requestId, address, instanceId: answeredBy } = notice;
      log.info('server-rests', { instanceId, restMs, status, requestId, answeredBy, address });
    });
  }

  function takeLeaving({ instanceId, address, status, requestId }: ServerNotice): void {
    if (!stateLeaving(table, instanceId)) return;
    leavingSinceMs.set(instanceId, clock.nowMs());
    metrics.count('spoolplank_servers_leaving_total');
    log.info('server-leaves', { instanceId, address, status, requestId });
    options.spread();
  }

  return {
    rests,
    take(notice) {
      if (notice.restMs !== null) takeRest(notice, notice.restMs);
      if (notice.isLeaving) takeLeaving(notice);
    },
    noteRest: ({ instanceId, restMs }) => {
      rests.note(instanceId, restMs);
    },
    closedReason(instanceId) {
      if (isLeaving(table, instanceId)) return 'leaves';
      return rests.isHeldBack(instanceId) ? 'rests' : null;
    },
    listClosed: () => [...rests.list().map(({ name }) => name), ...leavingSinceMs.keys()],
    noteHeldBack(reason) {
      metrics.count('spoolplank_sends_held_back_total', { reason });
    },
    listStatements() {
      const nowMs = clock.nowMs();
      return [...leavingSinceMs]
        .filter(([, sinceMs]) => nowMs - sinceMs < REPEAT_MS)
        .flatMap(([instanceId]) => table.find(FACT_KEYS.leaving(instanceId)) ?? [])
        .map(({ key, sequence, heardAtMs, body }) => ({
          key,
          sequence,
          ageMs: Math.round(nowMs - heardAtMs),
          body,
        }));
    },
    sweep() {
      rests.sweep();
      leavingSinceMs.forEach((sinceMs, instanceId) => {
        if (clock.nowMs() - sinceMs > REPEAT_MS) leavingSinceMs.delete(instanceId);
      });
    },
    describe: () =>
      rests.list().map(({ name, remainingMs }) => ({ instanceId: name, remainingMs })),
  };
}
