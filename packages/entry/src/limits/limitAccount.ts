/**
 * Account of the permits for rate-limited servers of this VM's data centre, with its log and
 * metrics. A permit allows one request to a server. The limits that servers set in their answers
 * are reported by the VMs that received the answers, with their calls to the allocator.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import { createPermitAccount, grantedShare } from '@spoolplank/routing';
import type { LimitDirective, AdvertisedLimit, PermitAccount } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

/** What a server reports about its limit in the answer to one request. */
export interface LimitReport {
  readonly instanceId: string;
  readonly directive: LimitDirective;
  /** Time since the request was sent. */
  readonly sentAgoMs: number;
  /** Time since the head of its answer was received. */
  readonly receivedAgoMs: number;
}

export interface LimitAccountOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'count' | 'gauge'>;
  /** Whether all VMs request permits for a server from this VM, as far as it can know. */
  readonly isOwner: (instanceId: string) => boolean;
  /** Number of known entries, including this one. */
  readonly countEntries: () => number;
}

export interface LimitAccount extends PermitAccount {
  /** Records the limit reports of a VM, and the limits that it currently applies. */
  recordReports(
    vm: string,
    reports: readonly LimitReport[],
    limits: readonly AdvertisedLimit[],
  ): void;
}

/**
 * Time since its last call for which a VM counts as active. A VM that holds or requests slots in
 * this data centre calls at least once a second.
 */
const ACTIVE_WITHIN_MS = 2600;

export function createLimitAccount(options: LimitAccountOptions): LimitAccount {
  const { clock, log, metrics, isOwner, countEntries } = options;
  const lastCallAtMs = new Map<string, number>();

  function countActiveVms(): number {
    const oldestMs = clock.steadyMs() - ACTIVE_WITHIN_MS;
    lastCallAtMs.forEach((atMs, vm) => {
      if (atMs < oldestMs) lastCallAtMs.delete(vm);
    });
    return lastCallAtMs.size;
  }

  const account = createPermitAccount({
    clock,
    shareOf: (instanceId) =>
      grantedShare({ isOwner: isOwner(instanceId), askers: countActiveVms(), vms: countEntries() }),
  });

  metrics.gauge('spoolplank_limited_servers', () => account.list().length);
  metrics.gauge('spoolplank_limits_rate_per_s', () =>
    account.list().reduce((sum, { perS, ratePerS }) => sum + (perS === null ? 0 : ratePerS), 0),
  );

  function recordNamed(vm: string, instanceId: string, perS: number, agoMs: number): void {
    const before = account.limitPerSOf(instanceId);
    const change = account.recordLimit(instanceId, perS, agoMs);
    if (change === 'repeated' || change === 'outdated') return;
    metrics.count('spoolplank_limit_changes_total', { change });
    const ratePerS = account.ratePerS(instanceId);
    log.info('limit-kept', { instanceId, change, perS, before, ratePerS, reportedBy: vm });
  }

  function recordUnlimited(vm: string, { instanceId, sentAgoMs }: LimitReport): void {
    const before = account.limitPerSOf(instanceId);
    if (!account.recordUnlimited(instanceId, sentAgoMs)) return;
    metrics.count('spoolplank_limit_changes_total', { change: 'ended' });
    log.info('limit-kept', { instanceId, change: 'ended', perS: null, before, reportedBy: vm });
  }

  return {
    ...account,
    recordReports(vm, reports, limits) {
      lastCallAtMs.set(vm, clock.steadyMs());
      reports.forEach((report) => {
        const { instanceId, directive, receivedAgoMs } = report;
        if (directive.kind === 'unnamed') recordUnlimited(vm, report);
        else recordNamed(vm, instanceId, directive.perS, receivedAgoMs);
      });
      limits.forEach(({ instanceId, perS, namedAgoMs }) =>
        recordNamed(vm, instanceId, perS, namedAgoMs),
      );
    },
    tryAcquire(instanceId) {
      const isTaken = account.tryAcquire(instanceId);
      if (isTaken && account.limitPerSOf(instanceId) !== null) {
        metrics.count('spoolplank_permits_total', { use: 'given' });
      }
      return isTaken;
    },
    sweep() {
      countActiveVms();
      account.sweep();
    },
    refund(instanceId) {
      account.refund(instanceId);
      metrics.count('spoolplank_permits_total', { use: 'returned' });
    },
  };
}
