import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LayerRange } from '@spoolplank/membership';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { OrderOutcome } from '../src/engineOperations';
import { createPlacementFixture } from './placementFixtures';
import type { PlacementFixtureOptions } from './placementFixtures';

const FACT_MS = 800;
const FIRST_HALF = { firstLayer: 0, endLayer: 4 };
const SECOND_HALF = { firstLayer: 4, endLayer: 8 };
/** Requests that the holders of a layer can take: each engine takes 9.5. */
const ABOVE_ONE_HOLDER = 12;
const BELOW_ONE_HOLDER = 4;

/** Three chains of two engines in each data centre. */
function layOut(dataCentre: string): Record<string, LayerRange> {
  const ids = [1, 2, 3, 4, 5, 6].map((number) => `${dataCentre}${number}`);
  return Object.fromEntries(ids.map((id, index) => [id, index < 3 ? FIRST_HALF : SECOND_HALF]));
}

const dataCentreOf = (instanceId: string): string => instanceId.slice(0, 1);

type Demand = (sinceMs: number, dataCentre: string) => number | null;

function createFixture(options: Partial<PlacementFixtureOptions> = {}) {
  const fixture = createPlacementFixture({
    answer: (): OrderOutcome => 'begun',
    layout: { ...layOut('a'), ...layOut('b') },
    dataCentreOf,
    loadMs: 400,
    ...options,
  });
  const all = [...fixture.held.keys()];
  const startMs = fixture.clock.nowMs();
  return {
    ...fixture,
    all,
    sinceStartMs: () => fixture.clock.nowMs() - startMs,
    async run(durationMs: number, ids: readonly string[], demand: Demand): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += FACT_MS) {
        ['a', 'b'].forEach((dataCentre) => {
          const requests = demand(fixture.clock.nowMs() - startMs, dataCentre);
          if (requests !== null) fixture.publishDemand(dataCentre, requests - 1, 1);
        });
        await fixture.runFor(FACT_MS, ids);
      }
    },
    /** Engines that hold a layer now; one that is loading does not. */
    countCopies(dataCentre: string, layer: number): number {
      return [...fixture.held].filter(
        ([id, { firstLayer, endLayer }]) =>
          dataCentreOf(id) === dataCentre && firstLayer <= layer && layer < endLayer,
      ).length;
    },
  };
}

type Fixture = ReturnType<typeof createFixture>;

/** Two of the three holders of the first half are lost for good in both data centres. */
async function loseHolders(fixture: Fixture, demand: Demand, durationMs: number): Promise<void> {
  const { run, all, held } = fixture;
  await run(4000, all, () => BELOW_ONE_HOLDER);
  assert.deepEqual(fixture.receivedOrders, []);
  const lost = ['a2', 'a3', 'b2', 'b3'];
  lost.forEach((id) => held.delete(id));
  const left = all.filter((id) => !lost.includes(id));
  await run(durationMs, left, demand);
}

function orderedIn({ ordered }: Fixture, dataCentre: string): readonly string[] {
  return ordered.filter((id) => dataCentreOf(id) === dataCentre);
}

describe('copies of layers by the demand of each data centre', () => {
  /** Guards against a wave of demand that meets the layout of a data centre that lost engines. */
  it('are moved at once where the wave of demand is, elsewhere after the pause', async () => {
    const fixture = createFixture();
    await loseHolders(fixture, (_, dc) => (dc === 'a' ? ABOVE_ONE_HOLDER : BELOW_ONE_HOLDER), 5600);
    assert.deepEqual(orderedIn(fixture, 'b'), []);
    const [moved] = orderedIn(fixture, 'a');
    assert.ok(moved && ['a4', 'a5', 'a6'].includes(moved));
    assert.equal(orderedIn(fixture, 'a').length, 1);
    assert.deepEqual(fixture.causes, ['loss']);
    const lines = (await fixture.readLog()).split('\n');
    const line = lines.find((text) => text.includes('layers-moved')) ?? '';
    ['"cause":"loss"', '"bottleneckBefore":10', '"bottleneckAfter":19', '"demand":15'].forEach(
      (field) => assert.ok(line.includes(field), `${field} in ${line}`),
    );
    const left = fixture.all.filter((id) => !['a2', 'a3', 'b2', 'b3'].includes(id));
    await fixture.run(4800, left, (_, dc) => (dc === 'b' ? ABOVE_ONE_HOLDER : BELOW_ONE_HOLDER));
    assert.equal(orderedIn(fixture, 'a').length, 1);
    assert.equal(orderedIn(fixture, 'b').length, 1);
  });

  it('stay where they are while demand moves between data centres without losses', async () => {
    const fixture = createFixture();
    const wave: Demand = (sinceMs, dc) =>
      15 + 14 * Math.sin((2 * Math.PI * sinceMs) / 13_000 + (dc === 'a' ? 0 : Math.PI));
    await fixture.run(40_000, fixture.all, wave);
    assert.deepEqual(fixture.receivedOrders, []);
  });

  it('wait for lost engines while facts of demand are late or missing', async () => {
    const missing = createFixture();
    await loseHolders(missing, () => null, 5600);
    assert.deepEqual(missing.receivedOrders, []);
    const late = createFixture();
    const untilLoss: Demand = (sinceMs) => (sinceMs < 4100 ? ABOVE_ONE_HOLDER : null);
    await loseHolders(late, untilLoss, 8000);
    assert.deepEqual(late.receivedOrders, []);
    const again = createFixture();
    await loseHolders(again, () => null, 12_000);
    assert.equal(orderedIn(again, 'a').length, 1);
  });

  it('are not moved by demand when that is switched off', async () => {
    const off = { ...DEFAULT_DECISIONS, demandPlacement: { isEnabled: false } };
    const fixture = createFixture({ decisions: off });
    await loseHolders(fixture, () => ABOVE_ONE_HOLDER, 5600);
    assert.deepEqual(fixture.receivedOrders, []);
  });
});

describe('a move of layers that fails', () => {
  /** Guards against waiting for an engine whose answer was lost, and against ordering it again. */
  it('is given to another engine when the order has no answer', async () => {
    let orders = 0;
    const fixture = createFixture({
      layout: { ...layOut('a'), a7: SECOND_HALF, ...layOut('b') },
      answer() {
        orders += 1;
        return orders === 1 ? 'unknown' : 'begun';
      },
    });
    await loseHolders(fixture, (_, dc) => (dc === 'a' ? ABOVE_ONE_HOLDER : BELOW_ONE_HOLDER), 5600);
    const [first, second] = orderedIn(fixture, 'a');
    assert.ok(first && second && first !== second, `${first} and ${second}`);
    [0, 7].forEach((layer) => assert.ok(fixture.countCopies('a', layer) >= 1));
  });

  it('leaves a copy of each layer when the leader is lost in the middle of moves', async () => {
    const fixture = createFixture({ loadMs: 1600 });
    const demand: Demand = () => ABOVE_ONE_HOLDER;
    await loseHolders(fixture, demand, 2400);
    const left = fixture.all.filter((id) => !['a2', 'a3', 'b2', 'b3'].includes(id));
    for (let leaders = 0; leaders < 6; leaders += 1) {
      fixture.changeLeader();
      await fixture.run(2400, left, demand);
      ['a', 'b'].forEach((dc) =>
        [0, 4, 7].forEach((layer) =>
          assert.ok(fixture.countCopies(dc, layer) >= 1, `layer ${layer} of ${dc}`),
        ),
      );
    }
    await fixture.run(4800, left, demand);
    ['a', 'b'].forEach((dc) => {
      assert.equal(fixture.countCopies(dc, 0), 2);
      assert.equal(fixture.countCopies(dc, 7), 2);
    });
    assert.ok(orderedIn(fixture, 'a').length <= 2, orderedIn(fixture, 'a').join(' '));
  });
});
