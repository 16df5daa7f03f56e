/**
 * Records which VM holds which slots on the chains of a data centre, on the VM that allocates them.
 * A slot is the right to run one request on a chain.
 *
 * Many VMs share few chains. Each VM starts one or two streams per second with information about
 * the others that is up to two seconds old, and half of the streams of a chain are replaced in that
 * time. Without coordination some chains are overloaded while others are idle. A single ledger that
 * receives every start and end knows the load of each chain to within some milliseconds.
 *
 * A slot is held by lease. The lease ends when its holder no longer lists the slot, or has not
 * reported for longer than the lease time, so the slots of a lost VM become free.
 *
 * Source: Gray and Cheriton, "Leases", SOSP 1989.
 */
import type { Clock } from '@spoolplank/shared';
import { adjustTotal, createEngineLoads } from './engineLoad';
import type { EngineLoads, HeldPath, LoadedPath, Total } from './engineLoad';

/** A slot on a chain, held for one request. */
export interface HeldSlot {
  /** Unique among the slots of its holder. */
  readonly ticket: string;
  /** First engine of the chain; identifies the chain. */
  readonly headId: string;
  /** Memory of the request, relative to one of usual size. */
  readonly size: number;
  /**
   * Index into the paths of the report: the path that the request runs over now, which differs from
   * that of its chain once the chains were formed anew or the stream was repaired.
   */
  readonly path?: number;
}

/** All slots that a holder has, from its own point of view. */
export interface HoldingsReport {
  /** Increases with every report of a holder, so that delayed reports are ignored. */
  readonly sequence: number;
  readonly slots: readonly HeldSlot[];
  /**
   * Paths of the slots. A report without them leaves the known paths as they are: paths change
   * seldom and make up most of a report, and holders of an older version list none.
   */
  readonly paths?: readonly HeldPath[];
}

export interface SlotLedgerOptions {
  readonly clock: Clock;
  /** Lease time: a holder that has not reported for longer loses its slots, in milliseconds. */
  readonly leaseMs?: number;
  /** Time within which a holder must list a granted slot, in milliseconds. */
  readonly unclaimedMs?: number;
}

export interface SlotLedger {
  /**
   * Records that a slot was granted, with the path of its request where slots are granted by the
   * load of each engine.
   */
  grant(holder: string, slot: HeldSlot, path?: HeldPath): void;
  /** Replaces the slots that a holder reported before. */
  report(holder: string, report: HoldingsReport): void;
  /** Frees a granted slot that its holder will not use. */
  cancel(holder: string, ticket: string): void;
  /** Total size of the slots held on a chain. */
  heldSizeOf(headId: string): number;
  /** Load by engine of the slots whose path is known; the others count by head only. */
  readonly engines: Pick<EngineLoads, 'loadOf' | 'sizeOn' | 'paths' | 'revision'>;
  /** Number of holders that have slots. */
  readonly holders: number;
}

/** Reports are sent every second: one may be lost, and the next be delayed by up to 600 ms. */
const DEFAULT_LEASE_MS = 2600;
/** Holders report every second; if a granted slot is not in the next report, the grant was lost. */
const DEFAULT_UNCLAIMED_MS = 1300;
/** Minimum interval between sweeps, as leases need not expire to the millisecond. */
const SWEEP_MS = 100;

interface Entry {
  readonly slot: HeldSlot;
  /** Undefined while the path of the request is unknown. */
  readonly path: LoadedPath | undefined;
  readonly grantedAtMs: number;
  isListed: boolean;
}

interface Holder {
  receivedAtMs: number;
  sequence: number;
  readonly entries: Map<string, Entry>;
}

export function createSlotLedger(options: SlotLedgerOptions): SlotLedger {
  const { clock, leaseMs = DEFAULT_LEASE_MS, unclaimedMs = DEFAULT_UNCLAIMED_MS } = options;
  const holders = new Map<string, Holder>();
  const totals = new Map<string, Total>();
  const engines = createEngineLoads();
  let sweptAtMs = Number.NEGATIVE_INFINITY;

  function findOrCreate(name: string): Holder {
    const known = holders.get(name);
    if (known) return known;
    const created: Holder = {
      receivedAtMs: clock.nowMs(),
      sequence: Number.NEGATIVE_INFINITY,
      entries: new Map(),
    };
    holders.set(name, created);
    return created;
  }

  function release({ slot, path }: Entry): void {
    adjustTotal(totals, slot.headId, { value: -slot.size, slots: -1 });
    if (path) engines.remove(path, slot.size);
  }

  function put(
    { entries }: Holder,
    slot: HeldSlot,
    path: LoadedPath | undefined,
    isListed: boolean,
  ): void {
    const known = entries.get(slot.ticket);
    const isSame =
      known?.path?.key === path?.key &&
      known?.slot.size === slot.size &&
      known.slot.headId === slot.headId;
    if (isSame && known) {
      known.isListed = isListed;
      return;
    }
    if (known) release(known);
    const grantedAtMs = known?.grantedAtMs ?? clock.nowMs();
    entries.set(slot.ticket, { slot, path, grantedAtMs, isListed });
    adjustTotal(totals, slot.headId, { value: slot.size, slots: 1 });
    if (path) engines.add(path, slot.size);
  }

  function remove({ entries }: Holder, ticket: string): void {
    const known = entries.get(ticket);
    if (!known) return;
    entries.delete(ticket);
    release(known);
  }

  function isUnclaimed({ isListed, grantedAtMs }: Entry): boolean {
    return !isListed && clock.nowMs() - grantedAtMs > unclaimedMs;
  }

  function sweep(): void {
    const nowMs = clock.nowMs();
    if (nowMs - sweptAtMs < SWEEP_MS) return;
    sweptAtMs = nowMs;
    holders.forEach((holder, name) => {
      const isSilent = nowMs - holder.receivedAtMs > leaseMs;
      holder.entries.forEach((entry, ticket) => {
        if (isSilent || isUnclaimed(entry)) remove(holder, ticket);
      });
      if (isSilent) holders.delete(name);
    });
  }

  return {
    grant(name, slot, path) {
      put(findOrCreate(name), slot, path && engines.recordOf(path), false);
    },
    report(name, { sequence, slots, paths }) {
      const holder = findOrCreate(name);
      if (sequence <= holder.sequence) return;
      holder.sequence = sequence;
      holder.receivedAtMs = clock.nowMs();
      const listed = new Set(slots.map(({ ticket }) => ticket));
      holder.entries.forEach((entry, ticket) => {
        if (entry.isListed && !listed.has(ticket)) remove(holder, ticket);
      });
      const records = paths?.map((path) => engines.recordOf(path));
      slots.forEach((slot) => {
        const listedPath = slot.path === undefined ? undefined : records?.[slot.path];
        const known = holder.entries.get(slot.ticket)?.path;
        // A ticket that was asked for again may run on another chain than the one granted here.
        const knownPath = known?.headId === slot.headId ? known : undefined;
        put(holder, slot, paths ? listedPath : knownPath, true);
      });
    },
    cancel(name, ticket) {
      const holder = holders.get(name);
      if (holder) remove(holder, ticket);
    },
    heldSizeOf(headId) {
      sweep();
      return Math.max(0, totals.get(headId)?.value ?? 0);
    },
    get engines() {
      sweep();
      return engines;
    },
    get holders() {
      sweep();
      return [...holders.values()].filter(({ entries }) => entries.size > 0).length;
    },
  };
}
