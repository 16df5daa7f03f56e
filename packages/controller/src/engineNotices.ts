/** What engines said of themselves to this control VM, with an order's answer or a report. */
import { stateLeaving } from '@spoolplank/membership';
import type { FactTable, RestWord, ServerNotice, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import { createRestTable } from '@spoolplank/routing';
import type { Clock, JsonValue } from '@spoolplank/shared';

export interface EngineNoticesOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: FactTable<SystemFact>;
  /** Told of each rest that an engine asks this process for. */
  readonly onRest: (word: RestWord) => void;
}

export interface EngineNotices {
  /** Takes in what an engine said. */
  take(notice: ServerNotice): void;
  /** Takes in a rest that an engine asked the other process of this VM for. */
  noteRest(word: RestWord): void;
  /** Whether an engine wants nothing from this VM now. */
  isResting(instanceId: string): boolean;
  /** Forgets what is over. */
  sweep(): void;
  /** Engines that rest, and for how much longer. */
  describe(): JsonValue;
}

export function createEngineNotices(options: EngineNoticesOptions): EngineNotices {
  const { clock, log, table, onRest } = options;
  const rests = createRestTable({ clock });

  return {
    take({ instanceId, address, status, restMs, isLeaving }) {
      if (restMs !== null) {
        if (rests.note(instanceId, restMs)) {
          log.info('server-rests', { instanceId, address, status, restMs });
        }
        onRest({ instanceId, restMs });
      }
      if (!isLeaving || !stateLeaving(table, instanceId)) return;
      log.info('server-leaves', { instanceId, address, status });
    },
    noteRest: ({ instanceId, restMs }) => {
      rests.note(instanceId, restMs);
    },
    isResting: rests.isResting,
    sweep: rests.sweep,
    describe: () =>
      rests.list().map(({ name, remainingMs }) => ({ instanceId: name, remainingMs })),
  };
}
