import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { publishLeaving } from '@spoolplank/membership';
import type { OrderOutcome } from '../src/engineOperations';
import { createPlacementFixture } from './placementFixtures';

const ALL: readonly string[] = ['e1', 'e2', 'e3', 'e4'];

function createFixture(answer: () => OrderOutcome) {
  return createPlacementFixture({ answer });
}

describe('the placement loop', () => {
  it('orders another engine to load the layers when an order gets no response', async () => {
    let refusals = 0;
    const { ordered, runFor } = createFixture(() => {
      refusals += 1;
      return refusals === 1 ? 'unknown' : 'begun';
    });
    await runFor(2400, ['e1', 'e2', 'e3', 'e4']);
    // The first engine stops announcing itself: its layers are missing once it counts as lost.
    await runFor(6000, ['e2', 'e3', 'e4']);
    const [first, second] = ordered;
    assert.ok(first && second);
    assert.notEqual(first, second);
  });

  it('does not repeat a refused order within two seconds', async () => {
    const { ordered, orderedAtMs, runFor } = createFixture(() => 'refused');
    await runFor(2400, ['e1', 'e2', 'e3', 'e4']);
    await runFor(6000, ['e2', 'e3', 'e4']);
    assert.ok(ordered.length > 0);
    const lastMs = new Map<string, number>();
    orderedAtMs.forEach((atMs, index) => {
      const engine = ordered[index] ?? '';
      const gapMs = atMs - (lastMs.get(engine) ?? Number.NEGATIVE_INFINITY);
      assert.ok(gapMs >= 2000, `${engine} after ${gapMs} ms`);
      lastMs.set(engine, atMs);
    });
  });

  it('moves the layers of leaving engines to others', async () => {
    const { receivedOrders, table, runFor } = createFixture(() => 'begun');
    await runFor(6000, ALL);
    const before = receivedOrders.length;
    ['e1', 'e3'].forEach((instanceId) => publishLeaving(table, instanceId));
    await runFor(6000, ALL);
    const after = receivedOrders.slice(before);
    assert.ok(after.some(({ firstLayer }) => firstLayer === 0));
    after.forEach(({ instanceId }) => assert.ok(['e2', 'e4'].includes(instanceId), instanceId));
  });

  /**
   * Guards against aborted streams: an engine withdrew without announcing before that it leaves,
   * and was still serving streams. 0.1 s later another engine of the same chain received a
   * preempting order (`isPreempting`) for its layers, as if the chain were already broken. At least
   * eleven streams were aborted within one second.
   */
  it('does not abort streams that a withdrawn engine is still serving', async () => {
    const { receivedOrders, withdraw, runFor } = createFixture(() => 'begun');
    await runFor(6000, ALL);
    const before = receivedOrders.length;
    ['e1', 'e3'].forEach(withdraw);
    await runFor(1800, ['e2', 'e4']);
    const after = receivedOrders.slice(before);
    assert.ok(after.some(({ firstLayer }) => firstLayer === 0));
    assert.deepEqual(
      after.map(({ isPreempting }) => isPreempting),
      after.map(() => false),
    );
  });

  it('sends preempting orders once a withdrawn engine is gone', async () => {
    let isOrdered = false;
    const { receivedOrders, withdraw, runFor } = createPlacementFixture({
      answer: () => (isOrdered ? 'begun' : 'refused'),
    });
    await runFor(6000, ALL);
    ['e1', 'e3'].forEach(withdraw);
    await runFor(9000, ['e2', 'e4']);
    isOrdered = true;
    const before = receivedOrders.length;
    await runFor(6000, ['e2', 'e4']);
    assert.ok(receivedOrders.slice(before).some(({ isPreempting }) => isPreempting));
  });

  it('neither moves layers because of a backoff nor sends orders during it', async () => {
    const orderedWhile = async (backingOff: string) => {
      const isBackingOff = (instanceId: string) => instanceId === backingOff;
      const { ordered, runFor } = createPlacementFixture({ answer: () => 'begun', isBackingOff });
      await runFor(6000, ALL);
      return ordered;
    };
    assert.deepEqual(await orderedWhile('e1'), await orderedWhile('nobody'));
    const ordered = await orderedWhile('e3');
    assert.ok(!ordered.includes('e3'), ordered.join(' '));
  });
});
