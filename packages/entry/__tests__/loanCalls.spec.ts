import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { PeerCallOptions, PeerClient, PeerTarget } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import { createLoanCalls } from '../src/admission/retryLoans';
import { createVirtualTime } from './virtualTime';

const REQUEST = {
  service: 'app',
  origin: { borrower: 'entry', askedAtMs: 0, sequence: 1 },
  wanted: 1,
  reserved: 0,
};
const LOAN = { granted: 1, retryInMs: 0 };

const REFUSAL = { granted: 0, retryInMs: 500 };

interface CallsOptions {
  /** Time after which each control VM answers; one that is missing never does. */
  readonly answersAfterMs?: Readonly<Record<string, number>>;
  /** Control VMs that lend nothing. */
  readonly refusing?: readonly string[];
}

/** Creates the calls of an entry to control VMs. */
function createCalls(
  hosts: readonly string[],
  { answersAfterMs = {}, refusing = [] }: CallsOptions = {},
) {
  const { clock, delay, pass } = createVirtualTime();
  const called: string[] = [];
  const peers: PeerClient = {
    async call<Result>(
      { host }: PeerTarget,
      _method: string,
      _params: unknown,
      { timeoutMs = Number.POSITIVE_INFINITY }: PeerCallOptions = {},
    ) {
      called.push(host);
      const answersMs = answersAfterMs[host] ?? Number.POSITIVE_INFINITY;
      await delay(Math.min(timeoutMs, answersMs));
      if (answersMs > timeoutMs) throw new SpoolplankError('unreachable');
      return (refusing.includes(host) ? REFUSAL : LOAN) as Result;
    },
    close() {},
  };
  const askOnce = createLoanCalls({
    clock,
    peers,
    controlPeerPort: 1,
    listSources: () => hosts,
    delay,
  });
  /** Resolves with the answer and the time that it took. */
  async function ask() {
    const startMs = clock.nowMs();
    const timed = askOnce(REQUEST).then(
      ({ granted }) => ({
        outcome: granted > 0 ? 'loan' : 'refusal',
        tookMs: clock.nowMs() - startMs,
      }),
      ({ code }: SpoolplankError) => ({ outcome: code, tookMs: clock.nowMs() - startMs }),
    );
    await pass(1000);
    return timed;
  }
  return { called, ask };
}

describe('a request for a loan of retries', () => {
  it('reaches the next control VM in time when the first one is silent', async () => {
    const { called, ask } = createCalls(['a', 'b', 'c'], { answersAfterMs: { b: 0 } });
    assert.deepEqual(await ask(), { outcome: 'loan', tookMs: 150 });
    assert.deepEqual(called, ['a', 'b']);
  });

  it('is answered by a control VM that is slow while the next one is asked', async () => {
    const { called, ask } = createCalls(['a', 'b', 'c'], { answersAfterMs: { a: 200, b: 100 } });
    assert.deepEqual(await ask(), { outcome: 'loan', tookMs: 200 });
    assert.deepEqual(called, ['a', 'b']);
  });

  it('is refused once no control VM that was asked lends anything', async () => {
    const hosts = ['a', 'b', 'c'];
    const refusing = ['b'];
    const slow = createCalls(hosts, { answersAfterMs: { a: 250, b: 50 }, refusing });
    assert.deepEqual(await slow.ask(), { outcome: 'loan', tookMs: 250 });
    const silent = createCalls(hosts, { answersAfterMs: { b: 50 }, refusing });
    assert.deepEqual(await silent.ask(), { outcome: 'refusal', tookMs: 300 });
    const first = createCalls(hosts, { answersAfterMs: { a: 50, b: 0 }, refusing: ['a'] });
    assert.deepEqual(await first.ask(), { outcome: 'refusal', tookMs: 50 });
  });

  it('is made once when the first control VM answers soon', async () => {
    const { called, ask } = createCalls(['a', 'b', 'c'], { answersAfterMs: { a: 100, b: 0 } });
    assert.deepEqual(await ask(), { outcome: 'loan', tookMs: 100 });
    assert.deepEqual(called, ['a']);
  });

  it('fails within the validity of a loan when no control VM answers', async () => {
    const { ask } = createCalls(['a', 'b', 'c']);
    assert.deepEqual(await ask(), { outcome: 'unreachable', tookMs: 300 });
    assert.deepEqual(await createCalls(['a']).ask(), { outcome: 'unreachable', tookMs: 300 });
    assert.deepEqual(await createCalls([]).ask(), { outcome: 'unreachable', tookMs: 0 });
  });
});
