import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { PeerCallOptions, PeerClient, PeerTarget } from '@spoolplank/node';
import { createManualClock, SpoolplankError } from '@spoolplank/shared';
import { createLoanCalls } from '../src/admission/retryLoans';

const REQUEST = {
  service: 'app',
  origin: { borrower: 'entry', askedAtMs: 0 },
  wanted: 1,
  reserved: 0,
};
const LOAN = { granted: 1, retryInMs: 0 };

/** Creates the calls of an entry to control VMs that are all silent except `sound`. */
function createCalls(hosts: readonly string[], sound: string) {
  const clock = createManualClock(100_000);
  const called: string[] = [];
  const peers: PeerClient = {
    call<Result>(
      { host }: PeerTarget,
      _method: string,
      _params: unknown,
      options?: PeerCallOptions,
    ) {
      called.push(host);
      if (host === sound) return Promise.resolve(LOAN as Result);
      clock.advance(options?.timeoutMs ?? 0);
      return Promise.reject(new SpoolplankError('unreachable'));
    },
    close() {},
  };
  const ask = createLoanCalls({ clock, peers, controlPeerPort: 1, listSources: () => hosts });
  return { clock, called, ask };
}

describe('a request for a loan of retries', () => {
  it('reaches the next control VM in time when the first one is silent', async () => {
    const { clock, called, ask } = createCalls(['a', 'b', 'c'], 'b');
    assert.deepEqual(await ask(REQUEST), LOAN);
    assert.deepEqual(called, ['a', 'b']);
    assert.equal(clock.nowMs(), 100_150);
  });

  it('fails within the validity of a loan when no control VM answers', async () => {
    const { clock, ask } = createCalls(['a', 'b', 'c'], 'none');
    await assert.rejects(ask(REQUEST), { code: 'unreachable' });
    assert.equal(clock.nowMs(), 100_300);
    await assert.rejects(createCalls([], 'none').ask(REQUEST), { code: 'unreachable' });
  });
});
