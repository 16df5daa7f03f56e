/**
 * Lends retries to all entries from one account, which the leader of the control group keeps: at
 * most one replica leads with a valid lease, so no two accounts lend at the same time.
 */
import { RETRY_LOAN_METHOD } from '@spoolplank/membership';
import type { EventLog, Metrics, PeerMethod } from '@spoolplank/node';
import { createRetryAccount } from '@spoolplank/routing';
import type { RetryAccountOptions, RetryLoan, RetryLoanRequest } from '@spoolplank/routing';
import type { Clock, JsonValue } from '@spoolplank/shared';
import type { GroupMember } from './group/groupMember';
import type { LeaderCalls } from './leaderCalls';

export type RetryLoanLimits = Omit<RetryAccountOptions, 'clock'>;

export interface RetryLoansOptions {
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'count'>;
  readonly limits: RetryLoanLimits;
  /** Null on a VM without a replica. */
  readonly group: () => Pick<GroupMember, 'canRead' | 'leadership'> | null;
  readonly leader: LeaderCalls;
}

export interface RetryLoans {
  /** Methods that entries call on any control VM, and control VMs on the leader. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Takes over the account once this VM leads; called periodically. */
  tick(): void;
  describe(): JsonValue;
}

export const DEFAULT_RETRY_LOAN_LIMITS: RetryLoanLimits = { windowMs: 10_000, allowance: 0 };
/** Share of the allowance that is lent. The rest is a margin for retries that arrive late. */
const ALLOWANCE_SHARE = 0.97;
const LEADER_METHOD = 'retries.lend-as-leader';
/** Entries discard a loan that arrives later. */
const FORWARD_TIMEOUT_MS = 250;

export function createRetryLoans(options: RetryLoansOptions): RetryLoans {
  const { clock, log, metrics, limits, leader } = options;
  const account = createRetryAccount({
    clock,
    ...limits,
    allowance: limits.allowance * ALLOWANCE_SHARE,
  });
  let knownTerm: number | null = null;
  /** Services for which the leader refused, and until when it has nothing to lend. */
  const refusedUntilMs = new Map<string, number>();

  /** Returns whether this VM leads and may lend. */
  function observeLeadership(): boolean {
    const group = options.group();
    if (!group?.canRead()) return false;
    const { term, isFirstOfGroup } = group.leadership();
    if (term === knownTerm) return true;
    knownTerm = term;
    // Nobody can have lent before the first leader of the group.
    if (!isFirstOfGroup) account.takeOver();
    log.info('retry-account-taken-over', { term, isFirstOfGroup });
    return true;
  }

  function lendAsLeader(request: RetryLoanRequest): RetryLoan {
    if (!observeLeadership()) throw leader.notLeader();
    const { service, wanted, reserved } = request;
    const loan = account.lend(request);
    const { granted, retryInMs } = loan;
    metrics.count('spoolplank_retry_loans_total', { service, outcome: 'granted' }, granted);
    metrics.count(
      'spoolplank_retry_loans_total',
      { service, outcome: 'refused' },
      wanted - granted,
    );
    if (granted < wanted) {
      const lent = account.describe()[service] ?? 0;
      log.info('retries-not-lent', { service, wanted, granted, reserved, lent, retryInMs });
    }
    return loan;
  }

  async function lend(request: RetryLoanRequest): Promise<RetryLoan> {
    const key = `${request.service}/${request.reserved > 0}`;
    const remainingMs = (refusedUntilMs.get(key) ?? 0) - clock.nowMs();
    // Keeps the load of the leader independent of the number of entries that ask in vain.
    const isRefused = remainingMs > 0 && !request.late;
    if (isRefused) return { granted: 0, retryInMs: Math.round(remainingMs) };
    const loan = await leader.call({
      runLocally: () => lendAsLeader(request),
      method: LEADER_METHOD,
      params: request,
      timeoutMs: FORWARD_TIMEOUT_MS,
    });
    if (loan.granted < request.wanted) refusedUntilMs.set(key, clock.nowMs() + loan.retryInMs);
    return loan;
  }

  return {
    methods: {
      [RETRY_LOAN_METHOD]: async (params) =>
        (await lend(params as unknown as RetryLoanRequest)) as unknown as JsonValue,
      [LEADER_METHOD]: (params) =>
        lendAsLeader(params as unknown as RetryLoanRequest) as unknown as JsonValue,
    },
    tick: observeLeadership,
    describe: () => account.describe(),
  };
}
