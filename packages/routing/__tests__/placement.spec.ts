import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { planPlacement } from '../src/placement';
import type { ObservedEngine, PlacementOrder } from '../src/placement';
import { createEngines, createModel, repeat } from './fixtures';

const MODEL = createModel();

/** Accelerator kinds of the engines of a data centre. */
const KINDS_WITH_LARGE = ['large', 'medium', ...repeat('small', 5), ...repeat('tiny', 7)];
const KINDS_WITHOUT_LARGE = ['medium', ...repeat('small', 8), ...repeat('tiny', 3)];

function applyOrders(engines: readonly ObservedEngine[], orders: readonly PlacementOrder[]) {
  return engines.map((engine) => {
    const order = orders.find(({ id }) => id === engine.id);
    return order ? { ...engine, firstLayer: order.firstLayer, endLayer: order.endLayer } : engine;
  });
}

/** Layers without an available copy: the layers of a slow or leaving engine do not count. */
function findMissingLayers(engines: readonly ObservedEngine[]): readonly number[] {
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

function assertFits(engines: readonly ObservedEngine[]): void {
  engines.forEach(({ firstLayer, endLayer, acceleratorKind }) => {
    const kind = MODEL.kinds.find(({ name }) => name === acceleratorKind);
    const layers = (endLayer ?? 0) - (firstLayer ?? 0);
    assert.ok(layers * MODEL.layerMb < (kind?.memoryMb ?? 0), `${layers} on ${acceleratorKind}`);
  });
}

function createPlacedEngines(kinds: readonly string[]): ObservedEngine[] {
  const engines = createEngines(kinds);
  return applyOrders(engines, planPlacement(engines, MODEL));
}

describe('placement', () => {
  [KINDS_WITH_LARGE, KINDS_WITHOUT_LARGE].forEach((kinds) => {
    it(`places every layer on ${kinds.length} heterogeneous engines and leaves memory for requests`, () => {
      const placed = createPlacedEngines(kinds);
      assert.deepEqual(findMissingLayers(placed), []);
      assertFits(placed);
    });

    it(`restores every layer after the loss of any of ${kinds.length} engines`, () => {
      const placed = createPlacedEngines(kinds);
      placed.forEach((lost) => {
        const remaining = placed.filter(({ id }) => id !== lost.id);
        const repaired = applyOrders(remaining, planPlacement(remaining, MODEL));
        assert.deepEqual(findMissingLayers(repaired), [], `without ${lost.id}`);
        assertFits(repaired);
      });
    });
  });

  it('gives no order when no layer is missing and no engine is empty', () => {
    const placed = createPlacedEngines(KINDS_WITHOUT_LARGE);
    assert.deepEqual(planPlacement(placed, MODEL), []);
  });

  it('gives orders to at most half of the engines after the loss of a tiny one', () => {
    const placed = createPlacedEngines(KINDS_WITHOUT_LARGE);
    const lost = placed.find(({ acceleratorKind }) => acceleratorKind === 'tiny');
    const remaining = placed.filter(({ id }) => id !== lost?.id);
    assert.ok(planPlacement(remaining, MODEL).length <= remaining.length / 2);
  });

  it('gives no order to an engine that still carries out an earlier one', () => {
    const placed = createPlacedEngines(KINDS_WITHOUT_LARGE).map((engine, index) => ({
      ...engine,
      isOrderable: index > 2,
    }));
    const remaining = placed.filter((_, index) => index !== 5);
    const busy = new Set(placed.slice(0, 3).map(({ id }) => id));
    assert.ok(planPlacement(remaining, MODEL).every(({ id }) => !busy.has(id)));
  });

  it('gives an order only to a new empty engine when no layer is missing', () => {
    const placed = createPlacedEngines(KINDS_WITHOUT_LARGE);
    const remaining = placed.filter((_, index) => index !== 3);
    const repaired = applyOrders(remaining, planPlacement(remaining, MODEL));
    const [added] = createEngines(['small']);
    assert.ok(added);
    const orders = planPlacement([...repaired, { ...added, id: 'new' }], MODEL);
    assert.deepEqual(
      orders.map(({ id }) => id),
      ['new'],
    );
  });

  it('never removes the last copy of a layer while a slow engine still serves its layers', () => {
    const kindLists = [
      KINDS_WITH_LARGE,
      KINDS_WITHOUT_LARGE,
      ...[4, 5, 6, 7].map((count) => ['medium', ...repeat('small', count + 4)]),
    ];
    kindLists.forEach((kinds) => {
      const placed = createPlacedEngines(kinds);
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

  it('preempts requests when a lost engine leaves layers unserved, but not while it is leaving and still serves them', () => {
    const placed = createPlacedEngines(KINDS_WITHOUT_LARGE);
    const lost = placed.find(({ acceleratorKind }) => acceleratorKind === 'medium');
    const whileLeaving = placed.map((engine) =>
      engine.id === lost?.id ? { ...engine, isReliable: false, isOrderable: false } : engine,
    );
    const withoutLost = placed.filter(({ id }) => id !== lost?.id);
    const ordersAfterLoss = planPlacement(withoutLost, MODEL);
    assert.ok(
      ordersAfterLoss.length > 0 && ordersAfterLoss.every(({ isPreempting }) => isPreempting),
    );
    assert.ok(planPlacement(whileLeaving, MODEL).every(({ isPreempting }) => !isPreempting));
  });

  it('gives no order when the memory cannot hold the model', () => {
    assert.deepEqual(planPlacement(createEngines(['large', 'tiny']), MODEL), []);
  });

  it('plans each data centre separately', () => {
    const engines = [
      ...createEngines(KINDS_WITHOUT_LARGE, 'a'),
      ...createEngines(KINDS_WITHOUT_LARGE, 'b'),
    ];
    const placed = applyOrders(engines, planPlacement(engines, MODEL));
    ['a', 'b'].forEach((dataCentre) => {
      assert.deepEqual(
        findMissingLayers(placed.filter((engine) => engine.dataCentre === dataCentre)),
        [],
      );
    });
  });
});
