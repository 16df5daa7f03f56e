import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import { findStagePath } from '../src/stagePath';
import type { StageEngine, StagePath } from '../src/stagePath';
import { createStageEngine } from './fixtures';

function assertWhole(path: StagePath, engines: readonly StageEngine[], layers: number): void {
  let next = 0;
  path.stages.forEach((stage) => {
    const engine = engines.find(({ id }) => id === stage.id);
    assert.equal(stage.firstLayer, next);
    assert.ok(engine && engine.firstLayer <= stage.firstLayer && stage.endLayer <= engine.endLayer);
    assert.ok(stage.endLayer > stage.firstLayer);
    next = stage.endLayer;
  });
  assert.equal(next, layers);
  assert.equal(new Set(path.stages.map(({ id }) => id)).size, path.stages.length);
}

describe('a path over engines with overlapping ranges', () => {
  it('runs every layer once, in order, and uses each engine once, for any ranges', () => {
    const engine = fc.record({
      first: fc.integer({ min: 0, max: 19 }),
      length: fc.integer({ min: 1, max: 20 }),
      cost: fc.integer({ min: 1, max: 9 }),
    });
    fc.assert(
      fc.property(fc.array(engine, { maxLength: 12 }), (drawn) => {
        const engines = drawn.map(({ first, length, cost }, index) =>
          createStageEngine(String(index), first, Math.min(20, first + length), cost),
        );
        const path = findStagePath(engines, { toLayer: 20 });
        const isCovered = Array.from({ length: 20 }, (_, layer) => layer).every((layer) =>
          engines.some(({ firstLayer, endLayer }) => firstLayer <= layer && layer < endLayer),
        );
        assert.equal(path !== undefined, isCovered);
        if (path) assertWhole(path, engines, 20);
      }),
    );
  });

  it('uses the cheaper of two engines for the layers that both hold', () => {
    const engines = [createStageEngine('1', 0, 10, 5), createStageEngine('2', 4, 10, 1)];
    const path = findStagePath(engines, { toLayer: 10 });
    assert.deepEqual(
      path?.stages.map(({ id, firstLayer, endLayer }) => [id, firstLayer, endLayer]),
      [
        ['1', 0, 4],
        ['2', 4, 10],
      ],
    );
  });

  it('covers a part of the layers for a repair', () => {
    const engines = [createStageEngine('1', 0, 6), createStageEngine('2', 5, 12)];
    const path = findStagePath(engines, { fromLayer: 4, toLayer: 8 });
    assert.equal(path?.stages[0]?.firstLayer, 4);
    assert.equal(path?.stages.at(-1)?.endLayer, 8);
  });
});
