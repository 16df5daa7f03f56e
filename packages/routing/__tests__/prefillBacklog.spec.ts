import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { acceptableBacklogMs, createPrefillBacklog, prefillTokens } from '../src/prefillBacklog';
import { createModel } from './fixtures';

const MODEL = createModel();
const STAGES = [{ id: 'e1', address: 'e1:1', firstLayer: 0, endLayer: MODEL.layers / 2 }];
const PACES = new Map([['e1', { stepFactor: 1, readFactor: 3, isSlow: false }]]);

describe('prefill backlog', () => {
  it('grows with each grant by the share of layers, and drains in time but not below zero', () => {
    const clock = createManualClock();
    const backlog = createPrefillBacklog({ clock });
    const tokens = MODEL.readTokensPerS / 100;
    backlog.add(STAGES, tokens, { model: MODEL, paces: PACES });
    backlog.add(STAGES, tokens, { model: MODEL, paces: PACES });
    // 10 ms of the reference accelerator over half of the layers, three times as slow.
    assert.ok(Math.abs(backlog.backlogMs('e1') - 30) < 1e-6);
    clock.advance(100);
    const leftMs = backlog.backlogMs('e1');
    assert.ok(leftMs > 0 && leftMs < 30, `${leftMs}`);
    clock.advance(10_000);
    assert.equal(backlog.backlogMs('e1'), 0);
    assert.equal(backlog.backlogMs('unknown'), 0);
  });

  it('counts the answer so far of a stream that continues, as it is read again', () => {
    const usual = prefillTokens({ size: 1, hasBegun: false }, MODEL);
    assert.ok(Math.abs(usual - MODEL.usualPromptTokens) < 1e-6);
    assert.ok(prefillTokens({ size: 1, hasBegun: true }, MODEL) > usual);
    assert.equal(prefillTokens({ size: 0, hasBegun: false }, MODEL), 0);
  });

  it('is bounded by both targets, but never below one usual prompt', () => {
    const idle = { pauseMs: 50, firstEventMs: 100 };
    const limits = { usualPromptMs: 2, stageCount: 10, idle };
    assert.equal(acceptableBacklogMs(limits, { targetGapMs: 250 }), 15);
    assert.equal(acceptableBacklogMs(limits, { targetGapMs: 250, firstEventInMs: 200 }), 10);
    assert.equal(acceptableBacklogMs(limits, { targetGapMs: 60 }), 2);
    // A request that is late in any case is bounded by its pauses alone.
    assert.equal(acceptableBacklogMs(limits, { targetGapMs: 250, firstEventInMs: 90 }), 15);
    assert.equal(acceptableBacklogMs(limits, {}), Number.POSITIVE_INFINITY);
  });
});
