import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Route } from '@spoolplank/routing';
import { createSeededRandom } from '@spoolplank/shared';
import type { CallerAnswer } from '../src/callerRequest';
import type { BackendCall, BackendOperations } from '../src/dispatch/backendOperations';
import { createStreamDispatch } from '../src/dispatch/streamDispatch';
import { createStreamTable } from '../src/dispatch/streamTable';
import type { StreamRow } from '../src/dispatch/streamTable';
import {
  createAdmitted,
  createChain,
  createContext,
  createRoute,
  createTables,
  MODEL,
} from './fixtures';

const EVENTS = 20;

const eventOf = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`;
const idsTo = (last: number): number[] => Array.from({ length: last }, (_, index) => index + 1);

/** A run of the stream on an engine, whose events the test sends. */
interface Run {
  readonly engine: string;
  readonly resumeAfter: string | null;
  readonly body: PassThrough;
  readonly signal: AbortSignal;
  /** Id of the last event that the run sent. */
  sent: number;
}

interface Setting {
  readonly route?: Partial<Route>;
  readonly retries?: number;
  /** Engines that reject the request without running it. */
  readonly rejecting?: readonly string[];
  /** Chains in the order in which they are granted, after the first one; undefined for no slot. */
  readonly chains?: readonly (string | undefined)[];
  /** Whether no allocator answers, so that the entry finds only chains that are full. */
  readonly isUnallocated?: boolean;
}

function createSetting(setting: Setting = {}) {
  const { retries = 10, rejecting = [], chains = ['e2', 'e3', 'e4'] } = setting;
  const { clock, view } = createTables();
  const runs: Run[] = [];
  const operations = {
    open(call: BackendCall) {
      const { target, resumeAfter, signal } = call;
      const engine = target.instanceId;
      const body = new PassThrough();
      const run = { engine, resumeAfter, body, signal, sent: Number(resumeAfter ?? 0) };
      runs.push(run);
      signal.addEventListener('abort', () => body.destroy(new Error('aborted')));
      const isNotRun = rejecting.includes(engine);
      const status = isNotRun ? 503 : 200;
      const rest = { headers: [], isMatched: true, problem: null, culpritAddress: null };
      const framing = 'connection';
      const head = { ...rest, status, isNotRun, backoffMs: null, limit: null, framing };
      return Promise.resolve({ ...head, body });
    },
    isReachable: () => Promise.resolve(true),
  } as unknown as BackendOperations;
  const context = createContext(clock, view, operations, retries);
  const streams = createStreamTable({ clock });
  let granted = 0;
  const dispatch = createStreamDispatch({
    context,
    streams,
    slots: {
      findForNew: () => Promise.resolve(createChain('e1')),
      findForResumed() {
        const id = chains[granted];
        granted += 1;
        if (id === undefined) return Promise.resolve(undefined);
        const chain = { ...createChain(id), grantedBy: 'vm0' };
        const full = { ...chain, grantedBy: null, hasCapacityForResumed: false };
        return Promise.resolve(setting.isUnallocated ? full : chain);
      },
      retryAfterMs: () => 100,
    },
    probeAfterFailure: () => {},
    avoid: () => {},
  });
  let received = '';
  let isClosed = false;
  const listeners: (() => void)[] = [];
  const answer = {
    get isClosed() {
      return isClosed;
    },
    onClosed: (listener: () => void) => listeners.push(listener),
    begin() {},
    write(bytes: Buffer) {
      assert.ok(!isClosed, 'nothing is sent on after the caller has left');
      received += bytes.toString();
      return true;
    },
    onWritable() {},
    end() {},
    abort() {},
  } as unknown as CallerAnswer;
  const route = createRoute('stream', { timeoutMs: 60_000, ...setting.route });
  const end = dispatch.run(createAdmitted(clock, route, answer), MODEL);
  return {
    runs,
    budget: context.budgetOf('engines'),
    end,
    streams,
    grants: () => granted,
    received: () => [...received.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id)),
    text: () => received,
    async send(run: Run | undefined, count = 1) {
      for (let index = 0; run && index < count; index += 1) {
        run.sent += 1;
        run.body.write(eventOf(run.sent));
        await nextTurn();
        await nextTurn();
      }
    },
    async finish(run: Run | undefined) {
      run?.body.end();
      await nextTurn();
      await nextTurn();
    },
    handOver(index = 0) {
      const row = [...streams.list()][index];
      return dispatch.handOver(row as StreamRow);
    },
    leave() {
      isClosed = true;
      listeners.forEach((listener) => listener());
    },
  };
}

describe('a stream whose head leaves', () => {
  it('is handed over with the first event of the new run, and the old run is cancelled', async () => {
    const setting = createSetting();
    await nextTurn();
    const [old] = setting.runs;
    await setting.send(old, 3);
    const handedOver = setting.handOver();
    await nextTurn();
    const next = setting.runs[1];
    assert.equal(next?.engine, 'e2');
    assert.equal(next.resumeAfter, '3');
    await setting.send(old, 2);
    assert.equal(old?.signal.aborted, false);
    await setting.send(next);
    assert.equal(old?.signal.aborted, true);
    assert.deepEqual(await handedOver, { outcome: 'moved', path: ['e2=0-8'] });
    await setting.send(next, EVENTS - 4);
    await setting.finish(next);
    const { outcome, servedBy } = await setting.end;
    assert.equal(outcome, 'served');
    assert.deepEqual(servedBy, ['e2=0-8']);
    assert.equal(setting.text(), idsTo(EVENTS).map(eventOf).join(''));
    assert.deepEqual([...setting.streams.list()], [], 'both slots are released');
  });

  /** Hands 300 streams over while their runs break off at random; returns how often they moved. */
  async function countMoved(maxHandovers: number, maxAttempts: number): Promise<number> {
    const handovers: ReturnType<ReturnType<typeof createSetting>['handOver']>[] = [];
    for (let seed = 1; seed <= 300; seed += 1) {
      const random = createSeededRandom(seed);
      const chains = Array.from({ length: maxAttempts }, (_, index) => `e${index + 2}`);
      const setting = createSetting({ route: { maxAttempts }, chains });
      await nextTurn();
      let handoverAt = 1 + random.nextInt(Math.ceil((EVENTS - 2) / maxHandovers));
      const breakChance = random.nextFloat() * 0.08;
      const unsent = new Map<Run, string>();
      let outcome = '';
      void setting.end.then((end) => {
        outcome = end.outcome;
      });
      let handedOver = 0;
      for (let step = 0; step < 2000 && outcome === ''; step += 1) {
        const open = setting.runs.filter(({ body }) => !body.destroyed && !body.writableEnded);
        const run = open[random.nextInt(Math.max(1, open.length))];
        if (run) {
          let bytes = unsent.get(run) ?? '';
          if (bytes === '' && run.sent < EVENTS) {
            run.sent += 1;
            bytes = eventOf(run.sent);
          }
          // Events arrive in pieces.
          const length = 1 + random.nextInt(30);
          unsent.set(run, bytes.slice(length));
          if (bytes === '') run.body.end();
          else if (random.nextFloat() < breakChance) run.body.destroy(new Error('lost'));
          else run.body.write(bytes.slice(0, length));
        }
        if (random.nextInt(3) === 0) await nextTurn();
        if (handedOver < maxHandovers && setting.received().length >= handoverAt) {
          handedOver += 1;
          handoverAt += 4;
          handovers.push(setting.handOver());
        }
        if (!run) await nextTurn();
      }
      assert.notEqual(outcome, '', `seed ${seed} ends`);
      const ids = setting.received();
      assert.deepEqual(ids, idsTo(ids.length), `seed ${seed}`);
      if (outcome === 'served') assert.equal(ids.length, EVENTS, `seed ${seed}`);
      assert.ok(setting.runs.length <= maxAttempts, `seed ${seed} had ${setting.runs.length} runs`);
      assert.deepEqual([...setting.streams.list()], [], `seed ${seed}`);
    }
    const ends = await Promise.all(handovers);
    return ends.filter((end) => end?.outcome === 'moved').length;
  }

  it('loses and repeats no event, whenever either run breaks off or ends', async () => {
    const moved = await countMoved(1, 3);
    assert.ok(moved > 100, `${moved} of 300 were handed over`);
  });

  it('loses and repeats no event when it is handed over several times', async () => {
    const moved = await countMoved(4, 6);
    assert.ok(moved > 400, `${moved} handovers of 300 streams`);
  });

  /** Closes the connection of a run inside its next event. */
  async function cutInsideEvent(run: Run | undefined): Promise<void> {
    run?.body.end(eventOf(run.sent + 1).slice(0, 8));
    for (let turn = 0; turn < 4; turn += 1) await nextTurn();
  }

  /** Sends the rest of a stream from one run; the caller has the whole stream then. */
  async function assertServedBy(
    setting: ReturnType<typeof createSetting>,
    run: Run | undefined,
    count: number,
  ): Promise<void> {
    await setting.send(run, count);
    await setting.finish(run);
    assert.equal((await setting.end).outcome, 'served');
    assert.equal(setting.text(), idsTo(EVENTS).map(eventOf).join(''));
  }

  it('is resumed if the run that took over is closed inside an event', async () => {
    const setting = createSetting({ route: { maxAttempts: 3 } });
    await nextTurn();
    await setting.send(setting.runs[0], 3);
    const handedOver = setting.handOver();
    await nextTurn();
    await setting.send(setting.runs[1]);
    await handedOver;
    await cutInsideEvent(setting.runs[1]);
    const last = setting.runs[2];
    assert.equal(last?.resumeAfter, '4');
    await assertServedBy(setting, last, EVENTS - 4);
  });

  it('stays with its run if the other one is closed inside its first event', async () => {
    const setting = createSetting();
    await nextTurn();
    const [old] = setting.runs;
    await setting.send(old, 3);
    const handedOver = setting.handOver();
    await nextTurn();
    await cutInsideEvent(setting.runs[1]);
    assert.equal((await handedOver)?.outcome, 'refused');
    await assertServedBy(setting, old, EVENTS - 3);
  });

  it('goes on with the new run if the old one is closed inside an event', async () => {
    const setting = createSetting();
    await nextTurn();
    const [old] = setting.runs;
    await setting.send(old, 3);
    void setting.handOver();
    await nextTurn();
    const next = setting.runs[1];
    await cutInsideEvent(old);
    await assertServedBy(setting, next, EVENTS - 3);
    assert.equal(setting.runs.length, 2);
  });

  // A stream that had been handed over stayed on its next head until that one exited.
  it('is handed over again when its next head leaves, within maxAttempts', async () => {
    const setting = createSetting({ route: { maxAttempts: 3 } });
    await nextTurn();
    await setting.send(setting.runs[0], 2);
    for (const index of [1, 2]) {
      const handedOver = setting.handOver();
      await nextTurn();
      assert.equal(setting.runs.length, index + 1);
      await setting.send(setting.runs[index], 2);
      assert.deepEqual(await handedOver, { outcome: 'moved', path: [`e${index + 1}=0-8`] });
      await nextTurn();
      assert.equal(setting.runs[index - 1]?.signal.aborted, true);
    }
    assert.equal((await setting.handOver())?.outcome, 'refused');
    assert.equal(setting.runs.length, 3);
    await setting.send(setting.runs[2], EVENTS - 6);
    await setting.finish(setting.runs[2]);
    const { outcome, servedBy } = await setting.end;
    assert.equal(outcome, 'served');
    assert.deepEqual(servedBy, ['e3=0-8']);
    assert.equal(setting.text(), idsTo(EVENTS).map(eventOf).join(''));
    assert.deepEqual([...setting.streams.list()], [], 'all slots are released');
  });

  // A second successor of the same run repeated events, as it shared the record of the first.
  it('has one successor at a time', async () => {
    const setting = createSetting({ route: { maxAttempts: 6 } });
    await nextTurn();
    await setting.send(setting.runs[0], 2);
    const first = setting.handOver();
    assert.equal((await setting.handOver())?.outcome, 'refused', 'during the search');
    // The retry is taken out of the budget before the run is sent.
    await nextTurn();
    assert.equal((await setting.handOver())?.outcome, 'refused', 'before the first event');
    assert.equal(setting.runs.length, 2);
    await setting.send(setting.runs[1]);
    assert.equal((await first)?.outcome, 'moved');
    setting.leave();
    await setting.end;
  });

  it('is not handed over from a run that has not taken over yet', async () => {
    const setting = createSetting({ route: { maxAttempts: 6 } });
    await nextTurn();
    await setting.send(setting.runs[0], 2);
    void setting.handOver();
    await nextTurn();
    assert.equal((await setting.handOver(1))?.outcome, 'refused');
    assert.equal(setting.runs.length, 2);
    setting.leave();
    assert.equal((await setting.end).outcome, 'caller-left');
    setting.runs.forEach(({ signal }) => assert.equal(signal.aborted, true));
  });

  it('stays where it is unless route, budget and maxAttempts allow another run', async () => {
    const cases: readonly Setting[] = [
      { route: { isResumable: false } },
      { route: { maxAttempts: 1 } },
      { retries: 0 },
    ];
    for (const denied of cases) {
      const setting = createSetting(denied);
      await nextTurn();
      await setting.send(setting.runs[0], 2);
      assert.equal((await setting.handOver())?.outcome, 'refused');
      assert.equal(setting.grants(), 0);
      await setting.send(setting.runs[0], EVENTS - 2);
      await setting.finish(setting.runs[0]);
      assert.equal((await setting.end).outcome, 'served');
      assert.equal(setting.runs.length, 1);
    }
  });

  it('stays when no chain has a slot, the only one shares an engine, or no allocator answers', async () => {
    const cases: readonly Setting[] = [{ chains: [] }, { chains: ['e1'] }, { isUnallocated: true }];
    for (const options of cases) {
      const setting = createSetting(options);
      await nextTurn();
      await setting.send(setting.runs[0], 2);
      assert.equal((await setting.handOver())?.outcome, 'no-path');
      assert.equal(setting.runs.length, 1);
      assert.equal([...setting.streams.list()].length, 1, 'the slot is released');
      setting.leave();
    }
  });

  // A retry that was spent before a slot was found was missing when the head then exited.
  it('is resumed with its last retry when its head exits after a handover without a path', async () => {
    for (const withoutPath of [undefined, 'e1']) {
      const setting = createSetting({ retries: 1, chains: [withoutPath, 'e2'] });
      await nextTurn();
      const [old] = setting.runs as [Run];
      await setting.send(old, 2);
      assert.equal((await setting.handOver())?.outcome, 'no-path');
      old.body.destroy(new Error('lost'));
      await nextTurn();
      await nextTurn();
      assert.equal(setting.runs.length, 2);
      await setting.send(setting.runs[1], EVENTS - 2);
      await setting.finish(setting.runs[1]);
      assert.equal((await setting.end).outcome, 'served');
      assert.deepEqual(setting.received(), idsTo(EVENTS));
    }
  });

  it('stays when another stream spends the last retry during the search for a slot', async () => {
    const setting = createSetting({ retries: 1 });
    await nextTurn();
    await setting.send(setting.runs[0], 2);
    const handedOver = setting.handOver();
    assert.ok(await setting.budget.take('begun'));
    assert.equal((await handedOver)?.outcome, 'refused');
    assert.equal(setting.runs.length, 1, 'no run beyond the budget');
    assert.equal([...setting.streams.list()].length, 1, 'the slot is released');
    setting.leave();
  });

  it('stays when the only chain has an engine to which its path may just be changed', async () => {
    const setting = createSetting({ chains: ['e2'] });
    await nextTurn();
    await setting.send(setting.runs[0], 2);
    const [row] = setting.streams.list();
    Object.assign(row ?? {}, { orderedStages: createChain('e2').stages });
    assert.equal((await setting.handOver())?.outcome, 'no-path');
    assert.equal(setting.runs.length, 1);
    setting.leave();
  });

  it('stays when the new run is rejected, or does not continue it', async () => {
    const rejected = createSetting({ rejecting: ['e2'] });
    await nextTurn();
    await rejected.send(rejected.runs[0], 2);
    assert.equal((await rejected.handOver())?.outcome, 'refused');
    const different = createSetting();
    await nextTurn();
    await different.send(different.runs[0], 2);
    const handedOver = different.handOver();
    await nextTurn();
    await different.send(different.runs[0], 2);
    const next = different.runs[1] as Run;
    next.sent = 3;
    await different.send(next);
    assert.equal((await handedOver)?.outcome, 'refused');
    for (const setting of [rejected, different]) {
      const [old] = setting.runs as [Run];
      await setting.send(old, EVENTS - old.sent);
      await setting.finish(old);
      assert.equal((await setting.end).outcome, 'served');
      assert.deepEqual(setting.received(), idsTo(EVENTS));
    }
  });

  it('is continued by the new run when the head exits before its first event', async () => {
    const setting = createSetting();
    await nextTurn();
    const [old] = setting.runs as [Run];
    await setting.send(old, 2);
    void setting.handOver();
    await nextTurn();
    await setting.send(old, 2);
    old.body.destroy(new Error('lost'));
    await nextTurn();
    assert.equal(setting.runs.length, 2, 'no third run is sent');
    await setting.send(setting.runs[1], EVENTS - 2);
    await setting.finish(setting.runs[1]);
    assert.equal((await setting.end).outcome, 'served');
    assert.deepEqual(setting.received(), idsTo(EVENTS));
  });

  it('ends, and its new run is cancelled, when the old run ends first', async () => {
    const setting = createSetting();
    await nextTurn();
    const [old] = setting.runs as [Run];
    await setting.send(old, EVENTS - 1);
    void setting.handOver();
    await nextTurn();
    await setting.send(old);
    await setting.finish(old);
    assert.equal((await setting.end).outcome, 'served');
    await nextTurn();
    assert.equal(setting.runs[1]?.signal.aborted, true);
    assert.deepEqual(setting.received(), idsTo(EVENTS));
    assert.deepEqual([...setting.streams.list()], []);
  });

  it('is cancelled on both chains when its caller leaves during the handover', async () => {
    const setting = createSetting();
    await nextTurn();
    await setting.send(setting.runs[0], 2);
    void setting.handOver();
    await nextTurn();
    setting.leave();
    assert.equal((await setting.end).outcome, 'caller-left');
    setting.runs.forEach(({ signal }) => assert.equal(signal.aborted, true));
    await nextTurn();
    assert.deepEqual([...setting.streams.list()], []);
    const before = createSetting();
    await nextTurn();
    await before.send(before.runs[0], 2);
    const handedOver = before.handOver();
    before.leave();
    assert.equal(await handedOver, null);
    assert.equal(before.runs.length, 1, 'nothing is sent once the caller has left');
  });
});
