/**
 * Computes what the engines of a path can still take, where several chains may run over the same
 * engine.
 *
 * After three chains of a data centre have each lost one engine, every layer still has two holders,
 * but no two chains are disjoint. A partition of the memory gives a shared engine to the first
 * chain and leaves the others nothing, so a third of the capacity is used. Comparing the load of
 * each engine with its own memory lets all chains serve until the least-held layers are full.
 *
 * Loads and capacities of engines are in usual requests times layers, because the cache memory of a
 * request is proportional to the layers that an engine runs for it.
 */
import { requestMemoryMb } from './chainCount';
import type { CapacityEngine } from './chainCapacity';
import type { ModelDescription } from './routingDocument';
import type { PathStage } from './stagePath';

/** What an engine can hold. */
export interface EngineRoom {
  /** Memory beside the weights, in requests of usual size times layers. */
  readonly capacity: number;
  /** Maximum number of concurrent requests as the first engine of a path. */
  readonly slots: number;
}

export type EngineRooms = ReadonlyMap<string, EngineRoom>;

/** The load on a path, and the share of its capacity that may be used. */
export interface PathUse {
  /** Load of an engine in requests of usual size times layers. */
  readonly loadOf: (engineId: string) => number;
  /** Total size of the requests whose first engine is that of the path. */
  readonly headSize: number;
  /** From 0 to 1. */
  readonly share: number;
}

const NO_ROOM: EngineRoom = { capacity: 0, slots: 0 };
/** Loads are sums of fractions; differences below this are rounding errors. */
const ROUNDING = 1e-9;
/** Steps in which the largest path is filled; eight times as many change the result by a tenth. */
const JOINT_STEPS = 32;

export function toEngineRooms(
  engines: readonly CapacityEngine[],
  model: ModelDescription,
): EngineRooms {
  const perRequestLayerMb = requestMemoryMb(model) / model.layers;
  return new Map(
    engines.map(({ id, acceleratorKind, heldLayers, slots }) => {
      const kind = model.kinds.find(({ name }) => name === acceleratorKind);
      const freeMb = Math.max(0, (kind?.memoryMb ?? 0) - heldLayers * model.layerMb);
      return [id, { capacity: freeMb / perRequestLayerMb, slots }];
    }),
  );
}

/**
 * Returns the total size of the requests that a path can still take: the minimum over its stages of
 * the free memory, and the free slots of the first engine. Negative on an overfilled path.
 */
export function freeRequests(
  stages: readonly PathStage[],
  rooms: EngineRooms,
  { loadOf, headSize, share }: PathUse,
): number {
  const head = rooms.get(stages[0]?.id ?? '') ?? NO_ROOM;
  let free = head.slots * share - headSize;
  for (const { id, firstLayer, endLayer } of stages) {
    const { capacity } = rooms.get(id) ?? NO_ROOM;
    free = Math.min(free, (capacity * share - loadOf(id)) / (endLayer - firstLayer));
  }
  return free + ROUNDING;
}

/** Returns the highest used share of the memory of a path's engines and of its head's slots. */
export function usedShare(
  stages: readonly PathStage[],
  rooms: EngineRooms,
  { loadOf, headSize }: Omit<PathUse, 'share'>,
): number {
  const head = rooms.get(stages[0]?.id ?? '') ?? NO_ROOM;
  let used = headSize / Math.max(1, head.slots);
  for (const { id } of stages) {
    const { capacity } = rooms.get(id) ?? NO_ROOM;
    used = Math.max(used, loadOf(id) / Math.max(1, capacity));
  }
  return used;
}

/**
 * Returns the requests of usual size that all paths together can take when each request goes to the
 * path with the most room. The least-held layer limits this. Dividing the memory of each engine
 * evenly over the layers that it holds would not do: paths use a shared engine for some of its
 * layers only, so that figure is up to 40 % too low.
 */
export function jointCapacity(
  paths: readonly (readonly PathStage[])[],
  rooms: EngineRooms,
): number {
  const loads = new Map<string, number>();
  const sizes = new Map<string, number>();
  const loadOf = (id: string) => loads.get(id) ?? 0;
  const useOf = (stages: readonly PathStage[]) => ({
    loadOf,
    headSize: sizes.get(stages[0]?.id ?? '') ?? 0,
    share: 1,
  });
  const largest = Math.max(0, ...paths.map((stages) => freeRequests(stages, rooms, useOf(stages))));
  const step = Math.max(1, largest / JOINT_STEPS);
  let total = 0;
  for (;;) {
    let best: readonly PathStage[] | undefined;
    let bestShare = Number.POSITIVE_INFINITY;
    for (const stages of paths) {
      const share = usedShare(stages, rooms, useOf(stages));
      if (share < bestShare && freeRequests(stages, rooms, useOf(stages)) >= step) {
        best = stages;
        bestShare = share;
      }
    }
    if (!best) return total;
    const headId = best[0]?.id ?? '';
    sizes.set(headId, (sizes.get(headId) ?? 0) + step);
    best.forEach(({ id, firstLayer, endLayer }) =>
      loads.set(id, loadOf(id) + step * (endLayer - firstLayer)),
    );
    total += step;
  }
}
