import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { stateLeaving } from '@spoolplank/membership';
import type { OrderOutcome } from '../src/engineOperations';
import { createPlacementSetting } from './placementFixtures';

const ALL: readonly string[] = ['e1', 'e2', 'e3', 'e4'];

function createSetting(answer: () => OrderOutcome) {
  return createPlacementSetting({ answer });
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

  it('gives the layers of engines that said they leave to others', async () => {
    const { given, table, pass } = createSetting(() => 'begun');
    await pass(6000, ALL);
    const before = given.length;
    ['e1', 'e3'].forEach((instanceId) => stateLeaving(table, instanceId));
    await pass(6000, ALL);
    const after = given.slice(before);
    assert.ok(after.some(({ firstLayer }) => firstLayer === 0));
    after.forEach(({ instanceId }) => assert.ok(['e2', 'e4'].includes(instanceId), instanceId));
  });

  /**
   * Eleven streams and more were broken off within a second, beside a change of the configuration.
   * An engine had withdrawn without having said before that it leaves, and was still at work on
   * them; its layers were given to another engine of the same chain, which was told to drop what
   * it had under way, as if the chain could no longer be passed through.
   *
   * "event":"backend-left","instanceId":"i-ee2343a6d6", and 0.1 s later
   * "event":"order-given","engine":"i-7cbed11e98","firstLayer":60,"endLayer":65,"isPreempting":true
   */
  it('lets streams pass that an engine which withdrew is still at work on', async () => {
    const { given, withdraw, pass } = createSetting(() => 'begun');
    await pass(6000, ALL);
    const before = given.length;
    ['e1', 'e3'].forEach(withdraw);
    await pass(1800, ['e2', 'e4']);
    const after = given.slice(before);
    assert.ok(after.some(({ firstLayer }) => firstLayer === 0));
    assert.deepEqual(
      after.map(({ isPreempting }) => isPreempting),
      after.map(() => false),
    );
  });

  it('has engines drop what they have under way once it is gone', async () => {
    let isOrdered = false;
    const { given, withdraw, pass } = createPlacementSetting({
      answer: () => (isOrdered ? 'begun' : 'refused'),
    });
    await pass(6000, ALL);
    ['e1', 'e3'].forEach(withdraw);
    await pass(9000, ['e2', 'e4']);
    isOrdered = true;
    const before = given.length;
    await pass(6000, ['e2', 'e4']);
    assert.ok(given.slice(before).some(({ isPreempting }) => isPreempting));
  });

  it('moves no layers for a backoff, and orders nothing of an engine meanwhile', async () => {
    const orderedWhile = async (backingOff: string) => {
      const isBackingOff = (instanceId: string) => instanceId === backingOff;
      const { ordered, pass } = createPlacementSetting({ answer: () => 'begun', isBackingOff });
      await pass(6000, ALL);
      return ordered;
    };
    assert.deepEqual(await orderedWhile('e1'), await orderedWhile('nobody'));
    const ordered = await orderedWhile('e3');
    assert.ok(!ordered.includes('e3'), ordered.join(' '));
  });
});
