import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createReachTracker } from '@spoolplank/controller';
import { readKeyTimestamp } from '../src/sessions/callerRequest';
import { copyRequestHeaders } from '../src/sessions/forwardedHeaders';
import { createSessionStore, toSessionUpdate } from '../src/sessions/sessionStore';
import { createChainFailureDetector } from '../src/sessions/chainFailureDetector';

describe('reach of a settings version', () => {
  it('counts a VM as silent only after its lease must have expired', () => {
    const clock = createManualClock();
    const tracker = createReachTracker(clock, 3000, ['vm1', 'vm2', 'vm3']);
    tracker.record([
      { vmId: 'vm1', version: 5 },
      { vmId: 'vm2', version: 4 },
    ]);
    assert.deepEqual(tracker.reach(5), {
      version: 5,
      reached: ['vm1'],
      pending: ['vm2', 'vm3'],
      silent: [],
    });
    clock.advance(3001);
    tracker.record([{ vmId: 'vm2', version: 4 }]);
    assert.deepEqual(tracker.reach(5), {
      version: 5,
      reached: ['vm1'],
      pending: ['vm2'],
      silent: ['vm3'],
    });
  });
});

describe('copy of a session', () => {
  const request = { model: 'm', prompt: 'p', maxTokens: 9, priority: 5, isChat: true };
  const token = (tokenId: number) => ({ tokenId, text: ` ${tokenId}` });

  it('follows the original by updates, and rejects an update after a gap', () => {
    const clock = createManualClock();
    const source = createSessionStore({ clock }).create('s', 'o', request);
    const copy = createSessionStore({ clock });
    source.attempt = 1;
    source.tokens.push(token(1), token(2));
    assert.equal(
      copy.applyUpdate(toSessionUpdate(source, 1, false)),
      false,
      'the first token is missing',
    );
    assert.equal(copy.applyUpdate(toSessionUpdate(source, 0, true)), true);
    source.tokens.push(token(3));
    assert.equal(copy.applyUpdate(toSessionUpdate(source, 2, false)), true);
    assert.deepEqual(copy.find('s')?.tokens, source.tokens);
  });

  it('ignores updates of an older attempt, and older updates of the same attempt', () => {
    const clock = createManualClock();
    const source = createSessionStore({ clock }).create('s', 'o', request);
    const copy = createSessionStore({ clock });
    source.attempt = 2;
    source.tokens.push(token(1), token(2));
    const late = { ...toSessionUpdate(source, 0, true), attempt: 1, tokens: [token(9)] };
    const older = { ...toSessionUpdate(source, 0, true), tokens: [token(1)] };
    copy.applyUpdate(toSessionUpdate(source, 0, true));
    copy.applyUpdate(late);
    copy.applyUpdate(older);
    assert.deepEqual(copy.find('s')?.tokens, source.tokens);
  });

  it('is evicted when the store is full, the least recently used first', () => {
    const clock = createManualClock();
    const store = createSessionStore({ clock, maxTotalTokens: 10 });
    ['old', 'new'].forEach((id) => {
      clock.advance(10);
      store.create(id, 'o', { ...request, prompt: 'x'.repeat(32) });
    });
    store.sweep();
    assert.equal(store.find('old'), undefined);
    assert.ok(store.find('new'));
  });
});

describe('failure detector of a chain', () => {
  it('learns from the intervals between tokens, but not from the prefill', () => {
    const clock = createManualClock();
    const detector = createChainFailureDetector({
      clock,
      estimatedStepMs: 20,
      prefillTokens: 1000,
    });
    assert.equal(detector.suspectAtMs(), 1200);
    clock.advance(900);
    detector.observe();
    assert.equal(detector.suspectAtMs(), 1100, 'the prefill does not count as an interval');
    for (let tokens = 0; tokens < 100; tokens += 1) {
      clock.advance(200);
      detector.observe();
    }
    assert.ok(detector.suspectAtMs() - clock.nowMs() > 900);
    assert.ok(detector.giveUpAtMs() > detector.suspectAtMs());
  });
});

describe('degradation of a chain', () => {
  it('is reported for a chain that becomes slow, but not for one that was always slow', () => {
    const clock = createManualClock();
    const detector = createChainFailureDetector({ clock, estimatedStepMs: 20, prefillTokens: 0 });
    const receiveTokens = (count: number, gapMs: number) => {
      for (let tokens = 0; tokens < count; tokens += 1) {
        clock.advance(gapMs);
        detector.observe();
      }
    };
    receiveTokens(50, 60);
    assert.equal(detector.degradedGapMs(), undefined, 'constantly slower than the estimate');
    receiveTokens(2, 200);
    assert.equal(
      detector.degradedGapMs(),
      undefined,
      'two late tokens do not count as degradation',
    );
    receiveTokens(20, 300);
    assert.ok((detector.degradedGapMs() ?? 0) > 200);
  });
});

describe('headers', () => {
  it('of the connection, and those that the entry sets itself, are not forwarded from a caller', () => {
    const copied = copyRequestHeaders(
      {
        connection: 'close, x-hop',
        'x-hop': '1',
        'x-kept': '2',
        authorization: 'Bearer t',
        'spoolplank-organisation': 'forged',
        te: 'trailers',
      },
      { 'spoolplank-organisation': 'real' },
    );
    assert.deepEqual(copied, { 'x-kept': '2', 'spoolplank-organisation': 'real' });
  });

  it('give the timestamp of an idempotency key only if it is a UUID version 7', () => {
    assert.equal(readKeyTimestamp('0193a5c8-1c00-7abc-8def-0123456789ab'), 0x0193a5c81c00);
    assert.equal(readKeyTimestamp('0193a5c8-1c00-4abc-8def-0123456789ab'), undefined);
    assert.equal(readKeyTimestamp('order-17'), undefined);
  });
});
