/**
 * Finds another path for a running stream whose path has lost an engine. A path is the sequence of
 * engines, each with its layers of the model, that the stream passes through.
 */
import { findStagePath } from '@spoolplank/routing';
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import type { Random } from '@spoolplank/shared';
import type { ChainCatalog } from '../dispatch/chainCatalog';

export interface PathRepairOptions {
  readonly random: Random;
  readonly catalog: Pick<ChainCatalog, 'listEnginesInSameDataCentre'>;
  /** Time for which an engine asked this VM to send it nothing, in milliseconds; else 0. */
  readonly backoffMsOf: (instanceId: string) => number;
}

/**
 * Finds a path that keeps the first stage, and the other stages whose engines are not lost if that
 * is possible; undefined when there is no path with the first stage.
 */
export type PathRepair = (
  service: string,
  model: ModelDescription,
  stages: readonly PathStage[],
  lostIds: ReadonlySet<string>,
) => readonly PathStage[] | undefined;

export function createPathRepair({ random, catalog, backoffMsOf }: PathRepairOptions): PathRepair {
  /**
   * Random factor from 1 to 2 on the cost of a replacement engine. The replacement repeats the
   * prefill of all streams of the lost engine one by one, which takes a third of a second; the
   * factor spreads these streams over all suitable engines.
   */
  function drawWeight(): number {
    return 1 + random.nextFloat();
  }

  return (service, model, stages, lostIds) => {
    const [head] = stages;
    if (!head || lostIds.has(head.id)) return undefined;
    const kept = new Set(stages.map(({ id }) => id).filter((id) => !lostIds.has(id)));
    const engines = catalog
      .listEnginesInSameDataCentre(service, model, head.id)
      .filter(({ id }) => !lostIds.has(id) && (kept.has(id) || backoffMsOf(id) === 0));
    const candidates = engines
      .filter(({ id }) => !kept.has(id))
      .map((engine) => ({ ...engine, layerCostMs: engine.layerCostMs * drawWeight() }));
    const repaired: PathStage[] = [];
    for (const stage of stages) {
      if (kept.has(stage.id)) {
        repaired.push(stage);
      } else {
        const unused = candidates.filter(({ id }) => !repaired.some((used) => used.id === id));
        const replacement = findStagePath(unused, {
          fromLayer: stage.firstLayer,
          toLayer: stage.endLayer,
        });
        if (!replacement) {
          const rest = findStagePath(
            engines.filter(({ id }) => id !== head.id),
            { fromLayer: head.endLayer, toLayer: model.layers },
          );
          return rest ? [head, ...rest.stages] : undefined;
        }
        repaired.push(...replacement.stages);
      }
    }
    return repaired;
  };
}
