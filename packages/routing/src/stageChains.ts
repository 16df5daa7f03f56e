/** Groups the engines of a data centre into chains that run in parallel. */
import { findStagePath } from './stagePath';
import type { PathStage, StageEngine } from './stagePath';

/** A chain of engines that together hold every layer. */
export interface StageChain {
  readonly stages: readonly PathStage[];
}

export interface StageChainsOptions {
  readonly layers: number;
}

/**
 * Cost of a layer that a chain leaves unused on one of its engines, in milliseconds. It is far
 * above the real cost of a layer, so that engines with exactly adjacent ranges are chained
 * regardless of the speed of the alternatives.
 */
const UNUSED_LAYER_COST_MS = 10;
/** With layers for only one chain, the fastest path is best, whatever it leaves unused. */
const UNUSED_LAYER_COST_ALONE_MS = 0;
/** Cost multiplier for an engine that another chain already uses. */
const SHARED_COST_FACTOR = 3;
/** A chain that shares a larger part of its layers with other chains adds little capacity. */
const MAX_SHARED_LAYERS = 0.6;

function countSharedLayers(stages: readonly PathStage[], used: ReadonlySet<string>): number {
  return stages
    .filter(({ id }) => used.has(id))
    .reduce((sum, { firstLayer, endLayer }) => sum + endLayer - firstLayer, 0);
}

/**
 * Finds chains until all engines are used: first disjoint chains, then chains that fill a gap with
 * an engine of another chain. The result depends only on the set of engines, not on their order, so
 * all entry VMs compute the same chains.
 */
export function findStageChains(
  engines: readonly StageEngine[],
  { layers }: StageChainsOptions,
): readonly StageChain[] {
  const ordered = [...engines].sort((a, b) => (a.id < b.id ? -1 : 1));
  const used = new Set<string>();
  const chains: StageChain[] = [];
  const heldLayers = ordered.reduce(
    (sum, { firstLayer, endLayer }) => sum + endLayer - firstLayer,
    0,
  );
  const unusedLayerCostMs =
    heldLayers < 2 * layers ? UNUSED_LAYER_COST_ALONE_MS : UNUSED_LAYER_COST_MS;
  const options = { toLayer: layers, unusedLayerCostMs };

  function addChain(stages: readonly PathStage[]): void {
    chains.push({ stages });
    stages.forEach(({ id }) => used.add(id));
  }

  for (;;) {
    const free = ordered.filter(({ id }) => !used.has(id));
    const path = findStagePath(free, options);
    if (!path) break;
    addChain(path.stages);
  }
  while (used.size < ordered.length) {
    const priced = ordered.map((engine) =>
      used.has(engine.id)
        ? { ...engine, layerCostMs: engine.layerCostMs * SHARED_COST_FACTOR }
        : engine,
    );
    // Unused layers cost nothing here, as a shared engine contributes only a part of its range.
    const path = findStagePath(priced, { toLayer: layers });
    const isUseful =
      path !== undefined && countSharedLayers(path.stages, used) <= layers * MAX_SHARED_LAYERS;
    if (!isUseful) break;
    addChain(path.stages);
  }
  return chains;
}

/** Counts the chains that each engine belongs to. */
export function countChainsByEngine(chains: readonly StageChain[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  chains.forEach(({ stages }) =>
    stages.forEach(({ id }) => counts.set(id, (counts.get(id) ?? 0) + 1)),
  );
  return counts;
}
