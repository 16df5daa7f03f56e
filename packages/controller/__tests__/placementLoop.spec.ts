import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createFactTable, FACT_KEYS } from '@spoolplank/membership';
import type { LayerRange, SystemFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import type { ModelDescription, RoutingDocument } from '@spoolplank/routing';
import { createManualClock } from '@spoolplank/shared';
import type { OrderOutcome } from '../src/engineOperations';
import { createPlacementLoop } from '../src/placementLoop';

const ANNOUNCEMENT_MS = 1200;
const TICK_MS = 200;

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

const DOCUMENT: RoutingDocument = {
  version: 1,
  routes: [],
  services: [{ name: 'engines', maxConnections: 10, model: MODEL }],
  organisations: [],
  isKeyRequired: false,
  limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** Four engines: the first holds one half of the layers, the others hold the other half. */
function createSetting(answer: (instanceId: string) => OrderOutcome) {
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
  let sequence = 0;
  const announce = (instanceId: string) => {
    sequence += 1;
    table.put(FACT_KEYS.backend(instanceId), sequence, {
      kind: 'backend',
      instanceId,
      service: 'engines',
      address: `${instanceId}:80`,
      dataCentre: 'a',
      state: 'ready',
      slots: 10,
      engine: { acceleratorKind: 'big', held: held.get(instanceId) ?? null, version: 1 },
    });
  };
  const loop = createPlacementLoop({
    clock,
    log: createEventLog({ vmId: 'vm', clock, writeChunk: () => {} }),
    table,
    orders: {
      place({ instanceId }, { firstLayer, endLayer }) {
        ordered.push(instanceId);
        orderedAtMs.push(clock.nowMs());
        const outcome = answer(instanceId);
        if (outcome === 'begun') held.set(instanceId, { firstLayer, endLayer });
        return Promise.resolve(outcome);
      },
      inspect: ({ instanceId }) =>
        Promise.resolve({ held: held.get(instanceId) ?? null, slowdown: 1 }),
      isReachable: () => Promise.resolve(true),
    },
    mayOrder: () => true,
    currentDocument: () => DOCUMENT,
    announcementMs: ANNOUNCEMENT_MS,
  });
  return {
    ordered,
    orderedAtMs,
    async pass(durationMs: number, announcing: readonly string[]): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
        announcing.forEach(announce);
        clock.advance(TICK_MS);
        loop.tick();
        for (let turn = 0; turn < 5; turn += 1) await nextTurn();
      }
    },
  };
}

describe('the loop that gives orders', () => {
  it('gives the layers to another engine at once when an order has no answer', async () => {
    let refusals = 0;
    const { ordered, pass } = createSetting(() => {
      refusals += 1;
      return refusals === 1 ? 'unknown' : 'begun';
    });
    await pass(2400, ['e1', 'e2', 'e3', 'e4']);
    // The first engine is silent from here on: its layers are missing once that is noticed.
    await pass(6000, ['e2', 'e3', 'e4']);
    const [first, second] = ordered;
    assert.ok(first && second);
    assert.notEqual(first, second);
  });

  it('does not repeat an order within two seconds that an engine refused', async () => {
    const { ordered, orderedAtMs, pass } = createSetting(() => 'refused');
    await pass(2400, ['e1', 'e2', 'e3', 'e4']);
    await pass(6000, ['e2', 'e3', 'e4']);
    assert.ok(ordered.length > 0);
    const lastMs = new Map<string, number>();
    orderedAtMs.forEach((atMs, index) => {
      const engine = ordered[index] ?? '';
      const gapMs = atMs - (lastMs.get(engine) ?? Number.NEGATIVE_INFINITY);
      assert.ok(gapMs >= 2000, `${engine} after ${gapMs} ms`);
      lastMs.set(engine, atMs);
    });
  });
});
