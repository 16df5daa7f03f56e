import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findTruncation } from '../src/dispatch/answerCompletion';
import type { AnswerEnding, AnswerFraming, EventPosition } from '../src/dispatch/answerEnd';

const FRAMINGS: readonly AnswerFraming[] = ['length', 'chunked', 'connection'];
const INTERRUPTIONS: readonly AnswerEnding[] = ['broken-off', 'tunnel-broken', 'aborted'];
const POSITIONS: readonly (EventPosition | null)[] = [
  null,
  'no-event',
  'between-events',
  'inside-event',
];

/** Whether an answer that its server ended is complete, by framing and position. */
const IS_COMPLETE: Readonly<Record<AnswerFraming, readonly boolean[]>> = {
  length: [true, true, true, false],
  chunked: [true, true, true, false],
  connection: [true, false, true, false],
};

describe('an answer', () => {
  FRAMINGS.forEach((framing) => {
    POSITIONS.forEach((position, index) => {
      const isComplete = IS_COMPLETE[framing][index];
      const name = `${framing}, ${position ?? 'no events'}`;

      it(`is ${isComplete ? 'complete' : 'truncated'} if its server ended it (${name})`, () => {
        assert.equal(findTruncation({ framing, ending: 'ended', position }) === null, isComplete);
      });

      INTERRUPTIONS.forEach((ending) => {
        it(`is truncated if it was interrupted (${ending}, ${name})`, () => {
          assert.notEqual(findTruncation({ framing, ending, position }), null);
        });
      });
    });
  });
});
