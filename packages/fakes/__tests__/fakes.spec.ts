import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createKvStore } from '../src/kvStore';
import type { KvStore } from '../src/kvStore';
import { embed, expectedAnswer, renderToken, sample, tokenize } from '../src/textModel';

const LAYERS = 6;

function createStore(firstLayer: number, lastLayer: number, memoryTokens = 1000): KvStore {
  return createKvStore({ firstLayer, lastLayer, memoryTokens, onCacheEvent: () => {} });
}

/** Runs a prompt through a chain of stages and returns the generated text. */
function answerWith(stages: readonly KvStore[], prompt: string, tokens: number): string {
  const step = (tokenId: number) =>
    sample(stages.reduce((activation, stage) => stage.run('h', activation), embed(tokenId)));
  let next = tokenize(prompt).map(step).at(-1) ?? 0;
  const answer: string[] = [];
  while (answer.length < tokens) {
    answer.push(renderToken(next));
    next = step(next);
  }
  return answer.join('');
}

describe('the fake model', () => {
  const prompt = 'two skips at the yard';

  it('generates the same text for every split of its layers over engines', () => {
    const expected = expectedAnswer(prompt, LAYERS, 20);
    assert.equal(answerWith([createStore(0, 5)], prompt, 20), expected);
    assert.equal(answerWith([createStore(0, 1), createStore(2, 5)], prompt, 20), expected);
  });

  it('generates a different text when a layer is skipped, run twice, or run out of order', () => {
    const expected = expectedAnswer(prompt, LAYERS, 20);
    const wrong = [
      [createStore(0, 1), createStore(3, 5)],
      [createStore(0, 2), createStore(2, 5)],
      [createStore(3, 5), createStore(0, 2)],
    ];
    wrong.forEach((stages) => assert.notEqual(answerWith(stages, prompt, 20), expected));
  });
});

describe('key-value state', () => {
  it('can be imported by an engine with the same layers, but only complete', () => {
    const from = createStore(0, 2);
    [1, 2, 3].forEach((token) => from.run('h', embed(token)));
    const state = from.exportState('h');
    assert.ok(state);
    const to = createStore(0, 2);
    assert.equal(
      to.importState('h', { ...state, inputs: state.inputs.slice(1) }),
      false,
      'truncated',
    );
    assert.equal(to.importState('h', { ...state, positions: 2 }), false, 'wrong position count');
    assert.equal(createStore(1, 3).importState('h', state), false, 'other layers');
    assert.equal(to.importState('h', state), true);
    assert.equal(to.run('h', embed(4)), from.run('h', embed(4)));
  });

  it('stays in the prefix cache after release until memory is needed', () => {
    const store = createStore(0, 2, 4);
    [1, 2].forEach((token) => store.run('old', embed(token)));
    store.release('old');
    assert.equal(store.cachedPrefixLength([1, 2, 3].map(embed)), 2);
    [5, 6, 7].forEach((token) => store.run('other', embed(token)));
    assert.equal(store.cachedPrefixLength([1, 2].map(embed)), 0);
  });
});
