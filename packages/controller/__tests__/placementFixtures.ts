/** A placement loop with small engines and a simulated clock. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import {
  createFactTable,
  FACT_KEYS,
  FINAL_SEQUENCE,
  formatInstanceId,
  parseInstanceId,
} from '@spoolplank/membership';
import type { BackendFact, LayerRange, SystemFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type {
  DecisionSettings,
  ModelDescription,
  MoveCause,
  RoutingDocument,
} from '@spoolplank/routing';
import { createManualClock } from '@spoolplank/shared';
import type { EngineOrders, OrderOutcome, PlaceOrder } from '../src/engineOperations';
import { createPlacementLoop } from '../src/placementLoop';

const ANNOUNCEMENT_MS = 1200;
const TICK_MS = 200;
/** Turns of the event loop within which everything that a tick started has settled. */
const TURNS = 5;

const MODEL: ModelDescription = {
  layers: 8,
  layerMb: 1000,
  stepMs: 1,
  stepPerRequestMs: 0.01,
  contextMsPerToken: 0.000007,
  stepsPerPass: 2,
  readTokensPerS: 100_000,
  tokenBytes: 1_000_000,
  usualPromptTokens: 700,
  usualAnswerTokens: 200,
  maxConcurrentLoads: 6,
  loadMs: 800,
  kinds: [{ name: 'big', memoryMb: 8000, stepFactor: 1, readFactor: 1 }],
};

export const DOCUMENT: RoutingDocument = {
  version: 1,
  routes: [],
  services: [{ name: 'engines', maxConnections: 10, model: MODEL }],
  organisations: [],
  isKeyRequired: false,
  limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** An order as received by an engine. */
export interface ReceivedOrder extends PlaceOrder {
  readonly instanceId: string;
}

export interface PlacementFixtureOptions {
  /** Response of an engine to an order. */
  readonly answer: (order: ReceivedOrder) => OrderOutcome;
  readonly inspect?: EngineOrders['inspect'];
  /** Whether an engine requested a backoff from this VM. */
  readonly isBackingOff?: (instanceId: string) => boolean;
  /** Engines with the layers that they hold; `DEFAULT_LAYOUT` by default. */
  readonly layout?: Readonly<Record<string, LayerRange>>;
  /** Data centre of an engine; `a` by default. */
  readonly dataCentreOf?: (instanceId: string) => string;
  readonly decisions?: DecisionSettings;
  /** Time of a load, during which an engine refuses orders. */
  readonly loadMs?: number;
}

/** The first engine holds one half of the layers; the three others hold the other half. */
const DEFAULT_LAYOUT: Readonly<Record<string, LayerRange>> = {
  e1: { firstLayer: 0, endLayer: 4 },
  e2: { firstLayer: 4, endLayer: 8 },
  e3: { firstLayer: 4, endLayer: 8 },
  e4: { firstLayer: 4, endLayer: 8 },
};

function findKept(held: LayerRange | undefined, ordered: LayerRange): LayerRange | undefined {
  if (!held) return undefined;
  const firstLayer = Math.max(held.firstLayer, ordered.firstLayer);
  const endLayer = Math.min(held.endLayer, ordered.endLayer);
  return endLayer > firstLayer ? { firstLayer, endLayer } : undefined;
}

/** A control VM that places layers, and the engines of its service. */
export function createPlacementFixture({
  answer,
  inspect,
  isBackingOff = () => false,
  layout = DEFAULT_LAYOUT,
  dataCentreOf = () => 'a',
  decisions = DEFAULT_DECISIONS,
  loadMs = 0,
}: PlacementFixtureOptions) {
  const clock = createManualClock(100_000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const held = new Map(Object.entries(layout));
  const loading = new Map<string, { readonly range: LayerRange; readonly doneAtMs: number }>();
  const causes: MoveCause[] = [];
  const logged: string[] = [];
  const ordered: string[] = [];
  const orderedAtMs: number[] = [];
  const receivedOrders: ReceivedOrder[] = [];
  let sequence = 0;

  function describeEngine(instanceId: string, state: BackendFact['state']): BackendFact {
    return {
      kind: 'backend',
      instanceId,
      service: 'engines',
      address: `${parseInstanceId(instanceId).serverId}:80`,
      dataCentre: dataCentreOf(instanceId),
      state,
      slots: 10,
      engine: { acceleratorKind: 'big', held: held.get(instanceId) ?? null, version: 1 },
    };
  }

  function announce(instanceId: string): void {
    sequence += 1;
    const { incarnation } = parseInstanceId(instanceId);
    const version = { incarnation, sequence };
    table.put(FACT_KEYS.backend(instanceId), version, describeEngine(instanceId, 'ready'));
  }

  /** Withdraws an engine, as an engine does that still finishes its streams. */
  function withdraw(instanceId: string): void {
    const { incarnation } = parseInstanceId(instanceId);
    const version = { incarnation, sequence: FINAL_SEQUENCE };
    table.put(FACT_KEYS.backend(instanceId), version, describeEngine(instanceId, 'gone'));
  }

  function finishLoads(): void {
    loading.forEach(({ range, doneAtMs }, instanceId) => {
      if (doneAtMs > clock.nowMs()) return;
      held.set(instanceId, range);
      loading.delete(instanceId);
    });
  }

  function execute(instanceId: string, range: LayerRange): void {
    const kept = findKept(held.get(instanceId), range);
    if (kept) held.set(instanceId, kept);
    else held.delete(instanceId);
    loading.set(instanceId, { range, doneAtMs: clock.nowMs() + loadMs });
    finishLoads();
  }

  const log = createEventLog({
    vmId: 'vm',
    clock,
    writeChunk(chunk, done) {
      logged.push(String(chunk));
      done(null, chunk.length);
    },
  });
  const createLoop = () =>
    createPlacementLoop({
      decisions,
      clock,
      log,
      table,
      orders: {
        place({ instanceId }, order) {
          const { firstLayer, endLayer } = order;
          if (loading.has(instanceId)) return Promise.resolve('refused');
          ordered.push(instanceId);
          orderedAtMs.push(clock.nowMs());
          receivedOrders.push({ ...order, instanceId });
          const outcome = answer({ ...order, instanceId });
          if (outcome === 'begun') execute(instanceId, { firstLayer, endLayer });
          return Promise.resolve(outcome);
        },
        inspect:
          inspect ??
          (({ instanceId }) =>
            Promise.resolve({ held: held.get(instanceId) ?? null, slowdown: 1 })),
        isReachable: () => Promise.resolve(true),
        onNotice: () => {},
      },
      mayOrder: () => true,
      currentDocument: () => DOCUMENT,
      isBackingOff,
      announcementMs: ANNOUNCEMENT_MS,
      countMove: (cause) => causes.push(cause),
    });
  let loop = createLoop();

  return {
    clock,
    table,
    held,
    ordered,
    orderedAtMs,
    receivedOrders,
    causes,
    /** Everything that was logged. */
    async readLog(): Promise<string> {
      await log.flush();
      return logged.join('');
    },
    announce,
    withdraw,
    /** Another control VM becomes the leader; it has the same facts, and no memory of orders. */
    changeLeader(): void {
      loop = createLoop();
    },
    /** Publishes the requests in flight and waiting in a data centre. */
    publishDemand(dataCentre: string, inFlight: number, waiting = 0): void {
      const capacity = { capacity: 0, inFlight, waiting };
      table.put(FACT_KEYS.capacity(dataCentre, 'vm'), clock.nowMs(), {
        kind: 'capacity',
        dataCentre,
        services: { engines: capacity },
      });
    },
    async runFor(durationMs: number, announcing: readonly string[]): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
        announcing.forEach(announce);
        clock.advance(TICK_MS);
        finishLoads();
        loop.tick();
        for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
      }
    },
  };
}

/** The instance id of a later incarnation of an engine. */
export function nextIncarnationOf(serverId: string, incarnation = 1): string {
  return formatInstanceId({ serverId, incarnation });
}
