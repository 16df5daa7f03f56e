/**
 * The chains of each data centre, computed from its engines and cached until these change. A chain
 * is a sequence of engines that together hold all layers of a model; it is identified by its first
 * engine, and every request to it is sent to that engine.
 */
import type { BackendFact } from '@spoolplank/membership';
import { findStageChains, computeCapacities } from '@spoolplank/routing';
import type { CapacityEngine, ModelDescription, PathStage, StageEngine } from '@spoolplank/routing';
import type { RoutingView } from '../gossip/routingView';

export interface ChainCatalogOptions {
  readonly view: RoutingView;
  /** Whether an engine is excluded for now, by instance id. */
  readonly isAvoided: (instanceId: string) => boolean;
}

/** A chain and its capacity in requests of usual size. */
export interface RatedChain {
  readonly headId: string;
  readonly stages: readonly PathStage[];
  readonly capacity: number;
}

export interface ChainCatalog {
  listDataCentres(service: string): readonly string[];
  /** All chains of a data centre, including those that are full or have an engine in backoff. */
  listOf(service: string, model: ModelDescription, dataCentre: string): readonly RatedChain[];
  /** Engines that can run a stage of a path, in the data centre of the given engine. */
  listEnginesInSameDataCentre(
    service: string,
    model: ModelDescription,
    instanceId: string,
  ): readonly StageEngine[];
}

/** The chains of a data centre with the inputs that they were computed from. */
interface CachedChains {
  readonly facts: readonly BackendFact[];
  /** Slowdown of each engine, or `-` for an excluded engine, in the order of `facts`. */
  readonly engineStates: string;
  readonly chains: readonly RatedChain[];
}

/** The backend facts of a service by data centre, for one revision of the routing view. */
interface CachedGroups {
  readonly revision: number;
  readonly groups: ReadonlyMap<string, readonly BackendFact[]>;
}

const MS_PER_S = 1000;

/** Time that one layer takes per output token, including its share of the prompt prefill. */
function layerCostMs(kindName: string, model: ModelDescription): number {
  const kind = model.kinds.find(({ name }) => name === kindName);
  if (!kind) return Number.POSITIVE_INFINITY;
  const readMs = (model.usualPromptTokens / model.readTokensPerS) * MS_PER_S * kind.readFactor;
  const perTokenMs = model.stepMs * kind.stepFactor + readMs / Math.max(1, model.usualAnswerTokens);
  return perTokenMs / model.layers;
}

function toStageEngine(
  fact: BackendFact,
  model: ModelDescription,
  slowdown: number,
): StageEngine | null {
  const { instanceId, address, engine } = fact;
  if (!engine?.held) return null;
  const { firstLayer, endLayer } = engine.held;
  return {
    id: instanceId,
    address,
    firstLayer,
    endLayer,
    layerCostMs: layerCostMs(engine.acceleratorKind, model) * slowdown,
  };
}

function toCapacityEngines(facts: readonly BackendFact[]): readonly CapacityEngine[] {
  return facts.flatMap(({ instanceId, slots, engine }) =>
    engine?.held
      ? [
          {
            id: instanceId,
            acceleratorKind: engine.acceleratorKind,
            heldLayers: engine.held.endLayer - engine.held.firstLayer,
            slots,
          },
        ]
      : [],
  );
}

export function createChainCatalog({ view, isAvoided }: ChainCatalogOptions): ChainCatalog {
  const cache = new Map<string, CachedChains>();
  const groupsByService = new Map<string, CachedGroups>();

  function toStageEngines(
    facts: readonly BackendFact[],
    model: ModelDescription,
  ): readonly StageEngine[] {
    return facts
      .filter(({ instanceId }) => !isAvoided(instanceId))
      .flatMap((fact) => toStageEngine(fact, model, view.slowdownOf(fact.instanceId)) ?? []);
  }

  function rateChains(
    facts: readonly BackendFact[],
    model: ModelDescription,
  ): readonly RatedChain[] {
    const chains = findStageChains(toStageEngines(facts, model), { layers: model.layers });
    const capacities = computeCapacities(chains, toCapacityEngines(facts), model);
    return chains.map(({ stages }, index) => ({
      headId: stages[0]?.id ?? '',
      stages,
      capacity: capacities[index] ?? 0,
    }));
  }

  function chainsOf(
    dataCentre: string,
    facts: readonly BackendFact[],
    model: ModelDescription,
  ): readonly RatedChain[] {
    const engineStates = facts
      .map(({ instanceId }) =>
        isAvoided(instanceId) ? '-' : view.slowdownOf(instanceId).toFixed(0),
      )
      .join(' ');
    const known = cache.get(dataCentre);
    // A search takes about 5 ms for 45 engines, so it is repeated only when an engine of this data
    // centre has changed.
    const isSame =
      known?.engineStates === engineStates &&
      known.facts.length === facts.length &&
      known.facts.every((fact, index) => fact === facts[index]);
    if (isSame) return known.chains;
    const chains = rateChains(facts, model);
    cache.set(dataCentre, { facts, engineStates, chains });
    return chains;
  }

  function groupByDataCentre(service: string): ReadonlyMap<string, readonly BackendFact[]> {
    const { revision } = view;
    const known = groupsByService.get(service);
    if (known?.revision === revision) return known.groups;
    const groups = new Map<string, BackendFact[]>();
    view.listBackends(service).forEach((fact) => {
      const group = groups.get(fact.dataCentre);
      if (group) group.push(fact);
      else groups.set(fact.dataCentre, [fact]);
    });
    groupsByService.set(service, { revision, groups });
    return groups;
  }

  return {
    listDataCentres: (service) => [...groupByDataCentre(service).keys()],
    listOf(service, model, dataCentre) {
      const facts = groupByDataCentre(service).get(dataCentre) ?? [];
      return facts.length > 0 ? chainsOf(dataCentre, facts, model) : [];
    },
    listEnginesInSameDataCentre(service, model, instanceId) {
      const anchor = view.listBackends(service).find((fact) => fact.instanceId === instanceId);
      return toStageEngines(groupByDataCentre(service).get(anchor?.dataCentre ?? '') ?? [], model);
    },
  };
}
