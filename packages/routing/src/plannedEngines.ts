/** Planning state of engines: the ranges they hold and receive, and what their memory allows. */
import type { ModelDescription } from './routingDocument';

/** An engine with its memory, the range that it holds, and the range that it is planned to hold. */
export interface PlannedEngine {
  readonly id: string;
  readonly memoryMb: number;
  readonly stepFactor: number;
  readonly readFactor: number;
  readonly slots: number;
  readonly isOrderable: boolean;
  readonly held: Range | null;
  planned: Range | null;
}

export interface Range {
  readonly first: number;
  readonly end: number;
}

/** Minimum memory per held layer, as a multiple of the layer size; the rest is for requests. */
const MIN_MEMORY_PER_LAYER = 1.15;
/**
 * Memory per held layer, as a multiple of the layer size, with which an engine still performs well:
 * it holds half as many requests as other engines.
 */
export const GOOD_MEMORY_PER_LAYER = 1.4;
/** Upper bound and step of the search for the memory per layer; a finer step changes no range. */
export const MAX_MEMORY_PER_LAYER = 8;
export const SEARCH_STEP = 0.01;

export const lengthOf = ({ first, end }: Range): number => end - first;

export function hasMemoryFor(
  engine: PlannedEngine,
  layers: number,
  model: ModelDescription,
): boolean {
  return layers * model.layerMb * MIN_MEMORY_PER_LAYER <= engine.memoryMb;
}

/**
 * Finds the largest memory per layer, in MB, with which the engines together hold the given number
 * of copies of all layers; undefined when their memory is insufficient.
 */
export function findMemoryPerLayer(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
  copies = 1,
): number | undefined {
  for (let factor = MAX_MEMORY_PER_LAYER; factor >= MIN_MEMORY_PER_LAYER; factor -= SEARCH_STEP) {
    const memoryMb = model.layerMb * factor;
    const layers = engines.reduce((sum, engine) => sum + Math.floor(engine.memoryMb / memoryMb), 0);
    if (layers >= model.layers * copies) return memoryMb;
  }
  return undefined;
}

export function countCopies(engines: readonly PlannedEngine[], layers: number): number[] {
  const copies = new Array<number>(layers).fill(0);
  engines.forEach(({ planned }) => {
    if (!planned) return;
    for (let layer = planned.first; layer < Math.min(planned.end, layers); layer += 1) {
      copies[layer] = (copies[layer] ?? 0) + 1;
    }
  });
  return copies;
}
