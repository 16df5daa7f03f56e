import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCopySimulation } from './copyFixtures';

type Simulation = ReturnType<typeof createCopySimulation>;

const START_MS = 1000;
const DRAIN_MS = 2600;

function findLowest({ capacities }: Simulation): number {
  return Math.min(...capacities.map(({ requests }) => requests));
}

function countMoves({ orders }: Simulation): number {
  return orders.filter(({ isMove }) => isMove).length;
}

/** Replaces 14 of 31 engines, two each second; the old ones drain 0.4 s after the new start. */
function replaceEngines(isEnabled: boolean, demand: number): Simulation {
  const simulation = createCopySimulation({ isEnabled, demand: () => demand });
  const old = simulation.engines.filter((_, index) => index % 2 === 0).slice(0, 14);
  const events = old.flatMap((engine, index) => {
    const startMs = START_MS + Math.floor(index / 2) * 1000;
    return [
      {
        atMs: startMs,
        run() {
          simulation.add(`new-${engine.id}`, engine.kind);
        },
      },
      { atMs: startMs + 400, run: () => simulation.drain(engine) },
      { atMs: startMs + 400 + DRAIN_MS, run: () => simulation.remove(engine) },
    ];
  });
  events
    .sort((a, b) => a.atMs - b.atMs)
    .forEach(({ atMs, run }) => {
      simulation.runUntil(atMs);
      run();
    });
  simulation.runUntil(25_000);
  return simulation;
}

/** Two empty engines are added; then five loaded ones drain and are removed for good. */
function exchangeEngines(isEnabled: boolean): Simulation {
  const simulation = createCopySimulation({ isEnabled, demand: () => 150 });
  simulation.runUntil(START_MS);
  simulation.add('added-1', 'a100');
  simulation.add('added-2', 'l4');
  simulation.runUntil(START_MS + 6000);
  const leaving = [12, 29, 29, 53, 66].flatMap(
    (layer, index) => simulation.findHolders(layer)[index % 2] ?? [],
  );
  leaving.forEach(simulation.drain);
  simulation.runUntil(START_MS + 6000 + DRAIN_MS);
  leaving.forEach(simulation.remove);
  simulation.runUntil(25_000);
  return simulation;
}

describe('copies of layers while engines are replaced', () => {
  /**
   * Guards against new engines that receive layers by their speed while the layers of leaving
   * engines have one holder left, and against new layouts of loaded engines for that reason.
   */
  it('go to new engines before the leaving ones exit', () => {
    [150, 280].forEach((demand) => {
      const simulation = replaceEngines(true, demand);
      const without = replaceEngines(false, demand);
      assert.ok(findLowest(simulation) >= 200, `${findLowest(simulation)} requests`);
      assert.ok(findLowest(without) < 120);
      assert.ok(countMoves(simulation) <= countMoves(without) / 2);
      const placed = simulation.orders.filter(({ isMove, move }) => !isMove && move);
      const causes = new Set(placed.map(({ move }) => move?.cause));
      assert.deepEqual([...causes].sort(), ['empty', 'leaving']);
    });
  });

  it('keep a new engine for the layers of an engine that is about to leave', () => {
    const simulation = createCopySimulation({ isEnabled: true, demand: () => 150 });
    simulation.runUntil(START_MS);
    const [first, second] = [28, 33].flatMap((layer) => simulation.findHolders(layer)[0] ?? []);
    assert.ok(first && second);
    simulation.drain(first);
    simulation.add('new-1', first.kind);
    simulation.runUntil(START_MS + 400);
    simulation.add('new-2', second.kind);
    simulation.runUntil(START_MS + 800);
    simulation.drain(second);
    simulation.runUntil(START_MS + 1400);
    assert.deepEqual(
      simulation.orders.map(({ id, firstLayer, endLayer }) => [id, firstLayer, endLayer]),
      [
        ['new-1', 26, 31],
        ['new-2', 31, 36],
      ],
    );
  });

  it('are taken over by others before emptied engines are removed', () => {
    const simulation = exchangeEngines(true);
    const without = exchangeEngines(false);
    const isEarly = ({ atMs }: { readonly atMs: number }) => atMs < START_MS + 6000;
    assert.deepEqual(simulation.orders.filter(isEarly), without.orders.filter(isEarly));
    const last = (run: Simulation) => run.capacities.at(-1)?.requests ?? 0;
    assert.ok(findLowest(simulation) >= 200);
    assert.ok(last(simulation) > last(without) * 1.2, `${last(simulation)}`);
    assert.ok(countMoves(simulation) <= 6);
  });
});
