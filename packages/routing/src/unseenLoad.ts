/**
 * Estimates the load that other VMs have added since their last report.
 *
 * When a chain of engines comes back, or all callers retry at once, requests are queued on every
 * VM. Each VM sees an empty chain and dispatches its whole queue: nine VMs once put 205 streams on
 * a chain with a capacity of 134 within two seconds, and each stream was delayed by seconds. The
 * reports do not show this load yet, but the VMs get similar shares of the callers, so the load
 * that this VM has added is an estimate of the load that each other VM has added.
 */
import type { Clock } from '@spoolplank/shared';

export interface UnreportedLoadOptions {
  readonly clock: Clock;
  /** Maximum age of the load reports that are in use, in milliseconds. */
  readonly windowMs: number;
}

export interface UnreportedLoad {
  /** Records the size of a request that this VM started on a chain; negative when it ended. */
  record(name: string, change: number): void;
  /**
   * Estimates the unreported net increase of requests on a chain by `peers` other VMs. Never
   * negative: a decrease is used only once it is reported.
   */
  estimate(name: string, ownInFlight: number, peers: number): number;
}

interface Change {
  readonly atMs: number;
  readonly name: string;
  readonly change: number;
}

/**
 * The number of requests of one VM varies randomly by about its square root; only an increase
 * beyond that indicates load on the other VMs.
 */
function expectedDeviation(inFlight: number): number {
  return Math.sqrt(Math.max(0, inFlight) + 1);
}

export function createUnreportedLoad({ clock, windowMs }: UnreportedLoadOptions): UnreportedLoad {
  const changes: Change[] = [];

  function dropExpired(): void {
    const oldestMs = clock.nowMs() - windowMs;
    let expired = 0;
    while (expired < changes.length && (changes[expired]?.atMs ?? 0) < oldestMs) expired += 1;
    if (expired > 0) changes.splice(0, expired);
  }

  return {
    record(name, change) {
      dropExpired();
      changes.push({ atMs: clock.nowMs(), name, change });
    },
    estimate(name, ownInFlight, peers) {
      dropExpired();
      let rise = 0;
      changes.forEach((entry) => {
        if (entry.name === name) rise += entry.change;
      });
      const before = ownInFlight - rise;
      return Math.max(0, rise - expectedDeviation(before)) * peers;
    },
  };
}
