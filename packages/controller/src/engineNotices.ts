/** What engines said of themselves to this control VM, with an order's answer or a report. */
import { stateLeaving } from '@spoolplank/membership';
import type { FactTable, ServerNotice, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import { createRestTable } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface EngineNoticesOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: FactTable<SystemFact>;
}

export interface EngineNotices {
  /** Takes in what an engine said. */
  take(notice: ServerNotice): void;
  /** Whether an engine wants nothing from this VM now. */
  isResting(instanceId: string): boolean;
  /** Forgets what is over. */
  sweep(): void;
}

export function createEngineNotices({ clock, log, table }: EngineNoticesOptions): EngineNotices {
  const rests = createRestTable({ clock });

  return {
    take({ instanceId, address, status, restMs, isLeaving }) {
      if (restMs !== null && rests.note(instanceId, restMs)) {
        log.info('server-rests', { instanceId, address, status, restMs });
      }
      if (!isLeaving || !stateLeaving(table, instanceId)) return;
      log.info('server-leaves', { instanceId, address, status });
    },
    isResting: rests.isResting,
    sweep: rests.sweep,
  };
}
