/**
 * Plans which engine holds which layers, separately for each data centre.
 *
 * Each chain is laid out for low latency (`layOutChain`); engines that it does not need hold second
 * copies of layers. When an engine is lost, its layers are covered by these copies or taken over by
 * the engines with adjacent ranges. A data centre with enough memory gets several chains of similar
 * size (`planChainCount`).
 */
import { planChainCount, splitIntoChains } from './chainCount';
import { planCopies } from './copyPlan';
import type { CopyEngine, CopyMove, CopyPlan, MissingEngine } from './copyPlan';
import {
  addSecondCopies,
  chooseMemoryPerLayer,
  findBestRange,
  layOutChain,
  layOutInOrder,
} from './chainLayout';
import { fillFromNeighbours, fillWithSpare, findLayerGap } from './holeFilling';
import { capacityByLayer } from './layerCopies';
import { countCopies, findMemoryPerLayer, GOOD_MEMORY_PER_LAYER } from './plannedEngines';
import type { Range, PlannedEngine } from './plannedEngines';
import type { ModelDescription } from './routingDocument';
import { findCompleteChains } from './wholeChains';

/** An engine as input of the planner. */
export interface ObservedEngine {
  readonly id: string;
  readonly dataCentre: string;
  readonly acceleratorKind: string;
  /** Maximum number of concurrent requests as the first engine of a chain. */
  readonly slots: number;
  /** First layer that is held or being loaded; null when the engine holds none. */
  readonly firstLayer: number | null;
  /** Exclusive. */
  readonly endLayer: number | null;
  /** Whether the engine can receive an order: it announces itself and has no order in progress. */
  readonly isOrderable: boolean;
  /**
   * Whether its layers count as available: it announces itself, is not leaving, is not slow, and is
   * not suspected of having failed.
   */
  readonly isReliable: boolean;
  /** Whether it still serves the layers it holds, even if it is slow or about to leave. */
  readonly isServing: boolean;
  /** Whether it announced that it leaves, or has left. */
  readonly isLeaving?: boolean;
  /** Whether an order is in progress, so that some of its layers are not available yet. */
  readonly isLoading?: boolean;
  /** Whether the order in progress made it give up layers. */
  readonly isMoving?: boolean;
  /** Whether it received an order so recently that it is not moved again. */
  readonly isSettling?: boolean;
}

/**
 * An order to an engine to hold exactly the layers from `firstLayer` up to, excluding, `endLayer`.
 */
export interface PlacementOrder {
  readonly id: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  /**
   * Whether the engine drops the layers outside its new range immediately and aborts the requests
   * that use them. Set only when no engine serves some layer, so that these requests cannot
   * continue anyway.
   */
  readonly isPreempting: boolean;
  /** Set for an order that follows demand and losses; absent for other orders. */
  readonly move?: Omit<CopyMove, 'id'>;
}

/** Excess layers that are tolerated: a layer costs a few requests, an order to drop it more. */
const TRIM_SLACK = 1;

/**
 * Share of the layers from which on engines that belong to no complete chain are treated as a
 * broken chain.
 */
const BROKEN_CHAIN_SHARE = 0.7;

/** Distributes all layers over the engines in the given order, with equal memory per layer. */
function spreadLayers(engines: readonly PlannedEngine[], model: ModelDescription): void {
  const memoryMb = findMemoryPerLayer(engines, model);
  if (memoryMb !== undefined) layOutInOrder(engines, memoryMb, model);
}

/** Whether the engines have enough memory for every layer and for running requests. */
function canHoldAll(engines: readonly PlannedEngine[], model: ModelDescription): boolean {
  const perLayerMb = model.layerMb * GOOD_MEMORY_PER_LAYER;
  const layers = engines.reduce((sum, { memoryMb }) => sum + Math.floor(memoryMb / perLayerMb), 0);
  return layers >= model.layers;
}

interface GapOptions {
  /**
   * Whether leaving or slow engines still serve the missing layers. If so, no order may remove the
   * last copy of a layer.
   */
  readonly isStillServed: boolean;
}

function fillGaps(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
  { isStillServed }: GapOptions,
): void {
  const maxReach = isStillServed ? 1 : engines.length;
  for (let attempt = 0; attempt < engines.length; attempt += 1) {
    const gap = findLayerGap(countCopies(engines, model.layers));
    if (!gap) return;
    const isFilled =
      fillWithSpare(engines, gap, model) || fillFromNeighbours(engines, gap, model, maxReach);
    if (!isFilled) break;
  }
  if (isStillServed || !findLayerGap(countCopies(engines, model.layers))) return;
  // No local repair suffices: all layers are distributed anew in the current order of the engines,
  // so that each engine keeps as many of its layers as possible.
  const movable = engines.filter(({ isOrderable }) => isOrderable);
  if (movable.length < engines.length) return;
  const firstHeldLayer = (engine: PlannedEngine) => engine.held?.first ?? model.layers;
  spreadLayers(
    [...movable].sort((a, b) => firstHeldLayer(a) - firstHeldLayer(b)),
    model,
  );
}

/** For each layer, the step factor of the fastest engine that holds it. */
function stepFactorByLayer(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
): readonly number[] {
  const factors = new Array<number>(model.layers).fill(Number.POSITIVE_INFINITY);
  engines.forEach(({ planned, stepFactor }) => {
    if (!planned) return;
    for (let layer = planned.first; layer < planned.end; layer += 1) {
      factors[layer] = Math.min(factors[layer] ?? stepFactor, stepFactor);
    }
  });
  return factors;
}

/**
 * Assigns to an empty engine the layers for which it reduces the step time most or, if it is not
 * faster than the current holders of any layer, second copies.
 */
function assignEmptyEngine(
  engines: readonly PlannedEngine[],
  empty: PlannedEngine,
  perLayerMb: number,
  model: ModelDescription,
): void {
  const length = Math.min(model.layers, Math.floor(empty.memoryMb / perLayerMb));
  if (length === 0) return;
  const gains = stepFactorByLayer(engines, model).map((factor) =>
    Math.max(0, factor - empty.stepFactor),
  );
  if (gains.some((gain) => gain > 0)) empty.planned = findBestRange(gains, length);
  else addSecondCopies(engines, empty, perLayerMb, model);
}

function isSameRange(a: Range | null, b: Range | null): boolean {
  return a?.first === b?.first && a?.end === b?.end;
}

/** Removes redundant layers from engines that hold more than their share. */
function trimExcessLayers(
  engines: readonly PlannedEngine[],
  memoryMb: number,
  model: ModelDescription,
): void {
  const copies = countCopies(engines, model.layers);
  engines.forEach((engine) => {
    if (!engine.isOrderable || !engine.planned || engine.held === null) return;
    const share = Math.floor(engine.memoryMb / memoryMb) + TRIM_SLACK;
    let { first, end } = engine.planned;
    while (end - first > share && (copies[end - 1] ?? 0) > 1) {
      end -= 1;
      copies[end] = (copies[end] ?? 0) - 1;
    }
    while (end - first > share && (copies[first] ?? 0) > 1) {
      copies[first] = (copies[first] ?? 0) - 1;
      first += 1;
    }
    engine.planned = { first, end };
  });
}

function improveLayout(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
  chains: number,
): void {
  // Waits for orders in progress: their effect is known before the next change is planned.
  if (engines.some(({ isOrderable }) => !isOrderable)) return;
  const emptyEngines = engines.filter(({ planned }) => planned === null);
  if (emptyEngines.length === 0 && chains > 1) return;
  const memoryMb =
    chains > 1 ? findMemoryPerLayer(engines, model, chains) : chooseMemoryPerLayer(engines, model);
  if (memoryMb === undefined) return;
  // Trims only a single chain: with several, every layer is held more than once by design.
  if (emptyEngines.length === 0) trimExcessLayers(engines, memoryMb, model);
  emptyEngines.forEach((empty) => assignEmptyEngine(engines, empty, memoryMb, model));
}

/** Fills gaps using only engines that hold no layers. */
function fillGapsWithEmptyEngines(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
): void {
  const hasEmpty = () => engines.some(({ planned, isOrderable }) => !planned && isOrderable);
  while (hasEmpty()) {
    const gap = findLayerGap(countCopies(engines, model.layers));
    if (!gap || !fillWithSpare(engines, gap, model)) return;
  }
}

interface RepairOptions {
  readonly chains: number;
  /** Whether engines that hold layers may receive a different range. */
  readonly mayMoveLayers: boolean;
}

/**
 * Repairs a broken chain next to complete ones, using its remaining engines and idle ones. Returns
 * whether the plan contains a repaired chain; otherwise the plan is unchanged.
 */
function repairBrokenChain(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
  { chains, mayMoveLayers }: RepairOptions,
): boolean {
  const { count, rest } = findCompleteChains(engines, model);
  const heldLayers = countCopies(rest, model.layers).filter((copies) => copies > 0).length;
  const isWorthwhile = count < chains || heldLayers >= model.layers * BROKEN_CHAIN_SHARE;
  if (!isWorthwhile || !canHoldAll(rest, model)) return false;
  const before = rest.map(({ planned }) => planned);
  if (mayMoveLayers) fillGaps(rest, model, { isStillServed: false });
  else fillGapsWithEmptyEngines(rest, model);
  if (findCompleteChains(rest, model).count > 0) return true;
  rest.forEach((engine, index) => {
    engine.planned = before[index] ?? null;
  });
  return false;
}

/** Whether the engines that still serve, including slow and leaving ones, cover every layer. */
function isServed(engines: readonly ObservedEngine[], model: ModelDescription): boolean {
  const layers = new Set<number>();
  engines.forEach(({ isServing, firstLayer, endLayer }) => {
    if (!isServing || firstLayer === null || endLayer === null) return;
    for (let layer = firstLayer; layer < endLayer; layer += 1) layers.add(layer);
  });
  return layers.size >= model.layers;
}

interface DataCentreOptions {
  readonly mayRebalance: boolean;
  readonly mayMoveLayers: boolean;
  readonly copies: CopyNeeds | null;
}

function rangeOf({ firstLayer, endLayer }: ObservedEngine): Range | null {
  return firstLayer === null || endLayer === null ? null : { first: firstLayer, end: endLayer };
}

function toCopyEngines(
  engines: readonly ObservedEngine[],
  model: ModelDescription,
): readonly CopyEngine[] {
  const kinds = new Map(model.kinds.map((kind) => [kind.name, kind]));
  return engines.flatMap((engine): CopyEngine[] => {
    const kind = kinds.get(engine.acceleratorKind);
    if (!kind || !engine.isReliable) return [];
    const { id, slots, isOrderable } = engine;
    const { isLoading = false, isMoving = false, isSettling = false } = engine;
    const held = rangeOf(engine);
    const { memoryMb, stepFactor, readFactor } = kind;
    const speed = { memoryMb, stepFactor, readFactor };
    const state = { isOrderable, isLoading, isMoving, isSettling };
    return [{ id, ...speed, slots, ...state, held, planned: held }];
  });
}

function listMissing(engines: readonly ObservedEngine[]): readonly MissingEngine[] {
  return engines
    .filter(({ isReliable }) => !isReliable)
    .map((engine) => ({
      held: rangeOf(engine),
      isServing: engine.isServing,
      isLeaving: engine.isLeaving ?? false,
    }));
}

/**
 * Repairs a broken chain as a whole when single moves do not suffice. Such a layout is discarded if
 * it would lower the bottleneck or, while single moves are due, not raise it.
 */
function repairWithoutLoss(
  engines: readonly CopyEngine[],
  model: ModelDescription,
  { isDue, ...options }: RepairOptions & { readonly isDue: boolean },
): boolean {
  const before = engines.map(({ planned }) => planned);
  const bottleneck = Math.min(...capacityByLayer(engines, model));
  if (!repairBrokenChain(engines, model, options)) return false;
  const after = Math.min(...capacityByLayer(engines, model));
  if (isDue ? after > bottleneck : after >= bottleneck) return true;
  engines.forEach((engine, index) => {
    engine.planned = before[index] ?? null;
  });
  return false;
}

/** Plans a data centre that holds every layer, after a loss or while demand is not met. */
function planByDemand(
  engines: readonly CopyEngine[],
  model: ModelDescription,
  chains: number,
  plan: CopyPlan,
  { mayRebalance, mayMoveLayers }: DataCentreOptions,
): void {
  if (plan.isBusy || plan.hasReserved) return;
  const { isDue, hasSlow } = plan;
  // Engines are slow for some seconds; unless demand calls for it, that is not worth a new layout.
  const mayRepair = mayMoveLayers && (isDue || !hasSlow);
  const isRepaired =
    mayRepair && repairWithoutLoss(engines, model, { chains, mayMoveLayers, isDue });
  if (!isRepaired && mayRebalance) improveLayout(engines, model, chains);
}

/** Whether a data centre has lost engines, or its capacity is below its demand. */
function needsCopies(
  engines: readonly CopyEngine[],
  missing: readonly MissingEngine[],
  model: ModelDescription,
  { copies, mayMoveLayers }: DataCentreOptions,
): boolean {
  if (!copies) return false;
  if (missing.length > 0 || !mayMoveLayers) return true;
  const { demand } = copies;
  return demand !== null && Math.min(...capacityByLayer(engines, model)) < demand;
}

function planDataCentre(
  engines: readonly ObservedEngine[],
  model: ModelDescription,
  options: DataCentreOptions,
): readonly PlacementOrder[] {
  const { mayRebalance, mayMoveLayers, copies } = options;
  const plannedEngines = toCopyEngines(engines, model);
  const missing = listMissing(engines);
  const chains = planChainCount(plannedEngines, model);
  const isIncomplete = findLayerGap(countCopies(plannedEngines, model.layers)) !== undefined;
  const isStillServed = isServed(engines, model);
  const moves = new Map<string, Omit<CopyMove, 'id'>>();
  if (plannedEngines.every(({ held }) => held === null)) {
    splitIntoChains(plannedEngines, chains).forEach((chain) => layOutChain(chain, model));
  } else if (isIncomplete) fillGaps(plannedEngines, model, { isStillServed });
  else if (copies && needsCopies(plannedEngines, missing, model, options)) {
    const { demand } = copies;
    const plan = planCopies(plannedEngines, model, { missing, demand, isLossFinal: mayMoveLayers });
    plan.moves.forEach(({ id, ...move }) => moves.set(id, move));
    planByDemand(plannedEngines, model, chains, plan, options);
  } else if (!repairBrokenChain(plannedEngines, model, { chains, mayMoveLayers }) && mayRebalance)
    improveLayout(plannedEngines, model, chains);
  return plannedEngines.flatMap(({ id, held, planned }) => {
    if (!planned || isSameRange(held, planned)) return [];
    const range = { firstLayer: planned.first, endLayer: planned.end };
    const move = moves.get(id);
    const isPreempting = isIncomplete && !isStillServed;
    return [{ id, ...range, isPreempting, ...(move ? { move } : {}) }];
  });
}

function groupByDataCentre(engines: readonly ObservedEngine[]): Map<string, ObservedEngine[]> {
  const groups = new Map<string, ObservedEngine[]>();
  engines.forEach((engine) => {
    groups.set(engine.dataCentre, [...(groups.get(engine.dataCentre) ?? []), engine]);
  });
  return groups;
}

/** What the copies of the layers of a data centre have to suffice for. */
export interface CopyNeeds {
  /** Requests for which capacity is needed; null when that is unknown. */
  readonly demand: number | null;
}

export interface PlacementOptions {
  /**
   * Whether the layout of a data centre that has all layers may be optimised. Every order
   * interrupts some requests, so the caller spaces these changes out.
   */
  readonly mayRebalance?: (dataCentre: string) => boolean;
  /**
   * Whether engines of a broken chain next to complete ones may be moved. Moved engines are
   * unavailable for longer than an engine that crashes and restarts; until then the chain borrows
   * an engine of another chain.
   */
  readonly mayMoveLayers?: (dataCentre: string) => boolean;
  /**
   * Needs that the copies of layers follow in a data centre that has lost engines or does not meet
   * its demand; null, the default, for layouts by whole chains only.
   */
  readonly copiesFor?: (dataCentre: string) => CopyNeeds | null;
}

/**
 * Plans the orders that make every data centre hold every layer, starting from the layers that its
 * engines hold now.
 */
export function planPlacement(
  engines: readonly ObservedEngine[],
  model: ModelDescription,
  {
    mayRebalance = () => true,
    mayMoveLayers = () => true,
    copiesFor = () => null,
  }: PlacementOptions = {},
): readonly PlacementOrder[] {
  return [...groupByDataCentre(engines)].flatMap(([dataCentre, group]) =>
    planDataCentre(group, model, {
      mayRebalance: mayRebalance(dataCentre),
      mayMoveLayers: mayMoveLayers(dataCentre),
      copies: copiesFor(dataCentre),
    }),
  );
}
