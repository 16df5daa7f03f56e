/**
 * Tracks the streams that run through this entry. Each row is one attempt over one chain: a
 * sequence of engines that together hold all layers of the model.
 */
import { createUnreportedLoad } from '@spoolplank/routing';
import type { HeldSlot, ModelDescription, PathStage } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { AdmittedRequest } from '../entryContext';

/** Why this entry aborted an attempt. */
export type AbortReason =
  | 'caller-left'
  | 'head-lost'
  /** This VM does not reach the first engine any more, which other VMs reach. */
  | 'link-lost'
  | 'no-repair'
  | 'deadline'
  | 'quarantined';

/** An attempt in progress to run a stream over a chain. */
export interface StreamRow {
  readonly admitted: AdmittedRequest;
  readonly model: ModelDescription;
  /** Identifies the slot that the attempt holds; unique to the attempt. */
  readonly ticket: string;
  /** Data centre of the chain. */
  readonly dataCentre: string;
  /** First engine of the chain, which identifies the chain. */
  readonly headId: string;
  /** Memory that the request takes, relative to a request of usual size. */
  readonly size: number;
  stages: readonly PathStage[];
  /**
   * Stages of other paths that the head was ordered to use, while the orders are in flight or if
   * they had no answer, so that they may have been executed.
   */
  orderedStages: readonly PathStage[];
  /** Engines of the path that were found lost, or unfit for it, during this attempt. */
  readonly lostIds: Set<string>;
  readonly startedAtMs: number;
  /** Whether the first engine has sent the head of its response. */
  hasAnswered: boolean;
  /** Whether the connection passes through another VM; null until there is one. */
  isRelayed: boolean | null;
  /** Whether any part of the response body has arrived in this attempt. */
  hasBegun: boolean;
  /** Time at which the last part of the body arrived, or the caller began to read again. */
  lastProgressAtMs: number;
  /** Time at which the last check for a lost engine, or the last repair, ended. */
  lastCheckAtMs: number;
  /** Probes since the last event, none of which found a lost engine. */
  checks: number;
  /** Whether the engines of the path are being probed. */
  isChecking: boolean;
  /** Whether the stream is being moved to another path. */
  isRepairing: boolean;
  /** Whether the stream is being restarted on another chain, as its head leaves. */
  isHandingOver: boolean;
  /** Whether the caller reads too slowly; silence is then no sign of a fault. */
  isPaused: boolean;
  /** Why this entry aborted the attempt; null while it has not. */
  abortReason: AbortReason | null;
  /** Aborts the attempt. */
  readonly abort: (reason: AbortReason) => void;
}

/** Engines that a run may use: those of its path and of orders that may have been executed. */
export function enginesOf({ stages, orderedStages }: StreamRow): ReadonlySet<string> {
  return new Set([...stages, ...orderedStages].map(({ id }) => id));
}

export interface StreamTable {
  add(row: StreamRow): void;
  remove(row: StreamRow): void;
  list(): Iterable<StreamRow>;
  /** Slots held by the streams in a data centre: one for each attempt, on its chain. */
  listHeld(dataCentre: string): readonly HeldSlot[];
  /** The path that the stream with a slot runs over now; undefined when it has ended. */
  pathOf(ticket: string): readonly PathStage[] | undefined;
  /** Sum of the sizes of the streams in flight on the chain with the given first engine. */
  countOn(headId: string): number;
  /** Estimate of the load that `peers` other entries started on a chain but not reported yet. */
  estimateUnreported(headId: string, peers: number): number;
  /** Records the time to first event of a stream on a chain. */
  recordFirstEvent(headId: string, durationMs: number): void;
  /**
   * Recent time to first event: the measured mean, decaying with its age, or the mean wait of the
   * streams without a first event, if that is longer.
   */
  firstEventMs(headId: string): number;
  /** Moving average of the time to first event over all chains, in milliseconds. */
  readonly usualFirstEventMs: number;
  /** Sizes of the streams in flight by the first engine of their chain; idle chains are omitted. */
  counts(): Readonly<Record<string, number>>;
}

/**
 * Time after which all entries know a load. Its report passes through at most two control VMs, each
 * of which delays it by up to 0.8 s.
 */
const UNREPORTED_WINDOW_MS = 1600;
/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Assumed time to first event before the first measurement. */
const INITIAL_FIRST_EVENT_MS = 100;
/** Half-life of a measurement: a chain that was slow is tried again as its old value decays. */
const HALF_LIFE_MS = 1500;
/** Number of waiting streams from which their waits are attributed to the chain. */
const MIN_WAITING_STREAMS = 3;

/** Smaller sums of sizes are rounding errors and count as zero. */
const MIN_SIZE = 1e-6;
/** Sizes are reported with two decimal places. */
const SIZE_STEPS = 100;

const roundSize = (size: number): number => Math.round(size * SIZE_STEPS) / SIZE_STEPS;

interface FirstEvents {
  meanMs: number;
  atMs: number;
}

export interface StreamTableOptions {
  readonly clock: Clock;
  /** Called with each stream that ended or was moved to another chain. */
  readonly onEnd?: (row: StreamRow) => void;
}

export function createStreamTable({ clock, onEnd }: StreamTableOptions): StreamTable {
  const rows = new Set<StreamRow>();
  const rowByTicket = new Map<string, StreamRow>();
  const countByHead = new Map<string, number>();
  const firstEvents = new Map<string, FirstEvents>();
  let usualFirstEventMs = INITIAL_FIRST_EVENT_MS;
  const unreported = createUnreportedLoad({ clock, windowMs: UNREPORTED_WINDOW_MS });

  function adjustInFlight(headId: string, by: number): void {
    unreported.record(headId, by);
    const count = (countByHead.get(headId) ?? 0) + by;
    if (count > MIN_SIZE) countByHead.set(headId, count);
    else countByHead.delete(headId);
  }

  return {
    add(row) {
      rows.add(row);
      rowByTicket.set(row.ticket, row);
      adjustInFlight(row.headId, row.size);
    },
    remove(row) {
      if (!rows.delete(row)) return;
      rowByTicket.delete(row.ticket);
      adjustInFlight(row.headId, -row.size);
      onEnd?.(row);
    },
    list: () => rows,
    listHeld: (dataCentre) =>
      [...rows]
        .filter((row) => row.dataCentre === dataCentre)
        .map(({ ticket, headId, size }) => ({ ticket, headId, size: roundSize(size) })),
    pathOf: (ticket) => rowByTicket.get(ticket)?.stages,
    countOn: (headId) => countByHead.get(headId) ?? 0,
    estimateUnreported: (headId, peers) =>
      unreported.estimate(headId, countByHead.get(headId) ?? 0, peers),
    recordFirstEvent(headId, durationMs) {
      const atMs = clock.nowMs();
      const known = firstEvents.get(headId) ?? { meanMs: durationMs, atMs };
      const meanMs = known.meanMs + SAMPLE_WEIGHT * (durationMs - known.meanMs);
      firstEvents.set(headId, { meanMs, atMs });
      usualFirstEventMs += SAMPLE_WEIGHT * (durationMs - usualFirstEventMs);
    },
    firstEventMs(headId) {
      const nowMs = clock.nowMs();
      const { meanMs, atMs } = firstEvents.get(headId) ?? { meanMs: 0, atMs: nowMs };
      const decayedMs = meanMs * 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS);
      let waitingMs = 0;
      let waiting = 0;
      rows.forEach((row) => {
        if (row.headId !== headId || row.hasBegun) return;
        waiting += 1;
        waitingMs += nowMs - row.startedAtMs;
      });
      return waiting >= MIN_WAITING_STREAMS ? Math.max(decayedMs, waitingMs / waiting) : decayedMs;
    },
    get usualFirstEventMs() {
      return usualFirstEventMs;
    },
    counts: () =>
      Object.fromEntries([...countByHead].map(([headId, size]) => [headId, roundSize(size)])),
  };
}
