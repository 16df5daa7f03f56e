/** How a hole in the layers of a data centre is filled with the fewest loads. */
import {
  countCopies,
  fits,
  GOOD_MEMORY_PER_LAYER,
  lengthOf,
  MOST_MEMORY_PER_LAYER,
  SEARCH_STEP,
} from './layerSlots';
import type { Range, Slot } from './layerSlots';
import type { ModelDescription } from './routingDocument';

export function findHole(copies: readonly number[]): Range | undefined {
  const first = copies.indexOf(0);
  if (first < 0) return undefined;
  const next = copies.findIndex((count, layer) => layer > first && count > 0);
  return { first, end: next < 0 ? copies.length : next };
}

/** Whether others hold every layer of this engine too. */
function isSpare({ planned }: Slot, copies: readonly number[]): boolean {
  return planned === null || copies.slice(planned.first, planned.end).every((count) => count > 1);
}

const heldLayers = ({ planned }: Slot): number => (planned ? lengthOf(planned) : 0);

/** Puts an engine that is not needed where it is into a hole. */
export function fillWithSpare(
  slots: readonly Slot[],
  hole: Range,
  model: ModelDescription,
): boolean {
  const copies = countCopies(slots, model.layers);
  const spare = slots
    .filter((slot) => slot.isOrderable && isSpare(slot, copies) && fits(slot, 1, model))
    .sort((a, b) => heldLayers(a) - heldLayers(b) || a.stepFactor - b.stepFactor)[0];
  if (!spare) return false;
  const most = Math.max(1, Math.floor(spare.memoryMb / (model.layerMb * GOOD_MEMORY_PER_LAYER)));
  spare.planned = { first: hole.first, end: Math.min(hole.end, hole.first + most) };
  return true;
}

/** Engines that follow each other on one side of a hole, the nearest first. */
function listBeside(slots: readonly Slot[], place: number, isBefore: boolean): readonly Slot[] {
  const found: Slot[] = [];
  let at = place;
  for (;;) {
    const from = at;
    const next = slots.find(({ planned, isOrderable }) => {
      const edge = isBefore ? planned?.end : planned?.first;
      return isOrderable && edge === from;
    });
    if (!next?.planned || found.includes(next)) return found;
    found.push(next);
    at = isBefore ? next.planned.first : next.planned.end;
  }
}

/** Layers that an engine can take on top of its own, at so much memory for each. */
function spareLayers({ planned, memoryMb }: Slot, memoryPerLayerMb: number): number {
  return Math.max(0, Math.floor(memoryMb / memoryPerLayerMb) - (planned ? lengthOf(planned) : 0));
}

/** How much memory for each layer is left when these engines take over so many layers. */
function findSharedMemory(
  slots: readonly Slot[],
  layers: number,
  model: ModelDescription,
): number | undefined {
  const leastMb = model.layerMb * GOOD_MEMORY_PER_LAYER;
  for (let mb = model.layerMb * MOST_MEMORY_PER_LAYER; mb >= leastMb; mb -= leastMb * SEARCH_STEP) {
    if (slots.reduce((sum, slot) => sum + spareLayers(slot, mb), 0) >= layers) return mb;
  }
  return undefined;
}

/** Moves the borders on one side of a hole towards it, by what each engine takes over. */
function shiftBorders(
  beside: readonly Slot[],
  hole: Range,
  taken: number,
  isBefore: boolean,
  mb: number,
) {
  let left = taken;
  let border = isBefore ? hole.first + taken : hole.end - taken;
  for (const slot of beside) {
    if (left === 0 || !slot.planned) return;
    const extra = Math.min(left, spareLayers(slot, mb));
    const length = lengthOf(slot.planned) + extra;
    left -= extra;
    slot.planned = isBefore
      ? { first: border - length, end: border }
      : { first: border, end: border + length };
    border = isBefore ? border - length : border + length;
  }
}

/**
 * Lets engines on both sides of a hole take over its layers, the nearest ones first and only as
 * many as are needed: each moves its borders a little, and loads only what it did not hold. With
 * a reach of 1 no layer leaves an engine that holds it.
 */
export function fillFromBeside(
  slots: readonly Slot[],
  hole: Range,
  model: ModelDescription,
  mostReach: number,
): boolean {
  const before = listBeside(slots, hole.first, true);
  const after = listBeside(slots, hole.end, false);
  const layers = lengthOf(hole);
  const farthest = Math.min(mostReach, Math.max(before.length, after.length));
  for (let reach = 1; reach <= farthest; reach += 1) {
    const nearBefore = before.slice(0, reach);
    const nearAfter = after.slice(0, reach);
    const mb = findSharedMemory([...nearBefore, ...nearAfter], layers, model);
    if (mb !== undefined) {
      const mostAfter = nearAfter.reduce((sum, slot) => sum + spareLayers(slot, mb), 0);
      const mostBefore = nearBefore.reduce((sum, slot) => sum + spareLayers(slot, mb), 0);
      const share = Math.round((layers * mostBefore) / (mostBefore + mostAfter));
      const takenBefore = Math.min(mostBefore, Math.max(share, layers - mostAfter));
      shiftBorders(nearBefore, hole, takenBefore, true, mb);
      shiftBorders(nearAfter, hole, layers - takenBefore, false, mb);
      return true;
    }
  }
  return false;
}
