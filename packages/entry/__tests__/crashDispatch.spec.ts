import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { RouteKind } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { BackendOperations, BackendResponse } from '../src/dispatch/backendOperations';
import type { ServerRun } from '../src/quarantine/crashReporter';
import type { EntryContext } from '../src/entryContext';
import { createPlainDispatch } from '../src/dispatch/plainDispatch';
import type { SlotFinder } from '../src/slots/slotFinder';
import { contentOf, digestContent } from '../src/quarantine/requestContent';
import { createStreamDispatch } from '../src/dispatch/streamDispatch';
import { createStreamTable } from '../src/dispatch/streamTable';
import {
  MODEL,
  createAdmitted,
  createChain,
  createContext,
  createEngine,
  createNoPermits,
  createRoute,
  createTables,
} from './fixtures';

const EVENT = Buffer.from('id: 1\ndata: x\n\n');

/** How far a backend server gets with a request before its connection breaks. */
type BreakPoint = 'before-head' | 'after-head' | 'after-event' | 'after-other-answer';

function createResponse(chunks: readonly Buffer[]): BackendResponse {
  const body = new PassThrough();
  chunks.forEach((chunk) => body.write(chunk));
  setImmediate(() => setImmediate(() => body.destroy(new Error('aborted'))));
  return {
    status: 200,
    headers: [],
    isNotRun: false,
    isMatched: true,
    problem: null,
    culpritAddress: null,
    load: null,
    backoffMs: null,
    limit: { kind: 'unnamed' },
    framing: 'chunked',
    body,
  };
}

/** Response of a backend server whose connection breaks at the given point. */
const BREAKS: Readonly<Record<BreakPoint, () => Promise<BackendResponse>>> = {
  'before-head': () => Promise.reject(new SpoolplankError('unreachable', { outcome: 'unknown' })),
  'after-head': () => Promise.resolve(createResponse([])),
  'after-event': () => Promise.resolve(createResponse([EVENT])),
  'after-other-answer': () =>
    Promise.resolve({
      ...createResponse([]),
      isMatched: false,
      problem: 'the answer belongs to another request',
    }),
};

interface Setting {
  readonly kind?: RouteKind;
  readonly breakPoint?: BreakPoint;
  /** Number of servers that have already crashed on the same content elsewhere. */
  readonly priorCrashes?: number;
  /** Whether another server crashes on the content elsewhere while the request waits for a slot. */
  readonly crashesWhileWaiting?: boolean;
}

function createSetting({
  kind = 'stream',
  breakPoint = 'after-head',
  priorCrashes = 0,
  crashesWhileWaiting = false,
}: Setting = {}) {
  const { clock, view, announce } = createTables();
  ['e1', 'e2', 'e3', 'e4'].forEach((id) => announce(createEngine(id, 0, 8)));
  const recordedRuns: ServerRun[] = [];
  let sends = 0;
  const operations = {
    open() {
      sends += 1;
      return BREAKS[breakPoint]();
    },
    isReachable: () => Promise.resolve(false),
  } as unknown as BackendOperations;
  const base = createContext(clock, view, operations);
  const context: EntryContext = {
    ...base,
    crashes: {
      ...base.crashes,
      record(run) {
        recordedRuns.push(run);
        const end = { ...run, turn: 0, evidence: 'run' } as const;
        base.quarantine.recordCrash(end);
        base.quarantine.onFact({ kind: 'crash', ...end });
        return Promise.resolve();
      },
    },
  };
  const admitted = createAdmitted(clock, createRoute(kind, { maxAttempts: 4 }));
  const content = digestContent(contentOf(admitted));
  let ended = 0;
  function crashElsewhere(): void {
    ended += 1;
    const run = { content, instanceId: `other-${ended}`, ranMs: 80 };
    const end = { ...run, turn: 0, evidence: 'run' } as const;
    context.quarantine.recordCrash(end);
    context.quarantine.onFact({ kind: 'crash', ...end });
  }
  for (let count = 0; count < priorCrashes; count += 1) crashElsewhere();

  const findSlot = () => {
    if (crashesWhileWaiting) crashElsewhere();
    return Promise.resolve(createChain(`e${sends + 1}`));
  };
  const slots: SlotFinder = {
    findForNew: findSlot,
    findForResumed: findSlot,
    retryAfterMs: () => 100,
  };
  const streams = createStreamTable({ clock });
  const stream = createStreamDispatch({
    context,
    streams,
    slots,
    probeAfterFailure: () => {},
    avoid: () => {},
  });
  const plain = createPlainDispatch(context, createNoPermits());
  return {
    recordedRuns,
    context,
    admitted,
    sends: () => sends,
    async run(): Promise<string> {
      const end = kind === 'stream' ? stream.run(admitted, MODEL) : plain.run(admitted);
      const outcome = await end.then(
        (known) => known.outcome,
        (error: unknown) => (error instanceof SpoolplankError ? error.code : String(error)),
      );
      await nextTurn();
      return outcome;
    },
  };
}

describe('a stream whose engine crashed', () => {
  it('is suspected when the response head had arrived but no event', async () => {
    const setting = createSetting();
    await setting.run();
    assert.equal(setting.recordedRuns[0]?.instanceId, 'e1');
    assert.equal(setting.recordedRuns[0]?.content, digestContent(contentOf(setting.admitted)));
  });

  it('is not suspected before the response head or after the first event', async () => {
    for (const breakPoint of ['before-head', 'after-event'] as const) {
      const setting = createSetting({ breakPoint });
      await setting.run();
      assert.deepEqual(setting.recordedRuns, [], breakPoint);
      assert.ok(setting.sends() >= 1);
    }
  });

  it('is not suspected after an answer to another request', async () => {
    const setting = createSetting({ breakPoint: 'after-other-answer' });
    await setting.run();
    assert.deepEqual(setting.recordedRuns, []);
    assert.ok(setting.sends() >= 1);
  });

  it('is retried only once, so that one request of a caller crashes two engines at most', async () => {
    const setting = createSetting();
    assert.equal(await setting.run(), 'backend-server-failed');
    assert.equal(setting.sends(), 2);
  });

  it('is not retried when its content had already crashed an engine', async () => {
    const setting = createSetting({ priorCrashes: 1 });
    assert.equal(await setting.run(), 'backend-server-failed');
    assert.equal(setting.sends(), 1);
  });

  it('is not sent when its content crashes a third engine elsewhere while it waits', async () => {
    const setting = createSetting({ priorCrashes: 2, crashesWhileWaiting: true });
    assert.equal(await setting.run(), 'quarantined');
    assert.equal(setting.sends(), 0);
  });

  it('clears its content when an event arrives', async () => {
    const setting = createSetting({ breakPoint: 'after-event', priorCrashes: 2 });
    let served = 0;
    const { quarantine } = setting.context;
    Object.assign(quarantine, {
      recordServed: () => {
        served += 1;
      },
    });
    await setting.run();
    assert.ok(served >= 1);
  });
});

describe('a request to a server', () => {
  (['stream', 'safe', 'once'] as const).forEach((kind) => {
    it(`is recorded by the crash reporter before it is sent: ${kind}`, async () => {
      const setting = createSetting({ kind });
      const recorded: string[] = [];
      Object.assign(setting.context.crashes, {
        recordSend: (_content: unknown, target: { readonly instanceId: string }) =>
          recorded.push(`${target.instanceId} after ${setting.sends()} sends`),
      });
      await setting.run();
      assert.match(recorded[0] ?? '', /^e\d after 0 sends$/);
      assert.equal(recorded.length, setting.sends());
    });
  });
});

describe('a plain request whose server crashed', () => {
  it('is suspected regardless of its progress and retried once', async () => {
    const setting = createSetting({ kind: 'safe', breakPoint: 'before-head' });
    await setting.run();
    assert.equal(setting.sends(), 2);
    assert.equal(new Set(setting.recordedRuns.map(({ instanceId }) => instanceId)).size, 2);
  });

  it('is suspected as well when it may run only once', async () => {
    const setting = createSetting({ kind: 'once', breakPoint: 'before-head' });
    await setting.run();
    assert.equal(setting.sends(), 1);
    assert.equal(setting.recordedRuns.length, 1);
  });
});
