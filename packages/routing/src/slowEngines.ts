/**
 * Decides whether a slow engine has to be given up, so that other engines take its layers.
 *
 * The load: 3 to 40 % of the engines are 3 to 12 times slower for 6 to 9 s. An engine is one of
 * about ten of its chain, so that most streams keep their allowed pause in spite of an engine that
 * is three times slower; giving it up would cost more capacity than it saves. At twelve times, the
 * pass of that engine alone uses up the allowed pause.
 */
import { estimateChainSpeed } from './chainSpeed';
import type { ChainPart } from './chainSpeed';
import { countRequests } from './layerCopies';
import { lengthOf } from './plannedEngines';
import type { Range } from './plannedEngines';
import type { ModelDescription } from './routingDocument';

/** An engine of a data centre, with its speed. */
export interface SpeedOfEngine {
  readonly id: string;
  readonly acceleratorKind: string;
  readonly slots: number;
  readonly held: Range | null;
  /** 1 for the usual speed of the kind. */
  readonly slowdown: number;
  /** Whether the engine is given up now. */
  readonly isGivenUp: boolean;
}

export interface SlowEngineOptions {
  readonly model: ModelDescription;
  /** Smallest allowed pause between the events of a stream. */
  readonly targetGapMs: number;
  /** Requests for which the data centre needs capacity; null when that is unknown. */
  readonly demand: number | null;
}

/** Below this slowdown, an engine costs less time than the load of its layers on another one. */
const MIN_SLOWDOWN = 2.5;
/** Part of the allowed pause that has to remain for the other engines of the chain. */
const REST_SHARE = 0.4;
/** An engine that was given up is used again only when it is clearly faster. */
const HYSTERESIS = 0.8;

/** The usual part of a chain: the mean over all held layers. */
function findUsualPart(engines: readonly SpeedOfEngine[], model: ModelDescription): ChainPart {
  let layers = 0;
  let stepFactor = 0;
  let readFactor = 0;
  let holders = 0;
  engines.forEach(({ held, acceleratorKind }) => {
    const kind = model.kinds.find(({ name }) => name === acceleratorKind);
    if (!held || !kind) return;
    holders += 1;
    layers += lengthOf(held);
    stepFactor += lengthOf(held) * kind.stepFactor;
    readFactor += lengthOf(held) * kind.readFactor;
  });
  if (layers === 0) return { layers: 0, stepFactor: 1, readFactor: 1 };
  return {
    layers: layers / holders,
    stepFactor: stepFactor / layers,
    readFactor: readFactor / layers,
  };
}

/** Time that a request spends at an engine between two events, in milliseconds. */
export function estimatePassMs(
  { held, acceleratorKind, slowdown }: SpeedOfEngine,
  usualPart: ChainPart,
  requests: number,
  model: ModelDescription,
): number {
  const kind = model.kinds.find(({ name }) => name === acceleratorKind);
  const layers = held ? lengthOf(held) : 0;
  if (!kind || layers === 0) return 0;
  const own: ChainPart = {
    layers,
    stepFactor: kind.stepFactor * slowdown,
    readFactor: kind.readFactor * slowdown,
  };
  const others = Math.max(0, Math.round((model.layers - layers) / Math.max(1, usualPart.layers)));
  const parts = [own, ...new Array<ChainPart>(others).fill(usualPart)];
  return estimateChainSpeed(parts, Math.max(1, requests), model).stageMs[0] ?? 0;
}

/**
 * Returns the engines of a data centre that are so slow that streams of their chains would pause
 * for too long at the present demand; without a known demand, at full chains.
 */
export function findTooSlowEngines(
  engines: readonly SpeedOfEngine[],
  { model, targetGapMs, demand }: SlowEngineOptions,
): ReadonlySet<string> {
  const shareOf = ({ isGivenUp }: SpeedOfEngine) => (isGivenUp ? HYSTERESIS : 1);
  const slow = engines.filter(
    (engine) => engine.held && engine.slowdown >= MIN_SLOWDOWN * shareOf(engine),
  );
  if (slow.length === 0) return new Set();
  const usualPart = findUsualPart(engines, model);
  const copies = engines.reduce((sum, { held }) => sum + (held ? lengthOf(held) : 0), 0);
  const onChain = demand === null ? Infinity : (demand * model.layers) / Math.max(1, copies);
  const isTooSlow = (engine: SpeedOfEngine) => {
    const kind = model.kinds.find(({ name }) => name === engine.acceleratorKind);
    if (!kind || !engine.held) return false;
    const { memoryMb } = kind;
    const most = countRequests({ memoryMb, slots: engine.slots }, engine.held, model);
    const passMs = estimatePassMs(engine, usualPart, Math.min(most, onChain), model);
    return passMs > targetGapMs * (1 - REST_SHARE) * shareOf(engine);
  };
  return new Set(slow.filter(isTooSlow).map(({ id }) => id));
}
