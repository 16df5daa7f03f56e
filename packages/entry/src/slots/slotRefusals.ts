/**
 * Reports refusals for want of a slot, and how far forecasts were off, on the VM that allocates the
 * slots. Under overload there are hundreds of refusals a second, so one line a second is written
 * for each service, reason and class, with the number of lines omitted since the one before.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { SlotAsk, SlotRefusal } from './slotMessages';

export interface SlotRefusalsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log?: Pick<EventLog, 'info'>;
  readonly metrics?: Pick<Metrics, 'count' | 'observe'>;
}

/** What a refusal was decided by. */
export interface RefusalInputs {
  readonly reason: SlotRefusal;
  readonly ahead: number;
  /** Forecast of the wait; null when there was none. */
  readonly forecastMs: number | null;
  /** Slots released per second, by the forecast, the recent grants or the rate limits. */
  readonly slotsPerS: number;
  readonly isRateLimited: boolean;
  readonly inUse: number;
  readonly capacity: number;
  /** Time since the load of the chains was read. */
  readonly supplyAgeMs: number;
  readonly turnInMs: number | null;
}

export interface SlotRefusals {
  record(ask: SlotAsk, inputs: RefusalInputs): void;
  /** Records the forecast and the actual wait of a request that got a slot. */
  recordWait(forecastMs: number, waitedMs: number): void;
}

const LINE_INTERVAL_MS = 1000;
/** Longer forecasts, also infinite ones, are written as this. */
const MAX_WRITTEN_FORECAST_MS = 60_000;

/** What decided a refusal, by its reason. */
const LIMITS: Readonly<Record<SlotRefusal, string>> = {
  hopeless: 'slot-rate',
  'no-chain': 'chains',
  'turned-away': 'exclusions',
  'time-over': 'longest-wait',
};

interface Line {
  atMs: number;
  omitted: number;
}

export function createSlotRefusals({ clock, log, metrics }: SlotRefusalsOptions): SlotRefusals {
  const lines = new Map<string, Line>();

  function write(ask: SlotAsk, omitted: number, inputs: RefusalInputs): void {
    const { reason, ahead, forecastMs, slotsPerS, isRateLimited, turnInMs } = inputs;
    log?.info('slot-refused', {
      ticket: ask.ticket,
      service: ask.service,
      class: ask.classPriority ?? ask.priority,
      reason,
      ahead,
      forecastMs:
        forecastMs === null ? null : Math.round(Math.min(MAX_WRITTEN_FORECAST_MS, forecastMs)),
      remainingMs: Math.round(ask.leavesInMs),
      limit: isRateLimited ? 'rate-limit' : LIMITS[reason],
      slotsPerS: Number(slotsPerS.toFixed(1)),
      inUse: inputs.inUse,
      capacity: inputs.capacity,
      supplyAgeMs: Math.round(inputs.supplyAgeMs),
      turnInMs,
      omitted,
    });
  }

  return {
    record(ask, inputs) {
      const { reason } = inputs;
      const requestClass = String(ask.classPriority ?? ask.priority);
      metrics?.count('spoolplank_slot_refusals_total', { reason, class: requestClass });
      const key = `${ask.service} ${reason} ${requestClass}`;
      const nowMs = clock.nowMs();
      const line = lines.get(key);
      if (line && nowMs - line.atMs < LINE_INTERVAL_MS) {
        line.omitted += 1;
        return;
      }
      write(ask, line?.omitted ?? 0, inputs);
      lines.set(key, { atMs: nowMs, omitted: 0 });
    },
    recordWait(forecastMs, waitedMs) {
      metrics?.observe('spoolplank_slot_forecast_error_ms', Math.abs(forecastMs - waitedMs));
    },
  };
}
