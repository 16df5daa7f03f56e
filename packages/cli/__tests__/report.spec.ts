import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findCauses } from '../src/report/requestCauses';
import { renderReport } from '../src/report/renderReport';
import { readRequestEnd } from '../src/report/requestLog';
import type { LoggedRequest } from '../src/report/requestLog';

const TARGETS = { firstEventMs: 500, pauseMs: 200 };

function createRequest(overrides: Partial<LoggedRequest> = {}): LoggedRequest {
  return {
    second: 100,
    vmId: 'vm1',
    route: 'r1',
    outcome: 'served',
    code: '',
    isStream: true,
    firstByteMs: 60,
    waitedMs: 0,
    longestPauseMs: 80,
    remainingMs: 20_000,
    ...overrides,
  };
}

const causeOf = (overrides: Partial<LoggedRequest>) =>
  findCauses([createRequest(), createRequest(overrides)], TARGETS)[1];

describe('the cause of a request', () => {
  it('distinguishes the reasons for which a response was late', () => {
    assert.equal(causeOf({}), 'in-time');
    assert.equal(causeOf({ remainingMs: 18_900 }), 'late-on-arrival');
    assert.equal(causeOf({ firstByteMs: 900, waitedMs: 700 }), 'late-by-wait');
    assert.equal(causeOf({ firstByteMs: 900 }), 'late-by-first-event');
    assert.equal(causeOf({ longestPauseMs: 400 }), 'late-by-pause');
  });

  it('includes the time that the caller spent before the request arrived', () => {
    assert.equal(causeOf({ remainingMs: 19_700, firstByteMs: 300 }), 'late-by-first-event');
  });

  it('is the outcome if the request was not served, with the error code if there is one', () => {
    assert.equal(causeOf({ outcome: 'refused', code: 'overloaded' }), 'refused (overloaded)');
    assert.equal(causeOf({ outcome: 'broken-off' }), 'broken-off');
  });
});

describe('a log line', () => {
  const LINE =
    '{"time":"2026-04-06T03:24:26.500Z","vmId":"vm1","event":"request-ended","requestId":"a",' +
    '"route":"r1","outcome":"served","firstByteMs":50,"waitedMs":0,"longestPauseMs":70,' +
    '"durationMs":2600,"remainingMs":20000}';

  it('is parsed with the prefix of a log collector, and dated by the arrival of the request', () => {
    const request = readRequestEnd(`  1.2442 vm1 ${LINE}`);
    assert.equal(request?.isStream, true);
    assert.equal(request.second, Math.floor(Date.parse('2026-04-06T03:24:23.900Z') / 1000));
  });

  it('is skipped if it is another event, and rejected if it is truncated', () => {
    assert.equal(readRequestEnd('{"event":"started"}'), undefined);
    assert.equal(readRequestEnd('no JSON at all'), undefined);
    assert.throws(() => readRequestEnd(LINE.slice(0, 90)), SyntaxError);
  });
});

describe('the report', () => {
  it('has a row for each time span and a total, with the most frequent cause first', () => {
    const requests = [100, 101, 103].map((second) => createRequest({ second }));
    const text = renderReport({
      requests,
      causes: ['in-time', 'late-by-wait', 'in-time'],
      spanS: 2,
    });
    assert.deepEqual(
      text.split('\n').map((row) => row.trim().split(/ {2,}/)),
      [
        ['from', 'in-time', 'late-by-wait'],
        ['0 s', '1', '1'],
        ['2 s', '1', '0'],
        ['all', '2', '1'],
      ],
    );
  });

  it('states that there are no requests if the logs contain none', () => {
    assert.equal(
      renderReport({ requests: [], causes: [], spanS: 2 }),
      'no request ended in these logs',
    );
  });
});
