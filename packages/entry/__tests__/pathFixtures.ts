/** A data centre with three chains of 9 to 13 engines that hold different ranges of layers. */
import type { BackendFact } from '@spoolplank/membership';
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import { createChainCatalog } from '../src/dispatch/chainCatalog';
import type { Vm } from './slotFixtures';

export const LARGE_MODEL: ModelDescription = {
  layers: 80,
  layerMb: 1750,
  stepMs: 0.85,
  stepPerRequestMs: 0.005,
  contextMsPerToken: 0.000007,
  stepsPerPass: 3,
  readTokensPerS: 294_000,
  tokenBytes: 845_373,
  usualPromptTokens: 772,
  usualAnswerTokens: 172,
  maxConcurrentLoads: 6,
  loadMs: 14_000,
  kinds: [
    { name: 'medium', memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2 },
    { name: 'small', memoryMb: 18_000, stepFactor: 16, readFactor: 8.2 },
  ],
};

/** Layers of the engines of each chain. The ranges of different chains overlap only in part. */
export const CHAIN_SIZES: readonly (readonly number[])[] = [
  [14, 8, 7, 7, 7, 7, 14, 8, 8],
  [7, 8, 7, 7, 7, 7, 8, 7, 7, 7, 8],
  [6, 6, 7, 6, 6, 7, 6, 6, 6, 6, 6, 6, 6],
];

/** Engines with more than this number of layers are of the kind with the most memory. */
const MAX_SMALL_LAYERS = 8;

export function createEngineFact(
  instanceId: string,
  firstLayer: number,
  endLayer: number,
): BackendFact {
  return {
    kind: 'backend',
    instanceId,
    service: 'engines',
    address: `${instanceId}:80`,
    dataCentre: 'a',
    state: 'ready',
    slots: 134,
    engine: {
      acceleratorKind: endLayer - firstLayer > MAX_SMALL_LAYERS ? 'medium' : 'small',
      held: { firstLayer, endLayer },
      version: 1,
    },
  };
}

/** Engines `c1-0` to `c3-12`: engine `c1-0` is the head of the first chain. */
export function createChainFacts(sizes = CHAIN_SIZES): readonly BackendFact[] {
  return sizes.flatMap((layers, chain) => {
    let firstLayer = 0;
    return layers.map((count, index) => {
      const fact = createEngineFact(`c${chain + 1}-${index}`, firstLayer, firstLayer + count);
      firstLayer += count;
      return fact;
    });
  });
}

/** The catalog of a data centre whose engines are lost and come back. */
export function createPathCatalog(facts: readonly BackendFact[]) {
  const lost = new Set<string>();
  const slowdowns = new Map<string, number>();
  let revision = 0;
  let searches = 0;
  const catalog = createChainCatalog({
    isAvoided: () => false,
    view: {
      get revision() {
        return revision;
      },
      listBackends() {
        searches += 1;
        return facts.filter(({ instanceId }) => !lost.has(instanceId));
      },
      slowdownOf: (id: string) => slowdowns.get(id) ?? 1,
    } as unknown as Parameters<typeof createChainCatalog>[0]['view'],
  });
  return {
    layoutOf: () => catalog.layoutOf('engines', LARGE_MODEL, 'a'),
    listOf: () => catalog.listOf('engines', LARGE_MODEL, 'a'),
    /** Number of times that the engines were listed anew. */
    searches: () => searches,
    lose(...ids: readonly string[]) {
      ids.forEach((id) => lost.add(id));
      revision += 1;
    },
    restore() {
      lost.clear();
      revision += 1;
    },
    slowDown(id: string, factor: number) {
      slowdowns.set(id, factor);
      revision += 1;
    },
  };
}

/** Load on each engine by the paths over which the streams of all VMs run. */
export function loadByEngine(vms: readonly Vm[]): ReadonlyMap<string, number> {
  const loads = new Map<string, number>();
  const addStage = ({ id, firstLayer, endLayer }: PathStage, size: number) =>
    loads.set(id, (loads.get(id) ?? 0) + size * (endLayer - firstLayer));
  vms
    .filter(({ isUp }) => isUp)
    .forEach(({ held, paths }) =>
      held.forEach(({ ticket, size }) =>
        paths.get(ticket)?.forEach((stage) => addStage(stage, size)),
      ),
    );
  return loads;
}
