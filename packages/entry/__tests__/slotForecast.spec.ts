import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { DecisionSettings } from '@spoolplank/routing';
import { createRegion, DATA_CENTRES } from './regionFixtures';
import type { RegionRequest } from './regionFixtures';
import { createDataCentre } from './slotFixtures';
import type { DataCentre, Vm } from './slotFixtures';

const OFF: DecisionSettings = { ...DEFAULT_DECISIONS, forecast: { isEnabled: false } };
const HEADS = Array.from({ length: 9 }, (_, index) => `c${index}`);

/** Sends requests evenly from all VMs; slots are held from 0.5 to 1.5 times 2 s. */
async function sendFor(
  site: DataCentre,
  perS: number,
  durationMs: number,
): Promise<RegionRequest[]> {
  const all: RegionRequest[] = [];
  const { clock } = site;
  const gapMs = 1000 / perS;
  for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
    const vm = site.vms[all.length % site.vms.length] as Vm;
    const lastsMs = 2000 * (0.5 + ((all.length * 37) % 100) / 100);
    const sent: RegionRequest = {
      from: 'a',
      sentAtMs: clock.nowMs(),
      endedAtMs: Number.NaN,
      outcome: null,
    };
    all.push(sent);
    const ticket = `r${clock.nowMs()}-${all.length}`;
    void site.find(vm, ticket).then((outcome) => {
      sent.endedAtMs = clock.nowMs();
      sent.outcome = outcome;
      if (outcome.kind === 'granted') site.hold(vm, ticket, outcome.chain.headId, lastsMs);
    });
    await site.pass(gapMs);
  }
  return all;
}

function summarise(all: readonly RegionRequest[]) {
  const granted = all.filter(({ outcome }) => outcome?.kind === 'granted');
  const refused = all.filter(({ outcome }) => outcome?.kind === 'refused');
  const lateRefused = refused.filter(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs > 500);
  const timeOver = refused.filter(
    ({ outcome }) => outcome?.kind === 'refused' && outcome.reason === 'time-over',
  );
  return {
    sent: all.length,
    granted: granted.length,
    refused: refused.length,
    lateRefused: lateRefused.length,
    timeOver: timeOver.length,
  };
}

/** Nine chains, of which four are lost while requests come at twice what the rest can take. */
async function loseFourChains(decisions: DecisionSettings) {
  const site = createDataCentre(12, HEADS, { decisions });
  await site.pass(1500);
  // 846 slots of 2 s serve 423 a second, and 470 of them 235.
  await sendFor(site, 400, 5000);
  site.setChains(HEADS.slice(0, 5));
  const after = await sendFor(site, 470, 4000);
  const grantedInTime = summarise(after).granted;
  await site.pass(1300);
  return { ...summarise(after), granted: grantedInTime };
}

describe('the forecast of slots', () => {
  it('lets no request wait in vain when four of nine chains are lost under twice the load', async () => {
    const off = await loseFourChains(OFF);
    const on = await loseFourChains(DEFAULT_DECISIONS);
    assert.ok(on.timeOver < on.sent / 100, JSON.stringify(on));
    assert.ok(on.lateRefused < on.sent / 100, JSON.stringify(on));
    assert.ok(on.granted > off.granted * 0.98, `${on.granted} and ${off.granted}`);
    assert.ok(off.lateRefused > off.sent / 5, 'the load makes requests wait in vain');
  });

  it('grants the same slots as without it while they are not scarce', async () => {
    const decide = async (decisions: DecisionSettings) => {
      const site = createDataCentre(12, HEADS, { decisions });
      await site.pass(1500);
      const all = await sendFor(site, 350, 5000);
      await site.pass(1300);
      return all.map(({ sentAtMs, endedAtMs, outcome }) => [
        endedAtMs - sentAtMs,
        outcome?.kind === 'granted' ? outcome.chain.headId : outcome,
      ]);
    };
    assert.deepEqual(await decide(DEFAULT_DECISIONS), await decide(OFF));
  });

  it('refuses nobody of a burst whose slots come within the wait of all', async () => {
    const site = createDataCentre(12, HEADS.slice(0, 3));
    await site.pass(1500);
    // 282 slots of 2 s serve 141 a second.
    await sendFor(site, 130, 5000);
    const burst = Array.from({ length: 60 }, (_, index) =>
      site.send(site.vms[index % 12] as Vm, `burst${index}`),
    );
    await site.pass(1300);
    const kinds = burst.flat().map(({ kind }) => kind);
    assert.deepEqual([kinds.length, new Set(kinds)], [60, new Set(['granted'])]);
  });

  it('refuses nobody at a successor of the allocator while slots are free', async () => {
    const site = createDataCentre(12, HEADS);
    await site.pass(1500);
    await sendFor(site, 350, 4000);
    site.allocator().isUp = false;
    site.allocator().held.clear();
    const after = await sendFor(site, 300, 3000);
    await site.pass(1300);
    const refused = after.filter(({ outcome }) => outcome?.kind === 'refused');
    assert.deepEqual(
      refused.map(({ outcome }) => outcome),
      [],
    );
  });
});

describe('three data centres of which one has no chain for 3 s', () => {
  /** Slots of 2 s: 282 in each data centre serve 141 a second. */
  async function loseChains(decisions: DecisionSettings, perS: number, returnsInMs?: number) {
    const region = createRegion(decisions);
    await region.sendFor(perS, 5000);
    region.withoutChains.add('a');
    if (returnsInMs !== undefined) {
      region.returnsAtMs.set('a', region.clock.nowMs() + returnsInMs);
      region.schedule(() => region.withoutChains.delete('a'), returnsInMs);
    }
    const during = await region.sendFor(perS, 3000);
    const { granted } = summarise(during);
    region.withoutChains.delete('a');
    await region.pass(1300);
    return { during, grantedMeanwhile: granted, after: await region.sendFor(perS, 1000) };
  }

  it('serves all requests of the one by the others while these have room', async () => {
    const { during, after } = await loseChains(DEFAULT_DECISIONS, 200);
    const { granted, sent } = summarise(during);
    assert.equal(granted, sent);
    assert.ok(summarise(after).granted > after.length * 0.99);
  });

  it('lets no request wait in vain when the others are overloaded', async () => {
    // Two data centres serve 282 a second.
    const off = await loseChains(OFF, 410);
    const on = await loseChains(DEFAULT_DECISIONS, 410);
    const all = summarise(on.during);
    assert.ok(all.timeOver < all.sent / 100, JSON.stringify(all));
    // Requests that queued up before the additional load was measured leave later.
    assert.ok(all.lateRefused < all.sent / 20, JSON.stringify(all));
    const settled = summarise(on.during.slice(-on.during.length / 2));
    assert.ok(settled.lateRefused < settled.sent / 100, JSON.stringify(settled));
    const before = summarise(off.during);
    assert.ok(before.lateRefused > before.sent / 10, 'the load makes requests wait in vain');
    assert.ok(on.grantedMeanwhile > off.grantedMeanwhile * 0.98);
  });
});

describe('a region without any chain', () => {
  async function loseAll(returnsInMs: number | null) {
    const region = createRegion(DEFAULT_DECISIONS);
    await region.sendFor(60, 2000);
    ['a', 'b', 'c'].forEach((dataCentre) => {
      region.withoutChains.add(dataCentre);
      if (returnsInMs === null) return;
      region.returnsAtMs.set(dataCentre, region.clock.nowMs() + returnsInMs);
      region.schedule(() => region.withoutChains.delete(dataCentre), returnsInMs);
    });
    const sent = await region.sendFor(60, 2000);
    await region.pass(1300);
    return sent;
  }

  it('refuses requests at once after it is known that the chains are lost', async () => {
    const sent = await loseAll(null);
    assert.ok(sent.every(({ outcome }) => outcome?.kind === 'refused'));
    const late = sent.filter(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs > 500);
    assert.deepEqual(late, []);
    const last = sent.slice(-30).map(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs);
    assert.ok(Math.max(...last) < 10, String(last));
  });

  it('lets requests wait for a chain that is known to come back within their wait', async () => {
    const sent = await loseAll(1000);
    assert.deepEqual([...new Set(sent.map(({ outcome }) => outcome?.kind))], ['granted']);
  });
});

describe('a chain that is lost a second time', () => {
  it('is waited for again until it is known to be lost', async () => {
    const region = createRegion(DEFAULT_DECISIONS);
    const lose = () => DATA_CENTRES.forEach((name) => region.withoutChains.add(name));
    await region.sendFor(60, 2000);
    lose();
    await region.sendFor(60, 1000);
    region.withoutChains.clear();
    await region.sendFor(60, 2000);
    lose();
    region.schedule(() => region.withoutChains.clear(), 300);
    const again = await region.sendFor(60, 300);
    await region.pass(1300);
    assert.deepEqual([...new Set(again.map(({ outcome }) => outcome?.kind))], ['granted']);
  });
});

describe('a data centre that is cut off', () => {
  it('grants its own slots to its own requests, and refuses none that its chains can serve', async () => {
    const region = createRegion(DEFAULT_DECISIONS);
    await region.sendFor(200, 4000);
    region.cutOff.add('a');
    const during = await region.sendFor(200, 3000);
    await region.pass(1300);
    const own = during.filter(({ from }) => from === 'a');
    assert.ok(own.every(({ outcome }) => outcome?.kind === 'granted'));
    assert.ok(
      own.every(({ outcome }) => outcome?.kind === 'granted' && outcome.chain.dataCentre === 'a'),
    );
    const others = summarise(during.filter(({ from }) => from !== 'a'));
    assert.equal(others.granted, others.sent);
  });
});
