import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { DecisionSettings, Route } from '@spoolplank/routing';
import { createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import type { ChainChoice, ChosenChain } from '../src/dispatch/chainChoice';
import { createStreamTable } from '../src/dispatch/streamTable';
import type { RefusedSlot, SlotClient } from '../src/slots/slotClient';
import { createSlotFinder } from '../src/slots/slotFinder';
import { createAdmitted, createChain, createRoute, MODEL } from './fixtures';
import { ADMITTED, createDataCentre } from './slotFixtures';
import type { DataCentre, Vm } from './slotFixtures';
import { createVirtualTime } from './virtualTime';

const OFF: DecisionSettings = { ...DEFAULT_DECISIONS, forecast: { isEnabled: false } };

interface Ended {
  readonly waitedMs: number;
  readonly isGranted: boolean;
  readonly error: SpoolplankError | null;
}

/** Creates the slot finder of an entry VM that has no chain of its own choice. */
function createFinder(
  { clock, delay }: Pick<DataCentre, 'clock' | 'delay'>,
  slots: SlotClient,
  decisions: DecisionSettings,
  ownChoice?: ChosenChain,
) {
  const finder = createSlotFinder({
    clock,
    random: createSeededRandom(1),
    delay,
    streams: createStreamTable({ clock }),
    chains: { choose: () => ownChoice } as unknown as ChainChoice,
    slots,
    backoffs: { retryAfterMs: () => 0, isEmpty: true },
    hasAllocator: () => true,
    rankDataCentres: () => [{ dataCentre: 'a', hasCapacity: true }],
    decisions,
  });
  return async (ticket: string, route: Partial<Route>): Promise<Ended> => {
    const sentAtMs = clock.nowMs();
    const admitted = createAdmitted(clock, createRoute('stream', { timeoutMs: 20_000, ...route }));
    const search = {
      admitted,
      model: MODEL,
      ticket,
      excludedHeads: new Set<string>(),
      isQuarantined: () => false,
      cause: 'first' as const,
    };
    try {
      const chain = await finder.findForNew(search);
      return { waitedMs: clock.nowMs() - sentAtMs, isGranted: chain !== undefined, error: null };
    } catch (error) {
      assert.ok(error instanceof SpoolplankError);
      return { waitedMs: clock.nowMs() - sentAtMs, isGranted: false, error };
    }
  };
}

describe('the wait of a new stream for a slot', () => {
  /** All slots are held for another 2 s when one patient and one usual request arrive. */
  async function waitForFullChain(decisions: DecisionSettings) {
    const site = createDataCentre(3, ['c1'], { decisions });
    await site.pass(1500);
    const [vm, other] = site.vms as [Vm, Vm];
    for (let index = 0; index < ADMITTED; index += 1) site.send(other, `f${index}`, {}, 2100);
    await site.pass(100);
    const find = createFinder(site, vm.client, decisions);
    const found = Promise.all([
      find('patient', { targetLatencyMs: 1200 }),
      find('usual', { targetLatencyMs: 500 }),
      find('hurried', { targetLatencyMs: 1200, timeoutMs: 1000 }),
    ]);
    await site.pass(4000);
    return found;
  }

  it('lasts for as long as the patience of its caller allows', async () => {
    const [patient, usual, hurried] = await waitForFullChain(DEFAULT_DECISIONS);
    assert.ok(patient.isGranted && patient.waitedMs < 2100, JSON.stringify(patient));
    assert.ok(!usual.isGranted && Math.abs(usual.waitedMs - 1200) < 30, String(usual.waitedMs));
    assert.ok(!hurried.isGranted && Math.abs(hurried.waitedMs - 1000) < 30, 'at most its deadline');
  });

  it('ends after 1.2 s for all callers if the forecast is switched off', async () => {
    const [patient, usual] = await waitForFullChain(OFF);
    assert.deepEqual([patient.isGranted, usual.isGranted], [false, false]);
    assert.ok(Math.abs(patient.waitedMs - 1200) < 30, String(patient.waitedMs));
  });
});

describe('the retry time of a refused stream', () => {
  async function refuse(refusal: Partial<RefusedSlot>): Promise<number | null> {
    const slots = {
      find: () =>
        Promise.resolve({
          kind: 'refused',
          reason: 'hopeless',
          ahead: 9,
          slotsPerS: 9,
          ...refusal,
        }),
    } as unknown as SlotClient;
    const find = createFinder(createVirtualTime(), slots, DEFAULT_DECISIONS);
    const { error } = await find('refused', { timeoutMs: 6000 });
    return error?.retryAfterMs ?? null;
  }

  it('is the turn at the allocator, within a third of the time that its caller has', async () => {
    assert.equal(await refuse({ turnInMs: 1500 }), 1500);
    assert.equal(await refuse({ turnInMs: 9000 }), 2000);
  });

  it('is the turn under rate limits as it was given', async () => {
    assert.equal(await refuse({ retryInMs: 9000 }), 9000);
  });
});

describe('an entry that has just started', () => {
  it('chooses a chain itself while it knows no allocator', async () => {
    const time = createVirtualTime();
    const slots = {
      find: () => Promise.resolve({ kind: 'unavailable' }),
    } as unknown as SlotClient;
    const find = createFinder(time, slots, DEFAULT_DECISIONS, createChain('c1'));
    const [found] = await Promise.all([find('first', {}), time.pass(100)]);
    assert.deepEqual(found, { waitedMs: 0, isGranted: true, error: null });
  });
});
