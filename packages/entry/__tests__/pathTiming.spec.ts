/**
 * Replays the load that path timing answers: engines that are slow by a factor of up to 12 for some
 * seconds, and routes of a service whose targets differ.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createEngineLoads, predictTiming, toHeldPath } from '@spoolplank/routing';
import { createSlotChains } from '../src/slots/slotChains';
import type { SlotAsk } from '../src/slots/slotMessages';
import { createTargetMisses } from '../src/slots/targetMisses';
import { LARGE_MODEL, createChainFacts, createPathCatalog } from './pathFixtures';
import { createAsk } from './slotFixtures';

const TARGETS = { targetGapMs: 250, targetFirstEventMs: 500 };
const PATIENT_MS = 1200;
/** Engines of the first chain; the catalog puts all slow ones on the chain of the second head. */
const SLOW = { 'c1-3': 12, 'c1-5': 6, 'c1-7': 6 };
const SLOW_HEAD = 'c2-0';

interface SiteOptions {
  readonly isOn?: boolean;
  readonly slow?: Readonly<Record<string, number>>;
  readonly lost?: readonly string[];
  readonly longestTargetMs?: number;
}

function createSite({ isOn = true, slow = {}, lost = [], longestTargetMs }: SiteOptions = {}) {
  const catalog = createPathCatalog(createChainFacts());
  Object.entries(slow).forEach(([id, factor]) => catalog.slowDown(id, factor));
  catalog.lose(...lost);
  const loads = createEngineLoads();
  const slots = createSlotChains({
    clock: createManualClock(),
    dataCentre: 'a',
    chains: { listOf: catalog.listOf, ...(isOn ? { layoutOf: catalog.layoutOf } : {}) },
    modelOf: () => LARGE_MODEL,
    listServers: () => [],
    limits: { limitPerSOf: () => null, ratePerS: () => Infinity, hasPermit: () => true },
    inFlightOn: loads.sizeOn,
    engineLoads: () => loads,
    firstEventMs: () => 0,
    longestTargetMs: () => longestTargetMs,
  });

  /** Grants slots one after the other until there are none, or `limit` of them. */
  function fill(ask: Partial<SlotAsk>, limit = Number.POSITIVE_INFINITY): Map<string, number> {
    const counts = new Map<string, number>();
    for (let granted = 0; granted < limit; granted += 1) {
      const chosen = slots.findBest(createAsk({ ...TARGETS, ...ask }));
      if (!chosen) break;
      loads.add(loads.recordOf(toHeldPath(chosen.stages)), 1);
      counts.set(chosen.headId, (counts.get(chosen.headId) ?? 0) + 1);
    }
    return counts;
  }
  const layout = catalog.layoutOf();
  const pauseOn = (headId: string): number =>
    Math.max(
      0,
      ...layout.paths
        .filter((path) => path.headId === headId)
        .map(({ stages }) => {
          const { paces } = layout;
          return predictTiming(stages, { model: LARGE_MODEL, paces, loadOf: loads.loadOf }).pauseMs;
        }),
    );
  return { slots, loads, fill, pauseOn };
}

describe('a chain with a slow engine', () => {
  it('takes new streams up to the bound of its pauses, where it filled its memory before', () => {
    const before = createSite({ isOn: false, slow: SLOW });
    const after = createSite({ slow: SLOW });
    const beforeOnSlow = before.fill({}).get(SLOW_HEAD) ?? 0;
    const afterOnSlow = after.fill({}).get(SLOW_HEAD) ?? 0;
    assert.ok(before.pauseOn(SLOW_HEAD) > 0.8 * TARGETS.targetGapMs);
    assert.ok(after.pauseOn(SLOW_HEAD) <= 0.8 * TARGETS.targetGapMs);
    assert.ok(afterOnSlow > 0 && afterOnSlow < beforeOnSlow, `${beforeOnSlow} -> ${afterOnSlow}`);
  });

  it('takes a begun stream beyond the bound when no other has a free slot', () => {
    const { slots, fill } = createSite({ slow: SLOW });
    fill({});
    assert.equal(slots.findBest(createAsk(TARGETS)), undefined);
    const others = fill({ hasBegun: true }, 8);
    assert.ok(
      [...others.keys()].some((id) => id !== SLOW_HEAD),
      'others come first',
    );
    fill({ hasBegun: true });
    assert.equal(slots.findBest(createAsk({ ...TARGETS, hasBegun: true })), undefined);
  });

  it('serves as the last resort when its slowdown alone exceeds the bound', () => {
    const { fill } = createSite({ slow: { 'c1-3': 40 } });
    const first = fill({}, 60);
    assert.equal(first.get(SLOW_HEAD) ?? 0, 0);
    assert.ok((fill({}).get(SLOW_HEAD) ?? 0) > 0);
  });

  it('is chosen as before for a VM of an older version, which states no targets', () => {
    const older = { targetGapMs: undefined, targetFirstEventMs: undefined } as Partial<SlotAsk>;
    const before = createSite({ isOn: false, slow: SLOW }).fill(older);
    assert.deepEqual(createSite({ slow: SLOW }).fill(older), before);
  });
});

describe('routes of a service with different targets', () => {
  const SLOWER_HEAD = 'c3-0';

  /** Fills a site to its half; then counts the grants of both kinds on the slower chain. */
  function mix(longestTargetMs: number | undefined) {
    const slow = { 'c3-3': 6, 'c3-8': 6 };
    const site = createSite({ slow, ...(longestTargetMs ? { longestTargetMs } : {}) });
    site.fill({}, 100);
    let urgent = 0;
    let patient = 0;
    for (let round = 0; round < 20; round += 1) {
      urgent += site.fill({}, 1).get(SLOWER_HEAD) ?? 0;
      patient += site.fill({ targetFirstEventMs: PATIENT_MS }, 1).get(SLOWER_HEAD) ?? 0;
    }
    return { urgent, patient };
  }

  it('leave the fast chains to the urgent requests once these are half full', () => {
    const before = mix(undefined);
    const after = mix(PATIENT_MS);
    assert.ok(before.patient < 12 && before.urgent > 5, JSON.stringify(before));
    assert.ok(after.patient > 17 && after.urgent < 3, JSON.stringify(after));
  });

  it('do not take a slow chain whose prefill backlog would make it miss the targets', () => {
    const { slots, fill } = createSite({
      slow: { 'c3-3': 6, 'c3-8': 6 },
      longestTargetMs: PATIENT_MS,
    });
    fill({}, 100);
    const ask = createAsk({ ...TARGETS, targetFirstEventMs: PATIENT_MS });
    const chosen = slots.findBest(ask);
    assert.equal(chosen?.headId, SLOWER_HEAD);
    for (let granted = 0; granted < 20; granted += 1) slots.recordGranted(ask, chosen);
    const next = slots.findBest(ask);
    assert.ok(next && next.headId !== SLOWER_HEAD, next?.headId);
  });

  it('do not change the choice on chains of equal speed', () => {
    const before = createSite().fill({ targetFirstEventMs: PATIENT_MS });
    const after = createSite({ longestTargetMs: PATIENT_MS });
    assert.deepEqual(after.fill({ targetFirstEventMs: PATIENT_MS }), before);
  });
});

describe('slots on a path that is predicted to miss a target', () => {
  it('are counted, and logged once a second with the number of omitted lines', () => {
    const clock = createManualClock();
    const metrics = createMetrics();
    const lines: Readonly<Record<string, unknown>>[] = [];
    const record = createTargetMisses({
      clock,
      metrics,
      log: {
        info(_, fields) {
          lines.push(fields ?? {});
        },
      },
    });
    const chosen = { headId: 'h', stages: [], capacity: 10 };
    const slow = { ...chosen, timing: { pauseMs: 300, firstEventMs: 450 } };
    const ask = createAsk({ ...TARGETS, waitedMs: 100 });
    record(ask, chosen);
    [0, 1, 2].forEach(() => record(ask, slow));
    clock.advance(1001);
    record(createAsk({ ...TARGETS, hasBegun: true }), slow);
    const countOf = (limit: string) =>
      metrics.valueOf('spoolplank_slot_target_misses_total', { limit });
    assert.equal(countOf('pause'), 4);
    assert.equal(countOf('first-event'), 3);
    assert.deepEqual(
      lines.map(({ limit, predictedMs, omitted }) => [limit, predictedMs, omitted]),
      [
        ['pause', 300, 0],
        ['first-event', 550, 0],
        ['pause', 300, 2],
      ],
    );
  });
});
