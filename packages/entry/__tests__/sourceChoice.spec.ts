import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createSourceChoice } from '../src/gossip/sourceChoice';

describe('the choice of a control VM', () => {
  it('switches to the next one after a failure, and returns to the first one later', () => {
    const clock = createManualClock();
    const choice = createSourceChoice({ clock, list: () => ['near', 'far'] });
    assert.equal(choice.current(), 'near');
    choice.recordFailure();
    assert.equal(choice.current(), 'far');
    clock.advance(8000);
    assert.equal(choice.current(), 'far');
    clock.advance(1);
    assert.equal(choice.current(), 'near');
  });

  it('abandons a control VM without a fresh confirmation, but limits the rate of switches', () => {
    const clock = createManualClock();
    const choice = createSourceChoice({ clock, list: () => ['partitioned', 'healthy', 'third'] });
    choice.recordAnswer(800);
    assert.equal(choice.current(), 'partitioned');
    choice.recordAnswer(1501);
    assert.equal(choice.current(), 'healthy');
    choice.recordAnswer(null);
    assert.equal(choice.current(), 'healthy');
    clock.advance(1001);
    choice.recordAnswer(null);
    assert.equal(choice.current(), 'third');
  });

  it('stays for a while with the first control VM that replies before any has a confirmation', () => {
    const clock = createManualClock();
    const choice = createSourceChoice({ clock, list: () => ['near', 'far'] });
    for (let passedMs = 0; passedMs < 3000; passedMs += 100) {
      choice.recordAnswer(null);
      assert.equal(choice.current(), 'near');
      clock.advance(100);
    }
    // The control VM may be partitioned from the others and never learn of a leader.
    choice.recordAnswer(null);
    assert.equal(choice.current(), 'far');
  });

  it('switches to a nearer control VM as soon as it is known, regardless of earlier failures', () => {
    const clock = createManualClock();
    let known = ['seed 1', 'seed 2', 'seed 3'];
    const choice = createSourceChoice({ clock, list: () => known });
    choice.current();
    choice.recordFailure();
    choice.recordFailure();
    assert.equal(choice.current(), 'seed 3');
    known = ['near', ...known];
    assert.equal(choice.current(), 'near');
    choice.recordFailure();
    assert.equal(choice.current(), 'seed 1');
  });

  it('is empty when no control VM is known', () => {
    const choice = createSourceChoice({ clock: createManualClock(), list: () => [] });
    assert.equal(choice.current(), '');
  });
});
