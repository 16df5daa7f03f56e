import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { planPlacement } from '../src/placement';
import type { PlacedEngine, PlacementOrder } from '../src/placement';
import { createEngines, createModel, repeat } from './fixtures';

const MODEL = createModel();

const MIXED = ['large', 'medium', ...repeat('small', 5), ...repeat('tiny', 7)];
const SMALL = ['medium', ...repeat('small', 8), ...repeat('tiny', 3)];

function carryOut(engines: readonly PlacedEngine[], orders: readonly PlacementOrder[]) {
  return engines.map((engine) => {
    const order = orders.find(({ id }) => id === engine.id);
    return order ? { ...engine, firstLayer: order.firstLayer, endLayer: order.endLayer } : engine;
  });
}

/** Layers that no reliable engine holds. */
function findMissing(engines: readonly PlacedEngine[]): readonly number[] {
  return Array.from({ length: MODEL.layers }, (_, layer) => layer).filter(
    (layer) =>
      !engines.some(
        ({ firstLayer, endLayer, isReliable }) =>
          isReliable &&
          firstLayer !== null &&
          endLayer !== null &&
          firstLayer <= layer &&
          layer < endLayer,
      ),
  );
}

function assertFits(engines: readonly PlacedEngine[]): void {
  engines.forEach(({ firstLayer, endLayer, acceleratorKind }) => {
    const kind = MODEL.kinds.find(({ name }) => name === acceleratorKind);
    const layers = (endLayer ?? 0) - (firstLayer ?? 0);
    assert.ok(layers * MODEL.layerMb < (kind?.memoryMb ?? 0), `${layers} on ${acceleratorKind}`);
  });
}

function layOut(kinds: readonly string[]): PlacedEngine[] {
  const engines = createEngines(kinds);
  return carryOut(engines, planPlacement(engines, MODEL));
}

describe('placement', () => {
  [MIXED, SMALL].forEach((kinds) => {
    it(`places every layer on ${kinds.length} heterogeneous engines and leaves memory for requests`, () => {
      const placed = layOut(kinds);
      assert.deepEqual(findMissing(placed), []);
      assertFits(placed);
    });

    it(`restores every layer after the loss of any of ${kinds.length} engines`, () => {
      const placed = layOut(kinds);
      placed.forEach((lost) => {
        const left = placed.filter(({ id }) => id !== lost.id);
        const repaired = carryOut(left, planPlacement(left, MODEL));
        assert.deepEqual(findMissing(repaired), [], `without ${lost.id}`);
        assertFits(repaired);
      });
    });
  });

  it('gives no order when no layer is missing and no engine is empty', () => {
    const placed = layOut(SMALL);
    assert.deepEqual(planPlacement(placed, MODEL), []);
  });

  it('moves only engines near a small hole', () => {
    const placed = layOut(SMALL);
    const lost = placed.find(({ acceleratorKind }) => acceleratorKind === 'tiny');
    const left = placed.filter(({ id }) => id !== lost?.id);
    assert.ok(planPlacement(left, MODEL).length <= left.length / 2);
  });

  it('never orders an engine whose order is in progress', () => {
    const placed = layOut(SMALL).map((engine, index) => ({ ...engine, isOrderable: index > 2 }));
    const left = placed.filter((_, index) => index !== 5);
    const busy = new Set(placed.slice(0, 3).map(({ id }) => id));
    assert.ok(planPlacement(left, MODEL).every(({ id }) => !busy.has(id)));
  });

  it('gives an order only to a new empty engine when no layer is missing', () => {
    const placed = layOut(SMALL);
    const left = placed.filter((_, index) => index !== 3);
    const repaired = carryOut(left, planPlacement(left, MODEL));
    const [newcomer] = createEngines(['small']);
    assert.ok(newcomer);
    const orders = planPlacement([...repaired, { ...newcomer, id: 'new' }], MODEL);
    assert.deepEqual(
      orders.map(({ id }) => id),
      ['new'],
    );
  });

  it('keeps the last copy of every layer while a slow engine still serves the missing ones', () => {
    const sites = [
      MIXED,
      SMALL,
      ...[4, 5, 6, 7].map((count) => ['medium', ...repeat('small', count + 4)]),
    ];
    sites.forEach((kinds) => {
      const placed = layOut(kinds);
      placed.forEach((slow) => {
        const engines = placed.map((engine) =>
          engine.id === slow.id ? { ...engine, isReliable: false, isOrderable: false } : engine,
        );
        planPlacement(engines, MODEL).forEach((order) => {
          const before = engines.find(({ id }) => id === order.id);
          if (before?.firstLayer === null || before?.endLayer === null || !before) return;
          const others = engines.filter(({ id }) => id !== order.id);
          for (let layer = before.firstLayer; layer < before.endLayer; layer += 1) {
            const isKept = order.firstLayer <= layer && layer < order.endLayer;
            const isHeldElsewhere = others.some(
              ({ firstLayer, endLayer }) => (firstLayer ?? 0) <= layer && layer < (endLayer ?? 0),
            );
            assert.ok(isKept || isHeldElsewhere, `layer ${layer} while ${slow.id} is slow`);
          }
        });
      });
    });
  });

  it('preempts requests only when no engine serves some layer', () => {
    const placed = layOut(SMALL);
    const lost = placed.find(({ acceleratorKind }) => acceleratorKind === 'medium');
    const leaving = placed.map((engine) =>
      engine.id === lost?.id ? { ...engine, isReliable: false, isOrderable: false } : engine,
    );
    const gone = placed.filter(({ id }) => id !== lost?.id);
    const ordersGone = planPlacement(gone, MODEL);
    assert.ok(ordersGone.length > 0 && ordersGone.every(({ isPreempting }) => isPreempting));
    assert.ok(planPlacement(leaving, MODEL).every(({ isPreempting }) => !isPreempting));
  });

  it('gives no order when the memory cannot hold the model', () => {
    assert.deepEqual(planPlacement(createEngines(['large', 'tiny']), MODEL), []);
  });

  it('plans each data centre separately', () => {
    const engines = [...createEngines(SMALL, 'a'), ...createEngines(SMALL, 'b')];
    const placed = carryOut(engines, planPlacement(engines, MODEL));
    ['a', 'b'].forEach((dataCentre) => {
      assert.deepEqual(
        findMissing(placed.filter((engine) => engine.dataCentre === dataCentre)),
        [],
      );
    });
  });
});
