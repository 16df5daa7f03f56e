import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findTooSlowEngines } from '../src/slowEngines';
import type { SpeedOfEngine } from '../src/slowEngines';
import { createCopySimulation, MODEL } from './copyFixtures';

const SLOW_MS = 1000;
const RECOVERED_MS = 9000;

function slowDown(factor: number, isEnabled: boolean) {
  const simulation = createCopySimulation({ isEnabled, demand: () => 150 });
  simulation.runUntil(SLOW_MS);
  const layers = [10, 28, 53, 53, 57, 66, 66, 72];
  const slow = layers.flatMap((layer, index) => simulation.findHolders(layer)[index % 3] ?? []);
  slow.forEach((engine) => {
    engine.slowdown = factor;
  });
  simulation.runUntil(RECOVERED_MS - 1000);
  const givenUp = slow.filter(({ isGivenUp }) => isGivenUp).map(({ kind }) => kind);
  simulation.runUntil(RECOVERED_MS);
  slow.forEach((engine) => {
    engine.slowdown = 1;
  });
  simulation.runUntil(20_000);
  return { ...simulation, givenUp };
}

describe('slow engines', () => {
  /** Guards against new layouts for engines whose streams keep their allowed pause. */
  it('keep their layers at three times the usual time', () => {
    const { orders, givenUp } = slowDown(3, true);
    assert.deepEqual(orders, []);
    assert.deepEqual(givenUp, []);
    assert.ok(slowDown(3, false).orders.length >= 10);
  });

  it('are given up at twelve times only where they use up the allowed pause', () => {
    const { orders, givenUp, capacities } = slowDown(12, true);
    assert.deepEqual([...new Set(givenUp)], ['l4']);
    const during = orders.filter(({ atMs }) => atMs < RECOVERED_MS);
    assert.ok(during.length > 0 && during.length <= 4, `${during.length} orders`);
    assert.deepEqual([...new Set(during.map(({ move }) => move?.cause))], ['loss']);
    const lowest = Math.min(...capacities.map(({ requests }) => requests));
    assert.ok(lowest >= 200, `${lowest} requests`);
  });

  /** Guards against an engine near the limit that is given up and used again in turn. */
  it('are used again only when they are clearly faster', () => {
    const engine = (slowdown: number, isGivenUp: boolean): SpeedOfEngine => ({
      id: 'slow',
      acceleratorKind: 'l4',
      slots: 134,
      held: { first: 8, end: 16 },
      slowdown,
      isGivenUp,
    });
    const isTooSlow = (slowdown: number, isGivenUp: boolean) =>
      findTooSlowEngines([engine(slowdown, isGivenUp)], {
        model: MODEL,
        targetGapMs: 250,
        demand: 5,
      }).has('slow');
    const steps = Array.from({ length: 40 }, (_, index) => 1 + index * 0.5);
    const givenUpFrom = steps.find((slowdown) => isTooSlow(slowdown, false)) ?? 0;
    const keptFrom = steps.find((slowdown) => isTooSlow(slowdown, true)) ?? 0;
    assert.ok(givenUpFrom > 6 && keptFrom < givenUpFrom - 1, `${givenUpFrom} and ${keptFrom}`);
  });
});
