import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findBrokenSchedule } from './retrySchedules';

const SHARDS = 4;
const SCHEDULES = 10_000 / SHARDS;
const HELD_SCHEDULES = 2000 / SHARDS;
const EARNED_SCHEDULES = 100 / SHARDS;

/** Registers the tests of one shard; each runs in a process of its own. */
export function describeRetrySchedules(shard: number): void {
  const first = (shard - 1) * SCHEDULES + 1;
  describe(`the retries of all entries under random failures (${shard} of ${SHARDS})`, () => {
    it(`stay within the bound in every window (${shard} of ${SHARDS})`, async () => {
      assert.equal(await findBrokenSchedule(first, SCHEDULES), null);
    });

    it(`stay within what many requests earn (${shard} of ${SHARDS})`, async () => {
      const firstEarned = (shard - 1) * EARNED_SCHEDULES + 1;
      const options = { areAllEarned: true };
      assert.equal(await findBrokenSchedule(firstEarned, EARNED_SCHEDULES, options), null);
    });

    it(`stay within the bound while links hold requests (${shard} of ${SHARDS})`, async () => {
      const firstHeld = (shard - 1) * HELD_SCHEDULES + 1;
      const options = { hasHeldLinks: true };
      assert.equal(await findBrokenSchedule(firstHeld, HELD_SCHEDULES, options), null);
    });
  });
}
