import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import { planChainCount, splitIntoChains } from '../src/chainCount';
import type { ChainMember } from '../src/chainCount';
import { countChainsByEngine, findStageChains } from '../src/stageChains';
import type { StageEngine } from '../src/stagePath';
import { createModel, createStageEngine, repeat } from './fixtures';

const namesOf = (engines: readonly StageEngine[]) =>
  findStageChains(engines, { layers: 10 }).map(({ stages }) => stages.map(({ id }) => id));

describe('chains of a data centre', () => {
  it('consist of exactly adjacent engines, even if a mixed chain is faster', () => {
    const engines = [
      createStageEngine('a1', 0, 4, 0.2),
      createStageEngine('a2', 4, 10, 0.02),
      createStageEngine('b1', 0, 5, 0.02),
      createStageEngine('b2', 5, 10, 0.2),
    ];
    assert.deepEqual(
      namesOf(engines)
        .map((ids) => ids.join(' '))
        .sort(),
      ['a1 a2', 'b1 b2'],
    );
  });

  it('share an engine when one was lost', () => {
    const engines = [
      createStageEngine('a1', 0, 5),
      createStageEngine('a2', 5, 10),
      createStageEngine('b1', 0, 5),
    ];
    const chains = findStageChains(engines, { layers: 10 });
    assert.equal(chains.length, 2);
    assert.equal(countChainsByEngine(chains).get('a2'), 2);
  });

  it('do not include an additional chain for an engine with few redundant layers', () => {
    assert.deepEqual(
      namesOf([createStageEngine('a1', 0, 10), createStageEngine('b1', 0, 2)]).length,
      1,
    );
  });

  it('run every layer once for any set of engines and do not depend on their order', () => {
    const engine = fc.record({
      first: fc.integer({ min: 0, max: 9 }),
      length: fc.integer({ min: 1, max: 10 }),
    });
    fc.assert(
      fc.property(fc.array(engine, { maxLength: 14 }), (drawn) => {
        const engines = drawn.map(({ first, length }, index) =>
          createStageEngine(String(index), first, Math.min(10, first + length)),
        );
        const chains = findStageChains(engines, { layers: 10 });
        chains.forEach(({ stages }) => {
          const ends = stages.map(({ endLayer }) => endLayer);
          assert.deepEqual(
            stages.map(({ firstLayer }) => firstLayer),
            [0, ...ends.slice(0, -1)],
          );
          assert.equal(ends.at(-1), 10);
          assert.equal(new Set(stages.map(({ id }) => id)).size, stages.length);
        });
        assert.deepEqual(findStageChains([...engines].reverse(), { layers: 10 }), chains);
      }),
    );
  });
});

describe('the number of chains', () => {
  const MEMORY_MB: Readonly<Record<string, number>> = {
    large: 72_000,
    medium: 36_000,
    small: 21_600,
    tiny: 14_400,
  };

  function createMembers(kinds: readonly string[]): ChainMember[] {
    return kinds.map((kind, index) => ({
      id: String(index),
      memoryMb: MEMORY_MB[kind] ?? 0,
      stepFactor: 1,
      slots: 134,
    }));
  }

  const SMALL_SITE = createMembers([
    'large',
    'medium',
    ...repeat('small', 5),
    ...repeat('tiny', 7),
  ]);
  const GROWN_SITE = createMembers([
    ...repeat('medium', 4),
    ...repeat('small', 11),
    ...repeat('tiny', 18),
  ]);

  it('is one for the memory of one, and two when two hold more requests', () => {
    assert.equal(planChainCount(SMALL_SITE, createModel()), 1);
    assert.equal(planChainCount(GROWN_SITE, createModel()), 2);
  });

  it('is one even when the memory cannot hold the model', () => {
    assert.equal(planChainCount(createMembers(repeat('tiny', 3)), createModel()), 1);
  });

  it('splits the engines into chains of similar memory', () => {
    const sums = splitIntoChains(GROWN_SITE, 2).map((group) =>
      group.reduce((sum, { memoryMb }) => sum + memoryMb, 0),
    );
    assert.ok(Math.abs((sums[0] ?? 0) - (sums[1] ?? 0)) <= 14_400, sums.join(' '));
  });
});
