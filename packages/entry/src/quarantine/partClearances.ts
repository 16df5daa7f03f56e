/**
 * Clears parts of prompts that are suspected to crash servers: a part of a crashed run is cleared
 * when a server begins an answer on it in a run that was sent after the crash. VMs publish only
 * what clears a part or shows that it was served before, not each served request.
 */
import { FACT_KEYS } from '@spoolplank/membership';
import type { ClearanceFact, FactTable, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import type { CrashInvolvement } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import { createServedParts, SERVED_BEFORE_MS } from './servedParts';

export interface PartClearancesOptions {
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'info'>;
  readonly table: Pick<FactTable<SystemFact>, 'find'>;
  readonly publish: (body: ClearanceFact) => void;
  /** Runs a function after a delay that differs between VMs; at once by default. */
  readonly defer?: (run: () => void) => void;
}

export interface PartClearances {
  /** Time up to which a part or a content is cleared of its crashes. */
  clearedUntilMs(key: string): number;
  /** Whether a server answered a part in the minute before a crash. */
  wasServedBefore(part: string, crashedAtMs: number): boolean;
  /** Sets the crashes of which parts are not cleared yet. */
  follow(involvements: readonly CrashInvolvement[]): void;
  /** Records an answer that has begun; its run was sent at `sentAtMs`. */
  recordServed(parts: readonly string[], sentAtMs: number): void;
  /** Clears a part of all crashes before `untilMs`, for all VMs. */
  clear(part: string, reason: ClearanceFact['reason'], untilMs: number): void;
}

export function createPartClearances(options: PartClearancesOptions): PartClearances {
  const { clock, log, table, publish, defer = (run) => run() } = options;
  const served = createServedParts({ clock });
  /** Time of the earliest crash of which each part is not cleared. */
  let suspected: ReadonlyMap<string, number> = new Map();
  /** Parts whose latest served run is about to be published. */
  const pending = new Set<string>();

  function clearedUntilMs(key: string): number {
    const clearance = table.find(FACT_KEYS.clearance(key));
    if (clearance?.body.kind !== 'clearance') return Number.NEGATIVE_INFINITY;
    return clearance.receivedAtMs - (clearance.body.ranMs ?? 0);
  }

  function wasServedBefore(part: string, crashedAtMs: number): boolean {
    return clearedUntilMs(part) >= crashedAtMs - SERVED_BEFORE_MS;
  }

  function clear(part: string, reason: ClearanceFact['reason'], untilMs: number): void {
    const ranMs = Math.round(clock.nowMs() - untilMs);
    log.info('part-cleared', { part, reason, ranMs });
    const wallMs = Math.floor(clock.wallMs());
    publish({ kind: 'clearance', content: part, reason, ranMs, wallMs });
  }

  /** Whether the latest served run of a part tells the other VMs what they do not know. */
  function isNews(part: string): boolean {
    const crashedAtMs = suspected.get(part);
    const sentAtMs = served.find(part);
    if (crashedAtMs === undefined || sentAtMs === undefined) return false;
    const isOlder = sentAtMs >= crashedAtMs - SERVED_BEFORE_MS;
    return sentAtMs > crashedAtMs || (isOlder && !wasServedBefore(part, crashedAtMs));
  }

  function publishPending(): void {
    const parts = [...pending];
    pending.clear();
    parts.filter(isNews).forEach((part) => clear(part, 'served', served.find(part) ?? 0));
  }

  function publishLater(parts: readonly string[]): void {
    const wasIdle = pending.size === 0;
    parts.filter(isNews).forEach((part) => pending.add(part));
    if (wasIdle && pending.size > 0) defer(publishPending);
  }

  return {
    clearedUntilMs,
    wasServedBefore,
    clear,
    follow(involvements) {
      const earliestAtMs = new Map<string, number>();
      involvements.forEach(({ parts = [], endedAtMs = 0 }) =>
        parts.forEach((part) =>
          earliestAtMs.set(part, Math.min(endedAtMs, earliestAtMs.get(part) ?? endedAtMs)),
        ),
      );
      suspected = earliestAtMs;
      publishLater([...suspected.keys()]);
    },
    recordServed(parts, sentAtMs) {
      parts.forEach((part) => served.record(part, sentAtMs));
      if (suspected.size > 0) publishLater(parts);
    },
  };
}
