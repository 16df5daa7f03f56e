/**
 * Replays the load that prefill backlogs answer: one chain that is emptier than its neighbours gets
 * nearly all new streams of a data centre for a second, and its engines read prompts in every pass.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LARGE_MODEL, createChainFacts, createPathCatalog } from './pathFixtures';
import { completeAccount, createDataCentre } from './slotFixtures';
import type { DataCentre, Vm } from './slotFixtures';

const HEADS = ['c1-0', 'c2-0', 'c3-0'];
const EMPTY_HEAD = 'c2-0';
const OTHER_HEADS = HEADS.filter((id) => id !== EMPTY_HEAD);
const REQUESTS_PER_S = 60;
const GAP_MS = 1000 / REQUESTS_PER_S;
const TARGETS = { targetGapMs: 250, targetFirstEventMs: 500 };
const STREAM_MS = 2000;
const CHAINS = new Map(
  createPathCatalog(createChainFacts())
    .listOf()
    .map((chain) => [chain.headId, chain]),
);
const capacityOf = (headId: string): number => CHAINS.get(headId)?.capacity ?? 0;

/** Creates a data centre with an empty chain beside two half-full ones. */
async function createUnevenSite(isOn = true, firstEndsInMs = 1100): Promise<DataCentre> {
  const catalog = createPathCatalog(createChainFacts());
  const site = createDataCentre(4, HEADS, {
    model: LARGE_MODEL,
    listOf: catalog.listOf,
    ...(isOn ? { layoutOf: catalog.layoutOf } : {}),
  });
  await completeAccount(site);
  // The allocator may be lost, so another VM holds the streams.
  const vm = site.vms.find((other) => other !== site.allocator()) as Vm;
  OTHER_HEADS.forEach((headId) => {
    const count = Math.floor(capacityOf(headId) / 2);
    for (let index = 0; index < count; index += 1) {
      const endsInMs = firstEndsInMs + (STREAM_MS * index) / count;
      site.hold(vm, `held-${headId}-${index}`, headId, endsInMs, CHAINS.get(headId)?.stages);
    }
  });
  // A VM lists its slots once it has asked for one.
  site.send(vm, 'list', { targets: TARGETS }, 10);
  await site.pass(1100);
  return site;
}

/** Sends requests at a fixed rate; returns the head of each and the longest wait for a slot. */
async function sendFor(site: DataCentre, durationMs: number, targets: typeof TARGETS | undefined) {
  const heads: string[] = [];
  const waitsMs: number[] = [];
  let sent = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += GAP_MS) {
    const up = site.vms.filter(({ isUp }) => isUp);
    const sentAtMs = site.clock.nowMs();
    // Durations from 1 to 3 s, so that slots are not released in bursts.
    const lastsMs = STREAM_MS * (0.5 + ((sent * 37) % 100) / 100);
    const overrides = targets ? { targets } : {};
    site.send(up[sent % up.length] as Vm, `r${sentAtMs}`, overrides, lastsMs, (outcome) => {
      if (outcome.kind !== 'granted') return;
      heads.push(outcome.chain.headId);
      waitsMs.push(site.clock.nowMs() - sentAtMs);
    });
    sent += 1;
    await site.pass(GAP_MS);
  }
  await site.pass(30);
  return { heads, sent, longestWaitMs: Math.max(...waitsMs) };
}

const countOnEmpty = (heads: readonly string[]): number =>
  heads.filter((id) => id === EMPTY_HEAD).length;

/** Difference between the used shares of the fullest and the emptiest chain. */
function unevenness(site: DataCentre): number {
  const shares = HEADS.map((id) => site.inFlight(id) / capacityOf(id));
  return Math.max(...shares) - Math.min(...shares);
}

/** Sends a burst that only one chain may serve. */
async function burstOn(site: DataCentre, headId: string, count: number): Promise<void> {
  const excludedHeads = new Set(HEADS.filter((id) => id !== headId));
  for (let index = 0; index < count; index += 1) {
    const ticket = `burst-${headId}-${index}`;
    site.send(site.vms[index % 4] as Vm, ticket, { targets: TARGETS, excludedHeads });
  }
  await site.pass(5);
}

describe('a chain that comes back empty beside two half-full ones', () => {
  it('gets some of the new streams of the first 400 ms, where it got nearly all', async () => {
    const before = await sendFor(await createUnevenSite(false), 400, TARGETS);
    const after = await sendFor(await createUnevenSite(), 400, TARGETS);
    assert.ok(countOnEmpty(before.heads) >= 0.9 * before.sent, before.heads.join());
    assert.ok(countOnEmpty(after.heads) <= 0.7 * after.sent, after.heads.join());
  });

  it('is as full as the others after a second, and no request waits', async () => {
    const site = await createUnevenSite();
    const first = await sendFor(site, 1000, TARGETS);
    assert.ok(unevenness(site) < 0.1, `${unevenness(site)}`);
    const later = await sendFor(site, 3000, TARGETS);
    assert.ok(unevenness(site) < 0.1, `${unevenness(site)}`);
    [first, later].forEach(({ heads, sent, longestWaitMs }) => {
      assert.equal(heads.length, sent);
      assert.ok(longestWaitMs < 5, `${longestWaitMs} ms`);
    });
  });

  it('is chosen as before for a VM of an older version, which states no targets', async () => {
    const before = await sendFor(await createUnevenSite(false), 400, undefined);
    const after = await sendFor(await createUnevenSite(), 400, undefined);
    assert.deepEqual(after.heads, before.heads);
  });
});

describe('a burst on one head', () => {
  it('moves the next streams to other chains until its prompts are read', async () => {
    const site = await createUnevenSite();
    await burstOn(site, EMPTY_HEAD, 10);
    const next = await sendFor(site, 100, TARGETS);
    const later = await sendFor(site, 400, TARGETS);
    assert.equal(countOnEmpty(next.heads), 0, next.heads.join());
    assert.ok(countOnEmpty(later.heads) > 0, later.heads.join());
    assert.equal(next.heads.length, next.sent);
  });

  it('does not delay streams that no other chain can serve', async () => {
    const site = await createUnevenSite();
    await burstOn(site, EMPTY_HEAD, 30);
    assert.equal(site.inFlight(EMPTY_HEAD), 30);
  });

  it('on every head gives the next stream at once to the one with the least backlog', async () => {
    const site = await createUnevenSite();
    await burstOn(site, EMPTY_HEAD, 20);
    await burstOn(site, 'c3-0', 20);
    await burstOn(site, 'c1-0', 10);
    // The first chain is by a quarter fuller than the empty one.
    const { heads, longestWaitMs } = await sendFor(site, GAP_MS / 2, TARGETS);
    assert.deepEqual(heads, ['c1-0']);
    assert.ok(longestWaitMs < 5, `${longestWaitMs} ms`);
  });
});

describe('an allocator that has just taken over', () => {
  async function runTakeover(isOn: boolean) {
    const site = await createUnevenSite(isOn, 3000);
    const lost = site.allocator();
    lost.isUp = false;
    // The others know the new allocator with the next exchange of facts.
    await site.pass(1000);
    return sendFor(site, 400, TARGETS);
  }

  it('knows no backlog, grants at once and spreads new streams by its own grants', async () => {
    const before = await runTakeover(false);
    const { heads, sent, longestWaitMs } = await runTakeover(true);
    assert.equal(heads.length, sent);
    assert.ok(longestWaitMs < 5, `${longestWaitMs} ms`);
    assert.ok(countOnEmpty(before.heads) >= 0.9 * before.sent, before.heads.join());
    assert.ok(countOnEmpty(heads) <= 0.7 * sent, heads.join());
  });
});
