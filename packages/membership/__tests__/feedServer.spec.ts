import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createDocumentCache } from '../src/documentCache';
import { createFactTable } from '../src/factTable';
import { createFeedServer } from '../src/feedServer';

const PAUSE_MS = 500;

describe('the reply of a source', () => {
  it('does not date a confirmation later than it was made if the process pauses', async () => {
    const clock = createManualClock(100_000);
    const documents = createDocumentCache<{ readonly version: number }>(clock);
    documents.offer({ version: 1 });
    const table = createFactTable<string>({ clock, instance: 'source', isUrgent: () => false });
    const confirmedAtMs = clock.nowMs();
    const server = createFeedServer({
      clock,
      table: {
        ...table,
        instance: table.instance,
        deltaSince(...since) {
          clock.advance(PAUSE_MS);
          return table.deltaSince(...since);
        },
      },
      documents,
      refreshConfirmation: () => documents.confirm(1, confirmedAtMs),
      schedule: () => () => {},
      maxWaitMs: 0,
    });
    const sentAtMs = clock.nowMs();
    const reply = await server.answer({
      updates: [],
      instance: '',
      revision: 0,
      documentVersion: 1,
      waitMs: 0,
    });
    assert.ok(sentAtMs + reply.waitedMs - (reply.confirmedAgeMs ?? 0) <= confirmedAtMs);
  });
});
