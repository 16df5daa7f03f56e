import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { FACT_KEYS } from '@spoolplank/membership';
import type { NoticeListener, ServerNotice } from '@spoolplank/membership';
import type { RouteKind } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { BackendOperations, BackendResponse } from '../src/backendOperations';
import type { ChosenChain } from '../src/chainChoice';
import type { RequestEnd } from '../src/entryContext';
import { guardOperations } from '../src/guardedOperations';
import { createPlainDispatch } from '../src/plainDispatch';
import type { PlaceSearch } from '../src/places/placeFinder';
import { createServerNotices } from '../src/serverNotices';
import { createStreamDispatch } from '../src/streamDispatch';
import { createStreamTable } from '../src/streamTable';
import {
  createAdmitted,
  createAnswer,
  createChain,
  createContext,
  createEngine,
  createRoute,
  createTables,
  MODEL,
} from './fixtures';

const REST_MS = 3000;
const SERVERS = ['e1', 'e2', 'e3'];

function createNotice(overrides: Partial<ServerNotice> = {}): ServerNotice {
  return {
    instanceId: 'e1',
    address: 'e1:80',
    requestId: 'r0',
    status: 503,
    restMs: REST_MS,
    isLeaving: false,
    culpritAddress: null,
    ...overrides,
  };
}

/** How a server answers; `busy` turns away without asking for rest, `gone` cannot be reached. */
type Mood = 'fine' | 'rests' | 'busy' | 'fails' | 'gone';

function createResponse(mood: Mood): BackendResponse {
  const body = new PassThrough();
  body.end(mood === 'fine' ? 'id: 1\ndata: x\n\n' : '');
  const isNotRun = mood === 'rests' || mood === 'busy';
  const status = isNotRun ? 503 : 500;
  return {
    status: mood === 'fine' ? 200 : status,
    headers: [],
    isNotRun,
    isMisdirected: false,
    problem: null,
    culpritAddress: null,
    load: null,
    restMs: mood === 'rests' ? REST_MS : null,
    body,
  };
}

function createSetting(kind: RouteKind = 'safe') {
  const tables = createTables();
  const { clock, view, table, announce } = tables;
  SERVERS.forEach((id) => announce(createEngine(id, 0, 8)));
  const moods = new Map<string, Mood>();
  const sends: string[] = [];
  let listener: NoticeListener = () => {};
  let onSend = (_id: string): void => {};
  const operations = {
    onNotice(next: NoticeListener) {
      listener = next;
    },
    open({ target }: { readonly target: { readonly instanceId: string } }) {
      const { instanceId } = target;
      const mood = moods.get(instanceId) ?? 'fine';
      sends.push(instanceId);
      if (mood === 'rests') listener(createNotice({ instanceId, address: `${instanceId}:80` }));
      onSend(instanceId);
      if (mood === 'gone') {
        return Promise.reject(new SpoolplankError('unreachable', { outcome: 'not-run' }));
      }
      return Promise.resolve(createResponse(mood));
    },
    report: () => Promise.resolve({ stalled: [] }),
    repair: () => Promise.resolve({ kind: 'repaired' }),
    isReachable: () => Promise.resolve(true),
  } as unknown as BackendOperations;
  const base = createContext(clock, view, operations);
  const lines: { readonly event: string; readonly fields: unknown }[] = [];
  const log = {
    ...base.log,
    info: (event: string, fields: unknown) => lines.push({ event, fields }),
  };
  const notices = createServerNotices({
    clock,
    log,
    metrics: base.metrics,
    table,
    findByAddress: view.findByAddress,
    spread: () => {},
  });
  operations.onNotice(notices.take);
  const guarded = guardOperations(operations, notices);
  const context = { ...base, notices, operations: guarded };
  const answers: number[] = [];
  const answer = createAnswer(answers);
  const route = createRoute(kind, { timeoutMs: 20_000 });
  const searches: PlaceSearch[] = [];
  /** Gives out the chain of the first server that is not left out, as an account does. */
  function findChain(search: PlaceSearch): Promise<ChosenChain | undefined> {
    searches.push({ ...search, excludedHeads: new Set(search.excludedHeads) });
    const id = SERVERS.find(
      (server) => !search.excludedHeads.has(server) && !notices.rests.isHeldBack(server),
    );
    if (id === undefined) return Promise.reject(new SpoolplankError('no-backend-server'));
    return Promise.resolve(createChain(id));
  }
  const stream = createStreamDispatch({
    context,
    streams: createStreamTable({ clock }),
    places: { toBegin: findChain, toResume: findChain, returnAfterMs: () => 100 },
    examine: (id) => assert.equal(moods.get(id), 'gone', 'nothing broke off'),
    avoid: () => {},
  });
  const plain = createPlainDispatch(context);
  return {
    ...tables,
    moods,
    sends,
    searches,
    notices,
    guarded,
    answers,
    metrics: base.metrics,
    linesOf: (event: string) => lines.filter((line) => line.event === event),
    /** Lets something happen while a request is on its way to a server. */
    whenSent(next: (id: string) => void) {
      onSend = next;
    },
    send(): Promise<RequestEnd> {
      const admitted = createAdmitted(clock, route, answer);
      return kind === 'stream' ? stream.run(admitted, MODEL) : plain.run(admitted);
    },
  };
}

async function refusalOf(end: Promise<RequestEnd>): Promise<SpoolplankError> {
  const error = await end.then(
    () => assert.fail('it was served'),
    (thrown: unknown) => thrown,
  );
  assert.ok(error instanceof SpoolplankError);
  return error;
}

describe('what a server said of itself', () => {
  it('is noted once a rest, whatever is turned away in it', () => {
    const { notices, linesOf, metrics } = createSetting();
    [1, 2, 3].forEach(() => notices.take(createNotice()));
    assert.equal(linesOf('server-rests').length, 1);
    const repeated = metrics.valueOf('spoolplank_server_rests_total', { word: 'repeated' });
    assert.equal(repeated, 2);
    assert.deepEqual(notices.describe(), [{ instanceId: 'e1', remainingMs: REST_MS }]);
  });

  it('holds for the engine that is named as at fault as well as for the one that answered', () => {
    const { notices } = createSetting();
    notices.take(createNotice({ culpritAddress: 'e2:80' }));
    const closed = SERVERS.map((id) => notices.closedReason(id));
    assert.deepEqual(closed, ['rests', 'rests', null]);
  });

  it('does not hold for the next run of the server, nor does its late word', () => {
    const { notices } = createSetting();
    notices.take(createNotice({ instanceId: 'e1/1' }));
    assert.equal(notices.closedReason('e1/2'), null);
  });

  it('that it leaves, is undone by no announcement that is heard later', () => {
    const { notices, view, announce } = createSetting();
    notices.take(createNotice({ restMs: null, isLeaving: true, status: 200 }));
    announce(createEngine('e1', 0, 8), 7);
    assert.equal(notices.closedReason('e1'), 'leaves');
    const left = view.listBackends('engines').map(({ instanceId }) => instanceId);
    assert.deepEqual(left, ['e2', 'e3']);
  });

  it('that it leaves, holds for one run only', () => {
    const { notices, view, announce, table } = createSetting();
    notices.take(createNotice({ instanceId: 'e1/1', restMs: null, isLeaving: true }));
    announce(createEngine('e1/2', 0, 8), 2);
    table.put(
      FACT_KEYS.backend('e1/2'),
      { incarnation: 2, sequence: 1 },
      createEngine('e1/2', 0, 8),
    );
    const left = view.listBackends('engines').map(({ instanceId }) => instanceId);
    assert.ok(left.includes('e1/2'), left.join(' '));
  });

  it('that it leaves, is stated to others for five seconds, and logged once', () => {
    const { notices, clock, linesOf } = createSetting();
    [1, 2].forEach(() => notices.take(createNotice({ restMs: null, isLeaving: true })));
    assert.equal(linesOf('server-leaves').length, 1);
    const [update] = notices.listStatements();
    assert.deepEqual(update?.body, { kind: 'leaving', instanceId: 'e1' });
    assert.deepEqual(notices.listClosed(), ['e1'], 'to VMs that may not have heard of it');
    clock.advance(5001);
    assert.deepEqual(notices.listStatements(), []);
    notices.sweep();
    assert.equal(notices.closedReason('e1'), 'leaves');
  });
});

describe('the last look before a send', () => {
  const target = { instanceId: 'e1', address: 'e1:80' };
  const call = { target } as unknown as Parameters<BackendOperations['open']>[0];

  it('holds back requests, reports and repairs of a server that rests', async () => {
    const { notices, guarded, sends, metrics } = createSetting();
    notices.take(createNotice());
    await assert.rejects(guarded.open(call), { code: 'server-closed', outcome: 'not-run' });
    await assert.rejects(guarded.report(target, 100), { code: 'server-closed' });
    assert.equal((await guarded.repair(target, 'r1', [], 100)).kind, 'failed');
    assert.equal(await guarded.isReachable('e1:80', 100), true);
    assert.deepEqual(sends, []);
    assert.equal(metrics.valueOf('spoolplank_sends_held_back_total', { reason: 'rests' }), 3);
  });

  it('lets streams over a leaving engine be repaired, and sends it nothing new', async () => {
    const { notices, guarded } = createSetting();
    notices.take(createNotice({ restMs: null, isLeaving: true }));
    await assert.rejects(guarded.open(call), { code: 'server-closed' });
    assert.equal((await guarded.repair(target, 'r1', [], 100)).kind, 'repaired');
  });

  it('repairs streams while requests return to a server one after the other', async () => {
    const { notices, guarded, clock } = createSetting();
    notices.take(createNotice());
    clock.advance(REST_MS);
    await guarded.open(call);
    assert.equal(notices.rests.isHeldBack('e1'), true);
    assert.equal((await guarded.repair(target, 'r1', [], 100)).kind, 'repaired');
  });
});

describe('a request that a server turned away', () => {
  for (const kind of ['stream', 'safe', 'once'] as const) {
    it(`goes to another one, as does the next request (${kind})`, async () => {
      const setting = createSetting(kind);
      SERVERS.slice(0, 2).forEach((id) => setting.moods.set(id, 'rests'));
      assert.equal((await setting.send()).outcome, 'served');
      const first = [...setting.sends];
      assert.equal(new Set(first).size, first.length, 'no server had it twice');
      assert.equal((await setting.send()).outcome, 'served');
      const rested = first.filter((id) => id !== 'e3');
      const after = setting.sends.slice(first.length);
      rested.forEach((id) => assert.ok(!after.includes(id), `${id} was sent something`));
      const held = setting.metrics.valueOf('spoolplank_sends_held_back_total', { reason: 'rests' });
      assert.equal(held, 0, 'none of them was chosen');
    });

    it(`does not go there again where it asked for no rest; the next request may (${kind})`, async () => {
      const setting = createSetting(kind);
      SERVERS.forEach((id) => setting.moods.set(id, 'busy'));
      const error = await refusalOf(setting.send());
      assert.equal(error.outcome, 'not-run');
      assert.deepEqual([...setting.sends].sort(), SERVERS);
      await refusalOf(setting.send());
      assert.equal(setting.sends.length, 2 * SERVERS.length);
    });
  }

  it('may go to a chain whose first engine could not be reached, once it is mended', async () => {
    const setting = createSetting('stream');
    setting.moods.set('e1', 'gone');
    setting.whenSent(() => setTimeout(() => setting.moods.delete('e1'), 0));
    await setting.send().catch(() => {});
    assert.ok(setting.searches.length > 1);
    setting.searches.forEach(({ excludedHeads }) => assert.equal(excludedHeads.size, 0));
  });

  it('is refused at once when all rest, and told the time of its turn', async () => {
    const setting = createSetting('safe');
    SERVERS.forEach((id) => setting.notices.take(createNotice({ instanceId: id })));
    setting.clock.advance(500);
    const first = await refusalOf(setting.send());
    const second = await refusalOf(setting.send());
    assert.deepEqual([first.code, first.outcome], ['no-backend-server', 'not-run']);
    assert.equal(first.retryAfterMs, 2500);
    assert.equal(second.retryAfterMs, 2525);
    assert.deepEqual(setting.sends, []);
  });

  it('is told the end of the first rest by the request that all of them turned away', async () => {
    const setting = createSetting('safe');
    SERVERS.forEach((id) => setting.moods.set(id, 'rests'));
    const error = await refusalOf(setting.send());
    assert.equal(error.retryAfterMs, REST_MS);
  });

  it('is never refused as not run once a server may have run it', async () => {
    const setting = createSetting('safe');
    setting.moods.set('e1', 'fails');
    setting.moods.set('e2', 'fails');
    setting.moods.set('e3', 'fails');
    setting.whenSent((id) =>
      SERVERS.filter((other) => other !== id).forEach((other) =>
        setting.notices.take(createNotice({ instanceId: other })),
      ),
    );
    const end = await setting.send();
    assert.equal(end.outcome, 'failed-there');
    assert.deepEqual(setting.answers, [500]);
    assert.equal(setting.sends.length, 1);
  });
});

describe('a stream whose engine asked for rest after the choice', () => {
  it('is given another place, at the cost of no retry', async () => {
    const setting = createSetting('stream');
    const { rests } = setting.notices;
    // Chosen as if the word had not come yet.
    let isHidden = true;
    const { isHeldBack } = rests;
    Object.assign(rests, {
      isHeldBack(id: string) {
        if (!isHidden || id !== 'e1') return isHeldBack(id);
        isHidden = false;
        setting.notices.take(createNotice());
        return false;
      },
    });
    const end = await setting.send();
    assert.equal(end.outcome, 'served');
    assert.equal(end.attempts, 1);
    assert.deepEqual(setting.sends, ['e2']);
    assert.equal(new Set(setting.searches.map(({ ticket }) => ticket)).size, 2);
  });
});
