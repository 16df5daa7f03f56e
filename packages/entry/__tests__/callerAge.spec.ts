import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import { createCallerAge } from '../src/admission/callerAge';
import type { CallerAge } from '../src/admission/callerAge';

const TARGET_MS = 500;
const FIRST_WAITS = 400;
/** Waits from which the estimate no longer depends on the order of the first ones. */
const WINDOW_LENGTH = 64;

const estimate = (
  age: CallerAge,
  route: string,
  organisation: string,
  remainingMs: number | null,
): number => age.estimateMs({ route, organisation, remainingMs });

describe('the age of a caller', () => {
  it('is the difference to the longest wait of its group', () => {
    const age = createCallerAge();
    assert.equal(estimate(age, 'r1', 'org', 20_000), 0);
    assert.equal(estimate(age, 'r1', 'org', 17_900), 2100);
    assert.equal(estimate(age, 'r1', 'org', 20_000), 0);
  });

  it('is zero if the caller does not state how long it waits, or no caller of its group waits longer', () => {
    const age = createCallerAge();
    estimate(age, 'r1', 'org', 20_000);
    assert.equal(estimate(age, 'r1', 'org', null), 0);
    assert.equal(estimate(age, 'r2', 'org', 5000), 0);
  });

  // Guards against first attempts that count as late retries where stated waits differ by 15 %.
  it('is below the target for first attempts whose stated waits differ from request to request', () => {
    const seeds = [1, 2, 3, 4, 5];
    const late = seeds.map((seed) => {
      const random = createSeededRandom(seed);
      const age = createCallerAge();
      const agesMs = Array.from({ length: FIRST_WAITS }, () =>
        estimate(age, 'r1', 'org', 17_000 + random.nextFloat() * 3000),
      );
      assert.ok(estimate(age, 'r1', 'org', 15_000) > 1900, 'a wait below all others is a retry');
      return agesMs.slice(WINDOW_LENGTH).filter((ageMs) => ageMs > TARGET_MS).length;
    });
    const sum = late.reduce((total, count) => total + count, 0);
    // By chance, a quarter of a window is within 2 % of the longest for some requests.
    const judged = seeds.length * (FIRST_WAITS - WINDOW_LENGTH);
    assert.ok(sum < 0.03 * judged, `${sum} of ${judged} first attempts count as late: ${late}`);
  });

  it('is the difference to the longest wait while a quarter of the callers state that wait', () => {
    const random = createSeededRandom(1);
    const age = createCallerAge();
    for (let index = 0; index < FIRST_WAITS; index += 1) {
      assert.equal(estimate(age, 'r1', 'org', 20_000), 0);
      // Callers that retry three times: each retry has up to 2 s less.
      [0, 1, 2].forEach(() => {
        const elapsedMs = random.nextFloat() * 2000;
        const ageMs = estimate(age, 'r1', 'org', 20_000 - elapsedMs);
        assert.ok(Math.abs(ageMs - elapsedMs) < 0.001, `${ageMs} for ${elapsedMs}`);
      });
    }
  });

  /** First attempts on one route, drawn from 22 small organisations and two large ones. */
  function sendFirstAttempts(age: CallerAge, seed: number, drawWaitMs: (share: number) => number) {
    const random = createSeededRandom(seed);
    return Array.from({ length: FIRST_WAITS }, () => {
      const isLarge = random.nextInt(2) === 0;
      const organisation = isLarge ? `large${random.nextInt(2)}` : `small${random.nextInt(22)}`;
      return estimate(age, 'r1', organisation, drawWaitMs(random.nextFloat()));
    });
  }

  // Guards against small organisations that never send enough requests to tell retries apart.
  it('is below the target for first attempts of organisations with few requests', () => {
    const late = [1, 2, 3, 4, 5].map((seed) => {
      const age = createCallerAge();
      const agesMs = sendFirstAttempts(age, seed, (share) => 17_000 + share * 3000);
      assert.ok(estimate(age, 'r1', 'small0', 15_000) > 1900, 'a wait below all others is a retry');
      // The first few waits do not show yet that waits differ.
      return agesMs.slice(20).filter((ageMs) => ageMs > TARGET_MS).length;
    });
    const sum = late.reduce((total, count) => total + count, 0);
    const judged = late.length * (FIRST_WAITS - 20);
    assert.ok(sum < 0.03 * judged, `${sum} of ${judged} first attempts count as late: ${late}`);
  });

  // Guards against a pool that hides the retries of organisations whose callers state equal waits.
  it('is the difference to the longest wait of an organisation while the route has equal waits', () => {
    const age = createCallerAge();
    sendFirstAttempts(age, 1, () => 20_000);
    estimate(age, 'r1', 'patient', 20_000);
    assert.equal(estimate(age, 'r1', 'patient', 18_500), 1500);
    assert.equal(estimate(age, 'r1', 'hasty', 5000), 0);
    assert.equal(estimate(age, 'r1', 'hasty', 4500), 500);
  });

  // Guards against an organisation whose first attempts all count as retries.
  it('is zero for an organisation that states a shorter wait than those with differing ones', () => {
    const age = createCallerAge();
    sendFirstAttempts(age, 1, (share) => 17_000 + share * 3000);
    assert.equal(estimate(age, 'r1', 'hasty', 5000), 0);
    assert.equal(estimate(age, 'r1', 'hasty', 5000), 0);
  });
});
