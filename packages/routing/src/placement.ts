/** Which engine is to hold which layers, inside each data centre. */
import type { AcceleratorKind, ModelDescription } from './routingDocument';

/** An engine as the planner sees it. */
export interface PlacedEngine {
  readonly id: string;
  readonly dataCentre: string;
  readonly acceleratorKind: string;
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

export interface PlacementOptions {
  /**
   * Memory set aside for each layer held, as a multiple of the layer itself; the rest of it
   * holds requests. 2,400 MB for a layer of 1,750 MB kept 150 requests without preemption.
   */
  readonly memoryPerLayer?: number;
}

const DEFAULT_MEMORY_PER_LAYER = 2400 / 1750;
/** What one more copy of a layer that has so many already counts for. */
const COPY_PENALTIES: readonly number[] = [0, 1, 4, 16, 64];

/** Layers that an engine is to hold, leaving room for requests. */
export function layerCapacity(
  kind: AcceleratorKind,
  { layers, layerMb }: ModelDescription,
  memoryPerLayer = DEFAULT_MEMORY_PER_LAYER,
): number {
  return Math.min(layers, Math.floor(kind.memoryMb / (layerMb * memoryPerLayer)));
}

function countCopies(engines: readonly PlacedEngine[], layers: number): number[] {
  const copies = new Array<number>(layers).fill(0);
  engines.forEach(({ firstLayer, endLayer, isReliable }) => {
    if (firstLayer === null || endLayer === null || !isReliable) return;
    for (let layer = firstLayer; layer < Math.min(endLayer, layers); layer += 1) {
      copies[layer] = (copies[layer] ?? 0) + 1;
    }
  });
  return copies;
}

function penaltyOf(copies: readonly number[], first: number, length: number): number {
  let penalty = 0;
  for (let layer = first; layer < first + length; layer += 1) {
    const count = Math.min(copies[layer] ?? 0, COPY_PENALTIES.length - 1);
    penalty += COPY_PENALTIES[count] ?? 0;
  }
  return penalty;
}

/** The window of layers with the fewest copies; the first one of equals. */
function scarcestWindow(copies: readonly number[], length: number): number {
  const firstHole = copies.indexOf(0);
  // A hole is filled from its beginning, so that the next engine goes on where this one ends.
  if (firstHole >= 0) return Math.min(firstHole, copies.length - length);
  let best = 0;
  let bestPenalty = Number.POSITIVE_INFINITY;
  for (let first = 0; first + length <= copies.length; first += 1) {
    const penalty = penaltyOf(copies, first, length);
    if (penalty < bestPenalty) {
      best = first;
      bestPenalty = penalty;
    }
  }
  return best;
}

function addCopies(copies: number[], { firstLayer, endLayer }: PlacementOrder, by: number): void {
  for (let layer = firstLayer; layer < endLayer; layer += 1) {
    copies[layer] = (copies[layer] ?? 0) + by;
  }
}

function isSpare(engine: PlacedEngine, copies: readonly number[]): boolean {
  const { firstLayer, endLayer } = engine;
  if (firstLayer === null || endLayer === null) return false;
  return copies.slice(firstLayer, endLayer).every((count) => count >= 2);
}

function planDataCentre(
  engines: readonly PlacedEngine[],
  model: ModelDescription,
  { memoryPerLayer }: PlacementOptions,
): readonly PlacementOrder[] {
  const kinds = new Map(model.kinds.map((kind) => [kind.name, kind]));
  const copies = countCopies(engines, model.layers);
  const capacityOf = ({ acceleratorKind }: PlacedEngine) => {
    const kind = kinds.get(acceleratorKind);
    return kind ? layerCapacity(kind, model, memoryPerLayer) : 0;
  };
  const speedOf = ({ acceleratorKind }: PlacedEngine) =>
    kinds.get(acceleratorKind)?.stepFactor ?? Number.POSITIVE_INFINITY;
  const orders: PlacementOrder[] = [];

  function place(engine: PlacedEngine): void {
    const length = capacityOf(engine);
    if (length === 0) return;
    const firstLayer = scarcestWindow(copies, length);
    const order = { id: engine.id, firstLayer, endLayer: firstLayer + length };
    addCopies(copies, order, 1);
    orders.push(order);
  }

  engines
    .filter(({ firstLayer }) => firstLayer === null)
    .filter(({ isOrderable, isReliable }) => isOrderable && isReliable)
    .sort((a, b) => speedOf(a) - speedOf(b) || capacityOf(b) - capacityOf(a))
    .forEach(place);

  // Holes that no empty engine can fill are filled by engines whose layers others hold too.
  engines
    .filter(({ isOrderable, isReliable }) => isOrderable && isReliable)
    .forEach((engine) => {
      if (!copies.includes(0) || !isSpare(engine, copies)) return;
      const { id, firstLayer, endLayer } = engine;
      if (firstLayer === null || endLayer === null) return;
      addCopies(copies, { id, firstLayer, endLayer }, -1);
      place(engine);
    });
  return orders;
}

function groupByDataCentre(engines: readonly PlacedEngine[]): Map<string, PlacedEngine[]> {
  const groups = new Map<string, PlacedEngine[]>();
  engines.forEach((engine) => {
    groups.set(engine.dataCentre, [...(groups.get(engine.dataCentre) ?? []), engine]);
  });
  return groups;
}

/**
 * Plans the fewest orders that bring every layer to every data centre, then second copies.
 * What engines hold already stays where it is unless a layer is missing.
 */
export function planPlacement(
  engines: readonly PlacedEngine[],
  model: ModelDescription,
  options: PlacementOptions = {},
): readonly PlacementOrder[] {
  return [...groupByDataCentre(engines).values()].flatMap((group) =>
    planDataCentre(group, model, options),
  );
}
