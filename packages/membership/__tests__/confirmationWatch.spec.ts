import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createConfirmationWatch } from '../src/confirmationWatch';
import { createDocumentCache } from '../src/documentCache';

describe('the watch of a confirmation', () => {
  it('reports once that it is overdue, and once that it is renewed, with the highest age', () => {
    const reports: (readonly [string, number])[] = [];
    const clock = createManualClock(100_000);
    const documents = createDocumentCache<{ readonly version: number }>(clock);
    documents.offer({ version: 1 });
    const watch = createConfirmationWatch({
      documents,
      overdueMs: 2000,
      onOverdue: ({ confirmedAgeMs }) => reports.push(['overdue', confirmedAgeMs]),
      onRenewed: ({ highestAgeMs }) => reports.push(['renewed', highestAgeMs]),
    });
    watch.tick();
    documents.confirm(1, clock.nowMs());
    [0, 1999, 1, 200].forEach((passedMs) => {
      clock.advance(passedMs);
      watch.tick();
    });
    documents.confirm(1, clock.nowMs() - 300);
    watch.tick();
    clock.advance(100);
    watch.tick();
    assert.deepEqual(reports, [
      ['overdue', 2000],
      ['renewed', 2200],
    ]);
  });
});
