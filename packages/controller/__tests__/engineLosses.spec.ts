import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import type { ObservedEngine } from '@spoolplank/routing';
import { createEngineLosses } from '../src/engineLosses';

function createEngine(id: string, overrides: Partial<ObservedEngine> = {}): ObservedEngine {
  return {
    id,
    dataCentre: 'a',
    acceleratorKind: 'big',
    slots: 10,
    firstLayer: 0,
    endLayer: 4,
    isOrderable: true,
    isReliable: true,
    isServing: true,
    ...overrides,
  };
}

describe('a lost engine', () => {
  it('is expected to return for some seconds, only in its own data centre', () => {
    const clock = createManualClock();
    const losses = createEngineLosses({ clock });
    const [a1, a2, b1] = [
      createEngine('a1'),
      createEngine('a2'),
      createEngine('b1', { dataCentre: 'b' }),
    ];
    losses.record('engines', [a1, a2, b1]);
    assert.equal(losses.isReturnLikely('a'), false);
    losses.record('engines', [a1, { ...a2, isServing: false }, b1]);
    assert.deepEqual([losses.isReturnLikely('a'), losses.isReturnLikely('b')], [true, false]);
    clock.advance(6000);
    losses.record('engines', [a1, b1]);
    assert.equal(losses.isReturnLikely('a'), false);
  });

  it('is recorded for its service, independently of other services', () => {
    const losses = createEngineLosses({ clock: createManualClock() });
    losses.record('engines', [createEngine('a1')]);
    losses.record('others', [createEngine('x1')]);
    assert.equal(losses.isReturnLikely('a'), false);
  });
});
