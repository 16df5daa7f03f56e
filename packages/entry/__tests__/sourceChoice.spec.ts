import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createSourceChoice } from '../src/sourceChoice';

describe('the choice of a control VM', () => {
  it('goes on to the next one after a failure, and back to the first one later', () => {
    const clock = createManualClock();
    const choice = createSourceChoice({ clock, list: () => ['near', 'far'] });
    assert.equal(choice.current(), 'near');
    choice.fail();
    assert.equal(choice.current(), 'far');
    clock.advance(8000);
    assert.equal(choice.current(), 'far');
    clock.advance(1);
    assert.equal(choice.current(), 'near');
  });

  it('leaves one that answers without a fresh confirmation, but not in a rush', () => {
    const clock = createManualClock();
    const choice = createSourceChoice({ clock, list: () => ['cut off', 'well', 'third'] });
    choice.noteAnswer(800);
    assert.equal(choice.current(), 'cut off');
    choice.noteAnswer(1501);
    assert.equal(choice.current(), 'well');
    choice.noteAnswer(null);
    assert.equal(choice.current(), 'well');
    clock.advance(1001);
    choice.noteAnswer(null);
    assert.equal(choice.current(), 'third');
  });

  it('names nobody where none is known', () => {
    const choice = createSourceChoice({ clock: createManualClock(), list: () => [] });
    assert.equal(choice.current(), '');
  });
});
