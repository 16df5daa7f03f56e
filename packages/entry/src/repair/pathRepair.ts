/** Another path for a running stream over which an engine is lost. */
import { findStagePath } from '@spoolplank/routing';
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import type { Random } from '@spoolplank/shared';
import type { ChainCatalog } from '../dispatch/chainCatalog';

export interface PathRepairOptions {
  readonly random: Random;
  readonly catalog: Pick<ChainCatalog, 'listEnginesInSameDataCentre'>;
  /** Time until this VM may send something to an engine, in milliseconds; 0 when it may now. */
  readonly backoffMsOf: (instanceId: string) => number;
}

/** A path that keeps the first stage, and of the others what it can; undefined without one. */
export type PathRepair = (
  service: string,
  model: ModelDescription,
  stages: readonly PathStage[],
  lostIds: ReadonlySet<string>,
) => readonly PathStage[] | undefined;

export function createPathRepair({ random, catalog, backoffMsOf }: PathRepairOptions): PathRepair {
  /**
   * The prompts of a lost engine's streams are read again by its replacement, one after the other,
   * which takes it a third of a second. Weights drawn up to twice the cost spread them over all
   * that could.
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
    const replaceable = engines
      .filter(({ id }) => !kept.has(id))
      .map((engine) => ({ ...engine, layerCostMs: engine.layerCostMs * drawWeight() }));
    const patched: PathStage[] = [];
    for (const stage of stages) {
      if (kept.has(stage.id)) {
        patched.push(stage);
      } else {
        const unused = replaceable.filter(({ id }) => !patched.some((used) => used.id === id));
        const patch = findStagePath(unused, {
          fromLayer: stage.firstLayer,
          toLayer: stage.endLayer,
        });
        if (!patch) {
          const rest = findStagePath(
            engines.filter(({ id }) => id !== head.id),
            { fromLayer: head.endLayer, toLayer: model.layers },
          );
          return rest ? [head, ...rest.stages] : undefined;
        }
        patched.push(...patch.stages);
      }
    }
    return patched;
  };
}
