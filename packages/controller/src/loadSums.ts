/** Loads that entries state, added up so that each control VM passes on one fact for all of its. */
import type { FactUpdate, LoadFact, SystemFact } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';

export interface LoadSumsOptions {
  readonly clock: Clock;
  /** An entry that has stated nothing for so long is gone, or states its load elsewhere. */
  readonly retentionMs: number;
}

export interface LoadSums {
  /** Keeps the loads among an entry's statements, and returns the rest. */
  take(updates: readonly FactUpdate<SystemFact>[]): readonly FactUpdate<SystemFact>[];
  /** What all entries that state their load here have in flight together. */
  sum(): LoadFact;
}

interface StatedLoad {
  readonly sequence: number;
  readonly heardAtMs: number;
  readonly inFlight: LoadFact['inFlight'];
}

export function createLoadSums({ clock, retentionMs }: LoadSumsOptions): LoadSums {
  const loads = new Map<string, StatedLoad>();

  return {
    take(updates) {
      return updates.filter(({ key, sequence, body }) => {
        if (body?.kind !== 'load') return true;
        const known = loads.get(key);
        if (!known || known.sequence < sequence) {
          loads.set(key, { sequence, heardAtMs: clock.nowMs(), inFlight: body.inFlight });
        }
        return false;
      });
    },
    sum() {
      const oldestMs = clock.nowMs() - retentionMs;
      const inFlight: Record<string, number> = {};
      loads.forEach((load, key) => {
        if (load.heardAtMs < oldestMs) {
          loads.delete(key);
          return;
        }
        Object.entries(load.inFlight).forEach(([headId, count]) => {
          inFlight[headId] = (inFlight[headId] ?? 0) + count;
        });
      });
      return { kind: 'load', inFlight };
    },
  };
}
