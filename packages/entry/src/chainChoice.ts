/** Choice of a chain for a stream: one path a data centre, and the data centre by its load. */
import type { BackendFact } from '@spoolplank/membership';
import { findStagePath } from '@spoolplank/routing';
import type { ModelDescription, PathStage, StageEngine, StagePath } from '@spoolplank/routing';
import type { RoutingView } from './routingView';

export interface ChainChoiceOptions {
  readonly view: RoutingView;
  readonly dataCentre: string;
  /** Requests of this entry in flight on the engines of a data centre. */
  readonly ownInFlight: (dataCentre: string) => number;
  /** Recent time to a first event on the engines of a data centre, in milliseconds. */
  readonly firstEventMs: (dataCentre: string) => number;
  /** Engines to leave out for now, by instance. */
  readonly isAvoided: (instanceId: string) => boolean;
}

export interface ChosenChain {
  readonly dataCentre: string;
  readonly stages: readonly PathStage[];
  /** Requests that its memory holds. */
  readonly capacity: number;
  /** Requests in flight there, as far as known. */
  readonly inFlight: number;
}

export interface ChainChoice {
  /** The chain for a new stream; undefined when no data centre has all layers. */
  choose(
    service: string,
    model: ModelDescription,
    excludedHeads: ReadonlySet<string>,
  ): ChosenChain | undefined;
  /** Another path for a running stream that keeps its first stage; undefined without one. */
  repair(
    service: string,
    model: ModelDescription,
    stages: readonly PathStage[],
    lostIds: ReadonlySet<string>,
  ): readonly PathStage[] | undefined;
}

interface CachedChain {
  readonly revision: number;
  readonly avoided: string;
  readonly path: StagePath | undefined;
  readonly capacity: number;
}

/** What the way to another data centre counts for, as a share of a chain's capacity. */
const REMOTE_PENALTY = 0.25;
/** A first event that takes so long counts as much as a chain that is full. */
const SLOW_FIRST_EVENT_MS = 500;
const BYTES_PER_MB = 1_000_000;
/** A running request holds half of its answer on average; the rest is for long ones. */
const MEAN_ANSWER_SHARE = 0.7;
const MS_PER_S = 1000;

/** Time that one layer costs one token of an answer, its share of the prompt's reading included. */
function layerCostMs(kindName: string, model: ModelDescription): number {
  const kind = model.kinds.find(({ name }) => name === kindName);
  if (!kind) return Number.POSITIVE_INFINITY;
  const readMs = (model.usualPromptTokens / model.readTokensPerS) * MS_PER_S * kind.readFactor;
  const perTokenMs = model.stepMs * kind.stepFactor + readMs / Math.max(1, model.usualAnswerTokens);
  return perTokenMs / model.layers;
}

function toStageEngine(fact: BackendFact, model: ModelDescription): StageEngine | null {
  const { instanceId, address, engine } = fact;
  if (!engine?.held) return null;
  const { firstLayer, endLayer } = engine.held;
  return {
    id: instanceId,
    address,
    firstLayer,
    endLayer,
    layerCostMs: layerCostMs(engine.acceleratorKind, model),
  };
}

/** Requests of usual size that a stage's memory holds beside its weights. */
function stageCapacity(
  fact: BackendFact | undefined,
  stage: PathStage,
  model: ModelDescription,
): number {
  const kind = model.kinds.find(({ name }) => name === fact?.engine?.acceleratorKind);
  const held = fact?.engine?.held;
  if (!kind || !held) return 0;
  const freeMb = kind.memoryMb - (held.endLayer - held.firstLayer) * model.layerMb;
  const tokens = model.usualPromptTokens + model.usualAnswerTokens * MEAN_ANSWER_SHARE;
  const share = (stage.endLayer - stage.firstLayer) / model.layers;
  return (freeMb * BYTES_PER_MB) / (tokens * model.tokenBytes * share);
}

export function createChainChoice(options: ChainChoiceOptions): ChainChoice {
  const { view, isAvoided, ownInFlight } = options;
  const cache = new Map<string, CachedChain>();

  function chainOf(
    dataCentre: string,
    facts: readonly BackendFact[],
    model: ModelDescription,
  ): CachedChain {
    const avoided = facts
      .filter(({ instanceId }) => isAvoided(instanceId))
      .map(({ instanceId }) => instanceId)
      .join(' ');
    const known = cache.get(dataCentre);
    if (known?.revision === view.revision && known.avoided === avoided) return known;
    const engines = facts
      .filter(({ instanceId }) => !isAvoided(instanceId))
      .flatMap((fact) => toStageEngine(fact, model) ?? []);
    const path = findStagePath(engines, { toLayer: model.layers });
    const byId = new Map(facts.map((fact) => [fact.instanceId, fact]));
    const capacity = path
      ? Math.min(...path.stages.map((stage) => stageCapacity(byId.get(stage.id), stage, model)))
      : 0;
    const made = { revision: view.revision, avoided, path, capacity };
    cache.set(dataCentre, made);
    return made;
  }

  function groupByDataCentre(service: string): Map<string, BackendFact[]> {
    const groups = new Map<string, BackendFact[]>();
    view.listBackends(service).forEach((fact) => {
      const group = groups.get(fact.dataCentre);
      if (group) group.push(fact);
      else groups.set(fact.dataCentre, [fact]);
    });
    return groups;
  }

  return {
    choose(service, model, excludedHeads) {
      let best: { readonly chain: ChosenChain; readonly cost: number } | undefined;
      groupByDataCentre(service).forEach((facts, dataCentre) => {
        const { path, capacity } = chainOf(dataCentre, facts, model);
        const head = path?.stages[0];
        if (!path || !head || excludedHeads.has(head.id)) return;
        const inFlight = ownInFlight(dataCentre) + view.othersInFlight(dataCentre);
        const remote = dataCentre === options.dataCentre ? 0 : REMOTE_PENALTY;
        const slowness = options.firstEventMs(dataCentre) / SLOW_FIRST_EVENT_MS;
        const cost = inFlight / Math.max(1, capacity) + remote + slowness;
        if (best && best.cost <= cost) return;
        best = { cost, chain: { dataCentre, stages: path.stages, capacity, inFlight } };
      });
      return best?.chain;
    },
    repair(service, model, stages, lostIds) {
      const [head] = stages;
      if (!head || lostIds.has(head.id)) return undefined;
      const home = view.listBackends(service).find(({ instanceId }) => instanceId === head.id);
      const facts = groupByDataCentre(service).get(home?.dataCentre ?? '') ?? [];
      const kept = new Set(stages.map(({ id }) => id).filter((id) => !lostIds.has(id)));
      const engines = facts
        .filter(({ instanceId }) => !lostIds.has(instanceId) && !isAvoided(instanceId))
        .flatMap((fact) => toStageEngine(fact, model) ?? []);
      const replaceable = engines.filter(({ id }) => !kept.has(id));
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
    },
  };
}
