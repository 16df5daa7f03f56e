/**
 * This entry's share of the retry budgets of all services. A budget bounds the retries to a share
 * of the requests.
 */
import type { EventLog } from '@spoolplank/node';
import { createWindowBudget } from '@spoolplank/routing';
import type { WindowBudget } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

/** A retry budget that all entries share. */
export interface RetryLimits {
  readonly windowMs: number;
  readonly ratio: number;
  /** Retries per window beyond the ratio, for the whole deployment. */
  readonly allowance: number;
}

export interface RetryBudgetsOptions {
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'info'>;
  readonly limits: RetryLimits;
  /** Number of entries that share the allowance, including this one. */
  readonly entries: () => number;
  /**
   * Time on the steady clock at which this entry first received facts (gossiped records) from a
   * control VM; infinite before that.
   */
  readonly firstSyncedAtMs: () => number;
}

/** Returns the budget of a service; created on first use. */
export type RetryBudgets = (service: string) => WindowBudget;

/**
 * Share of the deployment's allowance that is used. The rest is a margin for entries that do not
 * know all others and therefore take too large a part.
 */
const ALLOWANCE_SHARE = 0.7;
/**
 * Share of the ratio that is used. The rest is a margin, as the windows of this entry lag behind
 * those of the callers.
 */
const RATIO_SHARE = 0.85;
/**
 * Time until an entry knows the entries that started together with it. They announce themselves
 * every 800 ms, and each announcement passes through two control VMs. An entry that knows no others
 * would count itself as the only one and use the whole allowance.
 */
export const MEMBERS_KNOWN_MS = 2600;
/**
 * Retries that an entry may use while it does not know the others yet, so that a first request
 * whose backend server is lost is retried.
 */
const STARTUP_ALLOWANCE = 2;

export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const { clock, log, limits, entries, firstSyncedAtMs } = options;
  const budgets = new Map<string, WindowBudget>();

  function ownAllowance(): number {
    const knowsOthers = clock.steadyMs() - firstSyncedAtMs() >= MEMBERS_KNOWN_MS;
    if (!knowsOthers) return Math.min(STARTUP_ALLOWANCE, limits.allowance);
    return (limits.allowance * ALLOWANCE_SHARE) / Math.max(1, entries());
  }

  return (service) => {
    const known = budgets.get(service);
    if (known) return known;
    const budget = createWindowBudget({
      clock,
      windowMs: limits.windowMs,
      ratio: limits.ratio * RATIO_SHARE,
      allowance: ownAllowance,
    });
    const logged: WindowBudget = {
      ...budget,
      spend(reservedShare) {
        const isSpent = budget.spend(reservedShare);
        const { attempts, retries, allowed } = budget.describe();
        log.info(isSpent ? 'retry-spent' : 'retry-refused', {
          service,
          attempts,
          retries,
          allowed: Math.round(allowed),
          entries: entries(),
          inSyncMs: Math.round(clock.steadyMs() - firstSyncedAtMs()),
        });
        return isSpent;
      },
    };
    budgets.set(service, logged);
    return logged;
  };
}
