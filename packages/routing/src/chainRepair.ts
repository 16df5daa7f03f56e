/** Restores missing layers and broken chains with new ranges for the engines around them. */
import { layOutInOrder } from './chainLayout';
import { fillFromNeighbours, fillWithSpare, findLayerGap } from './holeFilling';
import { capacityByLayer } from './layerCopies';
import { countCopies, findMemoryPerLayer, GOOD_MEMORY_PER_LAYER } from './plannedEngines';
import type { PlannedEngine } from './plannedEngines';
import type { ModelDescription } from './routingDocument';
import { findCompleteChains } from './wholeChains';
import type { CompleteChains } from './wholeChains';

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

export interface GapOptions {
  /**
   * Whether leaving or slow engines still serve the missing layers. If so, no order may remove the
   * last copy of a layer.
   */
  readonly isStillServed: boolean;
}

export function fillGaps(
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

export interface RepairOptions {
  readonly chains: number;
  /** Whether engines that hold layers may receive a different range. */
  readonly mayMoveLayers: boolean;
  /** The complete chains, if they are known; found here otherwise. */
  readonly complete?: CompleteChains;
}

/**
 * Repairs a broken chain next to complete ones, using its remaining engines and idle ones. Returns
 * whether the plan contains a repaired chain; otherwise the plan is unchanged.
 */
export function repairBrokenChain(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
  { chains, mayMoveLayers, complete }: RepairOptions,
): boolean {
  const { count, rest } = complete ?? findCompleteChains(engines, model);
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

/**
 * Repairs a broken chain as a whole when single moves do not suffice. Such a layout is discarded if
 * it would lower the bottleneck or, while single moves are due, not raise it.
 */
export function repairWithoutLoss(
  engines: readonly PlannedEngine[],
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
