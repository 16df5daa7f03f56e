import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { estimateChainSpeed } from '../src/chainSpeed';
import type { ChainPart } from '../src/chainSpeed';
import { planPlacement } from '../src/placement';
import type { ObservedEngine, PlacementOrder } from '../src/placement';
import { createEngines, createModel, repeat } from './fixtures';

const MODEL = createModel();
const KINDS = ['large', 'medium', ...repeat('small', 5), ...repeat('tiny', 7)];
/** Requests in flight at which layouts are compared: about half of the capacity of a chain. */
const IN_FLIGHT = 50;

function toParts(
  engines: readonly ObservedEngine[],
  orders: readonly PlacementOrder[],
): readonly ChainPart[] {
  let done = 0;
  return [...orders]
    .sort((a, b) => a.firstLayer - b.firstLayer)
    .flatMap((order) => {
      const engine = engines.find(({ id }) => id === order.id);
      const kind = MODEL.kinds.find(({ name }) => name === engine?.acceleratorKind);
      if (!kind || order.firstLayer !== done) return [];
      done = order.endLayer;
      return [{ layers: order.endLayer - order.firstLayer, ...kind }];
    });
}

function countCopies(orders: readonly PlacementOrder[], layer: number): number {
  return orders.filter(({ firstLayer, endLayer }) => firstLayer <= layer && layer < endLayer)
    .length;
}

describe('the layout of a data centre with few fast engines and many slow ones', () => {
  /** Distributes the layers in proportion to memory, which maximises concurrent requests. */
  function spreadEvenly(kinds: readonly string[]): readonly ChainPart[] {
    const described = kinds.flatMap((name) => MODEL.kinds.find((kind) => kind.name === name) ?? []);
    const totalMb = described.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
    return described.map((kind) => ({ ...kind, layers: (MODEL.layers * kind.memoryMb) / totalMb }));
  }

  it('decodes answers in three quarters of the time of an even distribution', () => {
    const kinds = [...repeat('large', 3), ...repeat('small', 8)];
    const engines = createEngines(kinds);
    const planned = toParts(engines, planPlacement(engines, MODEL));
    const plannedMs = estimateChainSpeed(planned, IN_FLIGHT, MODEL).answerMs;
    const evenMs = estimateChainSpeed(spreadEvenly(kinds), IN_FLIGHT, MODEL).answerMs;
    assert.ok(plannedMs < 0.75 * evenMs, `${plannedMs} and ${evenMs} ms`);
  });
});

describe('the layout of a chain', () => {
  const engines = createEngines(KINDS);
  const orders = planPlacement(engines, MODEL);

  it('gives the fastest engine the first layers and places every layer', () => {
    const first = orders.find(({ firstLayer }) => firstLayer === 0);
    assert.equal(first?.id, engines[0]?.id);
    for (let layer = 0; layer < MODEL.layers; layer += 1) {
      assert.ok(countCopies(orders, layer) >= 1, `layer ${layer}`);
    }
  });

  it('places second copies on the remaining engines', () => {
    const copied = Array.from({ length: MODEL.layers }, (_, layer) => countCopies(orders, layer));
    assert.ok(copied.some((count) => count > 1));
    assert.equal(new Set(orders.map(({ id }) => id)).size, engines.length);
  });

  it('gives a returning engine the layers that it runs faster than their current holders', () => {
    const held = engines.map((engine): ObservedEngine => {
      const order = orders.find(({ id }) => id === engine.id);
      return { ...engine, firstLayer: order?.firstLayer ?? 0, endLayer: order?.endLayer ?? 0 };
    });
    const without = held.slice(1);
    const repairs = planPlacement(without, MODEL);
    const repaired = without.map((engine): ObservedEngine => {
      const order = repairs.find(({ id }) => id === engine.id);
      return order ? { ...engine, ...order } : engine;
    });
    const back = { ...held[0], id: 'back', firstLayer: null, endLayer: null } as ObservedEngine;
    const [order] = planPlacement([...repaired, back], MODEL);
    assert.equal(order?.id, 'back');
    assert.ok((order?.endLayer ?? 0) - (order?.firstLayer ?? 0) > 10);
  });
});

describe('the speed of a chain', () => {
  const PARTS: readonly ChainPart[] = [
    { layers: 40, stepFactor: 1.4, readFactor: 1 },
    { layers: 40, stepFactor: 16, readFactor: 8.2 },
  ];

  it('decreases with the requests in flight while the throughput increases', () => {
    const few = estimateChainSpeed(PARTS, 10, MODEL);
    const many = estimateChainSpeed(PARTS, 100, MODEL);
    assert.ok(many.answerMs > few.answerMs);
    assert.ok(many.requestsPerS > few.requestsPerS);
  });

  it('of a single request is the sum of its passes', () => {
    const passMs = 2 * 0.5 * (MODEL.stepMs + 0.005 + 0.000007 * 858) * (1.4 + 16);
    const { cycleMs } = estimateChainSpeed(PARTS, 0.001, MODEL);
    assert.ok(Math.abs(cycleMs - passMs - 2 * 0.3) < passMs * 0.02, `${cycleMs} and ${passMs}`);
  });
});
