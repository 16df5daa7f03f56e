/** A placement loop with four small engines and a simulated clock. */
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
import type { ModelDescription, RoutingDocument } from '@spoolplank/routing';
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
}

/** The first engine holds one half of the layers; the three others hold the other half. */
export function createPlacementFixture({
  answer,
  inspect,
  isBackingOff = () => false,
}: PlacementFixtureOptions) {
  const clock = createManualClock(100_000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const held = new Map<string, LayerRange>([
    ['e1', { firstLayer: 0, endLayer: 4 }],
    ['e2', { firstLayer: 4, endLayer: 8 }],
    ['e3', { firstLayer: 4, endLayer: 8 }],
    ['e4', { firstLayer: 4, endLayer: 8 }],
  ]);
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
      dataCentre: 'a',
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

  const loop = createPlacementLoop({
    decisions: DEFAULT_DECISIONS,
    clock,
    log: createEventLog({ vmId: 'vm', clock, writeChunk: () => {} }),
    table,
    orders: {
      place({ instanceId }, order) {
        const { firstLayer, endLayer } = order;
        ordered.push(instanceId);
        orderedAtMs.push(clock.nowMs());
        receivedOrders.push({ ...order, instanceId });
        const outcome = answer({ ...order, instanceId });
        if (outcome === 'begun') held.set(instanceId, { firstLayer, endLayer });
        return Promise.resolve(outcome);
      },
      inspect:
        inspect ??
        (({ instanceId }) => Promise.resolve({ held: held.get(instanceId) ?? null, slowdown: 1 })),
      isReachable: () => Promise.resolve(true),
      onNotice: () => {},
    },
    mayOrder: () => true,
    currentDocument: () => DOCUMENT,
    isBackingOff,
    announcementMs: ANNOUNCEMENT_MS,
  });

  return {
    clock,
    table,
    held,
    ordered,
    orderedAtMs,
    receivedOrders,
    announce,
    withdraw,
    async runFor(durationMs: number, announcing: readonly string[]): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
        announcing.forEach(announce);
        clock.advance(TICK_MS);
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
