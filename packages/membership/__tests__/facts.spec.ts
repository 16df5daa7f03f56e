import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import { createDocumentCache } from '../src/documentCache';
import { createFactTable } from '../src/factTable';
import type { FactTable } from '../src/factTable';
import { createFeedClient } from '../src/feedClient';
import { createFeedServer } from '../src/feedServer';

interface Body {
  readonly text: string;
}

interface Document {
  readonly version: number;
}

function createTable(clock: ManualClock, instance: string): FactTable<Body> {
  return createFactTable<Body>({ clock, instance, isUrgent: () => true });
}

function exchange(from: FactTable<Body>, to: FactTable<Body>, sinceRevision = 0, nowMs = 0): void {
  to.merge(from.deltaSince(from.instance, sinceRevision).updates, nowMs);
}

describe('a table of facts', () => {
  it('keeps the latest version, in whatever order updates arrive', () => {
    const clock = createManualClock();
    const table = createTable(clock, 'a');
    assert.equal(table.put('k', 2, { text: 'second' }), true);
    assert.equal(table.put('k', 1, { text: 'first' }), false);
    assert.equal(table.find('k')?.body.text, 'second');
  });

  it('converges by exchanges in any order, after which nothing is sent again', () => {
    const clock = createManualClock();
    const [a, b, c] = ['a', 'b', 'c'].map((name) => createTable(clock, name));
    assert.ok(a && b && c);
    a.put('k', 1, { text: 'old' });
    c.put('k', 2, { text: 'new' });
    exchange(a, b);
    exchange(c, b);
    exchange(a, b);
    exchange(b, a);
    [a, b, c].forEach((table) => assert.equal(table.find('k')?.body.text, 'new'));
    const { revision } = a;
    exchange(b, a);
    assert.equal(a.revision, revision);
  });

  it('sends bodies only to VMs that lack them, and ages with every update', () => {
    const clock = createManualClock();
    const table = createTable(clock, 'a');
    table.put('k', 1, { text: 'same' });
    const { revision } = table;
    clock.advance(400);
    table.put('k', 2, { text: 'same' });
    clock.advance(100);
    const [update] = table.deltaSince('a', revision).updates;
    assert.deepEqual(update, { key: 'k', sequence: 2, ageMs: 100 });
    const [whole] = table.deltaSince('another run', revision).updates;
    assert.deepEqual(whole?.body, { text: 'same' });
  });

  it('omits the facts of origins that the requester receives directly', () => {
    const clock = createManualClock();
    const [a, b, c] = ['a', 'b', 'c'].map((name) => createTable(clock, name));
    assert.ok(a && b && c);
    a.put('of a', 1, { text: '' });
    b.merge(a.deltaSince('', 0).updates, 0, 'a');
    b.put('of b', 1, { text: '' });
    const keysOf = (except: readonly string[]) =>
      b.deltaSince('', 0, except).updates.map(({ key, origin }) => [key, origin]);
    assert.deepEqual(keysOf(['a']), [['of b', undefined]]);
    assert.deepEqual(keysOf([]), [
      ['of a', 'a'],
      ['of b', undefined],
    ]);
    c.merge(b.deltaSince('', 0).updates, 0, 'b');
    assert.equal(c.find('of a')?.origin, 'a');
    assert.equal(c.find('of b')?.origin, 'b');
  });

  it('sends a body again when its origin changes, as it was omitted until then', () => {
    const clock = createManualClock();
    const [b, c] = ['b', 'c'].map((name) => createTable(clock, name));
    assert.ok(b && c);
    c.put('worker', 1, { text: 'draining' });
    b.merge(c.deltaSince('', 0).updates, 0, 'c');
    // A third VM that receives c directly has the state of b up to here, without this body.
    const { revision } = b;
    b.put('worker', 2, { text: 'draining' });
    const [update] = b.deltaSince('b', revision, ['c']).updates;
    assert.deepEqual(update?.body, { text: 'draining' });
  });

  it('ignores an update without a body for an unknown key', () => {
    const table = createTable(createManualClock(), 'a');
    table.merge([{ key: 'k', sequence: 1, ageMs: 0 }], 0);
    assert.equal(table.find('k'), undefined);
  });

  it('removes facts that were not renewed within the retention time', () => {
    const clock = createManualClock();
    const table = createTable(clock, 'a');
    table.put('old', 1, { text: '' });
    clock.advance(1000);
    table.put('new', 1, { text: '' });
    table.sweep(500);
    assert.deepEqual(
      table.list().map(({ key }) => key),
      ['new'],
    );
  });
});

describe('the work of an exchange', () => {
  it('compares no bodies for facts that are renewed without a body', () => {
    const clock = createManualClock();
    const table = createTable(clock, 'a');
    table.merge([{ key: 'k', sequence: 1, ageMs: 0, body: { text: 'same' } }], 0, 'b');
    const compared = mock.method(JSON, 'stringify');
    table.merge([{ key: 'k', sequence: 2, ageMs: 0 }], 0, 'b');
    const comparisons = compared.mock.callCount();
    compared.mock.restore();
    assert.equal(comparisons, 0);
    assert.equal(table.find('k')?.sequence, 2);
  });

  it('visits only the urgent facts that changed since the last exchange', () => {
    const clock = createManualClock();
    let visits = 0;
    const table = createFactTable<Body>({
      clock,
      instance: 'a',
      isUrgent({ text }) {
        visits += 1;
        return text !== 'routine';
      },
    });
    for (let index = 0; index < 300; index += 1) table.put(`k${index}`, 1, { text: 'old' });
    const { revision } = table;
    table.put('k7', 2, { text: 'new' });
    visits = 0;
    assert.equal(table.hasUrgentSince(revision), true);
    assert.equal(table.hasUrgentSince(revision, ['']), false);
    assert.ok(visits <= 1, `${visits} visits`);
  });

  it('finds exactly the urgent facts that a check of all rows finds, in random schedules', () => {
    const random = createSeededRandom(5);
    for (let schedule = 0; schedule < 50; schedule += 1) {
      const clock = createManualClock();
      const isUrgent = ({ text }: Body) => text !== 'routine';
      let urgentRevision = 0;
      const table: FactTable<Body> = createFactTable<Body>({
        clock,
        instance: 'a',
        isUrgent,
        onUrgent() {
          urgentRevision = table.revision;
        },
      });
      for (let step = 1; step <= 400; step += 1) {
        clock.advance(10);
        const text = ['routine', 'x', 'y'][random.nextInt(3)] ?? '';
        const from = ['b', 'c'][random.nextInt(2)];
        const update = { key: `k${random.nextInt(12)}`, sequence: step, ageMs: 0 };
        const hasBody = random.nextInt(2) === 0;
        table.merge([{ ...update, ...(hasBody ? { body: { text } } : {}) }], 0, from);
        if (random.nextInt(40) === 0) table.sweep(50);
        const since = Math.max(0, table.revision - random.nextInt(20));
        const except = [[], ['b'], ['b', 'c']][random.nextInt(3)] ?? [];
        const isUnseen = table
          .list()
          .some(
            ({ body, bodyRevision, origin }) =>
              bodyRevision > since && isUrgent(body) && !except.includes(origin),
          );
        const expected = urgentRevision > since && isUnseen;
        assert.equal(table.hasUrgentSince(since, except), expected);
      }
    }
  });
});

describe('a document cache', () => {
  it('never returns to a lower version', () => {
    const cache = createDocumentCache<Document>(createManualClock());
    assert.equal(cache.offer({ version: 5 }), true);
    assert.equal(cache.offer({ version: 4 }), false);
    assert.equal(cache.current?.version, 5);
  });

  it('is not confirmed by a source that knows a higher version', () => {
    const clock = createManualClock(1000);
    const cache = createDocumentCache<Document>(clock);
    cache.offer({ version: 5 });
    cache.confirm(6, 1000);
    assert.equal(cache.confirmedAgeMs(), Number.POSITIVE_INFINITY);
    cache.confirm(5, 900);
    assert.equal(cache.confirmedAgeMs(), 100);
  });
});

describe('a feed', () => {
  function createSource(clock: ManualClock, isConfirmed: () => boolean) {
    const table = createTable(clock, 'source');
    const documents = createDocumentCache<Document>(clock);
    const timers: (() => void)[] = [];
    const server = createFeedServer<Body, Document>({
      clock,
      table,
      documents,
      maxWaitMs: 1000,
      schedule(run) {
        timers.push(run);
        return () => {};
      },
      refreshConfirmation() {
        if (isConfirmed()) documents.confirm(documents.current?.version ?? 0, clock.nowMs());
      },
    });
    return { table, documents, server, timers };
  }

  it('dates a confirmation by when the request was sent, not by when the reply arrived', async () => {
    const clock = createManualClock(10_000);
    const source = createSource(clock, () => true);
    source.documents.offer({ version: 3 });
    const table = createTable(clock, 'client');
    const documents = createDocumentCache<Document>(clock);
    const client = createFeedClient<Body, Document>({
      clock,
      table,
      documents,
      outgoingFacts: () => [{ key: 'client', sequence: 1, ageMs: 0, body: { text: 'here' } }],
      async exchange(request) {
        const reply = await source.server.answer(request);
        // The reply takes one second to arrive.
        clock.advance(1000);
        return reply;
      },
      delay: () => Promise.resolve(),
      waitMs: 0,
      retryMs: 0,
    });
    await client.push();
    assert.equal(documents.current?.version, 3);
    assert.equal(documents.confirmedAgeMs(), 1000);
    assert.equal(source.table.find('client')?.body.text, 'here');
  });

  it('requests all facts again after a restart, also during an exchange', async () => {
    const clock = createManualClock(10_000);
    const instances: string[] = [];
    const client = createFeedClient<Body, Document>({
      clock,
      table: createTable(clock, 'client'),
      documents: createDocumentCache<Document>(clock),
      outgoingFacts: () => [],
      exchange({ instance }) {
        instances.push(instance);
        if (instances.length === 2) client.restart();
        if (instances.length === 4) client.stop();
        const delta = { instance: 'source', revision: 1, updates: [] };
        return Promise.resolve({ delta, documentVersion: -1, confirmedAgeMs: null, waitedMs: 0 });
      },
      delay: () => Promise.resolve(),
      waitMs: 0,
      retryMs: 0,
    });
    await client.run();
    assert.deepEqual(instances, ['', 'source', '', 'source']);
  });

  it('does not renew a confirmation that its source has lost', async () => {
    const clock = createManualClock(10_000);
    let isConfirmed = true;
    const source = createSource(clock, () => isConfirmed);
    source.documents.offer({ version: 3 });
    const request = {
      updates: [],
      instance: '',
      revision: 0,
      documentVersion: -1,
      waitMs: 0,
    };
    assert.equal((await source.server.answer(request)).confirmedAgeMs, 0);
    isConfirmed = false;
    clock.advance(3000);
    assert.equal((await source.server.answer(request)).confirmedAgeMs, 3000);
  });

  it('answers immediately on an urgent change, and holds the request otherwise', async () => {
    const clock = createManualClock(10_000);
    const source = createSource(clock, () => false);
    const request = {
      updates: [],
      instance: 'source',
      revision: source.table.revision,
      documentVersion: -1,
      waitMs: 1000,
    };
    const waiting = source.server.answer(request);
    assert.equal(source.timers.length, 1);
    source.table.put('k', 1, { text: 'urgent' });
    source.server.wake();
    assert.equal((await waiting).delta.updates.length, 1);
    const known = { ...request, revision: source.table.revision };
    const held = source.server.answer(known);
    assert.equal(source.timers.length, 2);
    source.timers[1]?.();
    assert.equal((await held).delta.updates.length, 0);
  });

  it('holds a request while all changes come from origins that it excludes', async () => {
    const clock = createManualClock(10_000);
    const source = createSource(clock, () => false);
    source.table.put('k', 1, { text: 'known' });
    const request = {
      updates: [],
      instance: 'source',
      revision: source.table.revision,
      documentVersion: -1,
      exceptOrigins: ['b'],
      waitMs: 1000,
    };
    let isAnswered = false;
    const waiting = source.server.answer(request).then((reply) => {
      isAnswered = true;
      return reply;
    });
    source.table.merge([{ key: 'of-b', sequence: 1, ageMs: 0, body: { text: 'b' } }], 10_000, 'b');
    source.server.wake();
    await Promise.resolve();
    assert.equal(isAnswered, false);
    clock.advance(100);
    source.table.merge([{ key: 'of-c', sequence: 1, ageMs: 0, body: { text: 'c' } }], 10_100, 'c');
    source.server.wake();
    assert.deepEqual(
      (await waiting).delta.updates.map(({ key }) => key),
      ['of-c'],
    );
  });

  it('answers the first change of a burst immediately and batches the others', async () => {
    const clock = createManualClock(10_000);
    const source = createSource(clock, () => false);
    const ask = () =>
      source.server.answer({
        updates: [],
        instance: 'source',
        revision: source.table.revision,
        documentVersion: -1,
        waitMs: 1000,
      });
    const first = ask();
    source.table.put('k0', 1, { text: 'x' });
    source.server.wake();
    assert.equal((await first).delta.updates.length, 1);
    const second = ask();
    for (let index = 1; index <= 50; index += 1) {
      source.table.put(`k${index}`, 1, { text: 'x' });
      source.server.wake();
    }
    clock.advance(50);
    // The timeouts of two requests, and one flush for the burst.
    assert.equal(source.timers.length, 3);
    source.timers[2]?.();
    assert.equal((await second).delta.updates.length, 50);
  });
});
