/** Selects a chain of engines that holds every layer of a model once, in order. */
import type { Announcement, EngineDescription } from '@spoolplank/membership';
import type { BackendLoadTable } from './backendLoad';

export interface ChainStage {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly firstLayer: number;
  readonly lastLayer: number;
}

export interface Chain {
  readonly version: string;
  readonly stages: readonly ChainStage[];
  /** Estimated time of one token through the chain, in milliseconds. */
  readonly estimatedStepMs: number;
}

export interface ChainRequest {
  readonly model: string;
  readonly layers: number;
  /** Restricts the chain to this version; otherwise any single version is used. */
  readonly version?: string;
  /** Names of engines that the chain must not contain. */
  readonly excluded: ReadonlySet<string>;
  /** Data centre of the entry VM; a first engine in another data centre is penalised. */
  readonly dataCentre: string;
  readonly nowMs: number;
}

type Engine = Announcement & { readonly engine: EngineDescription };

interface PartialChain {
  readonly engine: Engine;
  readonly costMs: number;
  readonly next: PartialChain | null;
}

/** Size of the activations of one token that are sent from stage to stage. */
const ACTIVATION_BYTES = 16_384;
const MS_PER_S = 1000;
/** Cost of a hop between data centres for which no measured link was announced. */
const REMOTE_PENALTY_MS = 2;
/** Above this share of a full batch, sessions queue and the cost is multiplied by the penalty. */
const FULL_SHARE = 0.9;
/** Steps that a session spends at a stage: its own, and most of the one in progress on arrival. */
const STEPS_PER_STAGE = 1.75;
const FULL_PENALTY = 4;

function isEngine(announcement: Announcement): announcement is Engine {
  return announcement.engine !== undefined;
}

/**
 * Estimated time that a session spends on one step of an engine. A session is at one stage at a
 * time and usually arrives while a step is in progress, so a chain of n stages holds about
 * `n * STEPS_PER_STAGE` batches before it is full. Only sessions beyond that wait longer.
 */
function stepCostMs({ name, engine }: Engine, layers: number, loads: BackendLoadTable): number {
  const stages = layers / (engine.lastLayer - engine.firstLayer + 1);
  const batches = (loads.estimate(name) + 1) / (stages * STEPS_PER_STAGE) / engine.maxBatch;
  const items = Math.min(1, batches) * engine.maxBatch;
  const stepMs = engine.stepBaseMs + engine.stepPerItemMs * items;
  const fullFactor = batches > FULL_SHARE ? FULL_PENALTY : 1;
  return stepMs * Math.max(1, batches) * fullFactor;
}

function linkCostMs(from: Engine, to: Engine): number {
  const link = from.engine.links.find((candidate) => candidate.to === to.name);
  if (link) return link.delayMs + (ACTIVATION_BYTES / link.bytesPerS) * MS_PER_S;
  return from.dataCentre === to.dataCentre ? 0 : REMOTE_PENALTY_MS;
}

/** Finds the cheapest chain of one version by dynamic programming from the last layer backwards. */
function chainOfVersion(
  engines: readonly Engine[],
  request: ChainRequest,
  loads: BackendLoadTable,
): PartialChain | undefined {
  const byFirstLayer = new Map<number, PartialChain[]>();
  const ordered = [...engines].sort((a, b) => b.engine.firstLayer - a.engine.firstLayer);
  ordered.forEach((engine) => {
    const { firstLayer, lastLayer } = engine.engine;
    const ownMs = stepCostMs(engine, request.layers, loads);
    const isLast = lastLayer === request.layers - 1;
    const successors = byFirstLayer.get(lastLayer + 1) ?? [];
    const options = successors.map((next) => ({
      engine,
      next,
      costMs: ownMs + linkCostMs(engine, next.engine) + next.costMs,
    }));
    const best = isLast
      ? { engine, next: null, costMs: ownMs }
      : options.sort((a, b) => a.costMs - b.costMs)[0];
    if (!best) return;
    byFirstLayer.set(firstLayer, [...(byFirstLayer.get(firstLayer) ?? []), best]);
  });
  const remoteMs = ({ engine }: PartialChain) =>
    engine.dataCentre === request.dataCentre ? 0 : REMOTE_PENALTY_MS;
  return byFirstLayer.get(0)?.sort((a, b) => a.costMs + remoteMs(a) - b.costMs - remoteMs(b))[0];
}

function toChain(version: string, head: PartialChain): Chain {
  const stages: ChainStage[] = [];
  for (let part: PartialChain | null = head; part; part = part.next) {
    const { name, host, port, engine } = part.engine;
    stages.push({
      name,
      host,
      port,
      firstLayer: engine.firstLayer,
      lastLayer: engine.lastLayer,
    });
  }
  return { version, stages, estimatedStepMs: head.costMs };
}

/**
 * Selects the chain with the lowest estimated time per token; undefined when layers are missing.
 */
export function selectChain(
  announced: readonly Announcement[],
  request: ChainRequest,
  loads: BackendLoadTable,
): Chain | undefined {
  const matching = announced
    .filter(isEngine)
    .filter(({ name, engine }) => engine.model === request.model && !request.excluded.has(name));
  const engines = loads.withoutEjected(matching, request.nowMs);
  const versions =
    request.version === undefined
      ? [...new Set(engines.map(({ engine }) => engine.version))]
      : [request.version];
  return versions
    .flatMap((version) => {
      const head = chainOfVersion(
        engines.filter(({ engine }) => engine.version === version),
        request,
        loads,
      );
      return head ? [toChain(version, head)] : [];
    })
    .sort((a, b) => a.estimatedStepMs - b.estimatedStepMs)[0];
}
