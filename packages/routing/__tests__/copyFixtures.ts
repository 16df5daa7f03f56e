/** A data centre with three chains whose orders are carried out in virtual time. */
import { planPlacement } from '../src/placement';
import type { ObservedEngine, PlacementOrder } from '../src/placement';
import { capacityByLayer } from '../src/layerCopies';
import { findTooSlowEngines } from '../src/slowEngines';
import { createEngines, createModel, repeat } from './fixtures';

const TICK_MS = 200;
/** Time after a loss for which the engine may return; see `engineLosses` of the controller. */
const RETURN_WINDOW_MS = 6000;
/** Pause between optimisations, and before an engine is moved again. */
const PAUSE_MS = 4000;
const SLOTS = 134;
const ALLOWED_PAUSE_MS = 250;
/** Slowdown from which engines were given up before the allowed pause decided. */
const REPLACEMENT_SLOWDOWN = 2.5;

/** The model and the kinds of a deployment with 93 engines in three data centres. */
export const MODEL = createModel({
  stepMs: 1.02,
  stepsPerPass: 4,
  maxConcurrentLoads: 15,
  kinds: [
    { name: 'a100', memoryMb: 72_000, stepFactor: 2.4, readFactor: 3.2 },
    { name: 'v100', memoryMb: 14_000, stepFactor: 5.3, readFactor: 7.9 },
    { name: 'l4', memoryMb: 22_000, stepFactor: 16, readFactor: 8.2 },
    { name: 'h100', memoryMb: 72_000, stepFactor: 1.4, readFactor: 1 },
    { name: 'a100s', memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2 },
    { name: 't4', memoryMb: 14_000, stepFactor: 15, readFactor: 15 },
  ],
});

const KINDS = [...repeat('a100', 3), ...repeat('v100', 16), ...repeat('l4', 12)];

/** An engine of the simulation; `loaded` is what it serves now. */
export interface SimulatedEngine {
  readonly id: string;
  readonly kind: string;
  state: 'ready' | 'draining' | 'lost';
  /** 1 for the usual speed. */
  slowdown: number;
  isGivenUp: boolean;
  loaded: { readonly first: number; readonly end: number } | null;
  order: { readonly first: number; readonly end: number; readonly doneAtMs: number } | null;
  orderedAtMs: number;
  hasMoved: boolean;
}

export interface GivenOrder extends PlacementOrder {
  readonly atMs: number;
  /** Whether the engine held layers when it received the order. */
  readonly isMove: boolean;
  readonly memoryMb: number;
}

export interface SimulationOptions {
  readonly isEnabled: boolean;
  /** Requests for which capacity is needed; null when no fact is known. */
  readonly demand?: (nowMs: number) => number | null;
  readonly kinds?: readonly string[];
}

function isWithin(layer: number, range: SimulatedEngine['loaded']): boolean {
  return range !== null && range.first <= layer && layer < range.end;
}

/** Starts with the three chains that the planner lays out for empty engines. */
export function createCopySimulation({
  isEnabled,
  demand = () => null,
  kinds = KINDS,
}: SimulationOptions) {
  let nowMs = 0;
  let lostAtMs = Number.NEGATIVE_INFINITY;
  let orderedAtMs = Number.NEGATIVE_INFINITY;
  const orders: GivenOrder[] = [];
  const engines: SimulatedEngine[] = [];
  /** Capacity of the bottleneck layer at each tick, of loaded layers of serving engines. */
  const capacities: { readonly atMs: number; readonly requests: number }[] = [];

  function memoryMbOf({ kind }: SimulatedEngine): number {
    return MODEL.kinds.find(({ name }) => name === kind)?.memoryMb ?? 0;
  }

  function add(id: string, kind: string): SimulatedEngine {
    const engine: SimulatedEngine = {
      id,
      kind,
      state: 'ready',
      slowdown: 1,
      isGivenUp: false,
      loaded: null,
      order: null,
      orderedAtMs: -PAUSE_MS,
      hasMoved: false,
    };
    engines.push(engine);
    return engine;
  }

  function observe(engine: SimulatedEngine): ObservedEngine {
    const { id, kind, state, order } = engine;
    const range = order ?? engine.loaded;
    const isReliable = state === 'ready' && !engine.isGivenUp;
    return {
      id,
      dataCentre: 'a',
      acceleratorKind: kind,
      slots: SLOTS,
      firstLayer: range?.first ?? null,
      endLayer: range?.end ?? null,
      isReliable,
      isOrderable: isReliable && order === null,
      isServing: state !== 'lost',
      isLeaving: state === 'draining',
      isLoading: order !== null,
      isMoving: order !== null && engine.hasMoved,
      isSettling: nowMs - engine.orderedAtMs < PAUSE_MS,
    };
  }

  function findCapacities(): readonly number[] {
    const holders = engines
      .filter(({ state }) => state !== 'lost')
      .map((engine) => ({
        memoryMb: memoryMbOf(engine),
        slots: SLOTS,
        planned: engine.loaded,
      }));
    return capacityByLayer(holders, MODEL);
  }

  function place(order: PlacementOrder): void {
    const engine = engines.find(({ id }) => id === order.id);
    if (!engine) return;
    const { firstLayer: first, endLayer: end } = order;
    const held = engine.loaded;
    orders.push({
      ...order,
      atMs: nowMs,
      isMove: held !== null,
      memoryMb: memoryMbOf(engine),
    });
    const kept = held && { first: Math.max(first, held.first), end: Math.min(end, held.end) };
    const keptLayers = kept ? Math.max(0, kept.end - kept.first) : 0;
    const loadMs = (MODEL.loadMs * (end - first - keptLayers)) / MODEL.layers;
    engine.hasMoved = held !== null;
    engine.loaded = kept && keptLayers > 0 ? kept : null;
    engine.order = { first, end, doneAtMs: nowMs + loadMs };
    engine.orderedAtMs = nowMs;
    orderedAtMs = nowMs;
  }

  function judgeSpeeds(needed: number | null): void {
    const speeds = engines
      .filter(({ state }) => state === 'ready')
      .map((engine) => {
        const { id, kind: acceleratorKind, slowdown, isGivenUp, loaded } = engine;
        return { id, acceleratorKind, slots: SLOTS, held: loaded, slowdown, isGivenUp };
      });
    const options = { model: MODEL, targetGapMs: ALLOWED_PAUSE_MS, demand: needed };
    const tooSlow = isEnabled ? findTooSlowEngines(speeds, options) : null;
    engines.forEach((engine) => {
      engine.isGivenUp = tooSlow?.has(engine.id) ?? engine.slowdown >= REPLACEMENT_SLOWDOWN;
    });
  }

  function tick(): void {
    nowMs += TICK_MS;
    engines.forEach((engine) => {
      if (!engine.order || engine.order.doneAtMs > nowMs) return;
      engine.loaded = { first: engine.order.first, end: engine.order.end };
      engine.order = null;
    });
    const needed = demand(nowMs);
    judgeSpeeds(needed);
    planPlacement(engines.map(observe), MODEL, {
      mayRebalance: () => nowMs - orderedAtMs > PAUSE_MS,
      mayMoveLayers: () => nowMs - lostAtMs >= RETURN_WINDOW_MS,
      copiesFor: () => (isEnabled ? { demand: needed } : null),
    }).forEach(place);
    capacities.push({ atMs: nowMs, requests: Math.min(...findCapacities()) });
  }

  createEngines(kinds).forEach(({ id, acceleratorKind }) => add(id, acceleratorKind));
  planPlacement(engines.map(observe), MODEL).forEach(({ id, firstLayer, endLayer }) => {
    const engine = engines.find((candidate) => candidate.id === id);
    if (engine) engine.loaded = { first: firstLayer, end: endLayer };
  });

  return {
    engines,
    orders,
    capacities,
    add,
    now: () => nowMs,
    findCapacities,
    findHolders: (layer: number) =>
      engines.filter(({ state, loaded }) => state === 'ready' && isWithin(layer, loaded)),
    /** Engines that are lost keep their last announcement. */
    lose(lost: readonly SimulatedEngine[]): void {
      lost.forEach((engine) => {
        engine.state = 'lost';
        engine.order = null;
      });
      lostAtMs = nowMs;
    },
    /** An engine that restarts is empty. */
    restart(engine: SimulatedEngine): void {
      engines.splice(engines.indexOf(engine), 1);
      add(`${engine.id}/2`, engine.kind);
    },
    /** The engine announces that it leaves, and still serves its layers. */
    drain(engine: SimulatedEngine): void {
      engine.state = 'draining';
    },
    remove(engine: SimulatedEngine): void {
      engine.state = 'lost';
      lostAtMs = nowMs;
    },
    runUntil(endMs: number): void {
      while (nowMs < endMs) tick();
    },
  };
}
