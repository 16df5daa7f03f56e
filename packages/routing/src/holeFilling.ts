/** Fills a gap, a range of layers that no engine of a data centre holds, with the fewest loads. */
import {
  countCopies,
  hasMemoryFor,
  GOOD_MEMORY_PER_LAYER,
  lengthOf,
  MAX_MEMORY_PER_LAYER,
  SEARCH_STEP,
} from './plannedEngines';
import type { Range, PlannedEngine } from './plannedEngines';
import type { ModelDescription } from './routingDocument';

/** Finds the first range of layers without a copy. */
export function findLayerGap(copies: readonly number[]): Range | undefined {
  const first = copies.indexOf(0);
  if (first < 0) return undefined;
  const next = copies.findIndex((count, layer) => layer > first && count > 0);
  return { first, end: next < 0 ? copies.length : next };
}

/** Whether every layer of this engine has another copy. */
function isSpare({ planned }: PlannedEngine, copies: readonly number[]): boolean {
  return planned === null || copies.slice(planned.first, planned.end).every((count) => count > 1);
}

const countPlannedLayers = ({ planned }: PlannedEngine): number =>
  planned ? lengthOf(planned) : 0;

/** Assigns a gap to an engine whose own layers are redundant. */
export function fillWithSpare(
  engines: readonly PlannedEngine[],
  gap: Range,
  model: ModelDescription,
): boolean {
  const copies = countCopies(engines, model.layers);
  const spare = engines
    .filter(
      (engine) => engine.isOrderable && isSpare(engine, copies) && hasMemoryFor(engine, 1, model),
    )
    .sort(
      (a, b) => countPlannedLayers(a) - countPlannedLayers(b) || a.stepFactor - b.stepFactor,
    )[0];
  if (!spare) return false;
  const maxLayers = Math.max(
    1,
    Math.floor(spare.memoryMb / (model.layerMb * GOOD_MEMORY_PER_LAYER)),
  );
  spare.planned = { first: gap.first, end: Math.min(gap.end, gap.first + maxLayers) };
  return true;
}

/** Engines with consecutive ranges on one side of a gap, the nearest first. */
function listNeighbours(
  engines: readonly PlannedEngine[],
  holeEdge: number,
  isBefore: boolean,
): readonly PlannedEngine[] {
  const found: PlannedEngine[] = [];
  let border = holeEdge;
  for (;;) {
    const from = border;
    const next = engines.find(({ planned, isOrderable }) => {
      const edge = isBefore ? planned?.end : planned?.first;
      return isOrderable && edge === from;
    });
    if (!next?.planned || found.includes(next)) return found;
    found.push(next);
    border = isBefore ? next.planned.first : next.planned.end;
  }
}

/** Layers that an engine can hold in addition to its own, with the given memory per layer. */
function countSpareLayers({ planned, memoryMb }: PlannedEngine, perLayerMb: number): number {
  return Math.max(0, Math.floor(memoryMb / perLayerMb) - (planned ? lengthOf(planned) : 0));
}

/**
 * Finds the largest memory per layer, in MB, with which these engines can take over the given
 * number of layers; undefined when they cannot.
 */
function findMemoryForGap(
  engines: readonly PlannedEngine[],
  layers: number,
  model: ModelDescription,
): number | undefined {
  const minPerLayerMb = model.layerMb * GOOD_MEMORY_PER_LAYER;
  for (
    let perLayerMb = model.layerMb * MAX_MEMORY_PER_LAYER;
    perLayerMb >= minPerLayerMb;
    perLayerMb -= minPerLayerMb * SEARCH_STEP
  ) {
    if (engines.reduce((sum, engine) => sum + countSpareLayers(engine, perLayerMb), 0) >= layers)
      return perLayerMb;
  }
  return undefined;
}

/** Shifts the ranges on one side of a gap towards it by the layers that each engine takes over. */
function shiftBorders(
  neighbours: readonly PlannedEngine[],
  gap: Range,
  layersToTake: number,
  isBefore: boolean,
  perLayerMb: number,
) {
  let left = layersToTake;
  let border = isBefore ? gap.first + layersToTake : gap.end - layersToTake;
  for (const engine of neighbours) {
    if (left === 0 || !engine.planned) return;
    const extra = Math.min(left, countSpareLayers(engine, perLayerMb));
    const length = lengthOf(engine.planned) + extra;
    left -= extra;
    engine.planned = isBefore
      ? { first: border - length, end: border }
      : { first: border, end: border + length };
    border = isBefore ? border - length : border + length;
  }
}

/**
 * Extends the ranges of engines on both sides of a gap until they cover it, using the nearest
 * engines and only as many as necessary. Each engine loads only layers that it did not hold. With
 * a `maxReach` of 1, every engine keeps the layers that it holds.
 */
export function fillFromNeighbours(
  engines: readonly PlannedEngine[],
  gap: Range,
  model: ModelDescription,
  maxReach: number,
): boolean {
  const before = listNeighbours(engines, gap.first, true);
  const after = listNeighbours(engines, gap.end, false);
  const layers = lengthOf(gap);
  const farthest = Math.min(maxReach, Math.max(before.length, after.length));
  for (let reach = 1; reach <= farthest; reach += 1) {
    const nearBefore = before.slice(0, reach);
    const nearAfter = after.slice(0, reach);
    const perLayerMb = findMemoryForGap([...nearBefore, ...nearAfter], layers, model);
    if (perLayerMb !== undefined) {
      const maxAfter = nearAfter.reduce(
        (sum, engine) => sum + countSpareLayers(engine, perLayerMb),
        0,
      );
      const maxBefore = nearBefore.reduce(
        (sum, engine) => sum + countSpareLayers(engine, perLayerMb),
        0,
      );
      const share = Math.round((layers * maxBefore) / (maxBefore + maxAfter));
      const takenBefore = Math.min(maxBefore, Math.max(share, layers - maxAfter));
      shiftBorders(nearBefore, gap, takenBefore, true, perLayerMb);
      shiftBorders(nearAfter, gap, layers - takenBefore, false, perLayerMb);
      return true;
    }
  }
  return false;
}
