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

/** Expired leases are deleted once per this number of acquire commands. */
const SWEEP_INTERVAL_COMMANDS = 1024;

/**
 * Leases with monotonically increasing fencing numbers. A holder measures the duration from before
 * it sends the request and the log from the grant, so a lease ends at its holder before it ends in
 * the log.
 *
 * Source: Gray and Cheriton, "Leases", SOSP 1989.
 */
export function createLeaseState(): LeaseState {
  // One counter serves all names, so a number is not reused after its lease has been deleted.
  let lastFencingNumber = 0;
  let leases = new Map<string, LeaseRecord>();
  let commandsUntilSweep = SWEEP_INTERVAL_COMMANDS;

  function sweep(logTimeMs: number): void {
    commandsUntilSweep -= 1;
    if (commandsUntilSweep > 0) return;
    commandsUntilSweep = SWEEP_INTERVAL_COMMANDS;
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
