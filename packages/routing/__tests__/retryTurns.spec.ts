import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createRetryTurns } from '../src/retryTurns';

const CALLER = { service: 'engines', priority: 1, size: 1, leavesInMs: 18_000, isRetry: false };
const TURN = { perS: 100, earliestMs: 1000 };

function createTurns() {
  const clock = createManualClock(100_000);
  return { clock, turns: createRetryTurns({ clock }) };
}

describe('the turns of refused callers', () => {
  it('spread 300 callers that are refused within a second at the rate of slots', () => {
    const { clock, turns } = createTurns();
    const returnsMs = Array.from({ length: 300 }, (_, index) => {
      clock.advance(1000 / 300);
      return clock.nowMs() + turns.reserveMs({ ...CALLER, size: 1 + index / 100 }, TURN);
    });
    const gapsMs = returnsMs.slice(1).map((atMs, index) => atMs - (returnsMs[index] ?? 0));
    assert.ok(Math.min(...gapsMs) > 8, 'no two return together');
    assert.ok((returnsMs.at(-1) ?? 0) < 100_000 + 1000 + 3050, 'no longer than the slots need');
  });

  it('give callers that leave first the first times, within a third of the time they have', () => {
    const { turns } = createTurns();
    const others = Array.from({ length: 400 }, (_, index) =>
      turns.reserveMs({ ...CALLER, size: 1 + index / 100 }, TURN),
    );
    const hurried = turns.reserveMs({ ...CALLER, leavesInMs: 3000 }, TURN);
    assert.equal(hurried, 1000);
    assert.ok((others.at(-1) ?? 0) > 4900);
    const next = turns.reserveMs({ ...CALLER, size: 9 }, TURN);
    assert.ok(next > (others.at(-1) ?? 0) + 15, 'the later turns keep their rate');
  });

  it('are not multiplied by callers that return before them', () => {
    const { clock, turns } = createTurns();
    const first = turns.reserveMs(CALLER, TURN);
    clock.advance(100);
    const early = { ...CALLER, isRetry: true, leavesInMs: CALLER.leavesInMs - 100 };
    assert.equal(turns.recordReturn(early), 'early');
    assert.deepEqual(
      [1, 2, 3].map(() => turns.reserveMs(early, TURN)),
      [900, 900, 900],
    );
    assert.equal(turns.reserveMs({ ...CALLER, size: 2 }, TURN), first, 'the next free turn');
  });

  it('are used once, by the caller that has them', () => {
    const { clock, turns } = createTurns();
    const waitMs = turns.reserveMs(CALLER, TURN);
    clock.advance(waitMs);
    const due = { ...CALLER, isRetry: true, leavesInMs: CALLER.leavesInMs - waitMs };
    const standings = [
      turns.recordReturn({ ...due, size: 2 }),
      turns.recordReturn({ ...due, leavesInMs: due.leavesInMs - 500 }),
      turns.recordReturn(due),
      turns.recordReturn(due),
    ];
    assert.deepEqual(standings, ['unknown', 'unknown', 'due', 'early']);
    clock.advance(5000);
    assert.equal(turns.recordReturn({ ...due, leavesInMs: due.leavesInMs - 5000 }), 'unknown');
  });
});
