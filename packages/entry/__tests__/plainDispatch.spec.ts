import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Route } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { BackendCall, BackendOperations } from '../src/dispatch/backendOperations';
import type { CallerAnswer, CallerRequest } from '../src/callerRequest';
import { createPlainDispatch } from '../src/dispatch/plainDispatch';
import { createContext, createEngine, createNoPermits, createTables } from './fixtures';

const ROUTE: Route = {
  name: 'book',
  host: 'users',
  pathPrefix: '/book/',
  kind: 'once',
  isResumable: false,
  timeoutMs: 3000,
  targetLatencyMs: 300,
  targetGapMs: 0,
  priority: 1,
  targets: [{ service: 'engines', weight: 1 }],
  maxAttempts: 1,
  isAnonymousAllowed: false,
};

/** A backend server that accepts requests and never responds. */
function createSilentBackend() {
  const calls: BackendCall[] = [];
  const operations = {
    open(call: BackendCall) {
      calls.push(call);
      return new Promise((_resolve, reject) => {
        call.signal.addEventListener('abort', () =>
          reject(new SpoolplankError('unreachable', { outcome: 'unknown' })),
        );
      });
    },
  } as unknown as BackendOperations;
  return { calls, operations };
}

function createDispatch() {
  const { clock, view, announce } = createTables();
  announce(createEngine('e1', 0, 8));
  const { calls, operations } = createSilentBackend();
  const dispatch = createPlainDispatch(createContext(clock, view, operations), createNoPermits());
  const answer = { isClosed: false, onClosed: () => {} } as unknown as CallerAnswer;
  const body = Buffer.alloc(0);
  const request = { id: 'r1', body, arrivedAtMs: clock.nowMs() } as CallerRequest;
  const admitted = {
    request,
    answer,
    route: ROUTE,
    service: 'engines',
    organisation: null,
    callerAgeMs: 0,
    sentAfterMs: clock.steadyMs(),
    deadlineAtMs: clock.nowMs() + 600,
  };
  return { calls, clock, run: () => dispatch.run(admitted) };
}

describe('a request whose backend server does not respond', () => {
  beforeEach(() => mock.timers.enable({ apis: ['setTimeout'] }));
  afterEach(() => mock.timers.reset());

  it('is aborted 30 ms before the timeout of the caller, and not sooner', async () => {
    const { calls, clock, run } = createDispatch();
    const outcome = run().catch((error: unknown) => error);
    await nextTurn();
    assert.equal(calls[0]?.remainingMs, 600);
    mock.timers.tick(569);
    clock.advance(569);
    assert.equal(calls[0]?.signal.aborted, false);
    mock.timers.tick(1);
    clock.advance(1);
    assert.equal(calls[0]?.signal.aborted, true);
    const error = await outcome;
    assert.ok(error instanceof SpoolplankError);
    assert.equal(error.httpStatus, 504);
    assert.equal(calls.length, 1, 'the request may have run, so it is not retried');
  });
});
