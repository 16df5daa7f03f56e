/**
 * Account of the permits to send to servers with a rate limit, kept by the VM that grants them to
 * all others.
 *
 * A server announces the requests per second that it accepts from all VMs together. If every VM
 * applied the limit on its own, the total rate would exceed it by a factor of the number of VMs.
 * With equal parts, each of eleven VMs would get a permit every three seconds, and each of three
 * hundred every minute and a half, while other VMs leave theirs unused. One account per server
 * grants each permit to a VM that has a request, so the limit is kept to within one request and
 * fully used while there is demand.
 */
import type { Clock } from '@spoolplank/shared';
import { createTokenBucket } from './tokenBucket';
import type { TokenBucket } from './tokenBucket';

/** What the answer to a request says about the server's limit: `unnamed` if it announces none. */
export type LimitDirective =
  { readonly kind: 'named'; readonly perS: number } | { readonly kind: 'unnamed' };

export interface PermitAccountOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  /** The share of a server's limit that this VM currently grants; see `lentShare`. */
  readonly shareOf: (instanceId: string) => number;
}

/** The role of a VM among those that may grant permits. */
export interface AccountRole {
  /** Whether this VM is, as far as it knows, the one that all VMs ask for permits. */
  readonly isOwner: boolean;
  /** Number of VMs that asked this VM for permits recently. */
  readonly askers: number;
  /** Number of VMs that share the servers. */
  readonly vms: number;
}

/** Effect of an announced rate on the account. */
export type LimitChange = 'begun' | 'changed' | 'repeated' | 'outdated';

/** A limit that is in force, or that has ended recently. */
export interface AccountedLimit {
  readonly instanceId: string;
  /** Rate announced by the server; null if it no longer announces one. */
  readonly perS: number | null;
  /** Permits per second that are currently granted. */
  readonly ratePerS: number;
  /** Time since the server last announced it, in milliseconds. */
  readonly namedAgoMs: number;
}

export interface PermitAccount {
  /** Records a rate that a server announced with an answer received `agoMs` ago. */
  recordLimit(instanceId: string, perS: number, agoMs: number): LimitChange;
  /**
   * Records an answer without a limit, to a request sent `sentAgoMs` ago. Returns whether this
   * ended the limit.
   */
  recordUnlimited(instanceId: string, sentAgoMs: number): boolean;
  /** The rate that a server announced; null if no limit is in force. */
  limitPerSOf(instanceId: string): number | null;
  /** Permits per second that are currently granted for a server; infinite without a limit. */
  ratePerS(instanceId: string): number;
  /** Whether `take` would succeed now. */
  hasPermit(instanceId: string): boolean;
  /** Takes a permit to send one request; false when none is available. */
  tryAcquire(instanceId: string): boolean;
  /** Returns a permit for a request that was not sent. */
  refund(instanceId: string): void;
  list(): readonly AccountedLimit[];
  /** Removes ended limits, and limits that have not been announced within the expiry time. */
  sweep(): void;
}

interface LimitRow {
  readonly instanceId: string;
  perS: number;
  advertisedAtMs: number;
  /** Number of answers without a limit since it was last announced. */
  unnamed: number;
  /** Null while the limit is in force. */
  endedAtMs: number | null;
  readonly bucket: TokenBucket;
}

/** Share granted by the owner; the rest is for VMs that cannot reach the account. */
const OWNER_SHARE = 0.95;
/** Share granted by all VMs that stand in for the owner, however the network is partitioned. */
const STAND_IN_SHARE = 0.3;
/** Rate of probe requests to a server that accepts none, to detect when that changes. */
export const MIN_RATE_PER_S = 0.25;
/**
 * A limit ends when one of these conditions holds: a number of answers without the limit since the
 * last one that announced it, and a minimum time since then.
 */
const END_CONDITIONS = [
  { unnamed: 3, afterMs: 1000 },
  { unnamed: 2, afterMs: 4000 },
];
/**
 * Doubling time of the rate after a limit has ended; otherwise all waiting requests are sent at
 * once.
 */
const DOUBLING_MS = 200;
const RAMP_UP_MS = 1000;
/** Limits not announced for this long are removed; the next answer announces them again. */
const EXPIRY_MS = 60_000;

/**
 * Returns the share of a limit that a VM grants. The owner, its stand-ins, and the VMs that reach
 * neither together stay below one and a half times the limit. The share of a stand-in is
 * proportional to the number of VMs that ask it, so the shares of VMs that cannot reach each other
 * add up to at most one limit.
 */
export function grantedShare({ isOwner, askers, vms }: AccountRole): number {
  return isOwner ? OWNER_SHARE : STAND_IN_SHARE * Math.min(1, askers / Math.max(1, vms));
}

export function createPermitAccount(options: PermitAccountOptions): PermitAccount {
  const { clock, shareOf } = options;
  const rows = new Map<string, LimitRow>();

  function rateOf({ instanceId, perS, endedAtMs }: LimitRow): number {
    if (endedAtMs !== null) {
      const sinceMs = clock.steadyMs() - endedAtMs;
      if (sinceMs >= RAMP_UP_MS) return Number.POSITIVE_INFINITY;
      return Math.max(perS, MIN_RATE_PER_S) * 2 ** (sinceMs / DOUBLING_MS);
    }
    return Math.max(perS, MIN_RATE_PER_S) * shareOf(instanceId);
  }

  function createRow(instanceId: string, perS: number, advertisedAtMs: number): LimitRow {
    const row: LimitRow = {
      instanceId,
      perS,
      advertisedAtMs,
      unnamed: 0,
      endedAtMs: null,
      bucket: createTokenBucket({ clock, ratePerS: () => rateOf(row) }),
    };
    return row;
  }

  function hasEnded({ endedAtMs }: LimitRow): boolean {
    return endedAtMs !== null;
  }

  return {
    recordLimit(instanceId, perS, agoMs) {
      const advertisedAtMs = clock.steadyMs() - Math.max(0, agoMs);
      const known = rows.get(instanceId);
      if (!known) {
        rows.set(instanceId, createRow(instanceId, perS, advertisedAtMs));
        return 'begun';
      }
      if (advertisedAtMs < Math.max(known.advertisedAtMs, known.endedAtMs ?? 0)) return 'outdated';
      const change = hasEnded(known) ? 'begun' : 'changed';
      const isSame = !hasEnded(known) && known.perS === perS;
      known.bucket.settle();
      Object.assign(known, { perS, advertisedAtMs, unnamed: 0, endedAtMs: null });
      return isSame ? 'repeated' : change;
    },
    recordUnlimited(instanceId, sentAgoMs) {
      const row = rows.get(instanceId);
      const nowMs = clock.steadyMs();
      // Answers may arrive out of order: an answer to a request that was sent before the limit was
      // last announced does not show that the limit has ended.
      if (!row || hasEnded(row) || nowMs - sentAgoMs <= row.advertisedAtMs) return false;
      row.unnamed += 1;
      const sinceMs = nowMs - row.advertisedAtMs;
      const isOver = END_CONDITIONS.some(
        ({ unnamed, afterMs }) => row.unnamed >= unnamed && sinceMs >= afterMs,
      );
      if (!isOver) return false;
      row.bucket.settle();
      row.endedAtMs = nowMs;
      return true;
    },
    limitPerSOf(instanceId) {
      const row = rows.get(instanceId);
      return row && !hasEnded(row) ? row.perS : null;
    },
    ratePerS(instanceId) {
      const row = rows.get(instanceId);
      return row ? rateOf(row) : Number.POSITIVE_INFINITY;
    },
    hasPermit: (instanceId) => (rows.get(instanceId)?.bucket.waitMs() ?? 0) === 0,
    tryAcquire: (instanceId) => rows.get(instanceId)?.bucket.take() ?? true,
    refund(instanceId) {
      rows.get(instanceId)?.bucket.refund();
    },
    list: () =>
      [...rows].map(([instanceId, row]) => ({
        instanceId,
        perS: hasEnded(row) ? null : row.perS,
        ratePerS: rateOf(row),
        namedAgoMs: Math.round(clock.steadyMs() - row.advertisedAtMs),
      })),
    sweep() {
      const nowMs = clock.steadyMs();
      rows.forEach(({ advertisedAtMs, endedAtMs }, instanceId) => {
        const hasRampedUp = endedAtMs !== null && nowMs - endedAtMs > RAMP_UP_MS;
        if (hasRampedUp || nowMs - advertisedAtMs > EXPIRY_MS) rows.delete(instanceId);
      });
    },
  };
}
