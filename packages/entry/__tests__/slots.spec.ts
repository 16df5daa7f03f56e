import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ADMITTED, CAPACITY, completeAccount, createDataCentre, runLoad } from './slotFixtures';
import type { Vm } from './slotFixtures';

describe('the allocation of slots by one VM', () => {
  it('keeps sixty VMs from overfilling a chain that comes back while all of them wait', async () => {
    const site = createDataCentre(60, ['c1', 'c2']);
    site.setChains([]);
    await site.pass(1500);
    const results = site.vms.flatMap((vm) =>
      [0, 1, 2, 3].map((index) =>
        site.send(vm, `w${index}`, {
          rankDataCentres: () => [{ dataCentre: 'a', hasCapacity: true }],
        }),
      ),
    );
    await site.pass(300);
    site.setChains(['c1']);
    await site.pass(850);
    const granted = results.flat().filter(({ kind }) => kind === 'granted').length;
    assert.equal(site.inFlight('c1'), ADMITTED);
    assert.equal(granted, ADMITTED);
    await site.pass(500);
    assert.equal(results.flat().length, 240);
  });

  it('balances two chains, and reuses a released slot within 100 ms', async () => {
    const site = createDataCentre(60, ['c1', 'c2']);
    await site.pass(1500);
    // 188 slots of two seconds each serve 94 a second.
    const { peaks, count, sent } = await runLoad(site, 90, 8000);
    assert.ok(count('granted') > sent * 0.97, `${count('granted')} of ${sent}`);
    assert.ok((peaks.get('c1') ?? 0) <= ADMITTED && (peaks.get('c2') ?? 0) <= ADMITTED);
    assert.ok(Math.abs((peaks.get('c1') ?? 0) - (peaks.get('c2') ?? 0)) < 10);
  });

  it('refuses a request at once if it would wait in vain', async () => {
    const site = createDataCentre(60, ['c1']);
    await site.pass(1500);
    await runLoad(site, 150, 4000, 2000, 0);
    const late = site.vms[0] as Vm;
    const nowMs = site.clock.nowMs();
    const outcomes = site.send(late, 'one-more', {
      arrivedAtMs: nowMs - 700,
      latestStartAtMs: nowMs - 300,
      queueDeadlineAtMs: nowMs + 500,
    });
    await site.pass(10);
    const refused = outcomes.map((outcome) => (outcome.kind === 'refused' ? outcome.reason : ''));
    assert.deepEqual(refused, ['hopeless']);
  });

  it('loses no request when the allocator fails while sixty slots are held', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    await runLoad(site, 60, 1000, 6000);
    assert.ok(site.inFlight('c1') >= 55);
    site.allocator().isUp = false;
    const { count, sent, peaks } = await runLoad(site, 60, 3000, 6000);
    assert.equal(count('unavailable'), 0);
    assert.equal(count('granted') + count('refused'), sent);
    assert.ok((peaks.get('c1') ?? 0) <= CAPACITY, String(peaks.get('c1')));
  });

  it('uses the next VM as allocator while the first one has no configuration after a restart', async () => {
    const site = createDataCentre(3, ['c1']);
    await completeAccount(site);
    const { host } = site.allocator();
    site.restart(host);
    const first = site.vms.find((vm) => vm.host === host) as Vm;
    first.isConfigured = false;
    const asking = site.vms.find((vm) => vm.host !== host) as Vm;
    const [outcome] = await Promise.all([site.find(asking, 'one'), site.pass(1300)]);
    assert.equal(outcome.kind, 'granted');
    first.isConfigured = true;
    await site.pass(2500);
    const [later] = await Promise.all([site.find(asking, 'two'), site.pass(1300)]);
    assert.equal(
      later.kind === 'granted' && later.chain.grantedBy,
      host,
      'the first VM is asked again',
    );
  });

  it('uses the reported load while the account of a new allocator lacks the slots of others', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    await runLoad(site, 120, 750, 20_000, 1100);
    const before = site.inFlight('c1');
    assert.ok(before >= 80);
    const allocatorVm = site.allocator();
    const ended = allocatorVm.held.size;
    allocatorVm.isUp = false;
    const one = site.vms.find((vm) => vm !== allocatorVm) as Vm;
    for (let index = 0; index < 60; index += 1) site.send(one, `burst${index}`, {}, 20_000);
    await site.pass(300);
    assert.ok(site.inFlight('c1') <= ADMITTED + ended, String(site.inFlight('c1')));
  });

  it('continues on the next VM when the answers of the first are lost, and overfills no chain', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    await runLoad(site, 40, 1000, 3000);
    site.allocator().losesAnswers = true;
    // Each VM reaches no allocator during three short backoffs, then asks the next VM.
    const first = await runLoad(site, 40, 3000, 3000);
    assert.equal(first.count('unavailable') + first.count('granted'), first.sent);
    const { count, sent, peaks } = await runLoad(site, 40, 6000, 3000);
    assert.ok(count('granted') > sent * 0.6, `${count('granted')} of ${sent}`);
    assert.ok((peaks.get('c1') ?? 0) <= CAPACITY * 1.1, String(peaks.get('c1')));
  });

  it('does not fall back to the next VM when the allocator is slow for a moment', async () => {
    const site = createDataCentre(30, ['c1']);
    await site.pass(1500);
    const allocatorVm = site.allocator();
    allocatorVm.losesAnswers = true;
    await runLoad(site, 60, 200, 500, 0);
    allocatorVm.losesAnswers = false;
    await runLoad(site, 60, 2000, 500);
    const others = site.vms.filter((vm) => vm !== allocatorVm && vm.allocator.holders > 0);
    assert.deepEqual(
      others.map(({ host }) => host),
      [],
    );
  });

  it('releases the slots of a failed VM when their lease expires', async () => {
    const site = createDataCentre(3, ['c1']);
    await site.pass(1500);
    const allocatorVm = site.allocator();
    const holder = site.vms.find((vm) => vm !== allocatorVm) as Vm;
    const other = site.vms.find((vm) => vm !== allocatorVm && vm !== holder) as Vm;
    for (let index = 0; index < ADMITTED; index += 1) site.send(holder, `h${index}`, {}, 60_000);
    await site.pass(1500);
    assert.equal(site.inFlight('c1'), ADMITTED);
    const before = site.send(other, 'early');
    await site.pass(1400);
    assert.notEqual(before[0]?.kind, 'granted');
    holder.isUp = false;
    await site.pass(4000);
    const after = site.send(other, 'late');
    await site.pass(50);
    assert.equal(after[0]?.kind, 'granted');
  });

  it('excludes an engine for all VMs after it rejected a request of one VM', async () => {
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

  it('prefers a stream that has begun to new streams', async () => {
    const site = createDataCentre(4, ['c1']);
    await site.pass(1500);
    const [a, b] = site.vms as [Vm, Vm];
    for (let index = 0; index < CAPACITY; index += 1) site.send(a, `f${index}`, {}, 1500);
    await site.pass(1000);
    const fresh = Array.from({ length: 5 }, (_, index) => site.send(b, `n${index}`));
    const begun = site.send(b, 'begun', { hasBegun: true });
    await site.pass(100);
    assert.equal(begun[0]?.kind, 'granted');
    assert.equal(fresh.flat().length, 0);
  });

  it('reports slots as unavailable to an entry that reaches no allocator', async () => {
    const site = createDataCentre(1, ['c1']);
    await site.pass(1500);
    const [vm] = site.vms as [Vm];
    vm.losesAnswers = true;
    const outcomes = site.send(vm, 'alone');
    await site.pass(400);
    assert.equal(outcomes[0]?.kind, 'unavailable');
  });
});
