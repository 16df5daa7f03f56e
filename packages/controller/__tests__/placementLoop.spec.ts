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

  it('moves no layers for a rest, and orders nothing of an engine meanwhile', async () => {
    const orderedWhile = async (resting: string) => {
      const isResting = (instanceId: string) => instanceId === resting;
      const { ordered, pass } = createPlacementSetting({ answer: () => 'begun', isResting });
      await pass(6000, ALL);
      return ordered;
    };
    assert.deepEqual(await orderedWhile('e1'), await orderedWhile('nobody'));
    const ordered = await orderedWhile('e3');
    assert.ok(!ordered.includes('e3'), ordered.join(' '));
  });
});
