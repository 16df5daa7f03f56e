/** Handles notices that engines send to this control VM with responses to orders and reports. */
import { publishLeaving } from '@spoolplank/membership';
import type { FactTable, BackoffDirective, ServerNotice, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import { createBackoffTable } from '@spoolplank/routing';
import type { Clock, JsonValue } from '@spoolplank/shared';

export interface EngineNoticesOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: FactTable<SystemFact>;
  /** Called with each backoff that an engine requests from this process. */
  readonly onBackoff: (directive: BackoffDirective) => void;
}

export interface EngineNotices {
  /** Records the backoff that a notice requests, and that its engine is leaving. */
  handle(notice: ServerNotice): void;
  /** Records a backoff that an engine requested from the other process of this VM. */
  recordBackoff(directive: BackoffDirective): void;
  /** Whether an engine has requested a backoff from this VM that is still in effect. */
  isBackingOff(instanceId: string): boolean;
  /** Removes expired backoffs. */
  sweep(): void;
  /** Engines with a backoff in effect, and the remaining time of each. */
  describe(): JsonValue;
}

export function createEngineNotices(options: EngineNoticesOptions): EngineNotices {
  const { clock, log, table, onBackoff } = options;
  const backoffs = createBackoffTable({ clock });

  return {
    handle({ instanceId, address, status, backoffMs, isLeaving }) {
      if (backoffMs !== null) {
        if (backoffs.record(instanceId, backoffMs)) {
          log.info('server-backoff', { instanceId, address, status, backoffMs });
        }
        onBackoff({ instanceId, backoffMs });
      }
      if (!isLeaving || !publishLeaving(table, instanceId)) return;
      log.info('server-leaves', { instanceId, address, status });
    },
    recordBackoff: ({ instanceId, backoffMs }) => {
      backoffs.record(instanceId, backoffMs);
    },
    isBackingOff: backoffs.isBackingOff,
    sweep: backoffs.sweep,
    describe: () =>
      backoffs.list().map(({ name, remainingMs }) => ({ instanceId: name, remainingMs })),
  };
}
