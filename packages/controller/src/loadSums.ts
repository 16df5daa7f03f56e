/** Sums the loads reported by entries, so that each control VM replicates a single load fact. */
import type { FactUpdate, LoadFact, SystemFact } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';

export interface LoadSumsOptions {
  readonly clock: Clock;
  /** Time without a report after which an entry is gone or reports to another control VM. */
  readonly retentionMs: number;
  /** Whether the entry with this load key reports to another control VM by now. */
  readonly reportsElsewhere: (key: string) => boolean;
}

export interface LoadSums {
  /** Records the loads among an entry's updates and returns the other updates. */
  recordLoads(updates: readonly FactUpdate<SystemFact>[]): readonly FactUpdate<SystemFact>[];
  /** Total requests in flight of all entries that report to this VM. */
  sum(): LoadFact;
}

interface ReportedLoad {
  readonly sequence: number;
  readonly receivedAtMs: number;
  readonly inFlight: LoadFact['inFlight'];
}

/** A VM runs one entry, so a new incarnation replaces the load of the earlier one. */
function isOfSameVm(a: string, b: string): boolean {
  const vmOf = (key: string) => key.slice(0, key.lastIndexOf('/'));
  return vmOf(a) === vmOf(b);
}

export function createLoadSums(options: LoadSumsOptions): LoadSums {
  const { clock, retentionMs, reportsElsewhere } = options;
  const loads = new Map<string, ReportedLoad>();

  function dropEarlierIncarnations(key: string): void {
    loads.forEach((_, other) => {
      if (other !== key && isOfSameVm(other, key)) loads.delete(other);
    });
  }

  return {
    recordLoads(updates) {
      return updates.filter(({ key, sequence, body }) => {
        if (body?.kind !== 'load') return true;
        const known = loads.get(key);
        if (!known) dropEarlierIncarnations(key);
        if (!known || known.sequence < sequence) {
          loads.set(key, { sequence, receivedAtMs: clock.nowMs(), inFlight: body.inFlight });
        }
        return false;
      });
    },
    sum() {
      const oldestMs = clock.nowMs() - retentionMs;
      const inFlight: Record<string, number> = {};
      loads.forEach((load, key) => {
        if (load.receivedAtMs < oldestMs || reportsElsewhere(key)) {
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
