/**
 * Forecasts the time until a queued request gets a slot, which is the permission to put the load of
 * one request on a chain.
 *
 * Load: 4 of 9 chains are lost while requests come at twice what the rest can take, or a data
 * centre has no chain for 3 s. The rate of recent grants then describes the chains before the loss,
 * or nothing at all, and requests wait in vain for as long as they can. Here the rate follows from
 * the slots in use and the mean time that a slot is held, so it is right as soon as the loss is
 * known.
 */
import type { Clock } from '@spoolplank/shared';
import type { Route } from './routingDocument';
import type { HoldingsReport } from './slotLedger';

export interface WaitForecast {
  /** Number of requests that get a slot before this one. */
  readonly ahead: number;
  /** Recent rate of freed slots per second; 0 when none were freed. */
  readonly slotsPerS: number;
  readonly remainingMs: number;
  /** Maximum slots per second that limits allow; null when no limit applies. */
  readonly limitedPerS?: number | null;
}

/** Load and capacity of all usable chains, in requests of usual size. */
export interface SlotSupply {
  readonly capacity: number;
  readonly inUse: number;
}

export interface SlotWait {
  readonly ahead: number;
  /** Time left in which a slot still meets the latency target; negative if it is too late. */
  readonly inTimeForMs: number;
  /** Whether later requests that can still be in time get their slots before this one. */
  readonly isOvertaken: boolean;
}

/** Measures of one service. */
export interface SlotForecast {
  /** Records a granted slot, which `holder` holds under `ticket`. */
  recordGrant(holder: string, ticket: string, headId: string): void;
  /** Records all slots of a holder; those listed before and missing now were released. */
  recordListed(holder: string, report: HoldingsReport): void;
  /** Records that a slot was released by a request that had been sent. */
  recordEnded(holder: string, ticket: string): void;
  /** Records that a slot was not used. */
  recordCancelled(holder: string, ticket: string): void;
  /** Records a request that may overtake late ones in the queue. */
  recordInTime(): void;
  /** Mean time for which a slot is held; null until enough slots were released. */
  holdingMs(): number | null;
  /** Slots released per second with `inUse` slots in use; null until it was measured. */
  slotsPerS(supply: SlotSupply): number | null;
  /**
   * Slots per second that requests in time leave to others; at least `MIN_RETURNING_SHARE` of all.
   * Null until it was measured.
   */
  returningPerS(supply: SlotSupply): number | null;
  /**
   * Time until a request gets a slot, infinite when later requests take all slots; null when it is
   * unknown.
   */
  waitMs(wait: SlotWait, supply: SlotSupply): number | null;
}

export interface SlotForecastOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Whether the chain with this first engine exists. */
  readonly hasChain: (headId: string) => boolean;
}

const MS_PER_S = 1000;
/** Below this rate no forecast is made, as a chain may come back at any moment. */
const MIN_SLOTS_PER_S = 2;
/** Releases before the first forecast; the mean of fewer would refuse requests by chance. */
const MIN_RELEASES = 20;
/** Releases that the mean goes back over, about a second of a data centre's load. */
const MEAN_RELEASES = 128;
/** A slot that was held for less was rejected by its chain and ran nothing. */
const MIN_HELD_MS = 20;
/**
 * Time after which a release counts, unless its chain was lost meanwhile. Streams that end with
 * their chain would make the mean too short just when the forecast matters.
 */
const CONFIRM_MS = 500;
/**
 * Releases from which on they are counted although no forecast is made. Forecasts are made only
 * while slots are scarce; until then the releases of days would add up.
 */
const MAX_UNCOUNTED = 2 * MEAN_RELEASES;
/**
 * Time after which a grant that was never listed, or a holder that is silent, is forgotten without
 * a release. Holders list their slots once a second, and their leases last 2.6 s.
 */
const FORGET_MS = 5000;
/** Window of the rate of requests that overtake others; long, so that one burst is no trend. */
const OVERTAKING_WINDOW_MS = 2000;
/**
 * Share of the time left for a slot in time up to which requests are taken; the rest is a margin,
 * as the number of releases varies.
 */
const IN_TIME_SHARE = 0.85;
/** Share of the capacity for new streams; the rest is reserved for streams that have begun. */
const NEW_STREAM_SHARE = 0.94;

/**
 * Share of the slots at which callers are told to return while new requests take all of them. At
 * the full rate, callers with one retry return into the same overload; at less, slots stay unused
 * after a short one.
 */
const MIN_RETURNING_SHARE = 0.5;
/** Callers abandon a stream after a silence of 2 s, or longer if its targets are longer. */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;
/** Share of the caller's patience for the slot; the rest is left for one failed attempt. */
const WAIT_SHARE = 0.6;

/** Longest wait of a new stream for a slot, by the time after which its caller leaves. */
export function longestWaitMs(route: Pick<Route, 'targetLatencyMs' | 'targetGapMs'>): number {
  const { targetLatencyMs, targetGapMs } = route;
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_TARGETS * targetLatencyMs,
    PATIENCE_GAPS * targetGapMs,
  );
  return WAIT_SHARE * patienceMs;
}

/** Whether a request would leave the queue before it gets a slot, by the rate of recent grants. */
export function willMissQueueDeadline(forecast: WaitForecast): boolean {
  const { ahead, slotsPerS, remainingMs, limitedPerS = null } = forecast;
  // A limit is known exactly, so it is used however low it is.
  if (limitedPerS !== null) return ((ahead + 1) / limitedPerS) * MS_PER_S > remainingMs;
  if (slotsPerS < MIN_SLOTS_PER_S) return false;
  return ((ahead + 1) / slotsPerS) * MS_PER_S > remainingMs;
}

interface Held {
  readonly headId: string;
  readonly grantedAtMs: number;
  isListed: boolean;
}

interface Holder {
  sequence: number;
  receivedAtMs: number;
  readonly slots: Map<string, Held>;
}

interface Release {
  readonly headId: string;
  readonly heldMs: number;
  readonly atMs: number;
}

export function createSlotForecast({ clock, hasChain }: SlotForecastOptions): SlotForecast {
  const holders = new Map<string, Holder>();
  const releases: Release[] = [];
  let releaseCount = 0;
  let meanMs = 0;
  let overtaking = 0;
  let overtakingAtMs = clock.nowMs();

  function take(holder: string, ticket: string): Held | undefined {
    const slots = holders.get(holder)?.slots;
    const held = slots?.get(ticket);
    slots?.delete(ticket);
    return held;
  }

  function findOrCreate(name: string): Holder {
    const nowMs = clock.nowMs();
    const known = holders.get(name);
    if (known) return known;
    holders.forEach(({ receivedAtMs }, other) => {
      if (nowMs - receivedAtMs > FORGET_MS) holders.delete(other);
    });
    const created = { sequence: Number.NEGATIVE_INFINITY, receivedAtMs: nowMs, slots: new Map() };
    holders.set(name, created);
    return created;
  }

  /** Adds the releases to the mean whose chain was not lost. */
  function countReleases(): void {
    const untilMs = clock.nowMs() - CONFIRM_MS;
    const end = releases.findIndex(({ atMs }) => atMs > untilMs);
    const due = releases.splice(0, end < 0 ? releases.length : end);
    due.forEach(({ headId, heldMs }) => {
      if (!hasChain(headId)) return;
      releaseCount += 1;
      meanMs += (heldMs - meanMs) / Math.min(releaseCount, MEAN_RELEASES);
    });
  }

  function recordRelease({ headId, grantedAtMs }: Held): void {
    const nowMs = clock.nowMs();
    const heldMs = nowMs - grantedAtMs;
    if (heldMs >= MIN_HELD_MS) releases.push({ headId, heldMs, atMs: nowMs });
    if (releases.length > MAX_UNCOUNTED) countReleases();
  }

  function decayOvertaking(): void {
    const nowMs = clock.nowMs();
    overtaking *= Math.exp((overtakingAtMs - nowMs) / OVERTAKING_WINDOW_MS);
    overtakingAtMs = nowMs;
  }

  function holdingMs(): number | null {
    countReleases();
    return releaseCount < MIN_RELEASES ? null : meanMs;
  }

  function slotsPerS({ inUse }: SlotSupply): number | null {
    const heldMs = holdingMs();
    if (heldMs === null) return null;
    const perS = (inUse / heldMs) * MS_PER_S;
    return perS < MIN_SLOTS_PER_S ? null : perS;
  }

  /** Share of the slots that is left by requests that overtake late ones. */
  function lateShare(perS: number): number {
    decayOvertaking();
    const overtakingPerS = (overtaking / OVERTAKING_WINDOW_MS) * MS_PER_S;
    return Math.max(0, 1 - overtakingPerS / perS);
  }

  return {
    recordGrant(holder, ticket, headId) {
      const held = { headId, grantedAtMs: clock.nowMs(), isListed: false };
      findOrCreate(holder).slots.set(ticket, held);
    },
    recordListed(name, { sequence, slots }) {
      const holder = holders.get(name);
      if (!holder || sequence <= holder.sequence) return;
      holder.sequence = sequence;
      holder.receivedAtMs = clock.nowMs();
      const listed = new Set(slots.map(({ ticket }) => ticket));
      holder.slots.forEach((held, ticket) => {
        if (listed.has(ticket)) {
          held.isListed = true;
          return;
        }
        if (held.isListed) recordRelease(held);
        const isForgotten = clock.nowMs() - held.grantedAtMs > FORGET_MS;
        if (held.isListed || isForgotten) holder.slots.delete(ticket);
      });
    },
    recordEnded(holder, ticket) {
      const held = take(holder, ticket);
      if (held) recordRelease(held);
    },
    recordCancelled(holder, ticket) {
      take(holder, ticket);
    },
    recordInTime() {
      decayOvertaking();
      overtaking += 1;
    },
    holdingMs,
    slotsPerS,
    returningPerS(supply) {
      const perS = slotsPerS(supply);
      return perS === null ? null : perS * Math.max(MIN_RETURNING_SHARE, lateShare(perS));
    },
    waitMs({ ahead, inTimeForMs, isOvertaken }, supply) {
      const free = Math.max(0, supply.capacity * NEW_STREAM_SHARE - supply.inUse);
      const missing = ahead + 1 - free;
      if (missing <= 0) return 0;
      const perS = slotsPerS(supply);
      if (perS === null) return null;
      const queuedMs = (missing / perS) * MS_PER_S;
      const inTimeMs = Math.max(0, inTimeForMs) * IN_TIME_SHARE;
      if (!isOvertaken || queuedMs <= inTimeMs) return queuedMs;
      return inTimeMs + (queuedMs - inTimeMs) / lateShare(perS);
    },
  };
}
