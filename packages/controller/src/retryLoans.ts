/**
 * Lends retries to all entries from one account, which the leader of the control group keeps: at
 * most one replica leads with a valid lease, so no two accounts lend at the same time. What is lent
 * was reserved in the replicated log before, so that the next leader knows what may have been lent.
 */
import type { ReleaseRetries, ReserveRetries, RetryReservations } from '@spoolplank/control';
import { RETRY_LOAN_METHOD } from '@spoolplank/membership';
import type { EventLog, Metrics, PeerMethod } from '@spoolplank/node';
import { createRetryAccount } from '@spoolplank/routing';
import type { RetryAccountOptions, RetryLoan, RetryLoanRequest } from '@spoolplank/routing';
import { toSpoolplankError } from '@spoolplank/shared';
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
  readonly group: () => Pick<GroupMember, 'canRead' | 'propose' | 'term'> | null;
  /** The reservations that this replica has applied. */
  readonly reservations: Pick<RetryReservations, 'list'>;
  readonly leader: LeaderCalls;
}

export interface RetryLoans {
  /** Methods that entries call on any control VM, and control VMs on the leader. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Takes over the account once this VM leads, and releases reservations; called periodically. */
  tick(): void;
  describe(): JsonValue;
}

export const DEFAULT_RETRY_LOAN_LIMITS: RetryLoanLimits = { windowMs: 10_000, allowance: 0 };
const LEADER_METHOD = 'retries.lend-as-leader';
/** Share of the allowance that is lent. The rest is a margin for retries that are not held yet. */
const ALLOWANCE_SHARE = 0.97;
/** Entries discard a loan that arrives later. */
const FORWARD_TIMEOUT_MS = 250;
/** A request waits for the command that is being committed, and for its own. */
const MAX_COMMITS = 2;
/** Age from which the reservations of a service are released once nothing lent counts any more. */
const RELEASE_AFTER_MS = 5000;
/** Interval at which the leader records what counts beyond the time of its loans. */
const CARRIED_INTERVAL_MS = 2000;

export function createRetryLoans(options: RetryLoansOptions): RetryLoans {
  const { clock, log, metrics, leader, reservations } = options;
  const limits = { ...options.limits, allowance: options.limits.allowance * ALLOWANCE_SHARE };
  const account = createRetryAccount({ clock, ...limits });
  let knownTerm: number | null = null;
  /** Reservations and releases that are being committed, by service. */
  const pending = new Map<string, Promise<void>>();
  /** When the retries of a service that count beyond their loans were recorded last. */
  const carriedAtMs = new Map<string, number>();
  /** Services for which the leader refused, and until when it has nothing to lend. */
  const refusedUntilMs = new Map<string, number>();

  /** Returns whether this VM leads and may lend. */
  function observeLeadership(): boolean {
    const group = options.group();
    if (!group?.canRead()) return false;
    const term = group.term();
    if (term === knownTerm) return true;
    knownTerm = term;
    account.takeOver(reservations.list());
    log.info('retry-account-taken-over', { term, lent: JSON.stringify(account.describe()) });
    return true;
  }

  /** Commits a command; what it allows holds only in the term in which it was proposed. */
  async function commit(
    command: ReserveRetries | ReleaseRetries,
    onCommitted: () => void,
  ): Promise<void> {
    const term = knownTerm;
    try {
      await options.group()?.propose(command as unknown as JsonValue);
      if (observeLeadership() && knownTerm === term) onCommitted();
    } catch (error) {
      const { kind, service } = command;
      log.info('retries-not-reserved', {
        kind,
        service,
        problem: toSpoolplankError(error).message,
      });
    }
  }

  /** Commits one command for a service at a time. */
  function commitAlone(
    command: ReserveRetries | ReleaseRetries,
    onCommitted: () => void,
  ): Promise<void> {
    const { service } = command;
    const known = pending.get(service);
    if (known) return known;
    const committed = commit(command, onCommitted).finally(() => pending.delete(service));
    pending.set(service, committed);
    return committed;
  }

  function reserve(service: string, count: number): Promise<void> {
    const sinceMs = clock.nowMs();
    // The newest reservations that cover what is lent, or may be until this one is committed, are
    // enough for the next leader.
    const most = account.exposedOf(service) + count;
    return commitAlone({ kind: 'retries.reserve', service, count, most }, () =>
      account.setReserved(service, count, sinceMs),
    );
  }

  async function lendAsLeader(request: RetryLoanRequest): Promise<RetryLoan> {
    const askedAtMs = clock.nowMs();
    if (!observeLeadership()) throw leader.notLeader();
    const { service, wanted, reserved } = request;
    for (let tries = 0; tries < MAX_COMMITS && account.missingFor(request) > 0; tries += 1) {
      await reserve(service, account.missingFor(request));
      if (!observeLeadership()) throw leader.notLeader();
    }
    const isTooLate = clock.nowMs() - askedAtMs > FORWARD_TIMEOUT_MS;
    const timely = isTooLate ? { ...request, wanted: 0 } : request;
    const isRepeated = account.isRepeated(timely);
    const loan = account.lend(timely);
    if (isRepeated) return loan;
    const { granted, retryInMs } = loan;
    metrics.count('spoolplank_retry_loans_total', { service, outcome: 'granted' }, granted);
    const refused = wanted - granted;
    metrics.count('spoolplank_retry_loans_total', { service, outcome: 'refused' }, refused);
    if (refused > 0) {
      const lent = account.describe()[service] ?? 0;
      log.info('retries-not-lent', { service, wanted, granted, reserved, lent, retryInMs });
    }
    return loan;
  }

  async function lend(request: RetryLoanRequest): Promise<RetryLoan> {
    const key = `${request.service}/${request.reserved > 0}`;
    const remainingMs = (refusedUntilMs.get(key) ?? 0) - clock.nowMs();
    // Keeps the load of the leader independent of the number of entries that ask in vain.
    const isRefused = remainingMs > 0 && !request.held;
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

  /**
   * Records retries that count for longer than the reservations under which they were lent, as if
   * they were reserved again, so that a new leader counts them before borrowers report to it.
   */
  function recordCarried(): void {
    account.listCarried().forEach(({ service, count }) => {
      const sinceMs = clock.nowMs() - (carriedAtMs.get(service) ?? Number.NEGATIVE_INFINITY);
      if (sinceMs < CARRIED_INTERVAL_MS || pending.has(service)) return;
      carriedAtMs.set(service, clock.nowMs());
      const most = Math.max(account.exposedOf(service), count);
      void commitAlone({ kind: 'retries.reserve', service, count, most }, () => {});
    });
  }

  /** A leader that takes over would count reservations that no loan uses any more. */
  function releaseUnused(): void {
    const lent = account.describe();
    const ages = new Map(reservations.list().map((row) => [row.service, row.knownForMs]));
    ages.forEach((knownForMs, service) => {
      const isUnused = !lent[service] && knownForMs > RELEASE_AFTER_MS;
      if (isUnused) void commitAlone({ kind: 'retries.release', service }, () => {});
    });
  }

  return {
    methods: {
      [RETRY_LOAN_METHOD]: async (params) =>
        (await lend(params as unknown as RetryLoanRequest)) as unknown as JsonValue,
      [LEADER_METHOD]: async (params) =>
        (await lendAsLeader(params as unknown as RetryLoanRequest)) as unknown as JsonValue,
    },
    tick() {
      if (!observeLeadership()) return;
      recordCarried();
      releaseUnused();
    },
    describe: () => account.describe(),
  };
}
