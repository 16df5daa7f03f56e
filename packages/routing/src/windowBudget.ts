import type { Clock } from '@spoolplank/shared';

/**
 * A retry budget over a sliding window. Every VM gets a share of one budget for the whole
 * deployment, so the sum over all VMs stays below it without coordination.
 */
export interface WindowBudgetOptions {
  readonly clock: Clock;
  readonly windowMs: number;
  /** Retries allowed per first attempt in the window. */
  readonly ratio: number;
  /** Additional retries per window; evaluated on every use, as the number of VMs changes. */
  readonly allowance: () => number;
}

export interface WindowBudget {
  /** Counts a first attempt. */
  earn(): void;
  /**
   * Takes one retry out of the budget; false when none is left, or when less than `reservedShare`
   * of the budget would remain for retries of higher importance.
   */
  spend(reservedShare?: number): boolean;
  /** Whether `spend` would succeed now; takes nothing out of the budget. */
  hasLeft(reservedShare?: number): boolean;
  /** What was earned and spent within the window, and the retries that this allows. */
  describe(): BudgetUse;
}

export interface BudgetUse {
  readonly attempts: number;
  readonly retries: number;
  readonly allowed: number;
}

export function createWindowBudget({
  clock,
  windowMs,
  ratio,
  allowance,
}: WindowBudgetOptions): WindowBudget {
  const attemptsAtMs: number[] = [];
  const retriesAtMs: number[] = [];

  function dropExpired(timesMs: number[]): void {
    const oldestMs = clock.steadyMs() - windowMs;
    let expired = 0;
    while (expired < timesMs.length && (timesMs[expired] ?? 0) < oldestMs) expired += 1;
    if (expired) timesMs.splice(0, expired);
  }

  function hasLeft(reservedShare = 0): boolean {
    dropExpired(attemptsAtMs);
    dropExpired(retriesAtMs);
    const budget = (attemptsAtMs.length * ratio + allowance()) * (1 - reservedShare);
    return retriesAtMs.length + 1 <= budget;
  }

  return {
    earn() {
      dropExpired(attemptsAtMs);
      attemptsAtMs.push(clock.steadyMs());
    },
    spend(reservedShare) {
      if (!hasLeft(reservedShare)) return false;
      retriesAtMs.push(clock.steadyMs());
      return true;
    },
    hasLeft,
    describe() {
      dropExpired(attemptsAtMs);
      dropExpired(retriesAtMs);
      const attempts = attemptsAtMs.length;
      return { attempts, retries: retriesAtMs.length, allowed: attempts * ratio + allowance() };
    },
  };
}
