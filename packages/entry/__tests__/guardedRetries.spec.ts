import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { SpoolplankError } from '@spoolplank/shared';
import type { BackendCall, BackendOperations } from '../src/dispatch/backendOperations';
import { guardOperations } from '../src/dispatch/guardedOperations';
import type { RetryPermit, RetryUrgency, RetryUse } from '../src/admission/retryBudgets';
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
  const uses: (RetryUse | undefined)[] = [];
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
  const unread = createTestSendings(clock);
  const context = createContext(clock, view, operations);
  const budget = {
    ...context.budgetOf('engines'),
    take(_urgency: RetryUrgency, use?: RetryUse) {
      uses.push(use);
      clock.advance(waitMs);
      return Promise.resolve(isRefused ? null : permit);
    },
  };
  const guarded = guardOperations(operations, {
    ...context,
    budgetOf: () => budget,
    unread,
  });
  const call = {
    target: { instanceId: 'e1', address: 'e1:80' },
    request: { id: 'request-1' },
    service: 'engines',
    cause: 'retry',
    retryUrgency: 'usual',
    remainingMs: 1000,
  } as BackendCall;
  return { clock, unread, calls, ends, uses, open: () => guarded.open(call) };
}

describe('a retry before it is sent', () => {
  it('leaves its server only the time that is left after the wait for it', async () => {
    const { calls, open } = createSetting({ waitMs: 300 });
    await open();
    assert.equal(calls[0]?.remainingMs, 700);
  });

  it('is taken for its request, which the logs name', async () => {
    const { uses, open } = createSetting({});
    await open();
    assert.deepEqual(uses, [{ requestId: 'request-1', cause: 'retry' }]);
  });

  it('is not sent when the budget refuses it', async () => {
    const { calls, ends, open } = createSetting({ isRefused: true });
    await assert.rejects(open(), { code: 'retry-refused', outcome: 'not-run' });
    assert.deepEqual([calls.length, ends.length], [0, 0]);
  });

  it('is returned only if nothing was sent', async () => {
    const cases: readonly (readonly [SpoolplankError | undefined, readonly string[]])[] = [
      [undefined, ['settled']],
      [new SpoolplankError('unreachable', { outcome: 'not-run' }), ['cancelled']],
      [new SpoolplankError('unreachable'), []],
    ];
    for (const [error, expected] of cases) {
      const { ends, open } = createSetting({ error });
      await open().catch(() => {});
      assert.deepEqual(ends, expected);
    }
  });

  it('may arrive after it was given up, until its server answers it', async () => {
    const { calls, ends, open } = createSetting({ error: new SpoolplankError('unreachable') });
    await open().catch(() => {});
    assert.deepEqual(ends, []);
    calls[0]?.onLateAnswer?.();
    assert.deepEqual(ends, ['settled']);
  });

  it('may arrive after its connection has ended, until its server is known to have read on', async () => {
    const { clock, calls, unread, ends, open } = createSetting({
      error: new SpoolplankError('unreachable'),
    });
    await open().catch(() => {});
    calls[0]?.onConnectionEnd?.();
    clock.advance(15_000);
    const later = { requestId: 'request-2', service: 'engines', instanceId: 'e1' };
    unread.add(later, () => {}).recordAnswer();
    assert.deepEqual(ends, []);
    clock.advance(300);
    unread.tick();
    assert.deepEqual(ends, ['settled']);
  });
});
