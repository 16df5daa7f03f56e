import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDocumentCache } from '@spoolplank/membership';
import type { StoredDocument } from '@spoolplank/control';
import { createManualClock } from '@spoolplank/shared';
import { createLeaderConfirmation } from '../src/leaderConfirmation';

const SUSPENDED_MS = 3000;

describe('the confirmation by a leader', () => {
  it('is not dated after a suspension that followed the check of the lease', () => {
    const clock = createManualClock(100_000);
    const documents = createDocumentCache<StoredDocument>(clock);
    const confirm = createLeaderConfirmation({
      clock,
      documents,
      state: { current: { version: 1, data: '' } },
      canRead() {
        clock.suspend(SUSPENDED_MS);
        return true;
      },
    });
    confirm();
    assert.equal(documents.confirmedAgeMs(), SUSPENDED_MS);
  });
});
