import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { sizeOfRequest } from '../src/requestSize';
import { createModel } from './fixtures';

const MODEL = createModel();

describe('the size of a request', () => {
  it('is 1 for a usual request and for one of unknown length', () => {
    const usual = { promptTokens: MODEL.usualPromptTokens, maxAnswerTokens: 600 };
    assert.equal(sizeOfRequest(usual, MODEL), 1);
    assert.equal(sizeOfRequest({ promptTokens: 0, maxAnswerTokens: 0 }, MODEL), 1);
  });

  it('increases with the prompt and decreases with a short limit on the answer', () => {
    const long = { promptTokens: 3 * MODEL.usualPromptTokens, maxAnswerTokens: 600 };
    const short = { promptTokens: MODEL.usualPromptTokens, maxAnswerTokens: 10 };
    assert.ok(sizeOfRequest(long, MODEL) > 2);
    assert.ok(sizeOfRequest(short, MODEL) < 1);
  });
});
