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
import { fillFromBeside, fillWithSpare, findHole } from './holeFilling';
import { countCopies, findMemoryPerLayer, lengthOf } from './layerSlots';
import type { Range, Slot } from './layerSlots';
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
