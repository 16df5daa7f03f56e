import type { Clock } from '@spoolplank/shared';

/**
 * A retry budget over a sliding window. Every VM keeps a share of one budget for the whole
 * deployment, so the sum stays below it without a message.
 */
export interface WindowBudgetOptions {
  readonly clock: Clock;
  readonly windowMs: number;
  /** Retries for each first attempt in the window. */
  readonly ratio: number;
  /** Retries in a window beyond that; read anew each time, as the number of VMs changes. */
  readonly allowance: () => number;
}

export interface WindowBudget {
  /** Counts a first attempt. */
  earn(): void;
  /**
   * Takes one retry out of the budget; false when there is none left, or when less than
   * `reservedShare` of the budget would be left for retries that matter more.
   */
  spend(reservedShare?: number): boolean;
}

export function createWindowBudget({
  clock,
  windowMs,
  ratio,
  allowance,
}: WindowBudgetOptions): WindowBudget {
  const firstsAtMs: number[] = [];
  const retriesAtMs: number[] = [];

  function dropOld(timesMs: number[]): void {
    const oldestMs = clock.steadyMs() - windowMs;
    let old = 0;
    while (old < timesMs.length && (timesMs[old] ?? 0) < oldestMs) old += 1;
    if (old) timesMs.splice(0, old);
  }

  return {
    earn() {
      dropOld(firstsAtMs);
      firstsAtMs.push(clock.steadyMs());
    },
    spend(reservedShare = 0) {
      dropOld(firstsAtMs);
      dropOld(retriesAtMs);
      const budget = (firstsAtMs.length * ratio + allowance()) * (1 - reservedShare);
      if (retriesAtMs.length + 1 > budget) return false;
      retriesAtMs.push(clock.steadyMs());
      return true;
    },
  };
}
