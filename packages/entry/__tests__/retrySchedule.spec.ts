import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryDelays, DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { DecisionSettings } from '@spoolplank/routing';
import { createSeededRandom } from '@spoolplank/shared';
import type { SlotOutcome } from '../src/slots/slotClient';
import { createDataCentre } from './slotFixtures';
import type { Vm } from './slotFixtures';

const OFF: DecisionSettings = { ...DEFAULT_DECISIONS, forecast: { isEnabled: false } };
const PATIENCE_MS = 18_000;
const WAIT_MS = 1200;
const ROUND_TRIP_MS = 2;

interface Caller {
  /** Differs between requests, as their prompts do. */
  readonly size: number;
  readonly isImpatient: boolean;
  readonly firstAtMs: number;
  /** Retry time that the first refusal gave. */
  retryInMs: number | null;
  grants: number;
  retryReasons: string[];
}

/**
 * Creates callers that retry once after the time that they were given, or, if they are impatient,
 * three times at once.
 */
function createCallers(decisions: DecisionSettings, heads: readonly string[] = ['c1']) {
  const site = createDataCentre(12, heads, { decisions });
  const { clock, delay } = site;
  const all: Caller[] = [];
  // The entries' own delays, as the slot finder uses them without a turn.
  const delays = createRetryDelays({ clock, random: createSeededRandom(3) });

  async function attempt(caller: Caller, name: string, isRetry: boolean): Promise<SlotOutcome> {
    const vm = site.vms.filter(({ isUp }) => isUp)[all.length % 5] as Vm;
    const nowMs = clock.nowMs();
    const outcome = await site.find(vm, name, {
      isRetry,
      size: caller.size,
      latestStartAtMs: caller.firstAtMs + 400,
      queueDeadlineAtMs: nowMs + WAIT_MS,
      callerLeavesAtMs: caller.firstAtMs + PATIENCE_MS,
    });
    if (outcome.kind === 'granted') {
      caller.grants += 1;
      site.hold(vm, name, outcome.chain.headId, 2000);
    }
    return outcome;
  }

  async function run(caller: Caller, name: string): Promise<void> {
    const first = await attempt(caller, name, false);
    if (first.kind === 'granted') return;
    delays.recordOverload();
    const leftMs = caller.firstAtMs + PATIENCE_MS - clock.nowMs();
    const turnMs = first.kind === 'refused' ? first.turnInMs : undefined;
    caller.retryInMs = turnMs ?? delays.retryAfterMs(leftMs);
    await delay(caller.isImpatient ? ROUND_TRIP_MS : caller.retryInMs);
    const retries = caller.isImpatient ? ['/1', '/2', '/3'] : ['/1'];
    const outcomes = await Promise.all(retries.map((copy) => attempt(caller, name + copy, true)));
    caller.retryReasons = outcomes.map((outcome) =>
      outcome.kind === 'refused' ? outcome.reason : outcome.kind,
    );
  }

  return {
    ...site,
    all,
    async sendFor(perS: number, durationMs: number, isImpatient: (index: number) => boolean) {
      for (let passedMs = 0; passedMs < durationMs; passedMs += 1000 / perS) {
        const caller: Caller = {
          size: 0.9 + ((all.length * 37) % 200) / 1000,
          isImpatient: isImpatient(all.length),
          firstAtMs: clock.nowMs(),
          retryInMs: null,
          grants: 0,
          retryReasons: [],
        };
        all.push(caller);
        void run(caller, `r${all.length}`);
        await site.pass(1000 / perS);
      }
    },
  };
}

const servedShare = (callers: readonly Caller[]) =>
  callers.filter(({ grants }) => grants > 0).length / callers.length;

describe('the schedule of retry times', () => {
  /** 188 slots of 2 s serve 94 a second; callers come at this rate, then 400 more in a second. */
  async function refuseMany(decisions: DecisionSettings) {
    const callers = createCallers(decisions, ['c1', 'c2']);
    await callers.pass(1500);
    await callers.sendFor(90, 5000, () => false);
    const before = callers.all.length;
    await callers.sendFor(490, 1000, () => false);
    const burst = callers.all.slice(before);
    await callers.sendFor(40, 8000, () => false);
    await callers.pass(3000);
    return burst;
  }

  it('serves 300 callers that are refused within a second when they return', async () => {
    const on = await refuseMany(DEFAULT_DECISIONS);
    const off = await refuseMany(OFF);
    const refused = on.filter(({ retryInMs }) => retryInMs !== null);
    assert.ok(refused.length >= 300, String(refused.length));
    assert.ok(servedShare(on) > 0.98, String(servedShare(on)));
    assert.ok(servedShare(off) < 0.9, 'callers that return by chance are refused again');
    // No more than 12 return in any 100 ms, which is the rate of slots with a margin of a quarter;
    // those that leave before their turn are not counted, as they return within their time.
    const perSpan = new Map<number, number>();
    refused
      .filter(({ retryInMs }) => (retryInMs ?? 0) < PATIENCE_MS / 3 - 1)
      .forEach(({ firstAtMs, retryInMs }) => {
        const span = Math.floor((firstAtMs + (retryInMs ?? 0)) / 100);
        perSpan.set(span, (perSpan.get(span) ?? 0) + 1);
      });
    assert.ok(Math.max(...perSpan.values()) <= 12, String([...perSpan.values()]));
  });

  /** Callers come at twice the rate of slots; every fourth one is impatient. */
  async function meetImpatience(decisions: DecisionSettings) {
    const callers = createCallers(decisions, ['c1', 'c2']);
    await callers.pass(1500);
    await callers.sendFor(90, 5000, () => false);
    const before = callers.all.length;
    await callers.sendFor(190, 4000, (index) => index % 4 === 0);
    const sent = callers.all.slice(before);
    await callers.sendFor(40, 6000, () => false);
    await callers.pass(3000);
    const impatient = sent.filter(({ isImpatient }) => isImpatient);
    const honest = sent.filter(({ isImpatient }) => !isImpatient);
    const grants = impatient.reduce((sum, caller) => sum + caller.grants, 0) / impatient.length;
    return { honest: servedShare(honest), impatient: servedShare(impatient), grants };
  }

  it('gives callers that retry three times at once no advantage', async () => {
    const on = await meetImpatience(DEFAULT_DECISIONS);
    const off = await meetImpatience(OFF);
    assert.ok(on.impatient < on.honest, JSON.stringify(on));
    assert.ok(on.grants < 0.75, 'copies of a request take no slots from others');
    assert.ok(on.honest > off.honest, `${on.honest} and ${off.honest}`);
    assert.ok(off.grants > 1.2, 'the load gives copies slots of their own');
  });

  it('is not needed by callers that return to a successor of the lost allocator', async () => {
    const callers = createCallers(DEFAULT_DECISIONS, ['c1', 'c2']);
    await callers.pass(1500);
    await callers.sendFor(90, 5000, () => false);
    await callers.sendFor(300, 1000, () => false);
    const refused = callers.all.filter(({ retryInMs }) => retryInMs !== null);
    callers.allocator().held.clear();
    callers.allocator().isUp = false;
    await callers.sendFor(20, 7000, () => false);
    await callers.pass(3000);
    assert.ok(refused.length > 100, String(refused.length));
    assert.ok(
      refused.every(({ retryReasons }) => retryReasons.length === 1),
      'all are answered',
    );
    assert.ok(servedShare(refused) > 0.95, String(servedShare(refused)));
  });

  it('assigns no times while slots are not scarce', async () => {
    const callers = createCallers(DEFAULT_DECISIONS, ['c1', 'c2']);
    await callers.pass(1500);
    await callers.sendFor(80, 5000, (index) => index % 4 === 0);
    await callers.pass(1300);
    assert.ok(callers.all.every(({ retryInMs, grants }) => retryInMs === null && grants === 1));
  });
});
