import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { DecisionSettings } from '@spoolplank/routing';
import { createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import type { Random } from '@spoolplank/shared';
import { createRequestAdmission } from '../src/admission/requestAdmission';
import type { CallerRequest } from '../src/callerRequest';
import type { RoutingView } from '../src/gossip/routingView';
import { createAnswer, createRoute } from './fixtures';
import { createVirtualTime } from './virtualTime';

const OFF: DecisionSettings = { ...DEFAULT_DECISIONS, forecast: { isEnabled: false } };
const ENTRIES = 12;
const STREAM_DEADLINE_MS = 18_000;

interface Answered {
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
  /** Null when the request was admitted. */
  readonly retryAfterMs: number | null;
}

/** Starts all entries at once; they have a configuration after `configuredAfterMs`. */
function createStart(
  decisions: DecisionSettings,
  configuredAfterMs: number,
  randomOf: (index: number) => Random = (index) => createSeededRandom(index + 1),
) {
  const { clock, delay, pass, schedule } = createVirtualTime();
  const route = createRoute('stream', { isAnonymousAllowed: true, timeoutMs: 20_000 });
  let isReady = false;
  schedule(() => {
    isReady = true;
  }, configuredAfterMs);
  const routes = {
    document: { isKeyRequired: false },
    findRoute: () => route,
    findOrganisation: () => undefined,
  };
  const view = { routes: () => (isReady ? routes : null) } as unknown as RoutingView;
  const entries = Array.from({ length: ENTRIES }, (_, index) =>
    createRequestAdmission({
      clock,
      random: randomOf(index),
      view,
      isReadyToRoute: () => isReady,
      isFresh: () => isReady,
      isCurrent: () => isReady,
      renewConfirmation: () => Promise.resolve(),
      readingGaps: { sentAfterMs: (arrivedAtMs) => arrivedAtMs },
      decisions,
      delay,
    }),
  );
  const answered: Answered[] = [];

  async function send(index: number, deadlineMs: number | null): Promise<void> {
    const sentAtMs = clock.nowMs();
    const request = { arrivedAtMs: sentAtMs, deadlineMs, key: null } as CallerRequest;
    try {
      await entries[index % ENTRIES]?.admit(request, createAnswer());
      answered.push({ sentAtMs, answeredAtMs: clock.nowMs(), retryAfterMs: null });
    } catch (error) {
      assert.ok(error instanceof SpoolplankError && error.code === 'settings-stale');
      const retryAfterMs = error.retryAfterMs ?? Number.NaN;
      answered.push({ sentAtMs, answeredAtMs: clock.nowMs(), retryAfterMs });
    }
  }

  return {
    pass,
    answered,
    setReady(next: boolean) {
      isReady = next;
    },
    async sendFor(durationMs: number, deadlineMs: number | null = STREAM_DEADLINE_MS) {
      for (let index = 0; index < durationMs / 10; index += 1) {
        void send(index, deadlineMs);
        await pass(10);
      }
    },
  };
}

/** Highest number of callers that return within 100 ms. */
function peakOfReturns(answered: readonly Answered[]): number {
  const counts = new Map<number, number>();
  answered.forEach(({ answeredAtMs, retryAfterMs }) => {
    if (retryAfterMs === null) return;
    const span = Math.floor((answeredAtMs + retryAfterMs) / 100);
    counts.set(span, (counts.get(span) ?? 0) + 1);
  });
  return Math.max(0, ...counts.values());
}

describe('requests while all VMs start at once', () => {
  it('are told retry times that spread the callers over the time of a late start', async () => {
    const run = async (decisions: DecisionSettings) => {
      const start = createStart(decisions, 5000);
      await start.sendFor(2000);
      await start.pass(2000);
      assert.equal(start.answered.length, 200);
      return peakOfReturns(start.answered);
    };
    const [on, off] = [await run(DEFAULT_DECISIONS), await run(OFF)];
    assert.ok(off > 150, `${off} of 200 return together at one fixed time`);
    assert.ok(on < 30, String(on));
  });

  it('wait for the configuration within the patience of their callers only', async () => {
    const start = createStart(DEFAULT_DECISIONS, 5000);
    await start.sendFor(200, 600);
    await start.pass(2000);
    const waitsMs = start.answered.map(({ sentAtMs, answeredAtMs }) => answeredAtMs - sentAtMs);
    assert.equal(waitsMs.length, 20);
    assert.ok(Math.max(...waitsMs) <= 380, String(Math.max(...waitsMs)));
    const retries = start.answered.map(({ retryAfterMs }) => retryAfterMs ?? Infinity);
    assert.ok(Math.max(...retries) <= 80, 'within a third of the time that is left');
  });

  /** Guards against a retry time of 0, with which callers spend their retry on the same state. */
  it('are never told to return at once', async () => {
    const lowest: Random = { nextInt: () => 0, nextFloat: () => 0 };
    const start = createStart(DEFAULT_DECISIONS, 5000, () => lowest);
    await start.pass(2000);
    await start.sendFor(100);
    await start.sendFor(100, 60);
    const retries = start.answered.map(({ retryAfterMs }) => retryAfterMs);
    assert.deepEqual(retries, [
      ...new Array<number>(10).fill(50),
      ...new Array<number>(10).fill(20),
    ]);
  });

  it('are admitted when the configuration arrives while they wait', async () => {
    const start = createStart(DEFAULT_DECISIONS, 1000);
    await start.sendFor(1500);
    await start.pass(500);
    assert.equal(start.answered.length, 150);
    assert.ok(start.answered.every(({ retryAfterMs }) => retryAfterMs === null));
  });

  it('are answered as before when confirmations stop after the start', async () => {
    const start = createStart(DEFAULT_DECISIONS, 100);
    await start.pass(200);
    await start.sendFor(200);
    start.setReady(false);
    await start.pass(3000);
    await start.sendFor(100);
    const later = start.answered.slice(-10).map(({ retryAfterMs }) => retryAfterMs);
    assert.deepEqual(new Set(later), new Set([1000]));
  });
});
