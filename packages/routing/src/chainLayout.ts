/**
 * Distributes the layers of one chain over its engines.
 *
 * An answer occupies memory and batch capacity for as long as it runs, and can be lost with an
 * engine or a VM during that time. Spreading the layers evenly over all engines maximises the
 * number of concurrent requests, but puts half of the layers on the slowest kind and doubles the
 * time of an answer. The fastest engines therefore hold as many layers as leave memory for the
 * requests that the chain needs in flight, and no more engines are used than necessary. The
 * remaining engines hold second copies of layers, which take over when an engine is lost.
 */
import { requestMemoryMb } from './chainCount';
import { estimateChainSpeed } from './chainSpeed';
import type { ChainPart } from './chainSpeed';
import { countCopies, findMemoryPerLayer, lengthOf } from './plannedEngines';
import type { Range, PlannedEngine } from './plannedEngines';
import type { ModelDescription } from './routingDocument';

/**
 * Share of the best throughput that a layout must reach. Higher values have diminishing returns in
 * throughput and lengthen each answer; lower values cause refusals while engines are lost.
 */
const THROUGHPUT_SHARE = 0.96;
/** A chain with fewer requests in flight does not justify the memory of its weights. */
const MIN_REQUESTS = 8;
/** Step of the search; it corresponds to about one layer on an engine. */
const REQUESTS_STEP = 4;

const bySpeed = (a: PlannedEngine, b: PlannedEngine): number => a.stepFactor - b.stepFactor;

/** Memory for one layer and the cache that the requests keep for it, in MB. */
function memoryPerLayerMb(requests: number, model: ModelDescription): number {
  return model.layerMb + (requests * requestMemoryMb(model)) / model.layers;
}

/** Layers of each engine, in the given order; undefined when the memory is insufficient. */
function distributeLayers(
  engines: readonly PlannedEngine[],
  perLayerMb: number,
  model: ModelDescription,
): readonly number[] | undefined {
  let remaining = model.layers;
  const counts = engines.map(({ memoryMb }) => {
    const count = Math.min(remaining, Math.floor(memoryMb / perLayerMb));
    remaining -= count;
    return count;
  });
  return remaining === 0 ? counts : undefined;
}

function toParts(
  engines: readonly PlannedEngine[],
  counts: readonly number[],
): readonly ChainPart[] {
  return engines.flatMap(({ stepFactor, readFactor }, index) => {
    const layers = counts[index] ?? 0;
    return layers > 0 ? [{ layers, stepFactor, readFactor }] : [];
  });
}

/**
 * Chooses the memory per layer that gives the fastest chain among those that reach
 * `THROUGHPUT_SHARE` of the best throughput; undefined when the engines cannot hold all layers.
 */
export function chooseMemoryPerLayer(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
): number | undefined {
  const ordered = [...engines].sort(bySpeed);
  const maxRequests = Math.max(MIN_REQUESTS, ordered[0]?.slots ?? 0);
  const layouts: { readonly perLayerMb: number; readonly requestsPerS: number }[] = [];
  for (let requests = MIN_REQUESTS; requests <= maxRequests; requests += REQUESTS_STEP) {
    const perLayerMb = memoryPerLayerMb(requests, model);
    const counts = distributeLayers(ordered, perLayerMb, model);
    if (!counts) break;
    const { requestsPerS } = estimateChainSpeed(toParts(ordered, counts), requests, model);
    layouts.push({ perLayerMb, requestsPerS });
  }
  const bestPerS = Math.max(0, ...layouts.map(({ requestsPerS }) => requestsPerS));
  const chosen = layouts.find(({ requestsPerS }) => requestsPerS >= bestPerS * THROUGHPUT_SHARE);
  return chosen?.perLayerMb ?? findMemoryPerLayer(engines, model);
}

/** Assigns consecutive layers to the engines in the given order, as many as fit on each. */
export function layOutInOrder(
  engines: readonly PlannedEngine[],
  perLayerMb: number,
  model: ModelDescription,
): void {
  let first = 0;
  engines.forEach((engine) => {
    const end = Math.min(model.layers, first + Math.floor(engine.memoryMb / perLayerMb));
    engine.planned = end > first ? { first, end } : null;
    first = end;
  });
}

/**
 * Value of a second copy of each layer. All engines are equally likely to be lost, and the loss of
 * one is covered only when all of its layers have copies. A layer therefore counts more the fewer
 * layers its engine holds.
 */
function valueOfSecondCopies(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
): readonly number[] {
  const copies = countCopies(engines, model.layers);
  const values = new Array<number>(model.layers).fill(0);
  engines.forEach(({ planned }) => {
    if (!planned) return;
    for (let layer = planned.first; layer < planned.end; layer += 1) {
      if (copies[layer] === 1) values[layer] = 1 / lengthOf(planned);
    }
  });
  return values;
}

/** Finds the range of the given length with the greatest sum of values. */
export function findBestRange(values: readonly number[], length: number): Range {
  const sumOf = (first: number) =>
    values.slice(first, first + length).reduce((sum, value) => sum + value, 0);
  let best = 0;
  let bestSum = Number.NEGATIVE_INFINITY;
  for (let first = 0; first + length <= values.length; first += 1) {
    const sum = sumOf(first);
    if (sum > bestSum) {
      bestSum = sum;
      best = first;
    }
  }
  return { first: best, end: best + length };
}

/** Assigns the most valuable second copies to an engine that the chain does not need. */
export function addSecondCopies(
  engines: readonly PlannedEngine[],
  spare: PlannedEngine,
  perLayerMb: number,
  model: ModelDescription,
): void {
  const length = Math.min(model.layers, Math.floor(spare.memoryMb / perLayerMb));
  if (length === 0) return;
  spare.planned = findBestRange(valueOfSecondCopies(engines, model), length);
}

/** Lays out one chain over empty engines, the fastest first. */
export function layOutChain(engines: readonly PlannedEngine[], model: ModelDescription): void {
  const perLayerMb = chooseMemoryPerLayer(engines, model);
  if (perLayerMb === undefined) return;
  const ordered = [...engines].sort(bySpeed);
  layOutInOrder(ordered, perLayerMb, model);
  ordered
    .filter(({ planned }) => planned === null)
    .forEach((spare) => addSecondCopies(engines, spare, perLayerMb, model));
}
