import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberFact } from '@spoolplank/membership';
import type { HeldPlace } from '@spoolplank/routing';
import type { RatedChain } from '../src/chainCatalog';
import { createAllocatorRank } from '../src/places/allocatorRank';
import { createPlaceAllocator } from '../src/places/placeAllocator';
import type { PlaceAllocator } from '../src/places/placeAllocator';
import { createPlaceClient } from '../src/places/placeClient';
import type { PlaceClient, PlaceOutcome, PlaceRequest } from '../src/places/placeClient';
import type { PlaceReply } from '../src/places/placeMessages';
import { MODEL } from './fixtures';
import { createVirtualTime } from './virtualTime';

/** One way between two VMs of a data centre, in milliseconds. */
const WAY_MS = 0.5;
const TOLD_EVERY_MS = 1000;
const TICK_MS = 40;
const CAPACITY = 100;
/** Share that new streams may take. */
const ADMITTED = 94;

interface Vm {
  readonly host: string;
  readonly client: PlaceClient;
  readonly allocator: PlaceAllocator;
  readonly held: Map<string, HeldPlace>;
  /** Engines that turned a request of this VM away. */
  readonly avoided: Set<string>;
  /** Engines that asked this VM for rest. */
  readonly resting: Set<string>;
  isUp: boolean;
  /** Its answers are lost, though it hears everything. */
  isMute: boolean;
}

const chainOf = (headId: string): RatedChain => ({
  headId,
  stages: [{ id: headId, address: `${headId}:1`, firstLayer: 0, endLayer: 8 }],
  capacity: CAPACITY,
});

/** Entries of one data centre before chains that each hold a hundred requests. */
function createDataCentre(count: number, heads: readonly string[]) {
  const time = createVirtualTime();
  const { clock, schedule, delay } = time;
  const vms: Vm[] = [];
  let chains = heads.map(chainOf);
  let told = new Map<string, number>();

  function inFlight(headId: string): number {
    return vms
      .filter(({ isUp }) => isUp)
      .flatMap(({ held }) => [...held.values()])
      .filter((place) => place.headId === headId)
      .reduce((sum, { size }) => sum + size, 0);
  }

  const toMember = ({ host, isUp }: Vm): MemberFact => ({
    kind: 'member',
    vmId: host,
    dataCentre: 'a',
    host,
    role: 'entry',
    peerPort: 1,
    state: isUp ? 'ready' : 'leaving',
  });
  /** Members as heard of: one that ended is heard of no longer after a while. */
  let heard: readonly MemberFact[] = [];

  async function call(
    target: MemberFact,
    answer: (vm: Vm) => Promise<PlaceReply>,
    timeoutMs: number,
  ): Promise<PlaceReply> {
    const vm = vms.find(({ host }) => host === target.host);
    await delay(WAY_MS);
    if (!vm?.isUp) throw new Error('connection refused');
    const reply = await Promise.race([answer(vm), delay(timeoutMs - WAY_MS)]);
    if (!reply || vm.isMute) {
      await delay(timeoutMs - 2 * WAY_MS);
      throw new Error('no answer');
    }
    await delay(WAY_MS);
    return reply;
  }

  function createVm(host: string): Vm {
    const held = new Map<string, HeldPlace>();
    const avoided = new Set<string>();
    const resting = new Set<string>();
    const rank = createAllocatorRank({ clock, listEntries: () => heard });
    const allocator = createPlaceAllocator({
      clock,
      delay,
      host,
      dataCentre: 'a',
      chains: { listOf: () => chains },
      modelOf: () => MODEL,
      toldInFlight: (headId) => told.get(headId) ?? 0,
      firstEventMs: () => 0,
      isFirst: () => rank.find('a')?.host === host,
    });
    const client = createPlaceClient({
      clock,
      holder: host,
      dataCentre: 'a',
      rank,
      call: (target, params, timeoutMs) =>
        call(target, (vm) => vm.allocator.answer(params), timeoutMs),
      listHeld: () => [...held.values()],
      listAvoided: () => [...avoided],
      listClosed: () => [...resting],
      schedule,
      onFailure: () => {},
    });
    return { host, client, allocator, held, avoided, resting, isUp: true, isMute: false };
  }

  for (let index = 0; index < count; index += 1) vms.push(createVm(`vm${index}`));

  function tell(): void {
    told = new Map(heads.map((headId) => [headId, inFlight(headId)]));
    heard = vms.filter(({ isUp }) => isUp).map(toMember);
    schedule(tell, TOLD_EVERY_MS);
  }
  function tick(): void {
    vms.filter(({ isUp }) => isUp).forEach(({ client }) => client.tick());
    schedule(tick, TICK_MS);
  }
  tell();
  tick();

  /** One request: looks for a place and, when it gets one, keeps it for some time. */
  function send(vm: Vm, ticket: string, overrides: Partial<PlaceRequest> = {}, lastsMs = 2000) {
    const outcomes: PlaceOutcome[] = [];
    const arrivedAtMs = clock.nowMs();
    const leavesAtMs = arrivedAtMs + 1200;
    const request: PlaceRequest = {
      ticket,
      service: 'engines',
      size: 1,
      priority: 1,
      hasBegun: false,
      hasReturned: false,
      arrivedAtMs,
      inTimeUntilMs: arrivedAtMs + 400,
      leavesAtMs,
      excludedHeads: new Set(),
      rankDataCentres: () => (chains.length > 0 ? [{ dataCentre: 'a', hasRoom: true }] : []),
      isGone: () => !vm.isUp || clock.nowMs() >= leavesAtMs,
      ...overrides,
    };
    void vm.client.find(request).then((outcome) => {
      outcomes.push(outcome);
      if (outcome.kind !== 'placed' || !vm.isUp) return;
      vm.held.set(ticket, { ticket, headId: outcome.chain.headId, size: 1 });
      schedule(() => {
        vm.held.delete(ticket);
        vm.client.noteReturn('a', ticket);
      }, lastsMs);
    });
    return outcomes;
  }

  return {
    ...time,
    vms,
    inFlight,
    send,
    setChains(next: readonly string[]) {
      chains = next.map(chainOf);
    },
    allocator() {
      const rank = createAllocatorRank({ clock, listEntries: () => heard });
      return vms.find(({ host }) => host === rank.find('a')?.host) as Vm;
    },
  };
}

type DataCentre = ReturnType<typeof createDataCentre>;

/** Lets the account learn what every VM holds: until then it counts what it gave out as held. */
async function completeAccount(site: DataCentre): Promise<void> {
  await site.pass(1500);
  site.send(site.vms[0] as Vm, 'first', {}, 10);
  await site.pass(1400);
}

/** Sends so many requests a second from each VM in turn, and tells the most in flight by chain. */
async function play(
  site: DataCentre,
  requestsPerS: number,
  durationMs: number,
  lastsMs = 2000,
  settleMs = 1300,
) {
  const results: PlaceOutcome[][] = [];
  const most = new Map<string, number>();
  const gapMs = 1000 / requestsPerS;
  for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
    const up = site.vms.filter(({ isUp }) => isUp);
    const vm = up[results.length % up.length];
    // From half of the time to one and a half times, so that places do not come free in a crowd.
    const share = 0.5 + ((results.length * 37) % 100) / 100;
    const ticket = `r${site.clock.nowMs()}`;
    if (vm) results.push(site.send(vm, ticket, {}, lastsMs * share));
    await site.pass(gapMs);
    ['c1', 'c2'].forEach((headId) =>
      most.set(headId, Math.max(most.get(headId) ?? 0, site.inFlight(headId))),
    );
  }
  // Whoever still waits has an outcome by then.
  await site.pass(settleMs);
  const count = (kind: PlaceOutcome['kind']) =>
    results.flat().filter((outcome) => outcome.kind === kind).length;
  return { most, sent: results.length, count };
}

describe('places from one account', () => {
  it('keeps sixty VMs from overfilling a chain that comes back while all of them wait', async () => {
    const site = createDataCentre(60, ['c1', 'c2']);
    site.setChains([]);
    await site.pass(1500);
    const results = site.vms.flatMap((vm) =>
      [0, 1, 2, 3].map((index) =>
        site.send(vm, `w${index}`, {
          rankDataCentres: () => [{ dataCentre: 'a', hasRoom: true }],
        }),
      ),
    );
    await site.pass(300);
    site.setChains(['c1']);
    await site.pass(850);
    const placed = results.flat().filter(({ kind }) => kind === 'placed').length;
    assert.equal(site.inFlight('c1'), ADMITTED);
    assert.equal(placed, ADMITTED);
    await site.pass(500);
    assert.equal(results.flat().length, 240);
  });

  it('fills two chains alike, and gives a place again within a tenth of a second', async () => {
    const site = createDataCentre(60, ['c1', 'c2']);
    await site.pass(1500);
    // 188 places of two seconds each serve 94 a second.
    const { most, count, sent } = await play(site, 90, 8000);
    assert.ok(count('placed') > sent * 0.97, `${count('placed')} of ${sent}`);
    assert.ok((most.get('c1') ?? 0) <= ADMITTED && (most.get('c2') ?? 0) <= ADMITTED);
    assert.ok(Math.abs((most.get('c1') ?? 0) - (most.get('c2') ?? 0)) < 10);
  });

  it('refuses at once what would wait in vain', async () => {
    const site = createDataCentre(60, ['c1']);
    await site.pass(1500);
    await play(site, 150, 4000, 2000, 0);
    const late = site.vms[0] as Vm;
    const nowMs = site.clock.nowMs();
    const outcomes = site.send(late, 'one-more', {
      arrivedAtMs: nowMs - 700,
      inTimeUntilMs: nowMs - 300,
      leavesAtMs: nowMs + 500,
    });
    await site.pass(10);
    const refused = outcomes.map((outcome) => (outcome.kind === 'refused' ? outcome.reason : ''));
    assert.deepEqual(refused, ['hopeless']);
  });

  it('loses no request when the VM that keeps the account ends with sixty places out', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    await play(site, 60, 1000, 6000);
    assert.ok(site.inFlight('c1') >= 55);
    site.allocator().isUp = false;
    const { count, sent, most } = await play(site, 60, 3000, 6000);
    assert.equal(count('unavailable'), 0);
    assert.equal(count('placed') + count('refused'), sent);
    assert.ok((most.get('c1') ?? 0) <= CAPACITY, String(most.get('c1')));
  });

  it('goes by what is told while a new account lacks what others hold', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    await play(site, 120, 750, 20_000, 1100);
    const before = site.inFlight('c1');
    assert.ok(before >= 80);
    const keeper = site.allocator();
    const ended = keeper.held.size;
    keeper.isUp = false;
    const one = site.vms.find((vm) => vm !== keeper) as Vm;
    for (let index = 0; index < 60; index += 1) site.send(one, `burst${index}`, {}, 20_000);
    await site.pass(300);
    assert.ok(site.inFlight('c1') <= ADMITTED + ended, String(site.inFlight('c1')));
  });

  it('goes on when the answers of the first VM are lost, and overfills nothing', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    await play(site, 40, 1000, 3000);
    site.allocator().isMute = true;
    // Each VM is on its own for three short pauses, then asks the next one.
    const first = await play(site, 40, 3000, 3000);
    assert.equal(first.count('unavailable') + first.count('placed'), first.sent);
    const { count, sent, most } = await play(site, 40, 6000, 3000);
    assert.ok(count('placed') > sent * 0.6, `${count('placed')} of ${sent}`);
    assert.ok((most.get('c1') ?? 0) <= CAPACITY * 1.1, String(most.get('c1')));
  });

  it('does not turn from a VM that is slow for a moment to the next one', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    const keeper = site.allocator();
    keeper.isMute = true;
    await play(site, 60, 200, 500, 0);
    keeper.isMute = false;
    await play(site, 60, 2000, 500);
    const others = site.vms.filter((vm) => vm !== keeper && vm.allocator.holders > 0);
    assert.deepEqual(
      others.map(({ host }) => host),
      [],
    );
  });

  it('gives a VM no chain that rests for it, and gives that chain to others', async () => {
    const site = createDataCentre(3, ['c1', 'c2']);
    await site.pass(1500);
    const [told, other] = site.vms as [Vm, Vm];
    told.resting.add('c1');
    const headsOf = (outcomes: readonly PlaceOutcome[]) =>
      outcomes.map((outcome) => (outcome.kind === 'placed' ? outcome.chain.headId : outcome.kind));
    const toTold = Array.from({ length: 20 }, (_, index) => site.send(told, `t${index}`));
    await site.pass(50);
    const toOther = Array.from({ length: 20 }, (_, index) => site.send(other, `o${index}`));
    await site.pass(50);
    assert.deepEqual([...new Set(headsOf(toTold.flat()))], ['c2']);
    assert.equal(site.inFlight('c1'), 20, 'the emptier one goes to who may use it');
    assert.deepEqual([...new Set(headsOf(toOther.flat()))], ['c1']);
    assert.equal(site.inFlight('c2'), 20);
  });

  it('refuses at once a VM for which every chain rests', async () => {
    const site = createDataCentre(3, ['c1']);
    await site.pass(1500);
    const [told, other] = site.vms as [Vm, Vm];
    told.resting.add('c1');
    const refused = site.send(told, 'in-vain');
    const placed = site.send(other, 'well');
    await site.pass(10);
    const reasons = refused.map((outcome) => (outcome.kind === 'refused' ? outcome.reason : ''));
    assert.deepEqual(reasons, ['turned-away']);
    assert.equal(placed[0]?.kind, 'placed');
  });

  it('refuses at once a request that every chain turned away, and waits with a begun one', async () => {
    const site = createDataCentre(3, ['c1']);
    await site.pass(1500);
    const vm = site.vms[0] as Vm;
    const excludedHeads = new Set(['c1']);
    const fresh = site.send(vm, 'fresh', { excludedHeads });
    const begun = site.send(vm, 'begun', { excludedHeads, hasBegun: true });
    await site.pass(10);
    assert.equal(fresh[0]?.kind, 'refused');
    assert.equal(begun.length, 0);
    site.setChains(['c1', 'c2']);
    await site.pass(700);
    assert.equal(begun[0]?.kind, 'placed');
  });

  it('keeps no place idle for those at the head of the line for whom its chain rests', async () => {
    const site = createDataCentre(4, ['c1', 'c2']);
    await completeAccount(site);
    const [told, other, filler] = site.vms as [Vm, Vm, Vm];
    for (let index = 0; index < 2 * ADMITTED; index += 1) {
      site.send(filler, `f${index}`, {}, index % 2 === 0 ? 600 : 60_000);
    }
    await site.pass(100);
    assert.equal(site.inFlight('c1') + site.inFlight('c2'), 2 * ADMITTED);
    // The chain on which places come free rests for a VM whose requests are the more urgent ones.
    const freeing =
      [...filler.held.entries()].find(([ticket]) => ticket === 'f0')?.[1].headId ?? '';
    told.resting.add(freeing);
    const ahead = Array.from({ length: 6 }, (_, index) =>
      site.send(told, `ahead${index}`, { priority: 0 }),
    );
    const behind = Array.from({ length: 6 }, (_, index) => site.send(other, `behind${index}`));
    await site.pass(900);
    const placed = behind.flat().filter(({ kind }) => kind === 'placed').length;
    assert.equal(placed, 6);
    assert.equal(ahead.flat().filter(({ kind }) => kind === 'placed').length, 0);
  });

  it('gives a place again at once when its stream ended before anybody listed it', async () => {
    const site = createDataCentre(2, ['c1']);
    await completeAccount(site);
    const vm = site.vms[0] as Vm;
    for (let index = 0; index < ADMITTED; index += 1) site.send(vm, `turned-away${index}`, {}, 3);
    await site.pass(100);
    const after = Array.from({ length: ADMITTED }, (_, index) => site.send(vm, `next${index}`));
    await site.pass(50);
    const placed = after.flat().filter(({ kind }) => kind === 'placed').length;
    assert.equal(placed, ADMITTED);
  });

  it('frees the places of a VM that ended, once their lease has run out', async () => {
    const site = createDataCentre(3, ['c1']);
    await site.pass(1500);
    const keeper = site.allocator();
    const holder = site.vms.find((vm) => vm !== keeper) as Vm;
    const other = site.vms.find((vm) => vm !== keeper && vm !== holder) as Vm;
    for (let index = 0; index < ADMITTED; index += 1) site.send(holder, `h${index}`, {}, 60_000);
    await site.pass(1500);
    assert.equal(site.inFlight('c1'), ADMITTED);
    const before = site.send(other, 'early');
    await site.pass(1400);
    assert.notEqual(before[0]?.kind, 'placed');
    holder.isUp = false;
    await site.pass(4000);
    const after = site.send(other, 'late');
    await site.pass(50);
    assert.equal(after[0]?.kind, 'placed');
  });

  it('sends nobody else over an engine that turned a request of one VM away', async () => {
    const site = createDataCentre(4, ['c1', 'c2']);
    await site.pass(1500);
    const [a, b] = site.vms as [Vm, Vm];
    a.avoided.add('c1');
    site.send(a, 'rejected');
    await site.pass(5);
    a.avoided.clear();
    for (let index = 0; index < 10; index += 1) site.send(b, `b${index}`);
    await site.pass(10);
    assert.equal(site.inFlight('c1'), 0);
    await site.pass(400);
    for (let index = 10; index < 20; index += 1) site.send(b, `b${index}`);
    await site.pass(10);
    assert.ok(site.inFlight('c1') > 0);
  });

  it('puts the rest of a begun stream before new ones', async () => {
    const site = createDataCentre(4, ['c1']);
    await site.pass(1500);
    const [a, b] = site.vms as [Vm, Vm];
    for (let index = 0; index < CAPACITY; index += 1) site.send(a, `f${index}`, {}, 1500);
    await site.pass(1000);
    const fresh = Array.from({ length: 5 }, (_, index) => site.send(b, `n${index}`));
    const begun = site.send(b, 'begun', { hasBegun: true });
    await site.pass(100);
    assert.equal(begun[0]?.kind, 'placed');
    assert.equal(fresh.flat().length, 0);
  });

  it('leaves an entry on its own where nobody gives out places', async () => {
    const site = createDataCentre(1, ['c1']);
    await site.pass(1500);
    const [vm] = site.vms as [Vm];
    vm.isMute = true;
    const outcomes = site.send(vm, 'alone');
    await site.pass(400);
    assert.equal(outcomes[0]?.kind, 'unavailable');
  });
});
