/**
 * Replays the load that slots by engine answer: three chains that each lose one engine, so that
 * every layer has holders left but no two chains are disjoint.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import type { PathStage } from '@spoolplank/routing';
import type { SlotCall } from '../src/slots/slotMessages';
import { LARGE_MODEL, createChainFacts, createPathCatalog, loadByEngine } from './pathFixtures';
import { completeAccount, createAsk, createDataCentre } from './slotFixtures';
import type { DataCentre, DataCentreOptions, Vm } from './slotFixtures';

const HEADS = ['c1-0', 'c2-0', 'c3-0'];
/** One engine of each chain, in different layers. */
const LOST = ['c1-1', 'c2-6', 'c3-11'];
/** Requests each second; more than the engines can take at once when each lasts 2 s. */
const OVERLOAD_PER_S = 150;

type Catalog = ReturnType<typeof createPathCatalog>;

function createSite(catalog: Catalog, isOn: boolean, options: DataCentreOptions = {}): DataCentre {
  return createDataCentre(4, HEADS, {
    model: LARGE_MODEL,
    listOf: catalog.listOf,
    ...(isOn ? { layoutOf: catalog.layoutOf } : {}),
    ...options,
  });
}

/** The engine with the highest load relative to its memory. */
function fullest(site: DataCentre, catalog: Catalog): number {
  const { rooms } = catalog.layoutOf();
  const shares = [...loadByEngine(site.vms)].map(
    ([id, load]) => load / Math.max(1, rooms.get(id)?.capacity ?? Number.POSITIVE_INFINITY),
  );
  return Math.max(0, ...shares);
}

/** Sends requests for a time; returns the mean load of each head and the fullest engine. */
async function overload(site: DataCentre, catalog: Catalog, durationMs: number) {
  const sums = new Map<string, number>();
  let peak = 0;
  let sent = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += 1000 / OVERLOAD_PER_S) {
    const up = site.vms.filter(({ isUp }) => isUp);
    const vm = up[sent % up.length];
    // Durations from 1.4 to 2.6 s, so that slots are not released in bursts.
    if (vm) site.send(vm, `r${site.clock.nowMs()}-${sent}`, {}, 1400 + ((sent * 37) % 1200));
    sent += 1;
    await site.pass(1000 / OVERLOAD_PER_S);
    peak = Math.max(peak, fullest(site, catalog));
    HEADS.forEach((id) => sums.set(id, (sums.get(id) ?? 0) + site.inFlight(id)));
  }
  const means = HEADS.map((id) => (sums.get(id) ?? 0) / sent);
  return { means, total: means.reduce((sum, mean) => sum + mean, 0), peak };
}

/** Lets a VM hold streams that run over a path. */
function holdOn(site: DataCentre, vm: Vm, count: number, stages: readonly PathStage[]): void {
  const headId = stages[0]?.id ?? '';
  // A VM lists its slots once it has asked for one.
  site.send(vm, `${headId}-ask`, {}, 10);
  for (let index = 0; index < count; index += 1) {
    site.hold(vm, `${headId}-${index}`, headId, 60_000, stages);
  }
}

/** A path that keeps the first stage of one chain and continues over another. */
function joinPaths(
  first: readonly PathStage[],
  second: readonly PathStage[],
): readonly PathStage[] {
  const [head] = first;
  assert.ok(head);
  const [next, ...rest] = second.filter(({ endLayer }) => endLayer > head.endLayer);
  assert.ok(next);
  return [head, { ...next, firstLayer: head.endLayer }, ...rest];
}

/** Asks for slots until there are none; returns the heads of the granted ones. */
async function grantAll(site: DataCentre): Promise<readonly string[]> {
  const { allocator } = site.allocator();
  const granted: string[] = [];
  for (;;) {
    const ask = createAsk({ ticket: `p${granted.length}`, mayWait: false });
    const report = { sequence: granted.length, slots: [], givenUp: [] };
    const reply = await allocator.answer({ holder: 'probe', dataCentre: 'a', ...report, ask });
    if (reply.kind !== 'granted') return granted;
    granted.push(reply.slot.headId);
  }
}

/** Lets the account recover, then loads the site after its chains have lost their engines. */
async function overloadAfterLoss(isOn: boolean) {
  const catalog = createPathCatalog(createChainFacts());
  catalog.lose(...LOST);
  const site = createSite(catalog, isOn);
  await completeAccount(site);
  // The engines fill up first.
  await overload(site, catalog, 1500);
  return overload(site, catalog, 3000);
}

describe('three chains that each lost one engine', () => {
  it('serve together up to what the layers can take, where one chain took a shared engine', async () => {
    const before = await overloadAfterLoss(false);
    const after = await overloadAfterLoss(true);
    assert.ok(Math.min(...before.means) < 1, `by head: ${before.means.join()}`);
    assert.ok(Math.min(...after.means) > 30, `by engine: ${after.means.join()}`);
    assert.ok(after.total > before.total * 1.4, `${before.total} -> ${after.total}`);
  });

  it('overfill no engine, which would preempt its newest request', async () => {
    const { peak } = await overloadAfterLoss(true);
    assert.ok(peak > 0.85 && peak <= 0.95, `fullest engine ${peak}`);
  });

  it('publish what all of them can take, and list no engines anew for a grant', async () => {
    const catalog = createPathCatalog(createChainFacts());
    catalog.lose(...LOST);
    const site = createSite(catalog, true);
    await completeAccount(site);
    await overload(site, catalog, 1500);
    const searches = catalog.searches();
    const { total } = await overload(site, catalog, 3000);
    const { capacity } = site.allocator().allocator.capacityOf('engines');
    assert.ok(Math.abs(total / capacity - 0.94) < 0.12, `${total} of ${capacity}`);
    assert.equal(catalog.searches(), searches);
  });
});

describe('a stream that keeps its path when chains are formed anew', () => {
  /** Fills a site to its bound with streams that last, then loses the engines. */
  async function fillThenLose(isOn: boolean) {
    const catalog = createPathCatalog(createChainFacts());
    const site = createSite(catalog, isOn);
    await completeAccount(site);
    for (let index = 0; index < 170; index += 1) {
      site.send(site.vms[index % 4] as Vm, `long${index}`, {}, 60_000);
      await site.pass(5);
    }
    await site.pass(1500);
    // The streams of the lost engines end; the others keep their paths.
    catalog.lose(...LOST);
    site.vms.forEach(({ held, paths }) =>
      held.forEach((_, ticket) => {
        if (!paths.get(ticket)?.some(({ id }) => LOST.includes(id))) return;
        held.delete(ticket);
        paths.delete(ticket);
      }),
    );
    return { catalog, site };
  }

  it('counts on the engines that it runs over', async () => {
    const { catalog, site } = await fillThenLose(true);
    const survivor = site.vms[0] as Vm;
    // A repair moves streams to the paths of another chain; their head stays the same.
    const layout = catalog.layoutOf();
    const path = layout.paths.find(({ headId }) => headId === 'c1-0')?.stages ?? [];
    for (let index = 0; index < 40; index += 1) {
      site.hold(survivor, `moved${index}`, 'c1-0', 60_000, path);
    }
    await site.pass(1100);
    await overload(site, catalog, 2500);
    assert.ok(fullest(site, catalog) <= 0.95, `fullest engine ${fullest(site, catalog)}`);
  });

  it('frees the engines of its former path with the next list', async () => {
    const catalog = createPathCatalog(createChainFacts());
    const site = createSite(catalog, true);
    await completeAccount(site);
    const vm = site.vms[1] as Vm;
    const [second, first] = [...catalog.layoutOf().paths].sort((a, b) => a.capacity - b.capacity);
    assert.ok(first && second);
    const held = Math.floor(second.capacity * 0.9);
    holdOn(site, vm, held, first.stages);
    await site.pass(1100);
    const moved = joinPaths(first.stages, second.stages);
    vm.held.forEach((_, ticket) => vm.paths.set(ticket, moved));
    await site.pass(1100);
    const granted = await grantAll(site);
    const onSecond = granted.filter((id) => id === second.headId).length;
    const onFirst = granted.filter((id) => id === first.headId).length;
    assert.ok(onSecond <= second.capacity * 0.05, `${onSecond} granted beside ${held} streams`);
    // The moved streams still run over the first engine.
    assert.ok(onFirst >= first.capacity * 0.94 - held - 1 && onFirst > 0, `${onFirst} granted`);
  });
});

describe('mixed versions and lost messages', () => {
  /** The VM that allocates the slots of every site here. */
  async function findAllocatorHost(): Promise<string> {
    const site = createSite(createPathCatalog(createChainFacts()), true);
    await site.pass(10);
    return site.allocator().host;
  }

  /** Runs an overload over shared engines; returns the peak of the fullest engine at its end. */
  async function runWith(options: DataCentreOptions, act?: (site: DataCentre) => void) {
    const catalog = createPathCatalog(createChainFacts());
    catalog.lose(...LOST);
    const site = createSite(catalog, true, options);
    await completeAccount(site);
    await overload(site, catalog, 2000);
    act?.(site);
    await overload(site, catalog, 1500);
    return { ...(await overload(site, catalog, 2000)), catalog, site };
  }

  it('an allocator that takes over knows the paths after a round of lists', async () => {
    const { peak, total } = await runWith({}, (site) => {
      const lost = site.allocator();
      lost.isUp = false;
      lost.held.clear();
      lost.paths.clear();
    });
    assert.ok(peak <= 0.97, `fullest engine ${peak}`);
    assert.ok(total > 120, `${total} in flight`);
  });

  it('an allocator that takes over counts reported load before any list', async () => {
    const catalog = createPathCatalog(createChainFacts());
    catalog.lose(...LOST);
    const lostHost = await findAllocatorHost();
    const quietHost = lostHost === 'vm0' ? 'vm1' : 'vm0';
    let isQuiet = false;
    const site = createSite(catalog, true, {
      isCallLost: (from) => isQuiet && from === quietHost,
    });
    await completeAccount(site);
    const { paths, capacity } = catalog.layoutOf();
    const present = paths.find(({ headId }) => headId === 'c2-0');
    assert.ok(present);
    const held = Math.floor(present.capacity * 0.9);
    holdOn(site, site.vms.find(({ host }) => host === quietHost) as Vm, held, present.stages);
    await site.pass(1100);
    isQuiet = true;
    const lost = site.vms.find(({ host }) => host === lostHost) as Vm;
    lost.isUp = false;
    await site.pass(1100);
    const granted = await grantAll(site);
    const total = granted.length + held;
    assert.ok(total <= capacity * 0.94, `${granted.length} granted beside ${held} held`);
    assert.ok(granted.length > capacity * 0.4, `${granted.length} granted`);
  });

  it('a list that is lost is made up for by the next', async () => {
    const catalog = createPathCatalog(createChainFacts());
    let isLosing = false;
    let lost = 0;
    const allocatorHost = await findAllocatorHost();
    const site = createSite(catalog, true, {
      isCallLost: (from, { paths }) => {
        if (!isLosing || from === allocatorHost || !paths) return false;
        lost += 1;
        return true;
      },
    });
    await completeAccount(site);
    const vm = site.vms.find(({ host }) => host !== allocatorHost) as Vm;
    const [second, first] = [...catalog.layoutOf().paths].sort((a, b) => a.capacity - b.capacity);
    assert.ok(first && second);
    holdOn(site, vm, Math.floor(second.capacity * 0.9), first.stages);
    await site.pass(1100);
    vm.held.forEach((_, ticket) => vm.paths.set(ticket, joinPaths(first.stages, second.stages)));
    isLosing = true;
    await site.pass(1100);
    isLosing = false;
    assert.ok(lost > 0, `${lost} lists lost`);
    await site.pass(2200);
    const granted = await grantAll(site);
    const onSecond = granted.filter((id) => id === second.headId).length;
    assert.ok(onSecond <= second.capacity * 0.05, `${onSecond} granted on the second chain`);
  });

  it('a VM of an older version, which lists no paths, keeps those that it was granted', async () => {
    const allocatorHost = await findAllocatorHost();
    const olderHost = allocatorHost === 'vm0' ? 'vm1' : 'vm0';
    const { total, peak } = await runWith({ isOlder: (host) => host === olderHost });
    assert.ok(total > 120, `${total} in flight`);
    assert.ok(peak <= 0.95, `fullest engine ${peak}`);
  });

  it('an allocator of an older version grants by the load of each head', async () => {
    const allocatorHost = await findAllocatorHost();
    const { total, peak } = await runWith({ isOlder: (host) => host === allocatorHost });
    assert.ok(total > 80 && total < 115, `${total} in flight`);
    assert.ok(peak <= 1, `fullest engine ${peak}`);
  });
});

describe('disjoint chains without a slow engine', () => {
  interface Timed {
    readonly atMs: number;
    readonly call: SlotCall;
  }

  /** Records the calls of a load of varying rate, sizes and durations, with begun streams. */
  async function recordCalls(): Promise<readonly Timed[]> {
    const catalog = createPathCatalog(createChainFacts());
    const recorded: Timed[] = [];
    const random = createSeededRandom(5);
    const site = createSite(catalog, true, {
      isCallLost: (_, call) => {
        recorded.push({ atMs: site.clock.nowMs(), call });
        return false;
      },
    });
    for (let index = 0; index < 900; index += 1) {
      const size = 0.3 + 2 * random.nextFloat();
      const hasBegun = random.nextInt(10) === 0;
      const vm = site.vms[random.nextInt(4)] as Vm;
      const targets = { targetGapMs: 250, targetFirstEventMs: 500 };
      const overrides = { size, hasBegun, targets, priority: random.nextInt(3) };
      site.send(vm, `r${index}`, overrides, 500 + random.nextInt(3000));
      await site.pass(random.nextInt(index % 300 < 150 ? 8 : 25));
    }
    return recorded;
  }

  /** Plays calls to a new allocator; returns its answers in the order of the calls. */
  async function replay(calls: readonly Timed[], isOn: boolean): Promise<readonly string[]> {
    const catalog = createPathCatalog(createChainFacts());
    const site = createDataCentre(1, HEADS, {
      model: LARGE_MODEL,
      listOf: catalog.listOf,
      ...(isOn ? { layoutOf: catalog.layoutOf } : {}),
    });
    const { allocator } = site.allocator() ?? {};
    assert.ok(allocator);
    const answers: Promise<string>[] = [];
    for (const { atMs, call } of calls) {
      await site.pass(Math.max(0, atMs - site.clock.nowMs()));
      answers.push(allocator.answer(call).then((reply) => JSON.stringify(reply)));
    }
    await site.pass(2000);
    return Promise.all(answers);
  }

  it('get the same slots in the same order as by the load of each head', async () => {
    const calls = await recordCalls();
    const before = await replay(calls, false);
    const after = await replay(calls, true);
    const granted = before.filter((answer) => answer.includes('granted')).length;
    const waited = before.filter((answer) => answer.includes('waiting')).length;
    assert.ok(granted > 300 && waited > 50, `${granted} granted, ${waited} waiting`);
    assert.deepEqual(after, before);
  });
});
