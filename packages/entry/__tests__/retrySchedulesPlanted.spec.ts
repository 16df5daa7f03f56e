import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findBrokenSchedule } from './retrySchedules';
import type { PlantedFault } from './retrySchedules';

const SCHEDULES = 1000;
const PLANTED: readonly PlantedFault[] = [
  'account-forgets-at-takeover',
  'loan-requests-numbered-alike',
  'requests-dated-by-reading',
  'sendings-forgotten-when-given-up',
  'slack-by-entry',
  'two-accounts-lend',
];

describe('the schedules of retries', () => {
  PLANTED.forEach((fault) => {
    it(`break the bound with the planted fault ${fault}`, async () => {
      assert.notEqual(await findBrokenSchedule(1, SCHEDULES, fault), null);
    });
  });
});
