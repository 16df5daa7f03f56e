/**
 * Guards against two faults of the judgement over parts of prompts: one that lets requests with a
 * deadly part go on ending engines, and one that refuses sound requests that share other parts.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runPartSchedule } from './partSchedules';
import type { PartScheduleOptions } from './partSchedules';

const SEEDS = 20;
const MAX_LATE = 3;
const RATES = [
  { deadlyEveryMs: 100, soundEveryMs: 50 },
  { deadlyEveryMs: 1000, soundEveryMs: 50 },
  { deadlyEveryMs: 1000, soundEveryMs: 500 },
];
const OTHER_ENDS = ['none', 'at-once', 'in-series'] as const;

function listOptions(deadlyParts: number): readonly PartScheduleOptions[] {
  return RATES.flatMap((rate) =>
    OTHER_ENDS.flatMap((otherEnds) =>
      Array.from({ length: SEEDS }, (_unused, seed) => ({
        ...rate,
        seed,
        deadlyParts,
        otherEnds,
        vms: 2 + (seed % 4),
      })),
    ),
  );
}

describe('requests with a part that ends engines, at any VM and beside other ends', () => {
  [0, 1, 2].forEach((deadlyParts) =>
    it(`reach three engines more at most, and no sound request is refused, with ${deadlyParts} parts`, () => {
      const failures = listOptions(deadlyParts).flatMap((options) => {
        const result = runPartSchedule(options);
        const isRight =
          result.sentLate <= MAX_LATE * Math.max(1, deadlyParts) && result.soundRefused === 0;
        return isRight ? [] : [JSON.stringify({ ...options, ...result })];
      });
      assert.deepEqual(failures.slice(0, 5), [], `${failures.length} schedules failed`);
    }),
  );
});
