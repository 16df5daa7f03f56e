/**
 * The retries that this entry may send. A retry is taken from those that the requests of this entry
 * have earned; when there is none, it is borrowed from the account of all entries.
 * See docs/design/retry-budget.md.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import { createEarnedRetries, RETRY_ARRIVAL_MS } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { CreditRequests } from './creditRequests';
import type { OpenRetries, OpenRetry } from './openRetries';
import type { RetryLoans, RetryPurpose } from './retryLoans';

/** The bound on the retries of a service over all entries. */
export interface RetryLimits {
  readonly windowMs: number;
  readonly ratio: number;
  /** Retries per window beyond the ratio, for the whole deployment. */
  readonly allowance: number;
}

export interface RetryBudgetsOptions {
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'count'>;
  readonly limits: RetryLimits;
  readonly loans: RetryLoans;
  readonly open: Pick<OpenRetries, 'open'>;
  readonly credits: Pick<CreditRequests, 'recordNeed' | 'has'>;
  /** Number of streams of a service that run on all entries, in streams of the usual size. */
  readonly runningStreams: (service: string) => number;
}

/**
 * Urgency of a retry. `begun`: the caller has received a part of the answer, which would be lost.
 * `yielding`: it leaves retries for streams that have begun, as its caller can be refused and come
 * back.
 */
export type RetryUrgency = 'begun' | 'usual' | 'yielding';

/** The sending for which a retry is taken, as the logs name it. */
export interface RetryUse {
  readonly requestId: string;
  readonly cause: string;
}

/** A retry that was taken out of the budget. */
export interface RetryPermit {
  /** Records that no sending of its request is left whose arrival this retry would be. */
  settle(): void;
  /** Returns the retry, as it was not sent. */
  cancel(): void;
}

/** The retry budget of a service on this entry. */
export interface RetryBudget {
  /** Counts a request that was sent after a time on the clock `steadyMs`. */
  earn(sentAfterMs: number): void;
  /** Whether a retry is refused without asking anyone; one that is not may be refused later. */
  isExhausted(urgency: RetryUrgency): boolean;
  /** Takes a retry that is sent as soon as this resolves; null when there is none. */
  take(urgency: RetryUrgency, use?: RetryUse): Promise<RetryPermit | null>;
  /** Time until the account may lend again after a refusal; 0 if it was not refused. */
  refusedForMs(urgency: RetryUrgency): number;
}

/** Returns the budget of a service; created on first use. */
export type RetryBudgets = (service: string) => RetryBudget;

/**
 * Largest share of the allowance that is left for streams that have begun, at most one retry for
 * each running stream. Other requests can be refused and retried by their callers.
 */
const RESERVED_SHARE = 0.4;

/**
 * Time for which a retry waits while no account answers. A stream that has begun is lost without
 * it; its caller leaves after a pause of 2 s.
 */
const PATIENCE_MS: Readonly<Record<RetryUrgency, number>> = { begun: 1000, usual: 0, yielding: 0 };

export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const { clock, log, metrics, limits, loans, open, credits, runningStreams } = options;
  const budgets = new Map<string, RetryBudget>();

  function purposeOf(service: string, urgency: RetryUrgency): RetryPurpose {
    const most = Math.floor(limits.allowance * RESERVED_SHARE);
    const reserved = urgency === 'yielding' ? Math.min(most, runningStreams(service)) : 0;
    return { service, reserved, patienceMs: PATIENCE_MS[urgency] };
  }

  function settle(service: string, retry: OpenRetry): void {
    if (!retry.settle()) metrics.count('spoolplank_retries_late_total', { service });
  }

  /** The account counts a retry that it has lent, whether it is sent or not. */
  function createLentPermit(service: string, takenAtMs: number): RetryPermit {
    const coveredUntilMs = takenAtMs + RETRY_ARRIVAL_MS;
    const countsFromMs = coveredUntilMs + limits.windowMs;
    const retry = open.open({ service, takenAtMs, coveredUntilMs, countsFromMs });
    return { settle: () => settle(service, retry), cancel: retry.cancel };
  }

  function createBudget(service: string): RetryBudget {
    const { windowMs, ratio } = limits;
    const hasCredit = () => credits.has(service);
    const own = createEarnedRetries({ clock, windowMs, ratio, hasCredit });

    /** A retry that this VM has earned counts here for a window, however late it arrives. */
    function createOwnPermit(takenAtSteadyMs: number): RetryPermit {
      const takenAtMs = clock.nowMs();
      const coveredUntilMs = takenAtMs + windowMs;
      const countsFromMs = coveredUntilMs;
      const retry = open.open({ service, takenAtMs, coveredUntilMs, countsFromMs });
      return {
        settle() {
          own.settle(takenAtSteadyMs);
          settle(service, retry);
        },
        cancel() {
          metrics.count('spoolplank_retries_returned_total', { service });
          own.refund(takenAtSteadyMs);
          retry.cancel();
        },
      };
    }

    function report(
      urgency: RetryUrgency,
      source: 'own' | 'account' | 'none',
      use: RetryUse | undefined,
    ): void {
      const { requests, saved, underWay } = own.describe();
      metrics.count('spoolplank_retry_decisions_total', { service, source });
      log.info(source === 'none' ? 'retry-refused' : 'retry-spent', {
        ...use,
        service,
        urgency,
        source,
        requests,
        saved: Math.round(saved),
        underWay,
        refusedForMs: Math.round(loans.refusedForMs(purposeOf(service, urgency))),
      });
    }

    async function borrow(purpose: RetryPurpose): Promise<RetryPermit | null> {
      const askedAtMs = await loans.borrow(purpose);
      return askedAtMs === null ? null : createLentPermit(service, askedAtMs);
    }

    return {
      earn: own.earn,
      isExhausted(urgency) {
        if (own.hasLeft()) return false;
        return limits.allowance < 1 || loans.refusedForMs(purposeOf(service, urgency)) > 0;
      },
      async take(urgency, use) {
        const purpose = purposeOf(service, urgency);
        if (own.needsCredit()) credits.recordNeed(service);
        const takenAtSteadyMs = own.take();
        if (takenAtSteadyMs !== null) {
          report(urgency, 'own', use);
          return createOwnPermit(takenAtSteadyMs);
        }
        const permit = await borrow(purpose);
        report(urgency, permit ? 'account' : 'none', use);
        return permit;
      },
      refusedForMs: (urgency) => loans.refusedForMs(purposeOf(service, urgency)),
    };
  }

  return (service) => {
    const known = budgets.get(service);
    if (known) return known;
    const budget = createBudget(service);
    budgets.set(service, budget);
    return budget;
  };
}
