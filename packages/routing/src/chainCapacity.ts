/** Computes how many concurrent requests of usual size each chain of a data centre can hold. */
import { requestMemoryMb } from './chainCount';
import type { ModelDescription } from './routingDocument';
import type { StageChain } from './stageChains';
import type { PathStage } from './stagePath';

/** The properties of an engine that determine its capacity. */
export interface CapacityEngine {
  readonly id: string;
  readonly acceleratorKind: string;
  readonly heldLayers: number;
  /** Maximum number of concurrent requests as the first engine of a chain. */
  readonly slots: number;
}

interface FreeCapacity {
  memoryMb: number;
  freeSlots: number;
}

function freeMemoryMb(engine: CapacityEngine, model: ModelDescription): number {
  const kind = model.kinds.find(({ name }) => name === engine.acceleratorKind);
  return (kind?.memoryMb ?? 0) - engine.heldLayers * model.layerMb;
}

function stageMemoryMb(stage: PathStage, model: ModelDescription): number {
  return (requestMemoryMb(model) * (stage.endLayer - stage.firstLayer)) / model.layers;
}

/**
 * Returns the capacity of each chain, in the order of the chains. A chain that shares an engine
 * with an earlier one gets only the capacity that the earlier one leaves there, so that the sum
 * over all chains never exceeds what the engines can hold.
 */
export function computeCapacities(
  chains: readonly StageChain[],
  engines: readonly CapacityEngine[],
  model: ModelDescription,
): readonly number[] {
  const freeByEngine = new Map<string, FreeCapacity>(
    engines.map((engine) => [
      engine.id,
      { memoryMb: freeMemoryMb(engine, model), freeSlots: engine.slots },
    ]),
  );
  const freeMemoryOf = (id: string) => freeByEngine.get(id)?.memoryMb ?? 0;

  return chains.map(({ stages }) => {
    const head = freeByEngine.get(stages[0]?.id ?? '');
    const byMemory = stages.map((stage) => freeMemoryOf(stage.id) / stageMemoryMb(stage, model));
    const capacity = Math.max(0, Math.min(head?.freeSlots ?? 0, ...byMemory));
    if (head) head.freeSlots -= capacity;
    stages.forEach((stage) => {
      const free = freeByEngine.get(stage.id);
      if (free) free.memoryMb -= capacity * stageMemoryMb(stage, model);
    });
    return capacity;
  });
}
