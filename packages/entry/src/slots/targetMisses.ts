/**
 * Counts and logs slots on paths that are predicted to miss a target of their request, so that an
 * operator sees when slow or shared engines, rather than a lack of memory, cause late answers.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { ChosenPath } from './pathChoice';
import type { SlotAsk } from './slotMessages';

export interface TargetMissesOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'count'>;
}

/** Records a granted slot. */
export type TargetMisses = (ask: SlotAsk, chosen: ChosenPath) => void;

/** One line a second for each service and limit; a slow engine affects 50 requests a second. */
const LOG_INTERVAL_MS = 1000;

interface Logged {
  atMs: number;
  omitted: number;
}

export function createTargetMisses({ clock, log, metrics }: TargetMissesOptions): TargetMisses {
  const lastLogged = new Map<string, Logged>();

  function record(ask: SlotAsk, chosen: ChosenPath, limit: string, predictedMs: number): void {
    metrics.count('spoolplank_slot_target_misses_total', { limit });
    const nowMs = clock.nowMs();
    const key = `${ask.service} ${limit}`;
    const last = lastLogged.get(key);
    if (last && nowMs - last.atMs < LOG_INTERVAL_MS) {
      last.omitted += 1;
      return;
    }
    lastLogged.set(key, { atMs: nowMs, omitted: 0 });
    log.info('slot-target-missed', {
      ticket: ask.ticket,
      service: ask.service,
      limit,
      headId: chosen.headId,
      predictedMs: Math.round(predictedMs),
      targetMs: limit === 'pause' ? ask.targetGapMs : ask.targetFirstEventMs,
      waitedMs: Math.round(ask.waitedMs),
      hasBegun: ask.hasBegun,
      omitted: last?.omitted ?? 0,
    });
  }

  return (ask, chosen) => {
    const { targetGapMs, targetFirstEventMs, hasBegun, waitedMs } = ask;
    const { timing } = chosen;
    if (!timing) return;
    if (targetGapMs !== undefined && timing.pauseMs > targetGapMs) {
      record(ask, chosen, 'pause', timing.pauseMs);
    }
    const firstEventMs = timing.firstEventMs + waitedMs;
    if (targetFirstEventMs !== undefined && !hasBegun && firstEventMs > targetFirstEventMs) {
      record(ask, chosen, 'first-event', firstEventMs);
    }
  };
}
