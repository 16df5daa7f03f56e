import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it, mock } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { BackendOperations, BackendResponse } from '../src/dispatch/backendOperations';
import { createEventSplitter } from '../src/dispatch/eventSplitter';
import { createStreamDispatch } from '../src/dispatch/streamDispatch';
import { createStreamTable } from '../src/dispatch/streamTable';
import { createAdmitted, createContext, createRoute, createTables, MODEL } from './fixtures';
import { createStages } from './streamFixtures';

const EVENT = Buffer.from('id: 17\ndata: {"tokens":[1,2,3,4]}\n\n');

describe('an event that arrives as one chunk', () => {
  it('is passed on without a copy, and only its id is decoded', () => {
    const splitter = createEventSplitter();
    const concat = mock.method(Buffer, 'concat');
    const decode = mock.method(Buffer.prototype, 'toString');
    const passedOn = splitter.push(EVENT);
    const copies = concat.mock.callCount();
    const decoded = decode.mock.calls.map((call: { result?: unknown }) => call.result);
    concat.mock.restore();
    decode.mock.restore();
    assert.equal(passedOn, EVENT);
    assert.equal(copies, 0);
    assert.deepEqual(decoded, [' 17']);
    assert.equal(splitter.lastEventId, '17');
  });

  it('is written to the caller as it is, and reported once', async () => {
    const clock = createManualClock(100_000);
    const written: Buffer[] = [];
    let events = 0;
    const answer = {
      isClosed: false,
      onClosed() {},
      begin() {},
      write(piece: Buffer) {
        written.push(piece);
        return true;
      },
      onWritable() {},
      end() {},
    };
    const chunks = Array.from({ length: 5 }, () => Buffer.from(EVENT));
    const operations = {
      open() {
        const body = new PassThrough();
        chunks.forEach((chunk) => body.write(chunk));
        body.end();
        const response = {
          status: 200,
          headers: [],
          isMatched: true,
          isNotRun: false,
          problem: null,
          body,
        };
        return Promise.resolve(response as unknown as BackendResponse);
      },
    } as unknown as BackendOperations;
    const findSlot = () =>
      Promise.resolve({
        stages: createStages(['e1', 'e2']),
        headId: 'e1',
        dataCentre: 'a',
        hasPermit: false,
        hasCapacity: true,
        hasCapacityForResumed: true,
      } as never);
    const dispatch = createStreamDispatch({
      context: createContext(clock, createTables({ clock }).view, operations),
      streams: createStreamTable({ clock }),
      slots: { findForNew: findSlot, findForResumed: findSlot, retryAfterMs: () => 100 },
      probeAfterFailure() {},
      avoid() {},
      onEvent() {
        events += 1;
      },
    });
    await dispatch.run(createAdmitted(clock, createRoute('stream'), answer as never), MODEL);
    assert.deepEqual(written, chunks);
    written.forEach((piece, index) => assert.equal(piece, chunks[index]));
    assert.equal(events, 5);
  });
});

describe('a stream that is split at any points', () => {
  const events = [
    { text: 'id: 1\ndata: id: 9\n\n', id: '1' },
    { text: 'id:22\r\ndata: ü\n\n', id: '22' },
    { text: 'data: x\nid: 7\n\n', id: '7' },
    { text: 'id:\ndata: x\n\n', id: '' },
    { text: 'idle: 5\ndata: x\n\n', id: null },
    { text: 'id: 8\r\ndata: x\r\n\r\n', id: '8' },
  ];

  it('yields its events in order, and the id of the last one that has an id', () => {
    const random = createSeededRandom(11);
    for (let run = 0; run < 500; run += 1) {
      const chosen = Array.from({ length: 6 }, () => random.nextInt(events.length)).flatMap(
        (index) => events[index] ?? [],
      );
      const complete = chosen.map(({ text }) => text).join('');
      const bytes = Buffer.from(`${complete}id: 99\nda`);
      const splitter = createEventSplitter();
      const passedOn: Buffer[] = [];
      for (let at = 0, end = 0; at < bytes.length; at = end) {
        end = at + 1 + random.nextInt(30);
        passedOn.push(splitter.push(bytes.subarray(at, end)));
      }
      assert.equal(Buffer.concat(passedOn).toString(), complete);
      const id = chosen.map((event) => event.id).findLast((known) => known !== null) ?? null;
      assert.equal(splitter.lastEventId, id, complete);
      assert.equal(splitter.takePartialEvent().toString(), 'id: 99\nda');
    }
  });
});
