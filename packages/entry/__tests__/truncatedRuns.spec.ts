import assert from 'node:assert/strict';
import { once } from 'node:events';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import type { RouteKind } from '@spoolplank/routing';
import type { AnswerFraming } from '../src/dispatch/answerEnd';
import type { BackendCall, BackendOperations } from '../src/dispatch/backendOperations';
import { createPlainDispatch } from '../src/dispatch/plainDispatch';
import { createStreamDispatch } from '../src/dispatch/streamDispatch';
import { createStreamTable } from '../src/dispatch/streamTable';
import type { EntryContext } from '../src/entryContext';
import {
  createAdmitted,
  createChain,
  createContext,
  createEngine,
  createNoPermits,
  createRoute,
  createTables,
  MODEL,
} from './fixtures';

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\r\ndata: two\r\n\r\n', 'data: x\nid: 3\n\n'];
const WHOLE = EVENTS.join('');
const FRAMINGS: readonly AnswerFraming[] = ['length', 'chunked', 'connection'];
const ENDINGS = ['close', 'reset'] as const;
type Ending = (typeof ENDINGS)[number] | 'closed-before';

interface Cut {
  readonly bytes: number;
  readonly framing: AnswerFraming;
  /** `closed-before`: the connection has closed before anything is read. */
  readonly ending: Ending;
}

interface Setting {
  /** Whether the service has no model, so that its answers are read whole before they are sent. */
  readonly isPlain?: boolean;
  readonly kind?: RouteKind;
  readonly isResumable?: boolean;
  /** How the runs of the request end, in order; later ones are whole. */
  readonly cuts: readonly Cut[];
}

/** Offsets between two events. */
const BOUNDARIES: readonly number[] = EVENTS.map(
  (_, index) => EVENTS.slice(0, index).join('').length,
);

/** Whether nothing in the bytes or their framing tells a cut run from a shorter, whole one. */
function looksWhole({ bytes, framing, ending }: Cut): boolean {
  if (ending !== 'close' || !BOUNDARIES.includes(bytes)) return false;
  return framing !== 'connection' || bytes > 0;
}

/** Runs one request whose runs are cut, and returns what its caller gets. */
async function runCut({ isPlain = false, kind = 'stream', isResumable = true, cuts }: Setting) {
  const clock = createManualClock(100_000);
  const { view, announce } = createTables({ clock });
  ['e1', 'e2', 'e3', 'e4'].forEach((id) => announce(createEngine(id, 0, 8)));
  let runs = 0;
  const operations = {
    async open({ resumeAfter }: BackendCall) {
      const cut = cuts[runs];
      runs += 1;
      const rest = EVENTS.slice(Number(resumeAfter ?? 0)).join('');
      const body = new PassThrough();
      body.write(cut ? rest.slice(0, cut.bytes) : rest);
      setImmediate(() => {
        if (cut?.ending === 'reset') body.destroy(new Error('read ECONNRESET'));
        else body.end();
      });
      if (cut?.ending === 'closed-before') {
        body.destroy();
        await once(body, 'close');
      }
      const framing = cut?.framing ?? 'connection';
      const response = {
        status: 200,
        headers: [],
        isMatched: true,
        isNotRun: false,
        problem: null,
        framing,
        body,
      };
      return response;
    },
    isReachable: () => Promise.resolve(true),
  } as unknown as BackendOperations;
  const base = createContext(clock, view, operations);
  const recorded: string[] = [];
  const context: EntryContext = {
    ...base,
    crashes: {
      ...base.crashes,
      record({ instanceId }) {
        recorded.push(instanceId);
        return Promise.resolve();
      },
    },
  };
  const written: Buffer[] = [];
  let ending: 'none' | 'complete' | 'aborted' = 'none';
  const answer = {
    isClosed: false,
    onClosed() {},
    begin() {},
    write: (piece: Buffer) => written.push(piece) > 0,
    onWritable() {},
    send(_status: number, _headers: unknown, body: Buffer) {
      written.push(body);
      ending = 'complete';
    },
    end() {
      ending = 'complete';
    },
    abort() {
      ending = 'aborted';
    },
  };
  const findSlot = () => Promise.resolve(createChain(`e${runs + 1}`));
  const streams = createStreamDispatch({
    context,
    streams: createStreamTable({ clock }),
    slots: { findForNew: findSlot, findForResumed: findSlot, retryAfterMs: () => 100 },
    probeAfterFailure() {},
    avoid() {},
    delay: () => Promise.resolve(),
  });
  const plain = createPlainDispatch(context, createNoPermits());
  const admitted = createAdmitted(
    clock,
    createRoute(kind, { maxAttempts: 4, isResumable }),
    answer as never,
  );
  const run = isPlain ? plain.run(admitted) : streams.run(admitted, MODEL);
  const error: unknown = await run.then(
    () => null,
    (thrown: unknown) => thrown,
  );
  return { body: Buffer.concat(written).toString(), ending, error, runs, recorded };
}

const CUTS: readonly Cut[] = ENDINGS.flatMap((ending) =>
  FRAMINGS.flatMap((framing) =>
    Array.from({ length: WHOLE.length }, (_, bytes) => ({ bytes, framing, ending })),
  ),
).filter((cut) => !looksWhole(cut));

const describeCut = ({ bytes, framing, ending }: Cut) => `${ending}, ${framing}, ${bytes} bytes`;

describe('a run that is cut at any byte', () => {
  it('is continued by another one without gap or repeat, for every framing and ending', async () => {
    for (const cut of CUTS) {
      const { body, ending } = await runCut({ cuts: [cut] });
      assert.equal(ending, 'complete', describeCut(cut));
      assert.equal(body, WHOLE, describeCut(cut));
    }
  });

  it('is continued when the next run is cut as well', async () => {
    const [first] = EVENTS;
    for (const bytes of [5, (first?.length ?? 0) + 3]) {
      const cut = { bytes, framing: 'connection', ending: 'close' } as const;
      const { body, ending, runs } = await runCut({ cuts: [cut, { ...cut, bytes: 4 }] });
      assert.deepEqual([body, ending, runs], [WHOLE, 'complete', 3]);
    }
  });

  it('is never passed on as complete if it cannot be resumed', async () => {
    for (const cut of CUTS) {
      const { body, ending } = await runCut({ cuts: [cut], isResumable: false });
      assert.notEqual(ending, 'complete', describeCut(cut));
      assert.ok(WHOLE.startsWith(body), describeCut(cut));
    }
  });

  it('is continued if its connection closed before it was read', async () => {
    const cut = { bytes: 20, framing: 'length', ending: 'closed-before' } as const;
    const { body, ending, runs } = await runCut({ cuts: [cut] });
    assert.deepEqual([body, ending, runs], [WHOLE, 'complete', 2]);
  });

  it('is not run again if it is whole', async () => {
    for (const framing of FRAMINGS) {
      const whole = { bytes: WHOLE.length, framing, ending: 'close' } as const;
      const { body, ending, runs, recorded } = await runCut({ cuts: [whole] });
      assert.deepEqual([body, ending, runs, recorded], [WHOLE, 'complete', 1, []]);
    }
  });

  it('counts as a possible crash of its server if nothing of the body arrived', async () => {
    const cut = { bytes: 0, framing: 'connection', ending: 'close' } as const;
    const { recorded } = await runCut({ cuts: [cut] });
    assert.equal(recorded.length, 1);
  });

  it('is not passed on as complete by a plain service, nor run again', async () => {
    for (const cut of CUTS) {
      const { ending, error, runs } = await runCut({ isPlain: true, cuts: [cut] });
      assert.deepEqual([ending, runs], ['none', 1], describeCut(cut));
      assert.match(String(error), /truncated/, describeCut(cut));
    }
  });

  it('is retried at a plain service if it is safe to repeat', async () => {
    const cut = { bytes: 5, framing: 'connection', ending: 'reset' } as const;
    const { body, ending, runs, recorded } = await runCut({
      isPlain: true,
      kind: 'safe',
      cuts: [cut],
    });
    assert.deepEqual([body, ending, runs, recorded.length], [WHOLE, 'complete', 2, 1]);
  });
});
