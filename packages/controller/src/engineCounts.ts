/** Logs how many engines the leader knows, as a layout can only use known engines. */
import type { EventLog } from '@spoolplank/node';
import type { ObservedEngine } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface EngineCountsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
}

export interface EngineCounts {
  /** Logs the counts of a service's engines when they have changed. */
  record(service: string, placed: readonly ObservedEngine[]): void;
}

/** Minimum time between two log lines; at startup, engines appear by the hundred. */
const LOG_EVERY_MS = 1000;

function countByDataCentre(placed: readonly ObservedEngine[]): readonly string[] {
  const names = [...new Set(placed.map(({ dataCentre }) => dataCentre))].sort();
  return names.map((name) => {
    const here = placed.filter(({ dataCentre }) => dataCentre === name);
    const holding = here.filter(({ firstLayer }) => firstLayer !== null).length;
    const orderable = here.filter(({ isOrderable }) => isOrderable).length;
    return `${name}: ${here.length} known, ${holding} hold layers, ${orderable} take orders`;
  });
}

export function createEngineCounts({ clock, log }: EngineCountsOptions): EngineCounts {
  let last = '';
  let loggedAtMs = Number.NEGATIVE_INFINITY;

  return {
    record(service, placed) {
      const dataCentres = countByDataCentre(placed);
      const text = dataCentres.join(' ');
      if (text === last || clock.nowMs() - loggedAtMs < LOG_EVERY_MS) return;
      last = text;
      loggedAtMs = clock.nowMs();
      log.info('engines-known', { service, known: placed.length, dataCentres });
    },
  };
}
