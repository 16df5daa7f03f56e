/**
 * Separates the engines of a data centre that form complete chains from the remains of broken
 * chains.
 *
 * When a data centre with several chains loses an engine, the other chains still hold every layer,
 * so no layer is missing. Without repair, however, the ten or so remaining engines of the broken
 * chain stay idle, and two chains carry the load of three. Considered on their own, the remaining
 * engines have a gap that their neighbours can fill.
 */
import { lengthOf } from './plannedEngines';
import type { PlannedEngine } from './plannedEngines';
import type { ModelDescription } from './routingDocument';
import { findStagePath } from './stagePath';
import type { StageEngine } from './stagePath';

export interface CompleteChains {
  /** Number of complete chains; no engine belongs to two of them. */
  readonly count: number;
  /** Engines that belong to no complete chain. */
  readonly rest: readonly PlannedEngine[];
}

/**
 * Cost of a layer that a chain leaves unused on one of its engines, in milliseconds. It is far
 * above the real cost of a layer, so that exactly adjacent ranges are chained first.
 */
const UNUSED_LAYER_COST_MS = 10;

function toStageEngine(engine: PlannedEngine, model: ModelDescription): StageEngine | null {
  if (!engine.planned || lengthOf(engine.planned) === 0) return null;
  return {
    id: engine.id,
    address: '',
    firstLayer: engine.planned.first,
    endLayer: engine.planned.end,
    layerCostMs: (model.stepMs * engine.stepFactor) / model.layers,
  };
}

/** Removes complete chains one by one, based on the planned ranges, and returns what remains. */
export function findCompleteChains(
  engines: readonly PlannedEngine[],
  model: ModelDescription,
): CompleteChains {
  let rest: readonly PlannedEngine[] = [...engines].sort((a, b) => (a.id < b.id ? -1 : 1));
  let count = 0;
  const options = { toLayer: model.layers, unusedLayerCostMs: UNUSED_LAYER_COST_MS };
  for (;;) {
    const stageEngines = rest.flatMap((engine) => toStageEngine(engine, model) ?? []);
    const path = findStagePath(stageEngines, options);
    if (!path) return { count, rest };
    const used = new Set(path.stages.map(({ id }) => id));
    rest = rest.filter(({ id }) => !used.has(id));
    count += 1;
  }
}
