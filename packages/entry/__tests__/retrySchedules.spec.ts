import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { playRetrySchedule } from './retrySchedules';
import type { PlantedFault } from './retrySchedules';

const SCHEDULES = 10_000;
const SCHEDULES_WITH_FAULT = 2000;

/** Returns the first seed whose schedule breaks the bound; null if none does. */
async function findBroken(schedules: number, planted?: PlantedFault): Promise<number | null> {
  for (let seed = 1; seed <= schedules; seed += 1) {
    const { worstShare } = await playRetrySchedule(seed, planted);
    if (worstShare > 1) return seed;
  }
  return null;
}

describe('the retries of all entries under random failures, waits and late arrivals', () => {
  it('stay within the bound in every window', async () => {
    assert.equal(await findBroken(SCHEDULES), null);
  });

  const planted: readonly PlantedFault[] = [
    'account-forgets-at-takeover',
    'slack-by-entry',
    'two-accounts-lend',
  ];
  planted.forEach((fault) => {
    it(`break the bound with the planted fault ${fault}`, async () => {
      assert.notEqual(await findBroken(SCHEDULES_WITH_FAULT, fault), null);
    });
  });
});
