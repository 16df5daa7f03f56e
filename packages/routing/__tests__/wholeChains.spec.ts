import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { planPlacement } from '../src/placement';
import type { ObservedEngine, PlacementOrder } from '../src/placement';
import { findStagePath } from '../src/stagePath';
import { createEngines, createModel, repeat } from './fixtures';

const MODEL = createModel({ usualAnswerTokens: 141, stepsPerPass: 3, maxConcurrentLoads: 30 });

/** Data centres of heterogeneous engines, most with memory for several chains. */
const DATA_CENTRES: Readonly<Record<string, readonly string[]>> = {
  four: ['large', ...repeat('medium', 6), ...repeat('small', 16), ...repeat('tiny', 22)],
  three: ['large', ...repeat('medium', 2), ...repeat('small', 19), ...repeat('tiny', 22)],
  slow: ['large', ...repeat('medium', 3), ...repeat('small', 28), ...repeat('tiny', 11)],
  even: [...repeat('medium', 5), ...repeat('small', 15), ...repeat('tiny', 21)],
  two: [...repeat('medium', 4), ...repeat('small', 11), ...repeat('tiny', 18)],
  one: ['large', ...repeat('medium', 2), ...repeat('small', 5), ...repeat('tiny', 7)],
};

function carryOut(engines: readonly ObservedEngine[], orders: readonly PlacementOrder[]) {
  return engines.map((engine) => {
    const order = orders.find(({ id }) => id === engine.id);
    return order ? { ...engine, firstLayer: order.firstLayer, endLayer: order.endLayer } : engine;
  });
}

function layOut(kinds: readonly string[]): readonly ObservedEngine[] {
  const engines = createEngines(kinds);
  return carryOut(engines, planPlacement(engines, MODEL));
}

/** Chains that share no engine. */
function countChains(engines: readonly ObservedEngine[]): number {
  let stages = engines.flatMap(({ id, firstLayer, endLayer }) =>
    firstLayer === null || endLayer === null
      ? []
      : [{ id, address: id, firstLayer, endLayer, layerCostMs: 0.2 }],
  );
  for (let count = 0; ; count += 1) {
    const path = findStagePath(stages, { toLayer: MODEL.layers, unusedLayerCostMs: 10 });
    if (!path) return count;
    const used = new Set(path.stages.map(({ id }) => id));
    stages = stages.filter(({ id }) => !used.has(id));
  }
}

/** Data centres with too little spare memory to rebuild a broken chain from its engines. */
const TIGHT = ['four', 'slow'];

describe('a data centre with several chains', () => {
  Object.entries(DATA_CENTRES).forEach(([name, kinds]) => {
    it(`is unchanged while no engine is lost (${name})`, () => {
      assert.deepEqual(planPlacement(layOut(kinds), MODEL), []);
    });

    it(`moves no engine while a lost one may return, and reassigns its layers once it has returned (${name})`, () => {
      const engines = layOut(kinds);
      const held = engines.filter(({ firstLayer }) => firstLayer !== null);
      const lost = held.find(({ acceleratorKind }) => ['small', 'tiny'].includes(acceleratorKind));
      assert.ok(lost);
      // With a single chain the lost layers have no other copy, so they are restored at once.
      if (countChains(engines) === 1) return;
      const mayMoveLayers = () => false;
      const remaining = engines.filter(({ id }) => id !== lost.id);
      const holding = new Set(
        remaining.filter(({ firstLayer }) => firstLayer !== null).map(({ id }) => id),
      );
      planPlacement(remaining, MODEL, { mayMoveLayers, mayRebalance: () => false }).forEach(
        ({ id }) => assert.ok(!holding.has(id), id),
      );
      const back = { ...lost, id: `${lost.id}-back`, firstLayer: null, endLayer: null };
      const orders = planPlacement([...remaining, back], MODEL, {
        mayMoveLayers,
        mayRebalance: () => false,
      });
      orders.forEach(({ id }) => assert.ok(!holding.has(id), id));
      if (countChains(remaining) < countChains(engines)) {
        const restored = countChains(carryOut([...remaining, back], orders));
        assert.equal(restored, countChains(engines));
      }
    });

    it(`restores the number of chains after the loss of any small engine (${name})`, () => {
      const engines = layOut(kinds);
      const before = countChains(engines);
      engines
        .filter(({ acceleratorKind }) => ['small', 'tiny'].includes(acceleratorKind))
        .forEach((lost) => {
          const remaining = engines.filter(({ id }) => id !== lost.id);
          const orders = planPlacement(remaining, MODEL);
          const repaired = carryOut(remaining, orders);
          const minChains = TIGHT.includes(name) ? before - 1 : before;
          assert.ok(countChains(repaired) >= minChains, `${lost.id}: ${orders.length} orders`);
          assert.ok(orders.length <= 12, `${lost.id}: ${orders.length} orders`);
          assert.deepEqual(planPlacement(repaired, MODEL), [], `after ${lost.id}`);
        });
    });

    it(`keeps all other chains while one is repaired (${name})`, () => {
      const engines = layOut(kinds);
      const before = countChains(engines);
      engines.forEach((lost) => {
        const remaining = engines.filter(({ id }) => id !== lost.id);
        const ordered = new Set(planPlacement(remaining, MODEL).map(({ id }) => id));
        const untouched = remaining.filter(({ id }) => !ordered.has(id));
        if (before > 1) assert.ok(countChains(untouched) >= before - 1, lost.id);
      });
    });
  });
});
