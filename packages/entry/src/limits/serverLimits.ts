/**
 * Rate limits that servers set in their answers to this VM's requests, and this VM's own quota: the
 * requests that it may send under a limit without a permit of the allocator. See
 * docs/design/named-limits.md.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import { createAdvertisedLimits } from '@spoolplank/routing';
import type { LimitDirective, AdvertisedLimit } from '@spoolplank/routing';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import type { BackendTarget } from '../dispatch/backendOperations';
import type { LimitReport } from './limitAccount';

export interface ServerLimitsOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly random: Random;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'count'>;
  /** Number of known entries, including this one. */
  readonly countEntries: () => number;
}

export interface ServerLimits {
  /**
   * Records the directive in the answer to a request sent at `sentAtMs` on the steady clock. With a
   * permit, an answer without a limit is reported even if this VM never received the limit.
   */
  recordAnswer(
    target: BackendTarget,
    directive: LimitDirective,
    sentAtMs: number,
    hasPermit?: boolean,
  ): void;
  /** The rate limit of a server as known to this VM; null if it has none. */
  limitPerSOf(instanceId: string): number | null;
  /** Whether this VM may send without a permit: no limit applies, or it has some own quota left. */
  maySendWithoutPermit(instanceId: string): boolean;
  /** Counts one request against this VM's own quota; false if the quota is used up. */
  takeOwnQuota(instanceId: string): boolean;
  /**
   * Records that the allocator's account, asked at `askedAtMs` on the steady clock, has no limit
   * for a server.
   */
  recordUnlimited(instanceId: string, askedAtMs: number): void;
  /** The limits known to this VM, for the account. */
  list(): readonly AdvertisedLimit[];
  /** Sets the listener for reports that must be sent to the account of a server. */
  onReport(listener: (report: PendingReport) => void): void;
  /** Removes limits that have expired; called periodically. */
  sweep(): void;
  describe(): JsonValue;
}

/**
 * What an answer says about the limit of its server, not yet reported to the account; times on the
 * steady clock of this VM.
 */
export interface PendingReport {
  readonly instanceId: string;
  readonly directive: LimitDirective;
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}

/** Converts a pending report for sending: its times become durations until `nowMs`. */
export function toLimitReport(report: PendingReport, nowMs: number): LimitReport {
  const { instanceId, directive, sentAtMs, receivedAtMs } = report;
  const sentAgoMs = Math.round(nowMs - sentAtMs);
  return { instanceId, directive, sentAgoMs, receivedAgoMs: Math.round(nowMs - receivedAtMs) };
}

export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, random, log, metrics, countEntries } = options;
  const named = createAdvertisedLimits({ clock, random, countVms: countEntries });
  let report = (_report: PendingReport): void => {};

  function recordNamed({ instanceId, address }: BackendTarget, perS: number): void {
    const before = named.recordLimit(instanceId, perS);
    if (before === perS) return;
    metrics.count('spoolplank_limits_named_total', {
      change: before === null ? 'begun' : 'changed',
    });
    log.info('limit-named', { instanceId, address, perS, before });
  }

  return {
    recordAnswer(target, directive, sentAtMs, hasPermit = false) {
      const { instanceId } = target;
      if (directive.kind === 'named') recordNamed(target, directive.perS);
      else if (!hasPermit && named.limitPerSOf(instanceId) === null) return;
      report({ instanceId, directive, sentAtMs, receivedAtMs: clock.steadyMs() });
    },
    limitPerSOf: named.limitPerSOf,
    maySendWithoutPermit: named.maySendWithoutPermit,
    takeOwnQuota: named.tryConsumeOwnQuota,
    recordUnlimited(instanceId, askedAtMs) {
      const before = named.limitPerSOf(instanceId);
      if (!named.end(instanceId, clock.steadyMs() - askedAtMs)) return;
      log.info('limit-named', { instanceId, perS: null, before });
    },
    list: named.list,
    onReport(listener) {
      report = listener;
    },
    sweep: named.sweep,
    describe: () => named.list() as unknown as JsonValue,
  };
}
