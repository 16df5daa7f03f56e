/** Orders engines to load layers so that every layer of a model is served; see `planPlacement`. */
import {
  FACT_KEYS,
  findBackend,
  isLeaving,
  announcementTimeoutMs,
  readSlowdown,
} from '@spoolplank/membership';
import type { BackendFact, Fact, FactTable, LayerRange, SystemFact } from '@spoolplank/membership';
import { delay } from '@spoolplank/node';
import type { EventLog } from '@spoolplank/node';
import { findDocumentConflict, planPlacement } from '@spoolplank/routing';
import type {
  DecisionSettings,
  ModelDescription,
  MoveCause,
  ObservedEngine,
  PlacementOrder,
  RoutingDocument,
} from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import { createDemandWatch } from './demand';
import { createEngineCounts } from './engineCounts';
import { createEngineLosses } from './engineLosses';
import type { EngineAddress, EngineOrders } from './engineOperations';
import { createOrderCounts } from './orderCounts';
import { createPendingOrders, isSameRange } from './pendingOrders';
import { createSlowEngineWatch, REPLACEMENT_SLOWDOWN } from './slowEngineWatch';

export interface PlacementLoopOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: FactTable<SystemFact>;
  readonly orders: EngineOrders;
  /** Whether this process may send orders now: it is the leader and a quorum confirms that. */
  readonly mayOrder: () => boolean;
  readonly currentDocument: () => RoutingDocument | null;
  /** Whether an engine has requested a backoff from this VM that is still in effect. */
  readonly isBackingOff: (instanceId: string) => boolean;
  /** Interval at which engines announce themselves. */
  readonly announcementMs: number;
  /** Switches of the decisions under load. */
  readonly decisions: DecisionSettings;
  /** Counts an order that follows demand or losses. */
  readonly countMove?: (cause: MoveCause) => void;
}

export interface PlacementLoop {
  /** Sends the orders that are due; called periodically. */
  tick(): void;
}

/** Result of probing an engine that other VMs suspect. */
interface ProbeResult {
  readonly sequence: number;
  isLost: boolean;
}

interface OrderTiming {
  /** Longest duration of the load. */
  readonly loadMs: number;
  /** Timeout of the engine's response. */
  readonly timeoutMs: number;
}

interface LastOrder {
  readonly atMs: number;
  readonly hasHeldLayers: boolean;
}

type EngineRow = Fact<SystemFact> & { readonly body: BackendFact };

/** A withdrawn engine finishes its streams in flight, which sometimes takes many seconds. */
const DRAIN_GRACE_MS = 8000;
/**
 * Delay of the first orders of a new leader, in announcement intervals. Engines announce themselves
 * within two intervals; before that, some may still be unknown.
 */
const SETTLE_INTERVALS = 1.5;
/** The first layout waits until no new engine was discovered for this many intervals. */
const DISCOVERY_QUIET_INTERVALS = 1.25;
/**
 * Longest delay of the first layout by discovery. Traffic starts at least 12 s after the VMs, and
 * the first loads take one second.
 */
const MAX_DISCOVERY_MS = 5000;
/** Time beyond the duration of the load after which an order counts as not executed. */
const ORDER_MARGIN_MS = 4000;
/** Longer than a load and the announcement after it, so the outcome of the last order is known. */
const IMPROVE_PAUSE_MS = 4000;
/**
 * Time for which an engine that received an order is not moved again: the load, the announcement
 * after it, and the requests that then use its layers.
 */
const SETTLING_MS = 4000;
/** Timeouts of two successive probes, as a lost packet is retransmitted only after one second. */
const PROBE_TIMEOUTS_MS: readonly number[] = [150, 300];
/** Interval of polling an engine for the completion of a load. */
const LOAD_POLL_MS = 250;
/** Engines acknowledge an order within milliseconds, before executing it; a packet may be lost. */
const ORDER_TIMEOUT_MS = 400;
/** Longer: the first orders go to all engines at once, from a small VM, over new connections. */
const FIRST_ORDER_TIMEOUT_MS = 1500;
/**
 * Pause after a refused order. An engine that refuses is busy with an earlier order until the
 * streams that use its layers have ended.
 */
const REFUSED_PAUSE_MS = 2000;
/**
 * Fractions added to the sequence of the last announcement for states that the control VM publishes
 * before the engine announces them, so that the next announcement supersedes the states.
 */
const ORDERED_SEQUENCE_STEP = 0.25;
const LOADED_SEQUENCE_STEP = 0.5;

function intersect(a: LayerRange | null, b: LayerRange): LayerRange | null {
  if (!a) return null;
  const firstLayer = Math.max(a.firstLayer, b.firstLayer);
  const endLayer = Math.min(a.endLayer, b.endLayer);
  return endLayer > firstLayer ? { firstLayer, endLayer } : null;
}

function isEngineOf(service: string) {
  return (fact: Fact<SystemFact>): fact is EngineRow =>
    fact.body.kind === 'backend' && fact.body.service === service && fact.body.engine !== undefined;
}

export function createPlacementLoop(options: PlacementLoopOptions): PlacementLoop {
  const { clock, log, table, orders, announcementMs } = options;
  const pending = createPendingOrders({ clock, log, table });
  const probeResults = new Map<string, ProbeResult>();
  const uncertainUntilMs = new Map<string, number>();
  const refusedAtMs = new Map<string, number>();
  const orderedAtMs = new Map<string, number>();
  let orderableSinceMs: number | null = null;
  const counts = createEngineCounts({ clock, log });
  const losses = createEngineLosses({ clock });
  const orderCounts = createOrderCounts();
  const demand = createDemandWatch({ clock, table });
  const slowEngines = createSlowEngineWatch({ clock, table, demand });
  const { isEnabled: isByDemand } = options.decisions.demandPlacement;
  /** The last order of each engine, and whether the engine held layers when it received it. */
  const lastOrders = new Map<string, LastOrder>();
  let discovered = { count: 0, atMs: Number.NEGATIVE_INFINITY };

  function wasRecentlyRefused(instanceId: string): boolean {
    const atMs = refusedAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY;
    return clock.nowMs() - atMs < REFUSED_PAUSE_MS;
  }

  /** Whether probes of this VM confirmed a suspicion, as the loads of a replacement are costly. */
  function isConfirmedLost({ body, sequence }: EngineRow): boolean {
    const { instanceId, address } = body;
    const suspicion = table.find(FACT_KEYS.suspicion(instanceId));
    if (!suspicion || suspicion.sequence < Math.floor(sequence)) return false;
    const known = probeResults.get(instanceId);
    if (known && known.sequence >= suspicion.sequence) return known.isLost;
    const result: ProbeResult = { sequence: suspicion.sequence, isLost: false };
    probeResults.set(instanceId, result);
    void (async () => {
      for (const timeoutMs of PROBE_TIMEOUTS_MS) {
        if (await orders.isReachable(address, timeoutMs)) return;
      }
      result.isLost = true;
      log.warn('engine-lost', { instanceId, address, sequence });
    })();
    return false;
  }

  /** Publishes the layers of an engine before the engine announces them. */
  function publish(instanceId: string, held: LayerRange | null, step: number): void {
    const known = findBackend(table, instanceId);
    if (!known?.body.engine) return;
    const body: BackendFact = { ...known.body, engine: { ...known.body.engine, held } };
    const { incarnation, sequence } = known;
    table.put(known.key, { incarnation, sequence: Math.floor(sequence) + step }, body);
  }

  async function fetchHeldLayers(engine: EngineAddress): Promise<LayerRange | null> {
    try {
      const { held, acceptedOrders } = await orders.inspect(engine);
      orderCounts.recordReport(engine.instanceId, acceptedOrders);
      return held;
    } catch (error) {
      // The engine may be busy or gone; whether it keeps announcing itself shows which.
      log.info('engine-unread', { engine: engine.instanceId, problem: String(error) });
      return null;
    }
  }

  async function followLoad(engine: EngineAddress, range: LayerRange): Promise<void> {
    while (pending.find(engine.instanceId) === range) {
      await delay(LOAD_POLL_MS);
      const held = await fetchHeldLayers(engine);
      if (isSameRange(held, range)) {
        publish(engine.instanceId, held, LOADED_SEQUENCE_STEP);
        return;
      }
    }
  }

  function toPlaced(row: EngineRow, newestMs: number): ObservedEngine {
    const { body, receivedAtMs } = row;
    const { instanceId, dataCentre, state, engine, slots } = body;
    const nowMs = clock.nowMs();
    const ordered = pending.find(instanceId);
    const range = ordered ?? engine?.held ?? null;
    const isSuspect = isConfirmedLost(row);
    const isAnnounced = newestMs - receivedAtMs < announcementTimeoutMs(announcementMs);
    // A withdrawn engine still serves its streams in flight, which must not be interrupted.
    const isPresent = state === 'gone' ? nowMs - receivedAtMs < DRAIN_GRACE_MS : isAnnounced;
    const isServing = isPresent && !isSuspect;
    const isTooSlow = isByDemand
      ? slowEngines.isGivenUp(body.service, instanceId)
      : readSlowdown(table, instanceId, nowMs) >= REPLACEMENT_SLOWDOWN;
    const isUncertain = (uncertainUntilMs.get(instanceId) ?? 0) > nowMs;
    const isReady = state === 'ready' && !isLeaving(table, instanceId);
    const isRetained = isReady && !isTooSlow && !isUncertain;
    // A backoff of seconds does not justify moving layers, so the engine merely gets no orders.
    const mayBeOrdered = !wasRecentlyRefused(instanceId) && !options.isBackingOff(instanceId);
    const isReliable = isServing && isRetained;
    const last = lastOrders.get(instanceId);
    return {
      id: instanceId,
      dataCentre,
      acceleratorKind: engine?.acceleratorKind ?? '',
      slots,
      firstLayer: range?.firstLayer ?? null,
      endLayer: range?.endLayer ?? null,
      isOrderable: isReliable && ordered === undefined && mayBeOrdered,
      isReliable,
      isServing,
      isLeaving: !isReady,
      isLoading: ordered !== undefined,
      isMoving: ordered !== undefined && last?.hasHeldLayers === true,
      isSettling: last !== undefined && nowMs - last.atMs < SETTLING_MS,
    };
  }

  /** The number of accepted orders that the next order to an engine has to name. */
  async function findExpectedOrders({ body }: EngineRow): Promise<number | undefined> {
    const { instanceId, address, engine } = body;
    // An engine without layers has most likely just started. No request is spent on it, as all
    // engines are ordered at once at that time.
    if (!engine?.held) orderCounts.assumeNone(instanceId);
    else if (!orderCounts.isKnown(instanceId)) await fetchHeldLayers({ instanceId, address });
    return orderCounts.find(instanceId);
  }

  async function sendOrder(
    engine: EngineRow,
    order: PlacementOrder,
    timing: OrderTiming,
  ): Promise<void> {
    const { instanceId, address } = engine.body;
    const { loadMs, timeoutMs } = timing;
    const { firstLayer, endLayer, isPreempting } = order;
    const range = { firstLayer, endLayer };
    orderedAtMs.set(engine.body.dataCentre, clock.nowMs());
    const hasHeldLayers = (engine.body.engine?.held ?? null) !== null;
    lastOrders.set(instanceId, { atMs: clock.nowMs(), hasHeldLayers });
    pending.add(instanceId, range, clock.nowMs() + loadMs + ORDER_MARGIN_MS);
    const expectedOrders = await findExpectedOrders(engine);
    const placement = { ...range, isPreempting, timeoutMs, expectedOrders };
    const outcome = await orders.place({ instanceId, address }, placement);
    orderCounts.recordOutcome(instanceId, outcome);
    log.info('order-given', {
      engine: instanceId,
      ...range,
      isPreempting,
      outcome,
      expectedOrders,
      announcedAgeMs: Math.round(clock.nowMs() - engine.receivedAtMs),
    });
    if (outcome === 'unknown') {
      // The order may still be executed, or never; until that is known, the layers go to others.
      uncertainUntilMs.set(instanceId, clock.nowMs() + loadMs + ORDER_MARGIN_MS);
      return;
    }
    if (outcome === 'refused') {
      await fetchHeldLayers({ instanceId, address });
      // The engine had accepted orders unknown to this VM, so only the count was wrong: retry.
      const isMiscounted = orderCounts.find(instanceId) !== expectedOrders;
      if (!isMiscounted) refusedAtMs.set(instanceId, clock.nowMs());
      pending.remove(instanceId);
      return;
    }
    publish(instanceId, intersect(engine.body.engine?.held ?? null, range), ORDERED_SEQUENCE_STEP);
    await followLoad({ instanceId, address }, range);
  }

  function reportMove(
    { id, firstLayer, endLayer, move }: PlacementOrder,
    dataCentre: string,
    service: string,
  ): void {
    if (!move) return;
    const { cause, bottleneckBefore, bottleneckAfter } = move;
    const known = demand.find(dataCentre, service);
    options.countMove?.(cause);
    log.info('layers-moved', {
      engine: id,
      firstLayer,
      endLayer,
      cause,
      bottleneckBefore: Math.round(bottleneckBefore),
      bottleneckAfter: Math.round(bottleneckAfter),
      demand: known ? Math.round(known.requests) : null,
      demandAgeMs: known ? Math.round(known.ageMs) : null,
    });
  }

  function dropGoneEngines(): void {
    lastOrders.forEach((_, instanceId) => {
      if (!findBackend(table, instanceId)) lastOrders.delete(instanceId);
    });
  }

  function mayRebalance(dataCentre: string): boolean {
    const lastMs = orderedAtMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY;
    return clock.nowMs() - lastMs > IMPROVE_PAUSE_MS;
  }

  /**
   * Whether engines are still being discovered. Engines missing from the first layout could later
   * only fill gaps, instead of forming chains with matching layer boundaries.
   */
  function isDiscovering(engines: readonly EngineRow[]): boolean {
    const nowMs = clock.nowMs();
    if (engines.length > discovered.count) discovered = { count: engines.length, atMs: nowMs };
    const isTimeOver = nowMs - (orderableSinceMs ?? nowMs) > MAX_DISCOVERY_MS;
    return !isTimeOver && nowMs - discovered.atMs < DISCOVERY_QUIET_INTERVALS * announcementMs;
  }

  function placeLayers(
    service: string,
    model: ModelDescription,
    engines: readonly EngineRow[],
  ): void {
    pending.dropSettled();
    const newestMs = Math.max(...engines.map(({ receivedAtMs }) => receivedAtMs));
    const placed = engines.map((engine) => toPlaced(engine, newestMs));
    counts.record(service, placed);
    losses.record(service, placed);
    const freeLoads = Math.max(1, model.maxConcurrentLoads) * 2 - pending.size;
    const isFirst = placed.every(({ firstLayer }) => firstLayer === null);
    if (isFirst && isDiscovering(engines)) return;
    const mayMoveLayers = (dataCentre: string) => !losses.isReturnLikely(dataCentre);
    const copiesFor = (dataCentre: string) =>
      isByDemand ? { demand: demand.find(dataCentre, service)?.requests ?? null } : null;
    const plan = planPlacement(placed, model, { mayRebalance, mayMoveLayers, copiesFor });
    // The first loads are cheap, and all of them have to finish before requests arrive.
    plan.slice(0, isFirst ? plan.length : Math.max(0, freeLoads)).forEach((order) => {
      const engine = engines.find(({ body }) => body.instanceId === order.id);
      if (!engine) return;
      reportMove(order, engine.body.dataCentre, service);
      const loadMs = (model.loadMs * (order.endLayer - order.firstLayer)) / model.layers;
      const timeoutMs = isFirst ? FIRST_ORDER_TIMEOUT_MS : ORDER_TIMEOUT_MS;
      void sendOrder(engine, order, { loadMs: loadMs * 2, timeoutMs });
    });
  }

  return {
    tick() {
      const document = options.currentDocument();
      if (!options.mayOrder() || !document) {
        orderableSinceMs = null;
        pending.clear();
        return;
      }
      orderableSinceMs ??= clock.nowMs();
      const isSettled = clock.nowMs() - orderableSinceMs > SETTLE_INTERVALS * announcementMs;
      if (!isSettled) return;
      if (isByDemand) demand.record();
      dropGoneEngines();
      document.services.forEach(({ name, model }) => {
        const engines = table
          .list()
          .filter(isEngineOf(name))
          .filter(({ body }) => findDocumentConflict(body, document) === null);
        if (!model || engines.length === 0) return;
        if (isByDemand) {
          const bodies = engines.map(({ body }) => body);
          slowEngines.record(name, model, bodies, document);
        }
        placeLayers(name, model, engines);
      });
    },
  };
}
