import type { AcquireLease, LeaseResult, ReleaseLease } from './commands';

interface LeaseRecord {
  readonly name: string;
  readonly holder: string;
  readonly fencingNumber: number;
  readonly expiresAtMs: number;
}

export interface LeaseSnapshot {
  readonly lastFencingNumber: number;
  readonly leases: readonly LeaseRecord[];
}

export interface LeaseState {
  readonly size: number;
  acquire(command: AcquireLease): LeaseResult;
  release(command: ReleaseLease): LeaseResult;
  snapshot(): LeaseSnapshot;
  restore(snapshot: LeaseSnapshot): void;
}

const SWEEP_EVERY = 1024;

/**
 * Leases with fencing numbers that only rise. A holder counts its lease from before it asked,
 * the log from when it was granted: the holder always gives up first.
 *
 * Source: Gray and Cheriton, "Leases", SOSP 1989.
 */
export function createLeaseState(): LeaseState {
  // One counter for all names: a number stays unused even after its lease is forgotten.
  let lastFencingNumber = 0;
  let leases = new Map<string, LeaseRecord>();
  let untilSweep = SWEEP_EVERY;

  function sweep(logTimeMs: number): void {
    untilSweep -= 1;
    if (untilSweep > 0) return;
    untilSweep = SWEEP_EVERY;
    leases.forEach(({ name, expiresAtMs }) => {
      if (expiresAtMs <= logTimeMs) leases.delete(name);
    });
  }

  return {
    get size() {
      return leases.size;
    },
    acquire({ name, holder, durationMs, logTimeMs }) {
      sweep(logTimeMs);
      const current = leases.get(name);
      const isLive = current !== undefined && current.expiresAtMs > logTimeMs;
      if (isLive && current.holder !== holder) {
        return {
          status: 'held',
          holder: current.holder,
          remainingMs: current.expiresAtMs - logTimeMs,
        };
      }
      if (!isLive) lastFencingNumber += 1;
      const fencingNumber = isLive ? current.fencingNumber : lastFencingNumber;
      leases.set(name, {
        name,
        holder,
        fencingNumber,
        expiresAtMs: logTimeMs + durationMs,
      });
      return { status: 'granted', fencingNumber };
    },
    release({ name, holder }) {
      if (leases.get(name)?.holder === holder) leases.delete(name);
      return { status: 'released' };
    },
    snapshot: () => ({ lastFencingNumber, leases: [...leases.values()] }),
    restore(snapshot) {
      ({ lastFencingNumber } = snapshot);
      leases = new Map(snapshot.leases.map((lease) => [lease.name, lease]));
    },
  };
}
