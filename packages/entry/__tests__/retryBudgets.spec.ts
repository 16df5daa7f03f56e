import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, it } from 'node:test';
import { createMetrics } from '@spoolplank/node';
import { CREDIT_VALIDITY_MS, LOAN_VALIDITY_MS, RETRY_ARRIVAL_MS } from '@spoolplank/routing';
import type { RetryLoanRequest } from '@spoolplank/routing';
import { createManualClock, SpoolplankError } from '@spoolplank/shared';
import { createCreditRequests } from '../src/admission/creditRequests';
import { createHeldReports } from '../src/admission/heldReports';
import { createOpenRetries } from '../src/admission/openRetries';
import { createRetryBudgets } from '../src/admission/retryBudgets';
import type { RetryBudget, RetryUrgency } from '../src/admission/retryBudgets';
import { createRetryLoans } from '../src/admission/retryLoans';
import { createTestAccount } from './fixtures';

const LIMITS = { windowMs: 10_000, ratio: 0.2, allowance: 200 };
const VMS = 78;
/** Time for which the account counts a retry beside the entry that holds it. */
const REPORT_OVERLAP_MS = 300;

interface SettingOptions {
  readonly allowance?: number;
  readonly running?: number;
}

/** Creates the account of a deployment, and entries that borrow from it. */
function createSetting({ allowance = LIMITS.allowance, running = 0 }: SettingOptions = {}) {
  const clock = createManualClock(100_000);
  const account = createTestAccount({ clock, windowMs: LIMITS.windowMs, allowance });
  const log = { info: () => {} };
  const requests: RetryLoanRequest[] = [];
  const state = { isReachable: true, replyMs: 0 };
  let entries = 0;

  async function ask(request: RetryLoanRequest) {
    requests.push(request);
    if (!state.isReachable) throw new SpoolplankError('unreachable');
    const loan = account.lend(request);
    clock.advance(state.replyMs);
    return loan;
  }

  const delay = (durationMs: number) => {
    clock.advance(durationMs);
    return Promise.resolve();
  };

  /** Creates the budget of an entry that has just started. */
  function createEntry() {
    const metrics = createMetrics();
    entries += 1;
    const borrower = `entry-${entries}`;
    const loans = createRetryLoans({ clock, log, metrics, delay, borrower, ask });
    const limits = { ...LIMITS, allowance };
    const runningStreams = () => running;
    const open = createOpenRetries({ clock, windowMs: LIMITS.windowMs });
    const credits = createCreditRequests({ clock, windowMs: LIMITS.windowMs });
    const reports = createHeldReports({ clock, log, borrower, open, loans, credits, ask });
    const options = { clock, log, metrics, limits, loans, open, credits, runningStreams };
    const budget = createRetryBudgets(options)('engines');
    return Object.assign(budget, { tick: reports.tick });
  }
  return { clock, account, requests, state, createEntry };
}

/** Number of retries that a budget allows of `count`; each arrives at once. */
async function takeAll(budget: RetryBudget, count: number, urgency: RetryUrgency = 'usual') {
  const permits = await Promise.all(Array.from({ length: count }, () => budget.take(urgency)));
  permits.forEach((permit) => permit?.settle());
  return permits.filter((permit) => permit !== null).length;
}

async function takeFromEach(budgets: readonly RetryBudget[], each: number): Promise<number> {
  const taken = await Promise.all(budgets.map((budget) => takeAll(budget, each)));
  return taken.reduce((sum, count) => sum + count, 0);
}

function earn(budget: RetryBudget, count: number, sentAfterMs: number): void {
  for (let index = 0; index < count; index += 1) budget.earn(sentAfterMs);
}

describe('the retry budget that all entries share', () => {
  it('is not exceeded by entries that started together and do not know each other yet', async () => {
    const { clock, createEntry } = createSetting();
    const budgets = Array.from({ length: VMS }, createEntry);
    const atOnce = await takeFromEach(budgets, 20);
    clock.advance(1500);
    const later = await takeFromEach(budgets, 20);
    clock.advance(2600);
    assert.ok(atOnce > 0, 'a first request that meets a lost server is sent on');
    assert.ok(atOnce + later + (await takeFromEach(budgets, 20)) <= LIMITS.allowance);
  });

  it('is used up by whichever entries need it', async () => {
    const { createEntry } = createSetting();
    const budgets = Array.from({ length: VMS }, createEntry);
    assert.equal(await takeAll(budgets[0] as RetryBudget, 150), 150);
    assert.equal(await takeFromEach(budgets.slice(1), 20), LIMITS.allowance - 150);
  });

  it('is not renewed by entries that restart', async () => {
    const { clock, createEntry } = createSetting();
    let taken = 0;
    for (let second = 0; second < 10; second += 1) {
      const budgets = Array.from({ length: VMS }, createEntry);
      taken += await takeFromEach(budgets, 2);
      clock.advance(1000);
    }
    assert.equal(taken, LIMITS.allowance);
  });

  it('lets an entry that has just started use the retries that its own requests earn', async () => {
    const { clock, state, createEntry } = createSetting();
    state.isReachable = false;
    const budgets = Array.from({ length: VMS }, createEntry);
    budgets.forEach((budget) => earn(budget, 60, clock.steadyMs()));
    assert.equal(await takeFromEach(budgets, 20), VMS);
  });

  it('gets an own retry back that was not sent', async () => {
    const { clock, createEntry } = createSetting({ allowance: 0 });
    const budget = createEntry();
    earn(budget, 60, clock.steadyMs());
    (await budget.take('usual'))?.cancel();
    assert.ok(await budget.take('usual'));
    assert.equal(await budget.take('usual'), null);
  });

  it('asks the account once for all requests that wait together', async () => {
    const { requests, createEntry } = createSetting({ allowance: 8 });
    const budget = createEntry();
    assert.equal(await takeAll(budget, 20), 8);
    assert.deepEqual(
      requests.map(({ wanted }) => wanted),
      [1, 19],
    );
  });

  it('refuses at once after a refusal until the account has a retry again', async () => {
    const { clock, requests, createEntry } = createSetting({ allowance: 1 });
    const budget = createEntry();
    assert.equal(budget.isExhausted('usual'), false);
    assert.equal(await takeAll(budget, 2), 1);
    assert.equal(budget.isExhausted('usual'), true);
    clock.advance(1000);
    budget.tick();
    await nextTurn();
    const asked = requests.length;
    assert.equal(await budget.take('usual'), null);
    assert.equal(requests.length, asked);
    clock.advance(budget.refusedForMs('usual') + 1);
    assert.equal(budget.isExhausted('usual'), false);
    assert.equal(await takeAll(budget, 1), 1);
  });

  it('asks again soon when no account answered', async () => {
    const { clock, state, createEntry } = createSetting();
    const budget = createEntry();
    state.isReachable = false;
    assert.equal(await budget.take('usual'), null);
    assert.equal(budget.isExhausted('usual'), true);
    state.isReachable = true;
    clock.advance(budget.refusedForMs('usual'));
    assert.ok(await budget.take('usual'));
  });

  it('keeps asking for a stream that has begun until its caller would leave', async () => {
    const { clock, requests, state, createEntry } = createSetting();
    const budget = createEntry();
    state.isReachable = false;
    const startedAtMs = clock.nowMs();
    assert.equal(await budget.take('begun'), null);
    assert.ok(clock.nowMs() - startedAtMs > 500 && clock.nowMs() - startedAtMs <= 1000);
    clock.advance(budget.refusedForMs('begun'));
    const taken = budget.take('begun');
    const before = requests.length;
    state.isReachable = true;
    assert.ok(await taken);
    assert.ok(requests.length > before);
  });

  it('does not use a loan that arrives late, as the account may count it no longer', async () => {
    const { state, createEntry } = createSetting();
    const budget = createEntry();
    state.replyMs = LOAN_VALIDITY_MS + 1;
    assert.equal(await budget.take('usual'), null);
  });

  it('reports a borrowed retry that arrives late, again until the account has heard of it', async () => {
    const { clock, account, state, createEntry } = createSetting({ allowance: 1 });
    const budget = createEntry();
    const permit = await budget.take('usual');
    clock.advance(LIMITS.windowMs);
    state.isReachable = false;
    permit?.settle();
    budget.tick();
    await nextTurn();
    state.isReachable = true;
    budget.tick();
    await nextTurn();
    clock.advance(RETRY_ARRIVAL_MS + 1);
    assert.deepEqual(account.describe(), { engines: 1 });
    assert.equal(await budget.take('usual'), null);
  });

  it('reports an own retry that may arrive late, again as soon as an account answers', async () => {
    const { clock, account, state, createEntry } = createSetting();
    const budget = createEntry();
    earn(budget, 60, clock.steadyMs());
    assert.ok(await budget.take('usual'));
    clock.advance(1000);
    state.isReachable = false;
    budget.tick();
    await nextTurn();
    state.isReachable = true;
    clock.advance(200);
    budget.tick();
    await nextTurn();
    clock.advance(LIMITS.windowMs);
    assert.deepEqual(account.describe(), { engines: 1 });
  });

  it('counts a borrowed retry until a window after it can no longer arrive', async () => {
    const { clock, account, createEntry } = createSetting({ allowance: 1 });
    const budget = createEntry();
    const permit = await budget.take('usual');
    const pass = async (durationMs: number) => {
      clock.advance(durationMs);
      budget.tick();
      await nextTurn();
    };
    await pass(1000);
    await pass(2 * LIMITS.windowMs);
    assert.deepEqual(account.describe(), { engines: 1 });
    permit?.settle();
    await pass(LIMITS.windowMs);
    assert.deepEqual(account.describe(), { engines: 1 });
    await pass(1);
    clock.advance(1000);
    assert.deepEqual(account.describe(), { engines: 0 });
    assert.ok(await budget.take('usual'));
  });

  it('counts an own retry here for a window, and after that in the account', async () => {
    const { clock, account, createEntry } = createSetting();
    const budget = createEntry();
    earn(budget, 80, clock.steadyMs());
    const permit = await budget.take('usual');
    clock.advance(LIMITS.windowMs - REPORT_OVERLAP_MS - 1);
    earn(budget, 80, clock.steadyMs());
    budget.tick();
    await nextTurn();
    assert.deepEqual(account.describe(), { engines: 0 });
    clock.advance(100);
    assert.deepEqual(account.describe(), { engines: 1 });
    clock.advance(REPORT_OVERLAP_MS);
    permit?.settle();
    clock.advance(LIMITS.windowMs + 1);
    budget.tick();
    await nextTurn();
    assert.deepEqual(account.describe(), { engines: 0 });
  });

  it('saves a whole retry of few requests on a credit, which the account counts', async () => {
    const { clock, account, createEntry } = createSetting({ allowance: 2 });
    const budget = createEntry();
    const pass = async (durationMs: number) => {
      clock.advance(durationMs);
      budget.tick();
      await nextTurn();
    };
    earn(budget, 20, clock.steadyMs());
    assert.equal(await takeAll(budget, 1), 1, 'borrowed');
    await pass(1000);
    assert.deepEqual(account.describe(), { engines: 2 });
    earn(budget, 20, clock.steadyMs());
    assert.equal(await takeAll(budget, 2), 1, 'earned');
    clock.advance(LIMITS.windowMs + RETRY_ARRIVAL_MS);
    assert.deepEqual(account.describe(), { engines: 1 });
    clock.advance(CREDIT_VALIDITY_MS + 1);
    assert.deepEqual(account.describe(), { engines: 0 });
  });

  it('gets no credit while the account has nothing left', async () => {
    const { clock, account, createEntry } = createSetting({ allowance: 1 });
    const budget = createEntry();
    earn(budget, 20, clock.steadyMs());
    assert.equal(await takeAll(budget, 1), 1, 'borrowed');
    clock.advance(200);
    budget.tick();
    await nextTurn();
    assert.deepEqual(account.describe(), { engines: 1 });
    earn(budget, 20, clock.steadyMs());
    assert.equal(await takeAll(budget, 1), 0);
  });

  it('uses a credit no longer than the account counts it', async () => {
    const { clock, state, createEntry } = createSetting({ allowance: 3 });
    const budget = createEntry();
    earn(budget, 20, clock.steadyMs());
    assert.equal(await takeAll(budget, 1), 1, 'borrowed');
    clock.advance(200);
    budget.tick();
    await nextTurn();
    state.isReachable = false;
    earn(budget, 20, clock.steadyMs());
    clock.advance(CREDIT_VALIDITY_MS + 1);
    assert.equal(await takeAll(budget, 1), 0);
  });

  it('confirms retries that arrived in time once, so that they count no longer', async () => {
    const { clock, account, requests, createEntry } = createSetting();
    const budget = createEntry();
    assert.equal(await takeAll(budget, 5), 5);
    clock.advance(1000);
    budget.tick();
    await nextTurn();
    const asked = requests.length;
    clock.advance(LIMITS.windowMs);
    budget.tick();
    await nextTurn();
    assert.equal(requests.length, asked);
    assert.deepEqual(account.describe(), { engines: 0 });
  });

  it('confirms loans whose answers are lost, so that they count no longer', async () => {
    const { clock, account, state, createEntry } = createSetting();
    const budget = createEntry();
    state.replyMs = LOAN_VALIDITY_MS + 1;
    assert.equal(await takeAll(budget, 5), 0);
    state.replyMs = 0;
    clock.advance(1000);
    budget.tick();
    await nextTurn();
    clock.advance(LIMITS.windowMs);
    assert.deepEqual(account.describe(), { engines: 0 });
  });

  it('returns loans whose answers are lost, so that others can borrow them', async () => {
    const { clock, requests, state, createEntry } = createSetting({ allowance: 5 });
    const budget = createEntry();
    state.replyMs = LOAN_VALIDITY_MS + 1;
    assert.equal(await takeAll(budget, 5), 0);
    state.replyMs = 0;
    clock.advance(1000);
    budget.tick();
    await nextTurn();
    assert.equal(await takeAll(createEntry(), 5), 5);
    clock.advance(1000);
    assert.equal(await takeAll(budget, 1), 0);
    budget.tick();
    await nextTurn();
    assert.deepEqual(requests.at(-1)?.held?.unused ?? [], []);
  });

  it('returns what may have been lent besides a late refusal', async () => {
    const { clock, requests, state, createEntry } = createSetting({ allowance: 0 });
    const budget = createEntry();
    for (const replyMs of [LOAN_VALIDITY_MS / 2 - 1, LOAN_VALIDITY_MS / 2]) {
      Object.assign(state, { replyMs });
      assert.equal(await takeAll(budget, 1), 0);
      clock.advance(1000);
    }
    budget.tick();
    await nextTurn();
    assert.deepEqual(requests.at(-1)?.held?.unused, [2]);
  });

  it('returns a loan again whose return was lost', async () => {
    const { clock, state, createEntry } = createSetting({ allowance: 1 });
    const budget = createEntry();
    state.replyMs = LOAN_VALIDITY_MS + 1;
    assert.equal(await takeAll(budget, 1), 0);
    Object.assign(state, { replyMs: 0, isReachable: false });
    clock.advance(1000);
    budget.tick();
    await nextTurn();
    state.isReachable = true;
    assert.equal(await takeAll(createEntry(), 1), 0);
    clock.advance(1000);
    budget.tick();
    await nextTurn();
    assert.equal(await takeAll(createEntry(), 1), 1);
  });

  it('confirms loans once a second while no account answers', async () => {
    const { clock, requests, state, createEntry } = createSetting();
    const budget = createEntry();
    assert.equal(await takeAll(budget, 5), 5);
    state.isReachable = false;
    clock.advance(1000);
    const asked = requests.length;
    for (let ticks = 0; ticks < 10; ticks += 1) {
      budget.tick();
      await nextTurn();
      clock.advance(200);
    }
    assert.equal(requests.length, asked + 2);
  });

  it('counts retries for longer that an entry has borrowed and not confirmed when it ends', async () => {
    const { clock, account, createEntry } = createSetting();
    assert.equal(await takeAll(createEntry(), 5), 5);
    clock.advance(LIMITS.windowMs + RETRY_ARRIVAL_MS + 1);
    assert.deepEqual(account.describe(), { engines: 5 });
  });

  it('leaves retries for streams that have begun, one for each at the most', async () => {
    const cases: readonly (readonly [number, number])[] = [
      [0, 200],
      [30, 170],
      [500, 120],
    ];
    for (const [running, yielding] of cases) {
      const { clock, createEntry } = createSetting({ running });
      const budget = createEntry();
      assert.equal(await takeAll(budget, 300, 'yielding'), yielding);
      assert.equal(await takeAll(budget, 300, 'begun'), 200 - yielding);
      clock.advance(1);
    }
  });
});
