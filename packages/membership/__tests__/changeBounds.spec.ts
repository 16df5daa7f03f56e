import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  DEFAULT_CHANGE_BOUNDS,
  deriveConfirmationTimings,
  findChangeBoundProblem,
} from '../src/changeBounds';
import type { ChangeBounds } from '../src/changeBounds';

const ELECTION_LIMIT_MS = 2100;
const BOUNDS: readonly ChangeBounds[] = [
  DEFAULT_CHANGE_BOUNDS,
  { applyMs: 2500, contactMs: 4000 },
  { applyMs: 3000, contactMs: 5000 },
  { applyMs: 1000, contactMs: 3000 },
];

describe('the timings of confirmations', () => {
  BOUNDS.forEach((bounds) => {
    const timings = deriveConfirmationTimings(bounds);
    const name = `${bounds.applyMs} and ${bounds.contactMs} ms`;

    it(`ask out of turn only when the exchanges are late, and within the bound (${name})`, () => {
      assert.ok(timings.controlDueMs > timings.holdMs);
      assert.ok(timings.entryDueMs > 2 * timings.holdMs);
      assert.ok(timings.entryDueMs + timings.askIntervalMs < bounds.applyMs);
      assert.ok(timings.controlDueMs + timings.askIntervalMs < timings.entryDueMs);
    });

    it(`do not refuse by a confirmation that is older than the bound (${name})`, () => {
      assert.ok(timings.refusalLimitMs < bounds.applyMs);
      assert.ok(timings.refusalLimitMs > 2 * timings.holdMs);
    });

    it(`fit into the time until a VM is in contact (${name})`, () => {
      assert.equal(findChangeBoundProblem(bounds, ELECTION_LIMIT_MS), null);
    });
  });

  it('are reported as too long for bounds that they do not fit into', () => {
    const tooShort = { applyMs: 2000, contactMs: 2500 };
    assert.match(findChangeBoundProblem(tooShort, ELECTION_LIMIT_MS) ?? '', /2900 ms/);
    const tooTight = { applyMs: 500, contactMs: 3000 };
    assert.match(findChangeBoundProblem(tooTight, ELECTION_LIMIT_MS) ?? '', /1000 ms/);
  });
});
