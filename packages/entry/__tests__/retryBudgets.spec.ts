import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createRetryBudgets, MEMBERS_KNOWN_MS } from '../src/admission/retryBudgets';

const LIMITS = { windowMs: 10_000, ratio: 0.2, allowance: 200 };
const VMS = 78;

/** Creates entries that start at the same time and learn of each other a second later. */
function createEntries() {
  const clock = createManualClock(100_000);
  const startedAtMs = clock.nowMs();
  const knowsOthers = () => clock.nowMs() - startedAtMs >= 1000;
  const budgets = Array.from({ length: VMS }, () =>
    createRetryBudgets({
      clock,
      log: { info: () => {} },
      limits: LIMITS,
      entries: () => (knowsOthers() ? VMS : 1),
      firstSyncedAtMs: () => startedAtMs,
    }),
  );
  return {
    clock,
    /** Total number of retries that the entries allow now, if each requests `each` of them. */
    spendAll: (each: number) =>
      budgets.reduce((sum, budgetOf) => {
        const budget = budgetOf('engines');
        const spent = Array.from({ length: each }, () => budget.spend()).filter(Boolean);
        return sum + spent.length;
      }, 0),
    earnAll: (each: number) =>
      budgets.forEach((budgetOf) => {
        for (let count = 0; count < each; count += 1) budgetOf('engines').earn();
      }),
  };
}

describe('the retry budget that all entries share', () => {
  it('is not exceeded by entries that started together and do not know each other yet', () => {
    const { clock, spendAll } = createEntries();
    const atOnce = spendAll(20);
    clock.advance(1500);
    const later = spendAll(20);
    clock.advance(MEMBERS_KNOWN_MS);
    assert.ok(atOnce > 0, 'a first request that meets a lost server is sent on');
    assert.ok(atOnce + later + spendAll(20) <= LIMITS.allowance, `${atOnce} retries at once`);
  });

  it('is shared among the entries once they have had time to learn of each other', () => {
    const { clock, spendAll } = createEntries();
    clock.advance(MEMBERS_KNOWN_MS);
    const spent = spendAll(20);
    assert.ok(spent > 0 && spent <= LIMITS.allowance, `${spent}`);
  });

  it('lets an entry that has just started use the retries that its own requests earn', () => {
    const { spendAll, earnAll } = createEntries();
    earnAll(20);
    assert.equal(spendAll(20), VMS * 5);
  });
});
