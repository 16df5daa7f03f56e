import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createRetryReservations } from '@spoolplank/control';
import type { ReserveRetries } from '@spoolplank/control';
import { RETRY_LOAN_METHOD } from '@spoolplank/membership';
import { createMetrics } from '@spoolplank/node';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import { RETRY_ARRIVAL_MS } from '@spoolplank/routing';
import type { RetryLoan } from '@spoolplank/routing';
import { createManualClock, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue, ManualClock } from '@spoolplank/shared';
import { createLeaderCalls } from '../src/leaderCalls';
import { createRetryLoans } from '../src/retryLoans';

const LIMITS = { windowMs: 10_000, allowance: 100 };
const LENT = 97;
const MIN_WAIT_MS = 250;
const LEADER_METHOD = 'retries.lend-as-leader';
const COUNTED_MS = LIMITS.windowMs + RETRY_ARRIVAL_MS;

/** Control VMs of one group, of which at most one leads. */
function createGroup(hosts: readonly string[], clock: ManualClock = createManualClock(100_000)) {
  const state = { leader: hosts[0] ?? '', term: 1 };
  const replicas = new Map(hosts.map((host) => [host, createRetryReservations(clock)]));
  const calls: string[] = [];
  let committing = Promise.resolve();
  const vms = new Map<string, ReturnType<typeof createRetryLoans>>();
  const peers: PeerClient = {
    async call<Result>({ vmId }: PeerTarget, method: string, params: unknown): Promise<Result> {
      calls.push(vmId);
      const answer = vms.get(vmId)?.methods[method];
      if (!answer) throw new SpoolplankError('unreachable');
      return (await answer(params as JsonValue, vmId)) as Result;
    },
    close() {},
  };
  hosts.forEach((host) => {
    const group = () => ({
      canRead: () => state.leader === host,
      leaderVm: () => state.leader,
      term: () => state.term,
      async propose(command: JsonValue) {
        await committing;
        replicas.forEach((replica) => replica.apply(command as unknown as ReserveRetries));
        return null;
      },
    });
    const reservations = replicas.get(host) ?? createRetryReservations(clock);
    const leader = createLeaderCalls({
      clock,
      peers,
      host,
      group,
      findTarget: (vmId) => ({ vmId, host: vmId, port: 1 }),
      listOthers: () => hosts.filter((other) => other !== host),
    });
    const log = { info: () => {} };
    const metrics = createMetrics();
    const options = { clock, log, metrics, limits: LIMITS, group, reservations, leader };
    vms.set(host, createRetryLoans(options));
  });

  async function lend(
    host: string,
    wanted: number,
    held: readonly number[] | undefined = undefined,
    method = RETRY_LOAN_METHOD,
  ): Promise<RetryLoan> {
    const origin = { borrower: 'entry', askedAtMs: clock.nowMs() };
    const report = held && { held: { confirmedToMs: clock.nowMs(), countsInMs: held } };
    const request = { service: 'app', origin, wanted, reserved: 0, ...report };
    return (await vms.get(host)?.methods[method]?.(request, 'entry')) as unknown as RetryLoan;
  }
  const tickAll = () => vms.forEach((vm) => vm.tick());
  /** Holds back all commits until the returned function is called. */
  function holdCommits(): () => void {
    let release = () => {};
    committing = new Promise((resolve) => {
      release = resolve;
    });
    return () => release();
  }
  return { clock, state, calls, replicas, lend, tickAll, holdCommits };
}

describe('the retries that control VMs lend', () => {
  it('come from the account of the leader, whichever control VM is asked', async () => {
    const { lend } = createGroup(['a', 'b', 'c']);
    assert.equal((await lend('a', 40)).granted, 40);
    assert.equal((await lend('b', 40)).granted, 40);
    assert.equal((await lend('c', 40)).granted, LENT - 80);
  });

  it('are not lent by a new leader until those of the one before have expired', async () => {
    const { clock, state, lend, tickAll } = createGroup(['a', 'b']);
    assert.equal((await lend('a', LENT)).granted, LENT);
    Object.assign(state, { leader: 'b', term: 2 });
    tickAll();
    const { granted, retryInMs } = await lend('a', 1);
    assert.equal(granted, 0);
    assert.ok(retryInMs >= COUNTED_MS);
    clock.advance(retryInMs + 1);
    assert.equal((await lend('a', 200)).granted, LENT);
  });

  it('are lent at once by a new leader, up to what the one before did not reserve', async () => {
    const { state, lend } = createGroup(['a', 'b']);
    assert.equal((await lend('a', 10)).granted, 10);
    Object.assign(state, { leader: 'b', term: 2 });
    assert.equal((await lend('b', 200)).granted, LENT - 10);
  });

  it('are covered for a new leader also if they were lent while a reservation was committed', async () => {
    const { clock, state, lend, holdCommits } = createGroup(['a', 'b']);
    const commitLate = holdCommits();
    const late = lend('a', 1);
    clock.advance(300);
    commitLate();
    assert.equal((await late).granted, 0, 'the entry has given up');
    clock.advance(MIN_WAIT_MS);
    const commit = holdCommits();
    const many = lend('a', 14);
    assert.equal((await lend('a', 6)).granted, 6);
    commit();
    assert.equal((await many).granted, 14);
    Object.assign(state, { leader: 'b', term: 2 });
    assert.equal((await lend('b', 200)).granted, LENT - 21);
  });

  it('are lent by a new leader up to what still counts, beside older ones that have expired', async () => {
    const { clock, state, replicas, lend } = createGroup(['a', 'b']);
    await lend('a', 50);
    // Loans that nobody has confirmed expire later.
    await lend('a', 0, []);
    clock.advance(6000);
    await lend('a', 10);
    clock.advance(COUNTED_MS - 6000 + 1);
    await lend('a', 5);
    const counts = replicas
      .get('b')
      ?.list()
      .map(({ count }) => count);
    assert.deepEqual(counts, [10, 7]);
    Object.assign(state, { leader: 'b', term: 2 });
    assert.equal((await lend('b', 200)).granted, LENT - 17);
  });

  it('are all lent by a new leader if nothing that was reserved can still arrive', async () => {
    const { clock, state, replicas, lend, tickAll } = createGroup(['a', 'b']);
    await lend('a', 50);
    await lend('a', 0, []);
    clock.advance(COUNTED_MS + 1);
    tickAll();
    await nextTurn();
    assert.deepEqual(replicas.get('b')?.list(), []);
    Object.assign(state, { leader: 'b', term: 2 });
    assert.equal((await lend('b', 200)).granted, LENT);
  });

  it('count those that another leader lent in between', async () => {
    const { state, lend } = createGroup(['a', 'b']);
    assert.equal((await lend('a', 10)).granted, 10);
    Object.assign(state, { leader: 'b', term: 2 });
    assert.equal((await lend('b', 20)).granted, 20);
    Object.assign(state, { leader: 'a', term: 3 });
    assert.equal((await lend('a', 200)).granted, LENT - 30);
  });

  it('are lent at once again by a leader whose lease was interrupted within its term', async () => {
    const { state, lend } = createGroup(['a', 'b']);
    await lend('a', 1);
    state.leader = '';
    await assert.rejects(lend('a', 1, undefined, LEADER_METHOD), { code: 'not-leader' });
    state.leader = 'a';
    assert.equal((await lend('a', 200)).granted, LENT - 1);
  });

  it('are refused without a call to the leader until it has some again', async () => {
    const { clock, calls, lend } = createGroup(['a', 'b']);
    await lend('b', LENT);
    await lend('b', 0, []);
    assert.equal((await lend('b', 1)).granted, 0);
    clock.advance(1000);
    const called = calls.length;
    assert.deepEqual(await lend('b', 1), { granted: 0, retryInMs: COUNTED_MS - 1000 });
    assert.equal(calls.length, called);
    clock.advance(COUNTED_MS);
    assert.equal((await lend('b', 1)).granted, 1);
  });

  it('count those that entries hold, also while none are lent', async () => {
    const { clock, lend } = createGroup(['a', 'b']);
    assert.equal((await lend('b', 200)).granted, LENT);
    clock.advance(LIMITS.windowMs);
    await lend('b', 0, [0, 0, RETRY_ARRIVAL_MS, RETRY_ARRIVAL_MS, RETRY_ARRIVAL_MS]);
    clock.advance(COUNTED_MS - LIMITS.windowMs + 1);
    assert.equal((await lend('a', 200)).granted, LENT - 5);
  });

  it('are not lent by a new leader while entries hold them, before these have reported again', async () => {
    const { clock, state, lend, tickAll } = createGroup(['a', 'b']);
    await lend('a', 20);
    clock.advance(1000);
    for (let passedMs = 0; passedMs < 30_000; passedMs += 1000) {
      await lend('a', 0, new Array<number>(20).fill(Math.max(0, 9800 - passedMs)));
      tickAll();
      await nextTurn();
      clock.advance(1000);
    }
    Object.assign(state, { leader: 'b', term: 2 });
    assert.equal((await lend('b', 200)).granted, LENT - 20);
  });

  it('are lent by a new leader that counts loans which an ended entry had not confirmed', async () => {
    const { clock, state, lend, tickAll } = createGroup(['a', 'b']);
    await lend('a', 20);
    for (let passedMs = 0; passedMs < 14_000; passedMs += 1000) {
      clock.advance(1000);
      tickAll();
      await nextTurn();
    }
    Object.assign(state, { leader: 'b', term: 2 });
    assert.equal((await lend('b', 200)).granted, LENT - 20);
  });

  it('are not lent by a new leader while entries hold them, once these have reported again', async () => {
    const { clock, state, lend, tickAll } = createGroup(['a', 'b']);
    await lend('a', LENT);
    clock.advance(COUNTED_MS + 1);
    await lend('a', 0, [0, 0]);
    Object.assign(state, { leader: 'b', term: 2 });
    tickAll();
    await lend('b', 0, [0, 0]);
    clock.advance(COUNTED_MS);
    assert.equal((await lend('b', 200)).granted, LENT - 2);
  });
});
