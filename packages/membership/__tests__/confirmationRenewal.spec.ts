import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createManualClock } from '@spoolplank/shared';
import type { Confirmation } from '../src/confirmation';
import { createConfirmationRenewal } from '../src/confirmationRenewal';
import { createDocumentCache } from '../src/documentCache';

interface VersionedDocument {
  readonly version: number;
}
type Source = () => Promise<Confirmation<VersionedDocument>>;

const DUE_MS = 1000;
const TIMINGS = { askIntervalMs: 200, holdMs: 800, outOfContactMs: 5000 };
const LIMIT_MS = 1800;
const STEP_MS = 10;

const silent: Source = () => new Promise(() => {});
const refusing: Source = () => Promise.reject(new Error('refused'));
const confirming =
  (confirmedAgeMs: number | null, version = 1): Source =>
  () =>
    Promise.resolve({ document: { version }, documentVersion: version, confirmedAgeMs });

function createSetting(sources: Readonly<Record<string, Source>>) {
  const clock = createManualClock(100_000);
  const documents = createDocumentCache<VersionedDocument>(clock);
  documents.offer({ version: 1 });
  documents.confirm(1, clock.nowMs());
  const timers: { readonly atMs: number; readonly run: () => void }[] = [];
  const asked: string[] = [];
  const renewal = createConfirmationRenewal<VersionedDocument>({
    clock,
    schedule(run, delayMs) {
      timers.push({ atMs: clock.nowMs() + delayMs, run });
      return () => {};
    },
    documents,
    dueMs: DUE_MS,
    timings: TIMINGS,
    listSources: () => Object.keys(sources),
    request(source) {
      asked.push(`${source}@${clock.nowMs() - 100_000}`);
      return (sources[source] ?? silent)();
    },
    onDocument: () => {},
    onAsked: () => {},
  });

  async function pass(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      clock.advance(STEP_MS);
      const due = timers.filter(({ atMs }) => atMs <= clock.nowMs());
      due.forEach((timer) => timers.splice(timers.indexOf(timer), 1));
      due.forEach(({ run }) => run());
      await nextTurn();
    }
  }

  return { clock, documents, renewal, asked, pass };
}

describe('the renewal of a confirmation', () => {
  it('asks no source while the exchanges renew it', async () => {
    const { clock, documents, renewal, asked, pass } = createSetting({ a: silent });
    renewal.start();
    for (let exchange = 0; exchange < 5; exchange += 1) {
      await pass(800);
      documents.confirm(1, clock.nowMs());
    }
    assert.deepEqual(asked, []);
  });

  it('asks the next source after an interval, without waiting for the time-out of a silent one', async () => {
    const { documents, renewal, asked, pass } = createSetting({
      a: silent,
      b: refusing,
      c: confirming(40, 2),
    });
    renewal.start();
    await pass(1500);
    assert.deepEqual(asked, ['a@1000', 'b@1200', 'c@1400']);
    assert.equal(documents.current?.version, 2);
    assert.equal(documents.confirmedAgeMs(), 140);
  });

  it('turns to another source when one replies without a recent confirmation', async () => {
    const { documents, renewal, asked, pass } = createSetting({
      partitioned: confirming(4000),
      unconfirmed: confirming(null),
      healthy: confirming(0, 2),
    });
    renewal.start();
    await pass(1500);
    assert.deepEqual(asked, ['partitioned@1000', 'unconfirmed@1200', 'healthy@1400']);
    assert.equal(documents.current?.version, 2);
    await pass(1000);
    assert.equal(asked.at(-1), 'healthy@2400');
  });

  it('asks less often once this VM is out of contact', async () => {
    const { renewal, asked, pass } = createSetting({ a: silent });
    renewal.start();
    await pass(10_000);
    const later = asked.filter((entry) => Number(entry.split('@')[1]) > TIMINGS.outOfContactMs);
    assert.ok(later.length <= 7, later.join(' '));
  });

  it('is shared by callers that wait at the same time', async () => {
    const { renewal, asked, pass } = createSetting({ a: confirming(0) });
    await pass(LIMIT_MS);
    await Promise.all([1, 2, 3].map(() => renewal.renewNow(LIMIT_MS)));
    assert.deepEqual(asked, ['a@1800']);
  });

  it('does not let callers wait for sources that are known not to reply', async () => {
    const { renewal, asked, pass } = createSetting({ a: silent });
    await pass(TIMINGS.outOfContactMs);
    await renewal.renewNow(LIMIT_MS);
    assert.deepEqual(asked, []);
  });

  it('lets callers wait for two intervals at most', async () => {
    const { renewal, asked, pass } = createSetting({ a: silent });
    await pass(LIMIT_MS);
    let hasEnded = false;
    void renewal.renewNow(LIMIT_MS).then(() => {
      hasEnded = true;
    });
    await pass(390);
    assert.equal(hasEnded, false);
    await pass(20);
    assert.equal(hasEnded, true);
    assert.equal(asked.length, 2);
  });
});
