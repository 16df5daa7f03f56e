/**
 * Guards against stale permissions after the suspension of a VM: with a clock that does not count
 * the suspended time, a confirmation that was received before the suspension still looks fresh.
 * Tested with suspensions of 1, 5 and 30 seconds.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDocumentCache, createFactTable, createFeedServer } from '@spoolplank/membership';
import { RETRY_ARRIVAL_MS } from '@spoolplank/routing';
import { createManualClock } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import { createReadiness } from '../src/readiness';
import { createEngine, createTables, createTestBudgets } from './fixtures';

const REVOCATION_MS = 5000;
const SUSPENSIONS_MS = [1000, 5000, 30_000] as const;

function createConfirmed(clock: ManualClock) {
  const documents = createDocumentCache<{ readonly version: number }>(clock);
  documents.offer({ version: 1 });
  documents.confirm(1, clock.nowMs());
  const readiness = createReadiness({
    documents,
    revocationMs: REVOCATION_MS,
    refusalLimitMs: REVOCATION_MS,
  });
  return { documents, readiness };
}

describe('an entry whose VM was suspended', () => {
  it('serves keys only as long after its last confirmation as if it had run', () => {
    const ready = SUSPENSIONS_MS.map((suspensionMs) => {
      const clock = createManualClock(100_000);
      const { readiness } = createConfirmed(clock);
      clock.suspend(suspensionMs);
      return readiness.isReadyToRoute();
    });
    assert.deepEqual(ready, [true, false, false]);
  });

  it('serves again after one exchange, and includes the suspension in the age of a late reply', () => {
    SUSPENSIONS_MS.forEach((suspensionMs) => {
      const clock = createManualClock(100_000);
      const { documents, readiness } = createConfirmed(clock);
      const sentAtMs = clock.nowMs();
      clock.suspend(suspensionMs);
      // The reply to a request from before the suspension confirms only the state at that time.
      documents.confirm(1, sentAtMs);
      assert.equal(readiness.isReadyToRoute(), suspensionMs < REVOCATION_MS * 0.85);
      documents.confirm(1, clock.nowMs());
      assert.equal(readiness.isReadyToRoute(), true);
    });
  });

  it('does not renew its retry budget', async () => {
    const clock = createManualClock(100_000);
    const budget = createTestBudgets(clock, 1)('engines');
    assert.ok(await budget.take('usual'));
    clock.suspend(30_000);
    assert.equal(await budget.take('usual'), null);
    clock.advance(1000 + RETRY_ARRIVAL_MS + 1);
    assert.ok(await budget.take('usual'));
  });

  it('keeps a backend server that it received just before its last exchange', () => {
    const { clock, view, announce, sync } = createTables();
    announce(createEngine('e1', 0, 8));
    sync();
    clock.suspend(30_000);
    assert.equal(view.listBackends('engines').length, 1);
  });
});

describe('a control VM that was suspended while it held back a reply', () => {
  it('does not report the suspension as waiting time, which the entry relies on', async () => {
    const clock = createManualClock(100_000);
    const documents = createDocumentCache<{ readonly version: number }>(clock);
    documents.offer({ version: 1 });
    documents.confirm(1, clock.nowMs());
    const table = createFactTable<string>({ clock, instance: 'i', isUrgent: () => false });
    let release = (): void => {};
    const feed = createFeedServer({
      clock,
      table,
      documents,
      refreshConfirmation: () => {},
      schedule(run) {
        release = run;
        return () => {};
      },
      maxWaitMs: 800,
    });
    const reply = feed.answer({
      updates: [],
      instance: 'i',
      revision: 0,
      documentVersion: 1,
      exceptOrigins: [],
      waitMs: 800,
    });
    clock.advance(100);
    clock.suspend(5000);
    release();
    const { waitedMs, confirmedAgeMs } = await reply;
    assert.equal(waitedMs, 100);
    assert.equal(confirmedAgeMs, 5100);
  });
});
