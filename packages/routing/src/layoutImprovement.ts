/** Improves the layout of a data centre that holds every layer: empty engines, redundant layers. */
import { addSecondCopies, chooseMemoryPerLayer, findBestRange } from './chainLayout';
import { countCopies, findMemoryPerLayer } from './plannedEngines';
import type { PlannedEngine } from './plannedEngines';
import type { ModelDescription } from './routingDocument';

/** Excess layers that are tolerated: a layer costs a few requests, an order to drop it more. */
const TRIM_SLACK = 1;

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

export function improveLayout(
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
