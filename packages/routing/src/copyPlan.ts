/**
 * Plans moves of single engines that raise the capacity of the bottleneck layer.
 *
 * The load: engines of one data centre are lost for good, so that some layers have one holder while
 * others have three. Laying out a broken chain anew moves all its borders and starts only after the
 * lost engines could have returned; one engine whose layers all have other holders, moved to the
 * bottleneck, restores the capacity with a single load of about a second.
 *
 * Each move raises layers that were below the gain limit above it and takes no other layer below
 * it. The bottleneck therefore never falls, and without new losses a sequence of moves ends.
 */
import { findBestRange, findDeficit, pickBest } from './copySearch';
import type { Candidate as CandidateOf } from './copySearch';
import { capacityByLayer, countRequests, findEvenCapacity, findLowRanges } from './layerCopies';
import { countCopies, lengthOf } from './plannedEngines';
import type { PlannedEngine, Range } from './plannedEngines';
import type { ModelDescription } from './routingDocument';
import { findCompleteChains } from './wholeChains';
import type { CompleteChains } from './wholeChains';

/** Reason of a move, for metrics and the log. */
export type MoveCause = 'demand' | 'loss' | 'leaving' | 'empty';

/** An engine as input of the plan. */
export interface CopyEngine extends PlannedEngine {
  /** Whether an order is in progress, so that some of its layers are not available yet. */
  readonly isLoading: boolean;
  /** Whether the order in progress made it give up layers. */
  readonly isMoving: boolean;
  /** Whether it received an order a short time ago. */
  readonly isSettling: boolean;
}

/** An engine whose layers do not count, because it is lost, slow or leaving. */
export interface MissingEngine {
  readonly held: Range | null;
  readonly isServing: boolean;
  readonly isLeaving: boolean;
}

export interface CopyPlanOptions {
  readonly missing: readonly MissingEngine[];
  /** Requests for which the data centre needs capacity; null when that is unknown. */
  readonly demand: number | null;
  /** Whether lost engines are not expected to return any more. */
  readonly isLossFinal: boolean;
}

/** A planned move of an engine, as the range in its `planned` field. */
export interface CopyMove {
  readonly id: string;
  readonly cause: MoveCause;
  /** Capacity of the bottleneck layer before and after the move, in requests of usual size. */
  readonly bottleneckBefore: number;
  readonly bottleneckAfter: number;
}

export interface CopyPlan {
  readonly moves: readonly CopyMove[];
  /** Whether the plan moves engines now or has planned moves that are still in progress. */
  readonly isBusy: boolean;
  /** Whether empty engines are kept for the layers of engines that are about to leave. */
  readonly hasReserved: boolean;
  /** Whether the capacity is below demand, or so uneven that it is raised after a final loss. */
  readonly isDue: boolean;
  /** Whether engines that have announced that they leave still serve. */
  readonly isReplacing: boolean;
  /** The complete chains, if the plan had to find them; valid only without moves. */
  readonly complete: CompleteChains | undefined;
}

type Candidate = CandidateOf<CopyEngine>;

/** Relative gain below which a move is not worth the load, which takes about a second. */
const MIN_GAIN = 1.2;
/** Capacity of the bottleneck, relative to an even distribution, below which it is raised. */
const MIN_EVEN_SHARE = 2 / 3;
/** Each move makes the given-up layers unavailable at once and the new ones only after a load. */
const MAX_MOVES = 2;
/** Two moves at a time take about 1.5 s; a plan of more of them is out of date before its end. */
const MAX_SEQUENCE = 8;
/**
 * Capacity, relative to an even distribution, up to which additional copies of a layer are of use.
 * A demand above it would favour a few layers with much memory for each.
 */
const HEADROOM = 1.2;
/**
 * Capacity, relative to an even distribution, below which a layer lacks a holder. The layouts of
 * whole chains differ by up to 15 % between layers, as engines hold whole layers only.
 */
const HOLE_SHARE = 0.8;

function isOverlapping(a: Range, b: Range): boolean {
  return a.first < b.end && b.first < a.end;
}

const isPlaced = ({ held, planned, isLoading }: CopyEngine): boolean =>
  !isLoading && held?.first === planned?.first && held?.end === planned?.end;

/** Whether the loss of one more engine after a move would leave a copy of each given-up layer. */
function isCovered({ planned }: CopyEngine, copies: readonly number[]): boolean {
  return planned !== null && copies.slice(planned.first, planned.end).every((count) => count > 2);
}

/** The capacities without one engine; undefined if its layers would then be too low. */
function removeHolder(
  { planned }: CopyEngine,
  capacities: readonly number[],
  requests: number,
  minLeft: number,
): readonly number[] | undefined {
  if (!planned) return undefined;
  for (let layer = planned.first; layer < planned.end; layer += 1) {
    if ((capacities[layer] ?? 0) - requests < minLeft) return undefined;
  }
  return capacities.map((value, layer) =>
    layer >= planned.first && layer < planned.end ? value - requests : value,
  );
}

/**
 * Plans the next moves of engines of a data centre in which no layer is missing, and sets the
 * `planned` ranges accordingly.
 */
export function planCopies(
  engines: readonly CopyEngine[],
  model: ModelDescription,
  { missing, demand, isLossFinal }: CopyPlanOptions,
): CopyPlan {
  const moves: CopyMove[] = [];
  let complete: CompleteChains | undefined;
  let capacities: readonly number[] = capacityByLayer(engines, model);
  const even = findEvenCapacity(capacities);
  const target = HEADROOM * even;

  function causeOf(range: Range, otherwise: MoveCause): MoveCause {
    const lacking = missing.filter(({ held }) => held && isOverlapping(held, range));
    if (lacking.some(({ isLeaving }) => isLeaving)) return 'leaving';
    return lacking.length > 0 && otherwise !== 'empty' ? 'loss' : otherwise;
  }

  function move({ engine, range }: Candidate, otherwise: MoveCause): void {
    const bottleneckBefore = Math.min(...capacities);
    engine.planned = range;
    capacities = capacityByLayer(engines, model);
    const cause = causeOf(range, otherwise);
    moves.push({
      id: engine.id,
      cause,
      bottleneckBefore,
      bottleneckAfter: Math.min(...capacities),
    });
  }

  const isBelowDemand = () => demand !== null && Math.min(...capacities) < demand;
  const isLeavingSoon = missing.some(({ isLeaving, isServing }) => isLeaving && isServing);

  /** Empty engines serve nothing yet, so their number is not limited. */
  function placeEmptyEngines(): boolean {
    for (;;) {
      const empty = engines.filter(({ planned, isOrderable }) => planned === null && isOrderable);
      if (empty.length === 0) return false;
      const isReserved = isLeavingSoon && !isBelowDemand();
      const limit = isReserved ? even * HOLE_SHARE : Math.min(...capacities) * MIN_GAIN;
      const options = {
        capacities,
        lowRanges: findLowRanges(capacities, limit),
        target,
        minAfter: 0,
        model,
      };
      // Engines of one kind have the same best range.
      const kinds = new Map(
        empty.map((engine) => [`${engine.memoryMb} ${engine.slots}`, engine] as const),
      );
      const best = pickBest([...kinds.values()].map((engine) => findBestRange(engine, options)));
      if (!best) return isReserved;
      move(best, 'empty');
    }
  }

  /** The best next move; layers that are still being loaded elsewhere do not count as copies. */
  function findMove(): Candidate | undefined {
    const minAfter = Math.min(...capacities) * MIN_GAIN;
    const lowRanges = findLowRanges(capacities, minAfter);
    const available = capacityByLayer(engines.filter(isPlaced), model);
    const before = findDeficit(capacities, target);
    const known = new Map<string, Candidate | undefined>();

    function findCandidate(engine: CopyEngine): Candidate | undefined {
      if (!engine.planned) return undefined;
      const requests = countRequests(engine, engine.planned, model);
      const left = removeHolder(engine, capacities, requests, minAfter);
      if (!left || !removeHolder(engine, available, requests, minAfter)) return undefined;
      const options = { capacities: left, lowRanges, target, minAfter, model };
      const best = findBestRange(engine, options);
      const relief = (best?.relief ?? 0) + before - findDeficit(left, target);
      // The load time grows with the layers: two short loads at a time end before a long one.
      return best && relief > 0 ? { ...best, relief: relief / lengthOf(best.range) } : undefined;
    }

    const candidates = engines.flatMap((engine): Candidate[] => {
      const { planned, isOrderable, isSettling, memoryMb, slots } = engine;
      if (!planned || !isOrderable || isSettling || !isPlaced(engine)) return [];
      // Engines of one kind with the same layers have the same best range.
      const key = [memoryMb, slots, planned.first, planned.end].join(' ');
      if (!known.has(key)) known.set(key, findCandidate(engine));
      const candidate = known.get(key);
      return candidate ? [{ ...candidate, engine }] : [];
    });
    if (candidates.length <= 1) return candidates[0];
    const copies = countCopies(engines.filter(isPlaced), model.layers);
    const safe = candidates.filter(({ engine }) => isCovered(engine, copies));
    const list = safe.length > 0 ? safe : candidates;
    // The chains before the first move of a sequence; finding them costs more than the search.
    complete ??= findCompleteChains(engines, model);
    const idle = new Set(complete.rest.map(({ id }) => id));
    return pickBest(list.filter(({ engine }) => idle.has(engine.id))) ?? pickBest(list);
  }

  /**
   * Moves engines until the bottleneck has risen by the minimum gain, and keeps the moves that may
   * begin now; none if the bottleneck cannot be raised by so much.
   */
  function moveEngines(count: number): void {
    const start = Math.min(...capacities);
    const before = engines.map(({ planned }) => planned);
    const first = moves.length;
    let kept: readonly (Range | null)[] = before;
    while (moves.length - first < MAX_SEQUENCE && Math.min(...capacities) < start * MIN_GAIN) {
      const best = findMove();
      if (!best) break;
      move(best, 'demand');
      if (moves.length - first === count) kept = engines.map(({ planned }) => planned);
    }
    const isWorthwhile = Math.min(...capacities) >= start * MIN_GAIN;
    if (isWorthwhile && moves.length - first <= count) return;
    moves.length = first + (isWorthwhile ? count : 0);
    const restored = isWorthwhile ? kept : before;
    engines.forEach((engine, index) => {
      engine.planned = restored[index] ?? null;
    });
    capacities = capacityByLayer(engines, model);
  }

  const hasReserved = placeEmptyEngines();
  const isUneven = () => Math.min(...capacities) < even * MIN_EVEN_SHARE;
  const isDue = () => isBelowDemand() || (isLossFinal && missing.length > 0 && isUneven());
  const moving = engines.filter(({ isMoving }) => isMoving).length;
  if (moving < MAX_MOVES && isDue()) moveEngines(MAX_MOVES - moving);
  const isBusy = moves.length > 0 || moving > 0;
  return { moves, isBusy, hasReserved, isDue: isDue(), isReplacing: isLeavingSoon, complete };
}
