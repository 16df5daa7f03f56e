/**
 * Finds another path for a running stream whose path has lost an engine. A path is the sequence of
 * engines, each with its layers of the model, that the stream passes through.
 */
import { findStagePath } from '@spoolplank/routing';
import type { ModelDescription, PathStage, StageEngine } from '@spoolplank/routing';
import type { Random } from '@spoolplank/shared';
import type { ChainCatalog } from '../dispatch/chainCatalog';

/** Position of this VM among the entries, which all lose streams when an engine is lost. */
export interface EntryPosition {
  readonly index: number;
  readonly count: number;
}

export interface PathRepairOptions {
  readonly random: Random;
  readonly catalog: Pick<ChainCatalog, 'listEnginesInSameDataCentre'>;
  /** Time for which an engine asked this VM to send it nothing, in milliseconds; else 0. */
  readonly backoffMsOf: (instanceId: string) => number;
  /** By default this VM counts as the only entry. */
  readonly position?: () => EntryPosition;
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

/** Multiples of the golden ratio, without their integers, are evenly spread at any number. */
const GOLDEN_RATIO = 0.618_033_988_749_895;
/** Bounds memory; far above the number of engines that are lost within seconds. */
const MAX_COUNTED_STAGES = 64;

export function createPathRepair(options: PathRepairOptions): PathRepair {
  const { random, catalog, backoffMsOf, position = () => ({ index: 0, count: 1 }) } = options;
  /** Streams that this VM has moved off each engine. */
  const movedCounts = new Map<string, number>();

  /** Weighs an engine at random, which spreads streams over paths of several engines. */
  function drawWeight(engine: StageEngine): StageEngine {
    return { ...engine, layerCostMs: engine.layerCostMs * (1 + random.nextFloat()) };
  }

  /**
   * Picks one of the engines that can each replace a lost one. A replacement repeats the prefill
   * of the streams that it takes over one by one, 5 ms each, so 20 to 60 streams on one engine
   * pause for up to a third of a second. The VMs do not coordinate: the n-th stream of each VM
   * takes the place of the VM in the n-th round, and the places are spread evenly over the engines,
   * each in proportion to its speed.
   */
  function pickReplacement(lostId: string, engines: readonly StageEngine[]) {
    const usable = engines
      .filter(({ layerCostMs }) => Number.isFinite(layerCostMs) && layerCostMs > 0)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    const speeds = usable.map(({ layerCostMs }) => 1 / layerCostMs);
    const total = speeds.reduce((sum, speed) => sum + speed, 0);
    const moved = movedCounts.get(lostId) ?? 0;
    if (movedCounts.size >= MAX_COUNTED_STAGES) movedCounts.clear();
    movedCounts.set(lostId, moved + 1);
    const { index, count } = position();
    let left = (((index + moved * count) * GOLDEN_RATIO) % 1) * total;
    return usable.find((_, place) => {
      left -= speeds[place] ?? 0;
      return left < 0;
    });
  }

  return (service, model, stages, lostIds) => {
    const [head] = stages;
    if (!head || lostIds.has(head.id)) return undefined;
    const kept = new Set(stages.map(({ id }) => id).filter((id) => !lostIds.has(id)));
    const engines = catalog
      .listEnginesInSameDataCentre(service, model, stages)
      .filter(({ id }) => !lostIds.has(id) && (kept.has(id) || backoffMsOf(id) === 0));
    const candidates = engines.filter(({ id }) => !kept.has(id));
    const repaired: PathStage[] = [];
    for (const stage of stages) {
      if (kept.has(stage.id)) {
        repaired.push(stage);
      } else {
        const unused = candidates.filter(({ id }) => !repaired.some((used) => used.id === id));
        const covering = unused.filter(
          ({ firstLayer, endLayer }) =>
            firstLayer <= stage.firstLayer && endLayer >= stage.endLayer,
        );
        const picked = pickReplacement(stage.id, covering);
        const replacement = findStagePath(picked ? [picked] : unused.map(drawWeight), {
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
