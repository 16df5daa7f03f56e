/**
 * Which engine is to hold which layers, inside each data centre.
 *
 * Memory that holds no layers holds requests, and one chain is as wide as its narrowest engine.
 * A second copy of a layer costs as much memory as two running requests, so layers are spread
 * thinly over all engines of a chain rather than doubled; a lost engine's part is taken over by
 * those that stand beside it. A data centre with the memory for it gets several chains of like
 * size (`planChainCount`). See docs/design/platform.md for what was measured.
 */
import { planChainCount, splitIntoChains } from './chainCount';
import type { ModelDescription } from './routingDocument';

/** An engine as the planner sees it. */
export interface PlacedEngine {
  readonly id: string;
  readonly dataCentre: string;
  readonly acceleratorKind: string;
  /** Requests that it takes as the first engine of a chain. */
  readonly slots: number;
  /** Layers held, or being loaded; null when there are none. */
  readonly firstLayer: number | null;
  readonly endLayer: number | null;
  /** Whether it can be given an order now: it is heard of and no order is under way. */
  readonly isOrderable: boolean;
  /** Whether its layers count: it is heard of, stays, and nobody suspects it. */
  readonly isReliable: boolean;
}

export interface PlacementOrder {
  readonly id: string;
  readonly firstLayer: number;
  readonly endLayer: number;
}

/** An engine with its memory, and the range that it holds or is to hold. */
interface Slot {
  readonly id: string;
  readonly memoryMb: number;
  readonly stepFactor: number;
  readonly slots: number;
  readonly isOrderable: boolean;
  readonly held: Range | null;
  planned: Range | null;
}

interface Range {
  readonly first: number;
  readonly end: number;
}

/** Least memory for each layer held, against the layer itself: the rest holds a few requests. */
const LEAST_MEMORY_PER_LAYER = 1.15;
/** With so much for each layer an engine holds half as many requests as others, and serves well. */
const GOOD_MEMORY_PER_LAYER = 1.4;
/** Widest share that is looked for, and the step of the search; finer steps change no range. */
const MOST_MEMORY_PER_LAYER = 8;
const SEARCH_STEP = 0.01;

const lengthOf = ({ first, end }: Range): number => end - first;

function fits(slot: Slot, layers: number, model: ModelDescription): boolean {
  return layers * model.layerMb * LEAST_MEMORY_PER_LAYER <= slot.memoryMb;
}

/** The most memory for each layer with which these engines together hold all layers, so often. */
function findMemoryPerLayer(
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

/** Spreads all layers over the engines, in the order given. */
function layOut(slots: readonly Slot[], model: ModelDescription): void {
  const memoryMb = findMemoryPerLayer(slots, model);
  if (memoryMb === undefined) return;
  let first = 0;
  slots.forEach((slot) => {
    const end = Math.min(model.layers, first + Math.floor(slot.memoryMb / memoryMb));
    slot.planned = end > first ? { first, end } : slot.held;
    first = end;
  });
}

function countCopies(slots: readonly Slot[], layers: number): number[] {
  const copies = new Array<number>(layers).fill(0);
  slots.forEach(({ planned }) => {
    if (!planned) return;
    for (let layer = planned.first; layer < Math.min(planned.end, layers); layer += 1) {
      copies[layer] = (copies[layer] ?? 0) + 1;
    }
  });
  return copies;
}

function findHole(copies: readonly number[]): Range | undefined {
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
function fillWithSpare(slots: readonly Slot[], hole: Range, model: ModelDescription): boolean {
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
 * many as are needed: each moves its borders a little, and loads only what it did not hold.
 */
function fillFromBeside(slots: readonly Slot[], hole: Range, model: ModelDescription): boolean {
  const before = listBeside(slots, hole.first, true);
  const after = listBeside(slots, hole.end, false);
  const layers = lengthOf(hole);
  for (let reach = 1; reach <= Math.max(before.length, after.length); reach += 1) {
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

function fillHoles(slots: readonly Slot[], model: ModelDescription): void {
  for (let tries = 0; tries < slots.length; tries += 1) {
    const hole = findHole(countCopies(slots, model.layers));
    if (!hole) return;
    const isFilled = fillWithSpare(slots, hole, model) || fillFromBeside(slots, hole, model);
    if (!isFilled) break;
  }
  if (!findHole(countCopies(slots, model.layers))) return;
  // Nothing smaller helps: all engines move on, each keeping what it can.
  const free = slots.filter(({ isOrderable }) => isOrderable);
  if (free.length < slots.length) return;
  const order = (slot: Slot) => slot.held?.first ?? model.layers;
  layOut(
    [...free].sort((a, b) => order(a) - order(b)),
    model,
  );
}

/** Memory for requests that the engines offer for each layer, in MB. */
function roomByLayer(slots: readonly Slot[], model: ModelDescription): readonly number[] {
  const room = new Array<number>(model.layers).fill(0);
  slots.forEach(({ planned, memoryMb }) => {
    if (!planned) return;
    const perLayer = memoryMb / lengthOf(planned) - model.layerMb;
    for (let layer = planned.first; layer < planned.end; layer += 1) {
      room[layer] = (room[layer] ?? 0) + perLayer;
    }
  });
  return room;
}

/** Gives an empty engine the part of the chain that has least room for requests. */
function relieve(slots: readonly Slot[], empty: Slot, memoryMb: number, model: ModelDescription) {
  const length = Math.min(model.layers, Math.floor(empty.memoryMb / memoryMb));
  if (length === 0) return;
  const room = roomByLayer(slots, model);
  let best = 0;
  let bestRoom = Number.POSITIVE_INFINITY;
  for (let first = 0; first + length <= model.layers; first += 1) {
    const sum = room.slice(first, first + length).reduce((total, value) => total + value, 0);
    if (sum < bestRoom) {
      bestRoom = sum;
      best = first;
    }
  }
  empty.planned = { first: best, end: best + length };
}

/** Takes layers that others hold too from engines that hold more than their share. */
function trim(slots: readonly Slot[], memoryMb: number, model: ModelDescription): void {
  const copies = countCopies(slots, model.layers);
  slots.forEach((slot) => {
    if (!slot.isOrderable || !slot.planned || slot.held === null) return;
    const share = Math.max(1, Math.floor(slot.memoryMb / memoryMb));
    let { first, end } = slot.planned;
    while (end - first > share && (copies[end - 1] ?? 0) > 1) {
      end -= 1;
      copies[end] = (copies[end] ?? 0) - 1;
    }
    while (end - first > share && (copies[first] ?? 0) > 1) {
      copies[first] = (copies[first] ?? 0) - 1;
      first += 1;
    }
    slot.planned = { first, end };
  });
}

function improve(slots: readonly Slot[], model: ModelDescription, chains: number): void {
  const memoryMb = findMemoryPerLayer(slots, model, chains);
  // One thing at a time: what is being loaded shows before the next step is decided.
  if (memoryMb === undefined || slots.some(({ isOrderable }) => !isOrderable)) return;
  const empties = slots.filter(({ planned }) => planned === null);
  // With several chains every layer is held more than once on purpose.
  if (empties.length === 0 && chains === 1) trim(slots, memoryMb, model);
  empties.forEach((empty) => relieve(slots, empty, memoryMb, model));
}

function isSame(a: Range | null, b: Range | null): boolean {
  return a?.first === b?.first && a?.end === b?.end;
}

function planDataCentre(
  engines: readonly PlacedEngine[],
  model: ModelDescription,
  mayImprove: boolean,
): readonly PlacementOrder[] {
  const kinds = new Map(model.kinds.map((kind) => [kind.name, kind]));
  const slots = engines.flatMap((engine): Slot[] => {
    const kind = kinds.get(engine.acceleratorKind);
    if (!kind || !engine.isReliable) return [];
    const { id, firstLayer, endLayer, isOrderable } = engine;
    const held =
      firstLayer === null || endLayer === null ? null : { first: firstLayer, end: endLayer };
    const { memoryMb, stepFactor } = kind;
    return [{ id, memoryMb, stepFactor, slots: engine.slots, isOrderable, held, planned: held }];
  });
  const chains = planChainCount(slots, model);
  if (slots.every(({ held }) => held === null)) {
    splitIntoChains(slots, chains).forEach((chain) => layOut(chain, model));
  } else if (findHole(countCopies(slots, model.layers))) fillHoles(slots, model);
  else if (mayImprove) improve(slots, model, chains);
  return slots.flatMap(({ id, held, planned }) =>
    planned && !isSame(held, planned)
      ? [{ id, firstLayer: planned.first, endLayer: planned.end }]
      : [],
  );
}

function groupByDataCentre(engines: readonly PlacedEngine[]): Map<string, PlacedEngine[]> {
  const groups = new Map<string, PlacedEngine[]>();
  engines.forEach((engine) => {
    groups.set(engine.dataCentre, [...(groups.get(engine.dataCentre) ?? []), engine]);
  });
  return groups;
}

export interface PlacementOptions {
  /**
   * Whether a data centre that has all layers may be ordered to spread them better: every order
   * sends some requests away for a moment, so that is not done right after the last one.
   */
  readonly mayImprove?: (dataCentre: string) => boolean;
}

/** Plans the orders that bring every layer to every data centre, from what is held now. */
export function planPlacement(
  engines: readonly PlacedEngine[],
  model: ModelDescription,
  { mayImprove = () => true }: PlacementOptions = {},
): readonly PlacementOrder[] {
  return [...groupByDataCentre(engines)].flatMap(([dataCentre, group]) =>
    planDataCentre(group, model, mayImprove(dataCentre)),
  );
}
