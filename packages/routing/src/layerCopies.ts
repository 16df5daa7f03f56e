/**
 * Computes how many requests the holders of each layer of a data centre can take together.
 *
 * Every request passes every layer, so the capacity of a data centre is that of its bottleneck, the
 * layer whose holders can take the fewest requests. When engines of several chains are lost, each
 * layer may still have holders although hardly any chain is complete, and the number of complete
 * chains says little about the capacity.
 */
import { requestMemoryMb } from './chainCount';
import { lengthOf } from './plannedEngines';
import type { Range } from './plannedEngines';
import type { ModelDescription } from './routingDocument';

/** An engine and the layers that it holds. */
export interface LayerHolder {
  readonly memoryMb: number;
  /** Maximum number of concurrent requests as the first engine of a chain. */
  readonly slots: number;
  /** Null for an empty engine. */
  readonly planned: Range | null;
}

/** Requests of usual size that an engine can take if it holds the given layers. */
export function countRequests(
  { memoryMb, slots }: Pick<LayerHolder, 'memoryMb' | 'slots'>,
  range: Range,
  model: ModelDescription,
): number {
  const length = lengthOf(range);
  if (length <= 0) return 0;
  const freeMb = memoryMb - length * model.layerMb;
  const byMemory = Math.max(0, (freeMb * model.layers) / (length * requestMemoryMb(model)));
  return range.first === 0 ? Math.min(slots, byMemory) : byMemory;
}

/** Requests of usual size that the holders of each layer can take together. */
export function capacityByLayer(
  holders: readonly LayerHolder[],
  model: ModelDescription,
): number[] {
  const capacities = new Array<number>(model.layers).fill(0);
  holders.forEach((holder) => {
    if (!holder.planned) return;
    const requests = countRequests(holder, holder.planned, model);
    const end = Math.min(holder.planned.end, model.layers);
    for (let layer = holder.planned.first; layer < end; layer += 1) {
      capacities[layer] = (capacities[layer] ?? 0) + requests;
    }
  });
  return capacities;
}

/**
 * Requests that the engines could take if their present free memory were spread evenly over all
 * layers: the mean capacity of a layer.
 */
export function findEvenCapacity(capacities: readonly number[]): number {
  return capacities.reduce((sum, requests) => sum + requests, 0) / Math.max(1, capacities.length);
}

/** Finds the maximal ranges of layers whose capacity is below a limit. */
export function findLowRanges(capacities: readonly number[], limit: number): readonly Range[] {
  const ranges: Range[] = [];
  let first = -1;
  capacities.forEach((requests, layer) => {
    if (requests < limit && first < 0) first = layer;
    if (requests >= limit && first >= 0) {
      ranges.push({ first, end: layer });
      first = -1;
    }
  });
  if (first >= 0) ranges.push({ first, end: capacities.length });
  return ranges;
}
