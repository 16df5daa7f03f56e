import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { SharingSettings } from '@spoolplank/routing';
import { inTimeShareOf, playLoad, shareOf, SHARED, UNSHARED } from './sharingFixtures';
import type { Callers } from './sharingFixtures';
import { ADMITTED, createDataCentre } from './slotFixtures';

const HEADS = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6', 'c7', 'c8', 'c9'];
const VMS = 6;

/** Refusals by forecast shorten the queue as well, and would hide what the shares do. */
const WITHOUT_FORECAST = { ...DEFAULT_DECISIONS, forecast: { isEnabled: false } };

describe('classes during a burst of the patient one, then of the urgent one, on 5 of 9 chains', () => {
  const BURST_AT_MS = 4000;
  const URGENT_BURST_AT_MS = 10_000;
  const END_MS = 14_000;

  function periodOf(atMs: number): string {
    if (atMs < BURST_AT_MS) return ' before';
    return atMs < URGENT_BURST_AT_MS ? ' in the first burst' : ' in the second burst';
  }

  async function play(sharing: SharingSettings) {
    const site = createDataCentre(VMS, HEADS, { decisions: { ...DEFAULT_DECISIONS, sharing } });
    await site.pass(1500);
    site.schedule(() => site.setChains(HEADS.slice(0, 5)), BURST_AT_MS);
    const isFirst = (atMs: number) => atMs >= BURST_AT_MS && atMs < URGENT_BURST_AT_MS;
    const callers = [
      {
        name: 'urgent',
        classPriority: 0,
        perS: (atMs: number) => 48.4 * (atMs >= URGENT_BURST_AT_MS ? 1.7 : 1),
      },
      { name: 'usual', targetMs: 600, perS: () => 76.5 },
      {
        name: 'patient',
        classPriority: 2,
        targetMs: 1200,
        perS: (atMs: number) => 29.7 * (isFirst(atMs) ? 2.3 : 1),
      },
    ];
    return playLoad(site, callers, END_MS, periodOf);
  }

  // Guards against classes that have no precedence, and against a class that gets no slot at all.
  it('serve the urgent class in time, and give a tenth of the slots to the patient one', async () => {
    const { endsOf } = await play(SHARED);
    const without = await play(UNSHARED);
    const strict = await play({ ...SHARED, minClassShare: 0 });
    [' in the first burst', ' in the second burst'].forEach((period) => {
      const urgent = endsOf(`urgent${period}`);
      const patient = endsOf(`patient${period}`);
      const granted = urgent.granted + patient.granted + endsOf(`usual${period}`).granted;
      const before = inTimeShareOf(without.endsOf(`urgent${period}`));
      assert.ok(inTimeShareOf(urgent) > 0.95, `${inTimeShareOf(urgent)} in time${period}`);
      assert.ok(before < 0.85, `${before} in time${period} without classes`);
      assert.ok(patient.granted >= 0.095 * granted, `${patient.granted} of ${granted}${period}`);
    });
    assert.ok(shareOf(endsOf('patient before')) > 0.99);
    const starved = shareOf(strict.endsOf('patient in the second burst'));
    assert.ok(starved < 0.5 * shareOf(endsOf('patient in the second burst')), `${starved}`);
  });
});

describe('organisations of one class on two full chains', () => {
  /** Slots for 47 requests a second. */
  const FULL = ['c1', 'c2'];
  const END_MS = 10_000;
  /** The first seconds, in which the chains fill up, are not judged. */
  const JUDGED_FROM_MS = 4000;
  const SMALL = Array.from({ length: 23 }, (_, index) => `small${index}`);

  /** The 23 other organisations, and one under test. */
  function callersOf(smallPerS: number, large: Omit<Callers, 'name'>): readonly Callers[] {
    return [
      ...SMALL.map((name) => ({ name, organisation: name, perS: () => smallPerS, retries: 1 })),
      { name: 'large', organisation: 'large', ...large },
    ];
  }

  async function play(sharing: SharingSettings, callers: readonly Callers[], seed = 1) {
    const site = createDataCentre(VMS, FULL, { decisions: { ...WITHOUT_FORECAST, sharing } });
    await site.pass(1500);
    const periodOf = (atMs: number) => (atMs < JUDGED_FROM_MS ? ' filling' : '');
    const { endsOf } = await playLoad(site, callers, END_MS, periodOf, seed);
    const small = SMALL.map(endsOf);
    const sum = (key: 'sent' | 'granted' | 'inTime') =>
      small.reduce((total, end) => total + end[key], 0);
    return {
      large: endsOf('large'),
      /** All other organisations together. */
      small: { sent: sum('sent'), granted: sum('granted'), inTime: sum('inTime') },
      /** Share served of the worst of them. */
      worst: Math.min(...small.map(shareOf)),
    };
  }

  // Guards against a flood that takes the slots of all other organisations.
  it('serves the others in time while one sends ten times its usual requests', async () => {
    const callers = callersOf(1.7, { perS: () => 17 });
    const shared = await play(SHARED, callers);
    const unshared = await play(UNSHARED, callers);
    assert.ok(inTimeShareOf(shared.small) > 0.97, `${inTimeShareOf(shared.small)} in time`);
    assert.ok(inTimeShareOf(unshared.small) < 0.7, `${inTimeShareOf(unshared.small)} without`);
    // What the others leave goes to the flood: no slot stays unused.
    const granted = shared.small.granted + shared.large.granted;
    const grantedBefore = unshared.small.granted + unshared.large.granted;
    assert.ok(granted > 0.9 * grantedBefore, `${granted} of ${grantedBefore}`);
  });

  // Guards against organisations that get more slots because their callers ask more often.
  const REPEATED: readonly (readonly [string, Partial<Callers>])[] = [
    ['retry three times at once', { retries: 3 }],
    ['hang up and come back', { hangsUpAfterMs: 300 }],
  ];
  REPEATED.forEach(([what, behaviour]) =>
    it(`gives no advantage to callers that ${what}`, async () => {
      const callers = callersOf(2.6, { perS: () => 2.6, ...behaviour });
      /** Slots of the organisation relative to the mean of the others. */
      const advantageOf = async (sharing: SharingSettings) => {
        const sums = { large: 0, small: 0 };
        for (const seed of [1, 2, 3]) {
          const { large, small } = await play(sharing, callers, seed);
          sums.large += large.granted;
          sums.small += small.granted / SMALL.length;
        }
        return sums.large / sums.small;
      };
      const shared = await advantageOf(SHARED);
      const unshared = await advantageOf(UNSHARED);
      assert.ok(shared < 1.15, `${shared} of the mean`);
      assert.ok(unshared > 1.4, `${unshared} of the mean without shares`);
    }),
  );

  // Guards against one key that displaces all others, and against a large one that is starved.
  it('shares by weight beside one key with 0.28 of the requests', async () => {
    const callers = (weight: number) => callersOf(1.9, { perS: () => 17, weight });
    const equal = await play(SHARED, callers(1));
    const weighted = await play(SHARED, callers(9));
    const unshared = await play(UNSHARED, callers(1));
    assert.ok(inTimeShareOf(equal.small) > 0.9, `${inTimeShareOf(equal.small)} in time`);
    assert.ok(inTimeShareOf(unshared.small) < 0.6, `${inTimeShareOf(unshared.small)} without`);
    const { small, large, worst } = weighted;
    const mean = (small.granted + large.granted) / (small.sent + large.sent);
    assert.ok(shareOf(large) > 0.5 * mean && worst > 0.5 * mean, `${shareOf(large)}, ${worst}`);
  });

  /** Plays a load whose requests come from some organisations in turn; returns all decisions. */
  async function replay(sharing: SharingSettings, organisations: number, gapMs: number) {
    const site = createDataCentre(VMS, FULL, { decisions: { ...WITHOUT_FORECAST, sharing } });
    await site.pass(1500);
    const decisions: string[] = [];
    const waited: string[] = [];
    for (let index = 0; index < 720; index += 1) {
      const claim = { classPriority: 1, cost: 1, organisation: `o${index % organisations}` };
      const sentAtMs = site.clock.nowMs();
      const lastsMs = 2000 + ((index * 1237) % 4000);
      const vm = site.vms[index % VMS];
      assert.ok(vm);
      site.send(vm, `t${index}`, { claim }, lastsMs, ({ kind }) => {
        const nowMs = site.clock.nowMs();
        decisions.push(`${nowMs.toFixed(1)} ${kind} t${index}`);
        if (nowMs - sentAtMs > 50) waited.push(`t${index}`);
      });
      // Every two seconds, twice as many requests arrive for 0.4 s.
      const isBurst = (site.clock.nowMs() - 101_500) % 2000 < 400;
      await site.pass(isBurst ? gapMs / 2 : gapMs);
    }
    await site.pass(1300);
    const refused = decisions.filter((decision) => decision.includes('refused')).length;
    return { decisions, waited, refused };
  }

  it('decides as without shares for one class and one organisation, also in overload', async () => {
    const shared = await replay(SHARED, 1, 16);
    assert.ok(shared.refused > 50, `${shared.refused} refused`);
    assert.deepEqual(shared, await replay(UNSHARED, 1, 16));
  });

  it('decides as without shares for one class and equal organisations with short waits', async () => {
    const shared = await replay(SHARED, 8, 26);
    assert.ok(shared.waited.length >= 50, `${shared.waited.length} waited`);
    assert.deepEqual(shared, await replay(UNSHARED, 8, 26));
  });
});

describe('a successor of an allocator that is lost while requests wait', () => {
  // Guards against an organisation that holds all slots and gets half of the next ones as well.
  it('serves the organisation first that holds less', async () => {
    const site = createDataCentre(VMS, ['c1'], {
      decisions: { ...WITHOUT_FORECAST, sharing: SHARED },
    });
    await site.pass(1500);
    const claimOf = (organisation: string) => ({ classPriority: 1, cost: 1, organisation });
    const send = (name: string, organisation: string, lastsMs: number, waitMs: number) => {
      const queueDeadlineAtMs = site.clock.nowMs() + waitMs;
      const vm = site.vms.filter(({ isUp }) => isUp)[Number(name.slice(1)) % (VMS - 1)];
      assert.ok(vm);
      const isAbandoned = () => !vm.isUp || site.clock.nowMs() >= queueDeadlineAtMs;
      const times = { queueDeadlineAtMs, latestStartAtMs: queueDeadlineAtMs, isAbandoned };
      return site.send(vm, name, { ...times, claim: claimOf(organisation) }, lastsMs);
    };
    const lost = site.allocator();
    site.vms.sort((a, b) => Number(a === lost) - Number(b === lost));
    for (let index = 0; index < ADMITTED; index += 1) {
      send(`h${index}`, 'holder', 4000 + index * 25, 1000);
    }
    await site.pass(1000);
    const waiting = Array.from({ length: 20 }, (_, index) => [
      send(`a${index}`, 'holder', 20_000, 5000),
      send(`b${index}`, 'other', 20_000, 5000),
    ]);
    await site.pass(700);
    lost.isUp = false;
    await site.pass(2900);
    const granted = (of: 0 | 1) =>
      waiting.filter((pair) => pair[of]?.[0]?.kind === 'granted').length;
    assert.ok(granted(0) + granted(1) > 10, `${granted(0)} and ${granted(1)} granted`);
    assert.ok(granted(1) > 3 * granted(0), `${granted(0)} and ${granted(1)} granted`);
  });
});

describe('the report of an allocator', () => {
  it('states the grants of each class, and the organisations with most cost', async () => {
    const site = createDataCentre(VMS, ['c1'], {
      decisions: { ...WITHOUT_FORECAST, sharing: SHARED },
    });
    await site.pass(1500);
    const [vm] = site.vms;
    assert.ok(vm);
    for (let index = 0; index < 12; index += 1) {
      const classPriority = index % 4 === 0 ? 0 : 2;
      const claim = { classPriority, cost: 1 + index, organisation: `o${index}` };
      site.send(vm, `t${index}`, { claim });
    }
    // An older VM states neither class nor organisation.
    site.send(vm, 'older');
    await site.pass(50);
    const { allocator, metrics } = site.allocator();
    const grants = ['0', '1', '2'].map((name) =>
      metrics.valueOf('spoolplank_slot_grants_total', { class: name }),
    );
    assert.deepEqual(grants, [3, 1, 9]);
    assert.match(metrics.render(), /spoolplank_slot_wait_ms_count\{class="2"\} 9/);
    const { engines } = allocator.describeShares() as {
      engines: { classes: Record<string, number>; organisations: Record<string, number> };
    };
    assert.deepEqual(engines.classes, { 0: 0.19, 1: 0.013, 2: 0.797 });
    assert.equal(Object.keys(engines.organisations).length, 10);
    assert.equal(engines.organisations.o11, 12);
  });
});

describe('24 organisations, three of which send half of all requests, on two full chains', () => {
  const FULL = ['c1', 'c2'];
  const SMALL = Array.from({ length: 21 }, (_, index) => `small${index}`);
  const LARGE = ['large0', 'large1', 'large2'];
  const ORGANISATIONS = [...SMALL, ...LARGE];
  /** The chains serve 47 a second. */
  const USUAL_PER_S = 40;
  const OVERLOAD = 94 / USUAL_PER_S;
  const HISTORY_MS = 60_000;
  const OVERLOAD_MS = 6000;
  const END_MS = HISTORY_MS + OVERLOAD_MS;

  const isOverload = (atMs: number): boolean => atMs >= HISTORY_MS;
  const usualOf = (name: string): number =>
    name.startsWith('large') ? USUAL_PER_S / 6 : USUAL_PER_S / 2 / SMALL.length;

  async function play(
    factorOf: (name: string, atMs: number) => number,
    { weight, isAllocatorLost = false }: { weight?: number; isAllocatorLost?: boolean } = {},
  ) {
    const site = createDataCentre(VMS, FULL, { decisions: WITHOUT_FORECAST });
    await site.pass(1500);
    if (isAllocatorLost) {
      site.schedule(() => {
        site.allocator().isUp = false;
      }, HISTORY_MS);
    }
    const callers = [...ORGANISATIONS, 'new'].map((name) => ({
      name,
      organisation: name,
      perS: (atMs: number) => usualOf(name) * factorOf(name, atMs),
      ...(weight === undefined ? {} : { weight }),
    }));
    const periodOf = (atMs: number) => (isOverload(atMs) ? '' : ' before');
    const { endsOf } = await playLoad(site, callers, END_MS, periodOf);
    const sumOf = (names: readonly string[], key: 'sent' | 'granted' | 'inTime') =>
      names.reduce((sum, name) => sum + endsOf(name)[key], 0);
    const mean = sumOf(ORGANISATIONS, 'granted') / sumOf(ORGANISATIONS, 'sent');
    const relativeOf = (name: string) => shareOf(endsOf(name)) / mean;
    const inTimeOf = (names: readonly string[]) => sumOf(names, 'inTime') / sumOf(names, 'sent');
    const relative = ORGANISATIONS.map(relativeOf);
    const range = { least: Math.min(...relative), most: Math.max(...relative) };
    return { ...range, large: LARGE.map(relativeOf), mean, relativeOf, inTimeOf };
  }

  const overloadOf = (name: string, atMs: number): number => {
    if (name === 'new') return 0;
    return isOverload(atMs) ? OVERLOAD : 1;
  };

  // Guards against a large organisation that is starved by small ones in a long overload.
  it('are served between half and twice the mean under twice the capacity', async () => {
    const usual = await play(overloadOf);
    const equal = await play(overloadOf, { weight: 1 });
    assert.ok(usual.least > 0.5 && usual.most < 2, `${usual.least} to ${usual.most}`);
    assert.ok(Math.max(...equal.large) < 0.75, `${equal.large} with equal weights`);
  });

  // Guards against usual demand that follows a flood, and so lets it displace the others.
  it('are served in time beside a flood of ten times the usual requests of one of them', async () => {
    const flood = await play((name, atMs) => {
      if (name === 'new') return 0;
      return name === 'large0' && isOverload(atMs) ? 10 : 1;
    });
    const others = ORGANISATIONS.filter((name) => name !== 'large0');
    assert.ok(flood.inTimeOf(others) > 0.97, `${flood.inTimeOf(others)} in time`);
  });

  // Guards against an organisation that gets no slots as it has no usual demand.
  it('leave slots to a new one that sends as much as a small one', async () => {
    const { relativeOf } = await play((name, atMs) =>
      name === 'new' ? Number(isOverload(atMs)) * OVERLOAD : overloadOf(name, atMs),
    );
    assert.ok(relativeOf('new') > 0.5, `${relativeOf('new')} of the mean`);
  });

  // Guards against a successor without history that serves some organisations not at all.
  it('are served as equals by a successor of the allocator, which has no history', async () => {
    const lost = await play(overloadOf, { isAllocatorLost: true });
    const equal = await play(overloadOf, { weight: 1, isAllocatorLost: true });
    assert.deepEqual([lost.least, lost.most], [equal.least, equal.most]);
  });
});
