/**
 * Selects one of the paths with a free slot by the predicted timing, where an engine is slow, where
 * chains share engines, or where the targets of a service's routes differ. All other choices are by
 * cost alone.
 *
 * An engine that is slow by a factor of 3 to 12 for some seconds has free memory, but each stream
 * over it pauses for longer the more of them there are. Requests of a route with a long target can
 * run on slow chains in time, which leaves the fast ones to the routes with a short target.
 */
import { predictTiming } from '@spoolplank/routing';
import type { ModelDescription, PathTiming } from '@spoolplank/routing';
import type { PathLayout, RatedChain } from '../dispatch/chainCatalog';
import type { SlotAsk } from './slotMessages';

/** A chain, and its timing if that was predicted for the choice. */
export interface ChosenPath extends RatedChain {
  readonly timing?: PathTiming;
}

/** A path that may serve a request. */
export interface PathCandidate {
  readonly chain: RatedChain;
  /** Load and latency combined. */
  readonly cost: number;
  /** Highest used share of an engine of the path. */
  readonly usedShare: number;
  readonly isFree: boolean;
  /**
   * Whether its prefill backlog would make streams miss their targets; known for asks with a long
   * target only.
   */
  readonly isBacklogged: boolean;
}

/** The timing of the paths of a layout. */
export interface LayoutTiming {
  /** Whether the timing of a chain bounds its load: it is shared, or one of its engines is slow. */
  isBounded(chain: RatedChain): boolean;
  /** Timing with a request of the given size added. */
  predict(chain: RatedChain, addedSize: number): PathTiming;
  /** Timing without any load. */
  predictIdle(chain: RatedChain): PathTiming;
}

export interface PathChoiceOptions {
  readonly timing: LayoutTiming;
  /** Whether the ask has the longest of the different targets of its service's routes. */
  readonly isPatient: boolean;
}

/** The prediction is of mean pauses; the longest one of a stream is above it. */
const PAUSE_SHARE = 0.8;
/** Load of the fast paths from which requests with a long target take a slow one. */
const HALF_FULL = 0.5;
/** Ratio of times to first event from which a path counts as slower than another. */
const SLOWER_RATIO = 1.2;

/** Creates the timing of a layout; `loadOf` returns the load of an engine at the time of a call. */
export function createLayoutTiming(
  { paths, paces }: Pick<PathLayout, 'paths' | 'paces'>,
  model: ModelDescription,
  loadOf: (engineId: string) => number,
): LayoutTiming {
  const headOf = new Map<string, string>();
  const bounding = new Set<string>();
  const idle = new Map<RatedChain, PathTiming>();
  paths.forEach(({ headId, stages }) =>
    stages.forEach(({ id }) => {
      const isShared = (headOf.get(id) ?? headId) !== headId;
      if (isShared || paces.get(id)?.isSlow) bounding.add(id);
      headOf.set(id, headId);
    }),
  );
  return {
    isBounded: ({ stages }) => stages.some(({ id }) => bounding.has(id)),
    predict: ({ stages }, addedSize) => predictTiming(stages, { model, paces, loadOf, addedSize }),
    predictIdle(chain) {
      const known = idle.get(chain);
      if (known) return known;
      const timing = predictTiming(chain.stages, { model, paces, loadOf: () => 0 });
      idle.set(chain, timing);
      return timing;
    },
  };
}

const boundOf = ({ targetGapMs }: SlotAsk): number =>
  targetGapMs === undefined ? Number.POSITIVE_INFINITY : targetGapMs * PAUSE_SHARE;

/** The slowest path that keeps the targets of an ask, once the faster ones are half full. */
function findSlowest(
  candidates: readonly PathCandidate[],
  ask: SlotAsk,
  timing: LayoutTiming,
): ChosenPath | undefined {
  const { targetFirstEventMs = 0, waitedMs, size } = ask;
  const speeds = candidates
    .map((candidate) => ({
      ...candidate,
      idleMs: timing.predictIdle(candidate.chain).firstEventMs,
    }))
    .sort((a, b) => b.idleMs - a.idleMs);
  for (const { chain, idleMs, isFree, isBacklogged } of speeds) {
    const faster = speeds.filter((other) => other.idleMs * SLOWER_RATIO <= idleMs);
    const used = faster.reduce((sum, { usedShare }) => sum + usedShare, 0);
    const isOpen = isFree && !isBacklogged && faster.length > 0;
    if (isOpen && used / faster.length >= HALF_FULL) {
      const predicted = timing.predict(chain, size);
      const isInTime = predicted.firstEventMs + waitedMs <= targetFirstEventMs;
      if (isInTime && predicted.pauseMs <= boundOf(ask)) return { ...chain, timing: predicted };
    }
  }
  return undefined;
}

/** The cheapest path whose predicted pause is within the bound. */
function findCheapest(
  candidates: readonly PathCandidate[],
  ask: SlotAsk,
  timing: LayoutTiming,
): ChosenPath | undefined {
  const boundMs = boundOf(ask);
  let lastResort: ChosenPath | undefined;
  let lastPauseMs = Number.POSITIVE_INFINITY;
  const cheapestFirst = candidates.filter(({ isFree }) => isFree).sort((a, b) => a.cost - b.cost);
  for (const { chain } of cheapestFirst) {
    if (!timing.isBounded(chain)) return chain;
    const predicted = timing.predict(chain, ask.size);
    const { pauseMs } = predicted;
    if (pauseMs <= boundMs) return { ...chain, timing: predicted };
    // If the slowdown alone exceeds the bound, fewer streams do not help, and a late answer counts
    // for more than none.
    const isLastResort = ask.hasBegun || timing.predictIdle(chain).pauseMs > boundMs;
    if (isLastResort && pauseMs < lastPauseMs) {
      lastResort = { ...chain, timing: predicted };
      lastPauseMs = pauseMs;
    }
  }
  return lastResort;
}

/**
 * Selects a path for an ask. A path whose predicted pause exceeds the bound is chosen only when no
 * other has a free slot. If it is its load that exceeds the bound, it takes no new streams.
 */
export function choosePath(
  candidates: readonly PathCandidate[],
  ask: SlotAsk,
  { timing, isPatient }: PathChoiceOptions,
): ChosenPath | undefined {
  const slowest = isPatient ? findSlowest(candidates, ask, timing) : undefined;
  return slowest ?? findCheapest(candidates, ask, timing);
}
