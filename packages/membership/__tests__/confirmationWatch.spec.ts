import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createConfirmationWatch } from '../src/confirmationWatch';

describe('the watch of a confirmation', () => {
  it('reports once that it is overdue, and once that it is renewed, with the highest age', () => {
    const reports: (readonly [string, number])[] = [];
    let ageMs = Number.POSITIVE_INFINITY;
    const watch = createConfirmationWatch({
      confirmedAgeMs: () => ageMs,
      overdueMs: 2000,
      onOverdue: (confirmedAgeMs) => reports.push(['overdue', confirmedAgeMs]),
      onRenewed: (highestAgeMs) => reports.push(['renewed', highestAgeMs]),
    });
    [Number.POSITIVE_INFINITY, 0, 1999, 2000, 2200, 300, 400].forEach((age) => {
      ageMs = age;
      watch.tick();
    });
    assert.deepEqual(reports, [
      ['overdue', 2000],
      ['renewed', 2200],
    ]);
  });
});
