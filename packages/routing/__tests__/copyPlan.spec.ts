import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import { planPlacement } from '../src/placement';
import type { ObservedEngine, PlacementOrder } from '../src/placement';
import { createCopySimulation, MODEL } from './copyFixtures';
import type { SimulationOptions } from './copyFixtures';
import { capacityByLayer } from '../src/layerCopies';
import { createEngines, createModel, repeat } from './fixtures';

type Simulation = ReturnType<typeof createCopySimulation>;

const LOSS_MS = 1000;
const SETTLED_MS = 20_000;
/** Orders of the planner for three added engines, before copies followed demand. */
const RECORDED = ['2200 new-a100 56-79', '6400 new-v100 76-80', '10600 new-l4 0-7'];

function describeOrder({ atMs, id, firstLayer, endLayer }: Simulation['orders'][number]): string {
  return `${atMs} ${id} ${firstLayer}-${endLayer}`;
}

/** Time from which the bottleneck stays at a capacity; infinite if it ends below it. */
function findRestoredMs({ capacities }: Simulation, requests: number): number {
  const last = capacities.findLastIndex((sample) => sample.requests < requests);
  return capacities[last + 1]?.atMs ?? Number.POSITIVE_INFINITY;
}

function findLowest({ capacities }: Simulation, fromMs: number): number {
  const after = capacities.filter(({ atMs }) => atMs > fromMs);
  return Math.min(...after.map(({ requests }) => requests));
}

function assertBounds({ orders }: Simulation): void {
  const moves = orders.filter(({ move, isMove }) => move && isMove);
  moves.forEach(({ id, atMs }, index) => {
    const again = moves.slice(index + 1).find((other) => other.id === id);
    assert.ok(!again || again.atMs - atMs >= 4000, `${id} is moved twice`);
    const together = moves.filter((other) => other.atMs === atMs);
    assert.ok(together.length <= 2, `${together.length} moves at ${atMs} ms`);
  });
  orders.forEach(({ id, firstLayer, endLayer, memoryMb }) => {
    const layersMb = (endLayer - firstLayer) * MODEL.layerMb;
    assert.ok(layersMb < memoryMb, `${id} with ${layersMb} MB`);
  });
}

/** Three engines of different chains and ranges are lost, and return empty after 3.4 to 4 s. */
function loseThreeForSeconds(options: SimulationOptions): Simulation {
  const simulation = createCopySimulation(options);
  simulation.runUntil(LOSS_MS);
  const lost = [10, 40, 70].flatMap((layer, index) => simulation.findHolders(layer)[index] ?? []);
  simulation.lose(lost);
  lost.forEach((engine, index) => {
    simulation.runUntil(LOSS_MS + 3400 + index * 300);
    simulation.restart(engine);
  });
  simulation.runUntil(SETTLED_MS);
  return simulation;
}

/** Of two ranges of layers, two of the three holders are lost for good. */
function loseFourForGood(options: SimulationOptions): Simulation {
  const simulation = createCopySimulation(options);
  simulation.runUntil(LOSS_MS);
  const lost = [12, 50].flatMap((layer) => simulation.findHolders(layer).slice(0, 2));
  simulation.lose(lost);
  simulation.runUntil(SETTLED_MS);
  return simulation;
}

describe('copies of layers after losses', () => {
  /**
   * Guards against a whole new layout of a chain whose engine returned empty: it received layers
   * that suited its speed, and all other engines of the chain had to move.
   */
  it('return with the engines that were lost for seconds, without any other move', () => {
    const simulation = loseThreeForSeconds({ isEnabled: true, demand: () => 200 });
    const ordered = simulation.orders.map(({ isMove, move }) => ({ isMove, cause: move?.cause }));
    assert.deepEqual(ordered, new Array(3).fill({ isMove: false, cause: 'empty' }));
    const full = simulation.capacities[0]?.requests ?? 0;
    assert.ok(findLowest(simulation, 0) >= full * 0.65, 'two of three holders remain');
    assert.ok(findRestoredMs(simulation, full * 0.95) < 10_500);
    const without = loseThreeForSeconds({ isEnabled: false });
    assert.ok(findLowest(without, 0) < full * 0.35 && without.orders.length > 10);
  });

  /** Guards against a bottleneck of one holder while other layers have three, for 6 s and more. */
  it('move to layers with one holder left at once when demand is not met', () => {
    const simulation = loseFourForGood({ isEnabled: true, demand: () => 200 });
    const full = simulation.capacities[0]?.requests ?? 0;
    assert.ok(findRestoredMs(simulation, 200) <= LOSS_MS + 5000);
    assert.ok(findRestoredMs(loseFourForGood({ isEnabled: false }), 200) >= LOSS_MS + 7000);
    assert.ok(findLowest(simulation, 0) >= full * 0.32, 'no layer falls below one holder');
    const causes = simulation.orders.map(({ move }) => move?.cause);
    assert.deepEqual(causes, new Array(5).fill('loss'));
    assertBounds(simulation);
  });

  it('wait while the lost engines may return and demand is met or unknown', () => {
    [() => 100, () => null].forEach((demand) => {
      const simulation = loseFourForGood({ isEnabled: true, demand });
      assert.equal(
        simulation.orders.find(({ atMs }) => atMs < LOSS_MS + 6000),
        undefined,
      );
      const { length } = simulation.orders.filter(({ move }) => move);
      assert.ok(length > 0 && findRestoredMs(simulation, 200) < LOSS_MS + 12_000);
    });
  });

  it('stay where they are when no move raises the bottleneck by a fifth', () => {
    const simulation = createCopySimulation({ isEnabled: true, demand: () => 1000 });
    simulation.runUntil(SETTLED_MS);
    assert.deepEqual(simulation.orders, []);
  });
});

describe('an engine that gives up layers', () => {
  const model = createModel({
    layers: 8,
    layerMb: 1000,
    kinds: [{ name: 'big', memoryMb: 8000, stepFactor: 1, readFactor: 1 }],
  });

  /** One holder of the first half, and one that is lost; the given holders of the second half. */
  function planWith(holders: readonly Partial<ObservedEngine>[]): readonly string[] {
    const halves: readonly Partial<ObservedEngine>[] = [
      { firstLayer: 0, endLayer: 4 },
      { firstLayer: 0, endLayer: 4, isReliable: false, isOrderable: false, isServing: false },
      ...holders.map((holder) => ({ firstLayer: 4, endLayer: 8, ...holder })),
    ];
    const engines = createEngines(repeat('big', halves.length));
    const observed = engines.map((engine, index) => ({ ...engine, ...halves[index] }));
    const no = () => false;
    const copiesFor = () => ({ demand: 100 });
    const options = { mayRebalance: no, mayMoveLayers: no, copiesFor };
    return planPlacement(observed, model, options).map(({ id }) => id);
  }

  it('leaves other loaded holders with more than the bottleneck', () => {
    const loading = { isLoading: true, isOrderable: false };
    assert.equal(planWith([{}, {}, {}]).length, 1);
    assert.deepEqual(planWith([{}, loading, loading]), []);
    assert.deepEqual(planWith([{}, {}, loading]), []);
    assert.deepEqual(planWith([{}, {}]), []);
  });

  it('has not received an order in the last seconds, and is not one of two that are moving', () => {
    const settling = { isSettling: true };
    const moving = { isLoading: true, isMoving: true, isOrderable: false };
    assert.deepEqual(planWith([settling, settling, settling]), []);
    assert.deepEqual(planWith([settling, {}, settling]), ['lafrenz-3']);
    assert.equal(planWith([{}, {}, {}, moving]).length, 1);
    assert.deepEqual(planWith([{}, {}, {}, moving, moving]), []);
  });
});

describe('the repair of a chain while demand is unknown', () => {
  const kinds = [...repeat('a100', 3), ...repeat('v100', 16), ...repeat('l4', 12)];

  function applyOrders(
    engines: readonly ObservedEngine[],
    orders: readonly PlacementOrder[],
  ): readonly ObservedEngine[] {
    return engines.map((engine) => {
      const order = orders.find(({ id }) => id === engine.id);
      return order ? { ...engine, firstLayer: order.firstLayer, endLayer: order.endLayer } : engine;
    });
  }

  /** Three chains that lose three engines. */
  function loseThree(seed: number): readonly ObservedEngine[] {
    const random = createSeededRandom(seed);
    const empty = createEngines(kinds);
    const lost = new Set([0, 1, 2].map(() => empty[random.nextInt(empty.length)]?.id));
    return applyOrders(empty, planPlacement(empty, MODEL)).map((engine) =>
      lost.has(engine.id)
        ? { ...engine, isReliable: false, isOrderable: false, isServing: false }
        : engine,
    );
  }

  function findBottleneck(engines: readonly ObservedEngine[]): number {
    const holders = engines
      .filter(({ isReliable }) => isReliable)
      .map(({ acceleratorKind, slots, firstLayer, endLayer }) => ({
        memoryMb: MODEL.kinds.find(({ name }) => name === acceleratorKind)?.memoryMb ?? 0,
        slots,
        planned:
          firstLayer === null || endLayer === null ? null : { first: firstLayer, end: endLayer },
      }));
    return Math.min(...capacityByLayer(holders, MODEL));
  }

  /**
   * Guards against a broken chain that stays idle: demand is unknown for a second or two after a
   * change of leader, and copies are even enough to order nothing.
   */
  it('is ordered wherever whole chains were repaired before copies followed demand', () => {
    const options = { mayRebalance: () => false };
    const copiesFor = () => ({ demand: null });
    const seeds = Array.from({ length: 200 }, (_, index) => index + 1);
    const repaired = seeds.filter(
      (seed) => planPlacement(loseThree(seed), MODEL, options).length > 0,
    );
    assert.ok(repaired.length > 30, String(repaired.length));
    repaired.forEach((seed) => {
      const engines = loseThree(seed);
      const orders = planPlacement(engines, MODEL, { ...options, copiesFor });
      assert.ok(orders.length > 0, `seed ${seed}`);
      const after = findBottleneck(applyOrders(engines, orders));
      assert.ok(after >= findBottleneck(engines), `seed ${seed}`);
      const mayMoveLayers = () => false;
      const early = planPlacement(engines, MODEL, { ...options, copiesFor, mayMoveLayers });
      assert.deepEqual(early, [], `seed ${seed} while the lost engines may return`);
    });
  });
});

describe('the orders of a data centre without losses that meets its demand', () => {
  function addEngines(options: SimulationOptions): Simulation {
    const simulation = createCopySimulation(options);
    simulation.runUntil(2000);
    ['a100', 'v100', 'l4'].forEach((kind, index) => {
      simulation.add(`new-${kind}`, kind);
      simulation.runUntil(4000 + index * 3000);
    });
    simulation.runUntil(SETTLED_MS);
    return simulation;
  }

  it('are those recorded before copies followed demand', () => {
    const without = addEngines({ isEnabled: false }).orders;
    const withDemand = addEngines({ isEnabled: true, demand: () => 150 }).orders;
    const unknown = addEngines({ isEnabled: true }).orders;
    assert.deepEqual(without.map(describeOrder), RECORDED);
    assert.deepEqual(withDemand, without);
    assert.deepEqual(unknown, without);
  });
});
