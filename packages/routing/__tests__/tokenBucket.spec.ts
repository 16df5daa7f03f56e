import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createTokenBucket } from '../src/tokenBucket';

function createBucket(perS: number, tokens = 0) {
  const clock = createManualClock();
  let ratePerS = perS;
  const bucket = createTokenBucket({ clock, ratePerS: () => ratePerS, tokens });
  return {
    clock,
    bucket,
    setRate(next: number) {
      bucket.settle();
      ratePerS = next;
    },
    /** Takes every token that is available within a period and returns their number. */
    drain(durationMs: number): number {
      let taken = 0;
      for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
        clock.advance(10);
        while (bucket.take()) taken += 1;
      }
      return taken;
    },
  };
}

describe('a token bucket', () => {
  it('grants tokens at its rate, and accumulated tokens once', () => {
    const { bucket, clock, drain } = createBucket(4);
    assert.equal(bucket.take(), false);
    assert.equal(drain(1000), 4);
    clock.advance(60_000);
    // The token of the last ten milliseconds is still incomplete.
    assert.equal(drain(1010), 6);
  });

  it('accumulates tokens of a twentieth of a second at high rates', () => {
    const { clock, drain } = createBucket(1000);
    clock.advance(60_000);
    assert.equal(drain(10), 50);
  });

  it('returns the time until the next token', () => {
    const { bucket, clock } = createBucket(4);
    assert.equal(bucket.waitMs(), 250);
    clock.advance(100);
    assert.equal(bucket.waitMs(), 150);
    clock.advance(150);
    assert.equal(bucket.waitMs(), 0);
  });

  it('applies the old rate to the time before a change', () => {
    const { bucket, clock, setRate } = createBucket(1);
    clock.advance(500);
    setRate(100);
    clock.advance(5);
    assert.equal(bucket.take(), true);
    setRate(1);
    clock.advance(900);
    assert.equal(bucket.take(), false);
  });

  it('accepts returned tokens up to its burst size', () => {
    const { bucket, clock } = createBucket(1, 1);
    assert.equal(bucket.take(), true);
    bucket.refund();
    assert.equal(bucket.take(), true);
    for (let count = 0; count < 10; count += 1) bucket.refund();
    const taken = [1, 2, 3].map(() => bucket.take());
    assert.deepEqual(taken, [true, true, false]);
    clock.advance(1000);
    assert.equal(bucket.take(), true);
  });

  it('does not limit at an infinite rate, even when no time has passed', () => {
    const { bucket } = createBucket(Number.POSITIVE_INFINITY);
    for (let count = 0; count < 100; count += 1) assert.equal(bucket.take(), true);
  });

  it('earns nothing while its VM is suspended', () => {
    const { bucket, clock } = createBucket(4);
    clock.suspend(30_000);
    assert.equal(bucket.take(), false);
  });
});
