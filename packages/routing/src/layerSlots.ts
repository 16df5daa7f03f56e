/** Engines as the planner moves layers between them, and what their memory allows. */
import type { ModelDescription } from './routingDocument';

/** An engine with its memory, and the range that it holds or is to hold. */
export interface Slot {
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

/** Least memory for each layer held, against the layer itself: the rest holds a few requests. */
const LEAST_MEMORY_PER_LAYER = 1.15;
/** With so much for each layer an engine holds half as many requests as others, and serves well. */
export const GOOD_MEMORY_PER_LAYER = 1.4;
/** Widest share that is looked for, and the step of the search; finer steps change no range. */
export const MOST_MEMORY_PER_LAYER = 8;
export const SEARCH_STEP = 0.01;

export const lengthOf = ({ first, end }: Range): number => end - first;

export function fits(slot: Slot, layers: number, model: ModelDescription): boolean {
  return layers * model.layerMb * LEAST_MEMORY_PER_LAYER <= slot.memoryMb;
}

/** The most memory for each layer with which these engines together hold all layers, so often. */
export function findMemoryPerLayer(
  slots: readonly Slot[],
  model: ModelDescription,
  copies = 1,
): number | undefined {
  for (
    let factor = MOST_MEMORY_PER_LAYER;
    factor >= LEAST_MEMORY_PER_LAYER;
    factor -= SEARCH_STEP
  ) {
    const memoryMb = model.layerMb * factor;
    const layers = slots.reduce((sum, slot) => sum + Math.floor(slot.memoryMb / memoryMb), 0);
    if (layers >= model.layers * copies) return memoryMb;
  }
  return undefined;
}

export function countCopies(slots: readonly Slot[], layers: number): number[] {
  const copies = new Array<number>(layers).fill(0);
  slots.forEach(({ planned }) => {
    if (!planned) return;
    for (let layer = planned.first; layer < Math.min(planned.end, layers); layer += 1) {
      copies[layer] = (copies[layer] ?? 0) + 1;
    }
  });
  return copies;
}
