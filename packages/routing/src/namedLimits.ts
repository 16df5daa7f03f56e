/**
 * Rate limits that servers announced to this VM, and the quota of each that this VM may use alone.
 *
 * A VM observes a limit as soon as it receives it with an answer, before other VMs know of it.
 * Permits, each for sending one
 * request, are granted by one account for all VMs. A VM that cannot reach the account sends no more
 * than its own quota, so that isolated VMs add little to the rate that the account grants.
 */
import type { Clock, Random } from '@spoolplank/shared';
import { MIN_RATE_PER_S } from './permitAccount';
import { createTokenBucket } from './tokenBucket';
import type { TokenBucket } from './tokenBucket';

export interface AdvertisedLimitsOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly random: Random;
  /** Number of VMs that share the servers, including this one. */
  readonly countVms: () => number;
}

/** A limit as known to this VM. */
export interface AdvertisedLimit {
  readonly instanceId: string;
  readonly perS: number;
  /** Time since the server last announced it to this VM, in milliseconds. */
  readonly namedAgoMs: number;
}

export interface AdvertisedLimits {
  /** Records a rate that a server announced; returns the previous rate, or null. */
  recordLimit(instanceId: string, perS: number): number | null;
  /** The rate that a server announced to this VM; null if none. */
  limitPerSOf(instanceId: string): number | null;
  /** Whether the own quota of this VM allows a request now, without the account. */
  maySendWithoutPermit(instanceId: string): boolean;
  /** Takes a permit from the own quota of this VM; false when none is available. */
  tryConsumeOwnQuota(instanceId: string): boolean;
  /**
   * Removes a limit because the account, asked `askedAgoMs` ago, knows of none. Returns false if
   * the server has announced one since then, or if no limit was known.
   */
  end(instanceId: string, askedAgoMs: number): boolean;
  list(): readonly AdvertisedLimit[];
  /** Removes limits that have not been announced within the expiry time. */
  sweep(): void;
}

interface LimitRow {
  perS: number;
  advertisedAtMs: number;
  own: TokenBucket;
  ownUsedAtMs: number;
}

/** Sum of the quotas of all VMs, as a share of the limit; used only without the account. */
const OWN_SHARE = 0.15;
/** A quota that has been unused for longer is drawn anew, so that it does not accumulate. */
const OWN_IDLE_MS = 2000;
const EXPIRY_MS = 60_000;

export function createAdvertisedLimits(options: AdvertisedLimitsOptions): AdvertisedLimits {
  const { clock, random, countVms } = options;
  const rows = new Map<string, LimitRow>();

  /** The random initial fill keeps VMs that become isolated together from sending at once. */
  function drawOwnQuota(row: Pick<LimitRow, 'perS'>): TokenBucket {
    return createTokenBucket({
      clock,
      ratePerS: () => (Math.max(row.perS, MIN_RATE_PER_S) * OWN_SHARE) / Math.max(1, countVms()),
      tokens: random.nextFloat(),
      minBurst: 1,
    });
  }

  function createRow(perS: number): LimitRow {
    const nowMs = clock.steadyMs();
    const row = { perS, advertisedAtMs: nowMs, ownUsedAtMs: nowMs };
    return Object.assign(row, { own: drawOwnQuota(row) });
  }

  function ownQuotaOf(instanceId: string): TokenBucket | undefined {
    const row = rows.get(instanceId);
    if (!row) return undefined;
    const nowMs = clock.steadyMs();
    if (nowMs - row.ownUsedAtMs > OWN_IDLE_MS) row.own = drawOwnQuota(row);
    row.ownUsedAtMs = nowMs;
    return row.own;
  }

  return {
    recordLimit(instanceId, perS) {
      const known = rows.get(instanceId);
      if (!known) {
        rows.set(instanceId, createRow(perS));
        return null;
      }
      const before = known.perS;
      known.own.settle();
      Object.assign(known, { perS, advertisedAtMs: clock.steadyMs() });
      return before;
    },
    limitPerSOf: (instanceId) => rows.get(instanceId)?.perS ?? null,
    maySendWithoutPermit: (instanceId) => (ownQuotaOf(instanceId)?.waitMs() ?? 0) === 0,
    tryConsumeOwnQuota: (instanceId) => ownQuotaOf(instanceId)?.take() ?? true,
    end(instanceId, askedAgoMs) {
      const row = rows.get(instanceId);
      if (!row || row.advertisedAtMs > clock.steadyMs() - askedAgoMs) return false;
      return rows.delete(instanceId);
    },
    list: () =>
      [...rows].map(([instanceId, { perS, advertisedAtMs }]) => ({
        instanceId,
        perS,
        namedAgoMs: Math.round(clock.steadyMs() - advertisedAtMs),
      })),
    sweep() {
      const oldestMs = clock.steadyMs() - EXPIRY_MS;
      rows.forEach(({ advertisedAtMs }, instanceId) => {
        if (advertisedAtMs < oldestMs) rows.delete(instanceId);
      });
    },
  };
}
