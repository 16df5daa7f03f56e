/**
 * Which engines of a data centre form whole chains, and which are left of broken ones.
 *
 * The load pattern it answers: a data centre with several chains loses an engine of one of them.
 * Every layer is still held by the others, so nothing is missing, but the ten engines that are
 * left of the broken chain stand idle, and the others serve what three served before. Taken by
 * themselves, what is left has a hole that those beside it can fill.
 */
import { lengthOf } from './layerSlots';
import type { Slot } from './layerSlots';
import type { ModelDescription } from './routingDocument';
import { findStagePath } from './stagePath';
import type { StageEngine } from './stagePath';

export interface WholeChains {
  /** Chains that share no engine. */
  readonly count: number;
  /** Engines that stand in none of them. */
  readonly rest: readonly Slot[];
}

/** Engines that follow each other exactly belong together, whatever the speed of others. */
const UNUSED_LAYER_COST_MS = 10;

function toStageEngine(slot: Slot, model: ModelDescription): StageEngine | null {
  if (!slot.planned || lengthOf(slot.planned) === 0) return null;
  return {
    id: slot.id,
    address: '',
    firstLayer: slot.planned.first,
    endLayer: slot.planned.end,
    layerCostMs: (model.stepMs * slot.stepFactor) / model.layers,
  };
}

/** Takes one whole chain after the other out of the engines, as their layers are planned. */
export function findWholeChains(slots: readonly Slot[], model: ModelDescription): WholeChains {
  let rest: readonly Slot[] = [...slots].sort((a, b) => (a.id < b.id ? -1 : 1));
  let count = 0;
  const options = { toLayer: model.layers, unusedLayerCostMs: UNUSED_LAYER_COST_MS };
  for (;;) {
    const engines = rest.flatMap((slot) => toStageEngine(slot, model) ?? []);
    const path = findStagePath(engines, options);
    if (!path) return { count, rest };
    const used = new Set(path.stages.map(({ id }) => id));
    rest = rest.filter(({ id }) => !used.has(id));
    count += 1;
  }
}
