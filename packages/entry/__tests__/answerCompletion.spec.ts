import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEndCheck, findTruncation } from '../src/dispatch/answerCompletion';
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

describe('an answer whose server is lost when it ends', () => {
  const TARGET = { instanceId: 'e1', address: 'e1:80' };

  /** Checks an answer that looks complete; returns why it is truncated, and which were probed. */
  async function check(framing: AnswerFraming, isLeaving = false) {
    const probed: string[] = [];
    const checkEnd = createEndCheck({
      isServerLost(address) {
        probed.push(address);
        return Promise.resolve(true);
      },
      isLeaving: () => isLeaving,
    });
    const end = { framing, ending: 'ended', position: 'between-events' } as const;
    return { truncation: await checkEnd(end, TARGET), probed };
  }

  it('is truncated if only the end of the connection marked its end', async () => {
    const { truncation, probed } = await check('connection');
    assert.notEqual(truncation, null);
    assert.deepEqual(probed, [TARGET.address]);
  });

  (['length', 'chunked'] as const).forEach((framing) => {
    it(`is complete by its framing, without a probe (${framing})`, async () => {
      assert.deepEqual(await check(framing), { truncation: null, probed: [] });
    });
  });

  it('is complete if its server had announced that it ends', async () => {
    assert.deepEqual(await check('connection', true), { truncation: null, probed: [] });
  });
});
