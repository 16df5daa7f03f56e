/**
 * Demand of each data centre, from the capacity facts that its slot allocator publishes.
 *
 * Demand moves between data centres in waves of about 13 s, and the requests in flight turn over
 * within seconds. The largest value of the last two seconds counts, and a lower one replaces it
 * only when it is clearly lower, so that single facts do not start and stop moves of layers.
 */
import type { FactTable, SystemFact } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';

export interface Demand {
  /** Capacity that is needed, in requests of usual size. */
  readonly requests: number;
  /** Age of the newest fact. */
  readonly ageMs: number;
}

export interface DemandWatch {
  /** Reads the facts; called before each plan. */
  record(): void;
  /** The demand of a service in a data centre; null without a recent fact. */
  find(dataCentre: string, service: string): Demand | null;
}

export interface DemandWatchOptions {
  readonly clock: Clock;
  readonly table: Pick<FactTable<SystemFact>, 'list'>;
}

interface Sample {
  readonly atMs: number;
  readonly requests: number;
}

interface Series {
  readonly samples: readonly Sample[];
  readonly level: number;
}

const WINDOW_MS = 2000;
/** Allocators publish every 800 ms or so, and a fact reaches the leader within two seconds. */
const MAX_AGE_MS = 3500;
/** Capacity beyond the requests in flight and waiting: the next wave rises within a second. */
const RESERVE = 1.25;
/** A decrease of the demand by less than this share is ignored. */
const HYSTERESIS = 0.9;

const keyOf = (dataCentre: string, service: string): string => `${dataCentre} ${service}`;

export function createDemandWatch({ clock, table }: DemandWatchOptions): DemandWatch {
  const seriesByKey = new Map<string, Series>();

  function addSample(key: string, sample: Sample): void {
    const known = seriesByKey.get(key) ?? { samples: [], level: 0 };
    const others = known.samples.filter(({ atMs }) => atMs !== sample.atMs);
    const newestMs = Math.max(sample.atMs, ...others.map(({ atMs }) => atMs));
    const samples = [...others, sample].filter(({ atMs }) => newestMs - atMs <= WINDOW_MS);
    const peak = Math.max(...samples.map(({ requests }) => requests));
    const isKept = peak <= known.level && peak >= known.level * HYSTERESIS;
    seriesByKey.set(key, { samples, level: isKept ? known.level : peak });
  }

  return {
    record() {
      const oldestMs = clock.nowMs() - MAX_AGE_MS;
      table.list().forEach(({ body, receivedAtMs }) => {
        if (body.kind !== 'capacity' || receivedAtMs < oldestMs) return;
        Object.entries(body.services).forEach(([service, { inFlight, waiting }]) => {
          const requests = inFlight + waiting;
          addSample(keyOf(body.dataCentre, service), { atMs: receivedAtMs, requests });
        });
      });
    },
    find(dataCentre, service) {
      const series = seriesByKey.get(keyOf(dataCentre, service));
      if (!series) return null;
      const ageMs = clock.nowMs() - Math.max(...series.samples.map(({ atMs }) => atMs));
      if (ageMs > MAX_AGE_MS) return null;
      return { requests: series.level * RESERVE, ageMs };
    },
  };
}
