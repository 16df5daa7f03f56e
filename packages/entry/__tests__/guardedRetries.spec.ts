import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { SpoolplankError } from '@spoolplank/shared';
import type { BackendCall, BackendOperations } from '../src/dispatch/backendOperations';
import { guardOperations } from '../src/dispatch/guardedOperations';
import type { RetryPermit } from '../src/admission/retryBudgets';
import { createContext, createTables, createTestSendings } from './fixtures';

interface SettingOptions {
  /** Time for which a retry is waited for. */
  readonly waitMs?: number;
  readonly error?: SpoolplankError;
  readonly isRefused?: boolean;
}

/** Creates the check before a send; records the calls, and what became of the permit. */
function createSetting({ waitMs = 0, error, isRefused = false }: SettingOptions) {
  const { clock, view } = createTables();
  const calls: BackendCall[] = [];
  const ends: string[] = [];
  const operations = {
    open(call: BackendCall) {
      calls.push(call);
      if (error) return Promise.reject(error);
      return Promise.resolve({
        status: 503,
        isMatched: true,
        limit: null,
        body: new PassThrough(),
      });
    },
  } as unknown as BackendOperations;
  const permit: RetryPermit = {
    settle: () => ends.push('settled'),
    cancel: () => ends.push('cancelled'),
  };
  const context = createContext(clock, view, operations);
  const budget = {
    ...context.budgetOf('engines'),
    take() {
      clock.advance(waitMs);
      return Promise.resolve(isRefused ? null : permit);
    },
  };
  const guarded = guardOperations(operations, {
    ...context,
    budgetOf: () => budget,
    unread: createTestSendings(clock),
  });
  const call = {
    target: { instanceId: 'e1', address: 'e1:80' },
    request: { id: 'request-1' },
    service: 'engines',
    cause: 'retry',
    retryUrgency: 'usual',
    remainingMs: 1000,
  } as BackendCall;
  return { calls, ends, open: () => guarded.open(call) };
}

describe('a retry before it is sent', () => {
  it('leaves its server only the time that is left after the wait for it', async () => {
    const { calls, open } = createSetting({ waitMs: 300 });
    await open();
    assert.equal(calls[0]?.remainingMs, 700);
  });

  it('is not sent when the budget refuses it', async () => {
    const { calls, ends, open } = createSetting({ isRefused: true });
    await assert.rejects(open(), { code: 'retry-refused', outcome: 'not-run' });
    assert.deepEqual([calls.length, ends.length], [0, 0]);
  });

  it('is returned only if nothing was sent', async () => {
    const cases: readonly (readonly [SpoolplankError | undefined, string])[] = [
      [undefined, 'settled'],
      [new SpoolplankError('unreachable', { outcome: 'not-run' }), 'cancelled'],
      [new SpoolplankError('unreachable'), 'settled'],
    ];
    for (const [error, end] of cases) {
      const { ends, open } = createSetting({ error });
      await open().catch(() => {});
      assert.deepEqual(ends, [end]);
    }
  });
});
