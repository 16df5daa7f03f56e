/**
 * Plans several paths for each head where chains share engines, so that the load of all heads
 * together spreads over the holders of every layer.
 *
 * With a single path per head, the pairs of heads that share an engine may form a ring. Three heads
 * that share pairwise then serve 1.5 times the capacity of a chain, although each layer has two
 * holders. With a few alternatives, each new request avoids the fullest engine.
 *
 * Source: Garg and Konemann, "Faster and simpler algorithms for multicommodity flow", 1998. The
 * price of an engine grows exponentially with the load that is already planned on it.
 */
import { keyOfPath, toHeldPath } from './engineLoad';
import { freeRequests } from './pathCapacity';
import type { EngineRooms } from './pathCapacity';
import { findStagePath } from './stagePath';
import type { PathStage, StageEngine } from './stagePath';

export interface SharedPathsOptions {
  readonly layers: number;
  readonly rooms: EngineRooms;
}

/**
 * Paths planned for each head. Four of them reach more than three, six no more than four. The plan
 * for 30 engines takes about 5 ms and is repeated only when an engine changed.
 */
const ROUNDS = 4;
/** Price factor of a full engine. It exceeds the ratio of step times between engine kinds, 16. */
const FULL_PRICE = 100;

const isHead = ({ firstLayer }: StageEngine): boolean => firstLayer === 0;

/** Engines that hold the first layer, in an order that is the same on all VMs. */
export function listHeads(engines: readonly StageEngine[]): readonly StageEngine[] {
  return engines.filter(isHead).sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Plans the paths of all heads, in the order in which they were found; equal paths appear once. */
export function planSharedPaths(
  engines: readonly StageEngine[],
  { layers, rooms }: SharedPathsOptions,
): readonly (readonly PathStage[])[] {
  const planned = new Map<string, number>();
  const paths = new Map<string, readonly PathStage[]>();
  const plannedOn = (id: string) => planned.get(id) ?? 0;
  const usable = engines.filter(({ id }) => (rooms.get(id)?.capacity ?? 0) > 0);

  function priceOf({ id }: StageEngine): number {
    return FULL_PRICE ** (plannedOn(id) / Math.max(1, rooms.get(id)?.capacity ?? 0));
  }

  function findPath(head: StageEngine): readonly PathStage[] | undefined {
    const priced = usable.map((engine) => ({
      ...engine,
      layerCostMs: engine.layerCostMs * priceOf(engine),
      // Only the given head may run the first layer; the others may still run later ones.
      firstLayer: isHead(engine) && engine.id !== head.id ? 1 : engine.firstLayer,
    }));
    return findStagePath(priced, { toLayer: layers })?.stages;
  }

  for (let round = 0; round < ROUNDS; round += 1) {
    listHeads(usable).forEach((head) => {
      const stages = findPath(head);
      if (!stages) return;
      paths.set(keyOfPath(toHeldPath(stages)), stages);
      const alone = freeRequests(stages, rooms, { loadOf: () => 0, headSize: 0, share: 1 });
      stages.forEach(({ id, firstLayer, endLayer }) =>
        planned.set(id, plannedOn(id) + (alone / ROUNDS) * (endLayer - firstLayer)),
      );
    });
  }
  return [...paths.values()];
}
