/**
 * Plans which engine holds which layers, separately for each data centre.
 *
 * Each chain is laid out for low latency (`layOutChain`); engines that it does not need hold second
 * copies of layers. When an engine is lost, its layers are covered by these copies or taken over by
 * the engines with adjacent ranges. A data centre with enough memory gets several chains of similar
 * size (`planChainCount`).
 */
import { planChainCount, splitIntoChains } from './chainCount';
import { layOutChain } from './chainLayout';
import { fillGaps, repairBrokenChain, repairWithoutLoss } from './chainRepair';
import { planCopies } from './copyPlan';
import type { CopyEngine, CopyMove, CopyPlan, MissingEngine } from './copyPlan';
import { findLayerGap } from './holeFilling';
import { capacityByLayer } from './layerCopies';
import { improveLayout } from './layoutImprovement';
import { countCopies } from './plannedEngines';
import type { Range } from './plannedEngines';
import type { ModelDescription } from './routingDocument';

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

function isSameRange(a: Range | null, b: Range | null): boolean {
  return a?.first === b?.first && a?.end === b?.end;
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

/** Plans a data centre that holds every layer, after a loss or while demand is not met. */
function planByDemand(
  engines: readonly CopyEngine[],
  model: ModelDescription,
  chains: number,
  plan: CopyPlan,
  { mayRebalance, mayMoveLayers, copies }: DataCentreOptions,
): void {
  if (plan.isBusy || plan.hasReserved) return;
  const { isReplacing, complete } = plan;
  // Without a known demand nothing shows that the remaining chains suffice, so a broken one is
  // repaired also where this does not raise the bottleneck.
  const isDemandKnown = copies?.demand !== null;
  const isDue = plan.isDue && isDemandKnown;
  // A new layout takes ten engines out for seconds. That is not worth it while demand is met, and
  // not while engines are replaced, as the next ones of the chain are about to leave.
  const mayRepair = mayMoveLayers && (isDue || !isDemandKnown) && !isReplacing;
  const isRepaired =
    mayRepair &&
    repairWithoutLoss(engines, model, {
      chains,
      mayMoveLayers,
      isDue,
      ...(complete ? { complete } : {}),
    });
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
