import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { computeCapacities } from '../src/chainCapacity';
import type { CapacityEngine } from '../src/chainCapacity';
import { requestMemoryMb } from '../src/chainCount';
import { createModel, createStageEngine } from './fixtures';

const MODEL = createModel({ layers: 10 });

function createCapacityEngine(id: string, heldLayers: number, slots = 134): CapacityEngine {
  return { id, acceleratorKind: 'medium', heldLayers, slots };
}

describe('the capacity of a chain', () => {
  it('is that of the engine with the least free memory for its stage', () => {
    const engines = [createCapacityEngine('a', 4), createCapacityEngine('b', 6)];
    const stages = [createStageEngine('a', 0, 4), createStageEngine('b', 4, 10)];
    const [capacity = 0] = computeCapacities([{ stages }], engines, MODEL);
    const freeMb = 36_000 - 6 * MODEL.layerMb;
    const wanted = freeMb / (requestMemoryMb(MODEL) * 0.6);
    assert.ok(Math.abs(capacity - wanted) < 1e-6, `${capacity} and ${wanted}`);
  });

  it('does not exceed the slots of its first engine', () => {
    const engines = [createCapacityEngine('a', 4, 7), createCapacityEngine('b', 6)];
    const stages = [createStageEngine('a', 0, 4), createStageEngine('b', 4, 10)];
    assert.deepEqual(computeCapacities([{ stages }], engines, MODEL), [7]);
  });

  it('counts an engine that two chains share only once', () => {
    const engines = ['a', 'b', 'c'].map((id) => createCapacityEngine(id, 5));
    const [first, second] = ['a', 'b'].map((head) => ({
      stages: [createStageEngine(head, 0, 5), createStageEngine('c', 5, 10)],
    }));
    assert.ok(first && second);
    const alone = computeCapacities([first], engines, MODEL)[0] ?? 0;
    const together = computeCapacities([first, second], engines, MODEL);
    assert.equal(together[0], alone);
    assert.ok((together[1] ?? 0) < 1e-6);
  });

  it('is 0 for a chain with an unknown engine', () => {
    const stages = [createStageEngine('a', 0, 10)];
    assert.deepEqual(computeCapacities([{ stages }], [], MODEL), [0]);
  });
});
