import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createBackoffTable, isBackoffWorthWaiting } from '..';

function createFixture() {
  const clock = createManualClock(1000);
  return { clock, backoffs: createBackoffTable({ clock }) };
}

describe('the backoff of a server', () => {
  it('lasts as long as requested, from the time it is recorded', () => {
    const { clock, backoffs } = createFixture();
    assert.equal(backoffs.record('e1', 3000), true);
    assert.equal(backoffs.remainingMs('e1'), 3000);
    clock.advance(2999);
    assert.equal(backoffs.isHeldBack('e1'), true);
    clock.advance(1);
    assert.equal(backoffs.isHeldBack('e1'), false);
    assert.equal(backoffs.isHeldBack('e2'), false);
  });

  it('is replaced by a longer one, and not by a shorter one', () => {
    const { clock, backoffs } = createFixture();
    backoffs.record('e1', 1000);
    assert.equal(backoffs.record('e1', 3000), false, 'it is backing off already');
    assert.equal(backoffs.remainingMs('e1'), 3000);
    backoffs.record('e1', 500);
    assert.equal(backoffs.remainingMs('e1'), 3000);
    clock.advance(3000);
    assert.equal(backoffs.record('e1', 100), true, 'a new one');
  });

  it('is not shortened by a suspension of the VM or a step of the wall clock', () => {
    const { clock, backoffs } = createFixture();
    backoffs.record('e1', 3000);
    clock.suspend(10_000);
    clock.stepWallClock(10_000);
    assert.equal(backoffs.remainingMs('e1'), 3000);
  });

  it('is followed by a second in which requests are sent one by one', () => {
    const { clock, backoffs } = createFixture();
    backoffs.record('e1', 3000);
    clock.advance(3000);
    backoffs.recordSent('e1');
    assert.equal(backoffs.remainingMs('e1'), 25);
    assert.equal(backoffs.isBackingOff('e1'), false, 'the backoff itself is over');
    clock.advance(25);
    assert.equal(backoffs.isHeldBack('e1'), false);
    clock.advance(975);
    backoffs.recordSent('e1');
    assert.equal(backoffs.isHeldBack('e1'), false);
  });

  it('gives retries consecutive times, and starts again with the next backoff', () => {
    const { clock, backoffs } = createFixture();
    assert.equal(backoffs.retryAfterMs('drafts', 3000), 3000);
    assert.equal(backoffs.retryAfterMs('drafts', 3000), 3025);
    assert.equal(
      backoffs.retryAfterMs('looks', 500),
      500,
      'retries of another service are counted separately',
    );
    clock.advance(1000);
    assert.equal(backoffs.retryAfterMs('drafts', 2000), 2050);
    clock.advance(2000);
    assert.equal(backoffs.retryAfterMs('drafts', 700), 700);
  });

  it('is removed after its end and the recovery period', () => {
    const { clock, backoffs } = createFixture();
    backoffs.record('e1', 3000);
    backoffs.sweep();
    assert.deepEqual(backoffs.list(), [{ name: 'e1', remainingMs: 3000 }]);
    clock.advance(3900);
    backoffs.sweep();
    backoffs.recordSent('e1');
    assert.equal(backoffs.isHeldBack('e1'), true, 'within the recovery period');
    clock.advance(200);
    backoffs.sweep();
    assert.deepEqual(backoffs.list(), []);
  });
});

describe('a request while all servers back off', () => {
  const wait = { turnInMs: 400, remainingMs: 2000, waitedMs: 0 };

  it('waits when its turn comes soon', () => {
    assert.equal(isBackoffWorthWaiting(wait), true);
  });

  it('is refused when the wait exceeds half of its time, or 1.2 s since its arrival', () => {
    assert.equal(isBackoffWorthWaiting({ ...wait, remainingMs: 790 }), false);
    assert.equal(isBackoffWorthWaiting({ ...wait, waitedMs: 900, remainingMs: 9000 }), false);
    assert.equal(
      isBackoffWorthWaiting({ turnInMs: 3000, remainingMs: 20_000, waitedMs: 0 }),
      false,
    );
  });
});
