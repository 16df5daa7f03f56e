/**
 * The chains of each data centre, computed from its engines and cached until these change. A chain
 * is a sequence of engines that together hold all layers of a model; it is identified by its first
 * engine, and every request to it is sent to that engine.
 */
import type { BackendFact } from '@spoolplank/membership';
import {
  computeCapacities,
  findStageChains,
  freeRequests,
  jointCapacity,
  keyOfPath,
  listHeads,
  planSharedPaths,
  toEngineRooms,
  toHeldPath,
} from '@spoolplank/routing';
import type {
  CapacityEngine,
  EnginePace,
  EnginePaces,
  EngineRooms,
  ModelDescription,
  PathStage,
  StageEngine,
} from '@spoolplank/routing';
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

/** All paths on which the allocator of a data centre may grant slots. */
export interface PathLayout {
  /**
   * One or more paths for each head, in the order of heads; the first of a head is its present
   * path. The capacity of a path on a shared engine is what it could take alone.
   */
  readonly paths: readonly RatedChain[];
  readonly rooms: EngineRooms;
  readonly paces: EnginePaces;
  /** Whether an engine is slower than others of its kind. */
  readonly hasSlow: boolean;
  /** Whether no engine is on the paths of two chains, and every head has a chain. */
  readonly isDisjoint: boolean;
  /** Requests of usual size that all paths together can take; the least-held layer limits it. */
  readonly capacity: number;
}

export interface ChainCatalog {
  listDataCentres(service: string): readonly string[];
  /** All chains of a data centre, including those that are full or have an engine in backoff. */
  listOf(service: string, model: ModelDescription, dataCentre: string): readonly RatedChain[];
  /** The paths of a data centre, computed when first asked for after a change of its chains. */
  layoutOf(service: string, model: ModelDescription, dataCentre: string): PathLayout;
  /**
   * Engines that can run a stage of a path, in the data centre of the given path. Engines that
   * leave are not listed, so that any engine of the path may tell its data centre.
   */
  listEnginesInSameDataCentre(
    service: string,
    model: ModelDescription,
    path: readonly PathStage[],
  ): readonly StageEngine[];
}

/** The chains of a data centre with the inputs that they were computed from. */
interface CachedChains {
  /** The same array until the routing view has a new revision. */
  facts: readonly BackendFact[];
  readonly areAvoided: readonly boolean[];
  /** Slowdown of each engine, or `-` for an excluded engine, in the order of `facts`. */
  readonly engineStates: string;
  readonly chains: readonly RatedChain[];
  layout: PathLayout | undefined;
}

/** The backend facts of a service by data centre, for one revision of the routing view. */
interface CachedGroups {
  readonly revision: number;
  readonly groups: ReadonlyMap<string, readonly BackendFact[]>;
}

const MS_PER_S = 1000;
/** Slowdown from which an engine counts as slow; smaller ones are within the usual variation. */
const SLOW_FROM = 1.5;
const NO_PATHS: PathLayout = {
  paths: [],
  rooms: new Map(),
  paces: new Map(),
  hasSlow: false,
  isDisjoint: true,
  capacity: 0,
};

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

/** Whether no two chains share an engine. */
function areDisjoint(chains: readonly RatedChain[]): boolean {
  const ids = chains.flatMap(({ stages }) => stages.map(({ id }) => id));
  return new Set(ids).size === ids.length;
}

/** Requests of usual size that a path can take while its engines serve no other. */
function capacityAlone(stages: readonly PathStage[], rooms: EngineRooms): number {
  return freeRequests(stages, rooms, { loadOf: () => 0, headSize: 0, share: 1 });
}

type PathPlan = Pick<PathLayout, 'paths' | 'isDisjoint' | 'capacity'>;

function planPaths(
  chains: readonly RatedChain[],
  engines: readonly StageEngine[],
  rooms: EngineRooms,
  { layers }: ModelDescription,
): PathPlan {
  const heads = listHeads(engines);
  const headIds = new Set(chains.map(({ headId }) => headId));
  if (areDisjoint(chains) && heads.every(({ id }) => headIds.has(id))) {
    const capacity = chains.reduce((sum, chain) => sum + chain.capacity, 0);
    return { paths: chains, isDisjoint: true, capacity };
  }
  const found = [
    ...chains.map(({ stages }) => stages),
    ...planSharedPaths(engines, { layers, rooms }),
  ];
  const distinct = new Map(found.map((stages) => [keyOfPath(toHeldPath(stages)), stages]));
  const paths = heads.flatMap(({ id }) =>
    [...distinct.values()]
      .filter((stages) => stages[0]?.id === id)
      .map((stages) => ({ headId: id, stages, capacity: capacityAlone(stages, rooms) })),
  );
  const capacity = jointCapacity(
    paths.map(({ stages }) => stages),
    rooms,
  );
  return { paths, isDisjoint: false, capacity };
}

/** Speed of each engine relative to the reference accelerator. */
function toPaces(
  facts: readonly BackendFact[],
  model: ModelDescription,
  slowdownOf: (instanceId: string) => number,
): EnginePaces {
  return new Map(
    facts.map(({ instanceId, engine }): [string, EnginePace] => {
      const kind = model.kinds.find(({ name }) => name === engine?.acceleratorKind);
      const slowdown = slowdownOf(instanceId);
      const { stepFactor = 1, readFactor = 1 } = kind ?? {};
      const isSlow = slowdown >= SLOW_FROM;
      const factor = isSlow ? slowdown : 1;
      return [
        instanceId,
        { stepFactor: stepFactor * factor, readFactor: readFactor * factor, isSlow },
      ];
    }),
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

  /**
   * Whether nothing has changed that the chains depend on. A revision of the view covers the facts
   * and the rounded slowdowns, but not the exclusions.
   */
  function isCurrent(known: CachedChains, facts: readonly BackendFact[]): boolean {
    return (
      known.facts === facts &&
      facts.every(({ instanceId }, index) => known.areAvoided[index] === isAvoided(instanceId))
    );
  }

  function cachedOf(
    dataCentre: string,
    facts: readonly BackendFact[],
    model: ModelDescription,
  ): CachedChains {
    const known = cache.get(dataCentre);
    if (known && isCurrent(known, facts)) return known;
    const areAvoided = facts.map(({ instanceId }) => isAvoided(instanceId));
    const engineStates = facts
      .map(({ instanceId }, index) =>
        areAvoided[index] ? '-' : view.slowdownOf(instanceId).toFixed(0),
      )
      .join(' ');
    // A search takes about 5 ms for 45 engines, so it is repeated only when an engine of this data
    // centre has changed.
    const isSame =
      known?.engineStates === engineStates &&
      known.facts.length === facts.length &&
      known.facts.every((fact, index) => fact === facts[index]);
    if (isSame) {
      known.facts = facts;
      return known;
    }
    const chains = rateChains(facts, model);
    const created = { facts, areAvoided, engineStates, chains, layout: undefined };
    cache.set(dataCentre, created);
    return created;
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
      return facts.length > 0 ? cachedOf(dataCentre, facts, model).chains : [];
    },
    layoutOf(service, model, dataCentre) {
      const facts = groupByDataCentre(service).get(dataCentre) ?? [];
      if (facts.length === 0) return NO_PATHS;
      const cached = cachedOf(dataCentre, facts, model);
      if (!cached.layout) {
        const rooms = toEngineRooms(toCapacityEngines(facts), model);
        const paces = toPaces(facts, model, view.slowdownOf);
        const plan = planPaths(cached.chains, toStageEngines(facts, model), rooms, model);
        const hasSlow = [...paces.values()].some(({ isSlow }) => isSlow);
        cached.layout = { ...plan, rooms, paces, hasSlow };
      }
      return cached.layout;
    },
    listEnginesInSameDataCentre(service, model, path) {
      const ids = new Set(path.map(({ id }) => id));
      const anchor = view.listBackends(service).find((fact) => ids.has(fact.instanceId));
      return toStageEngines(groupByDataCentre(service).get(anchor?.dataCentre ?? '') ?? [], model);
    },
  };
}
