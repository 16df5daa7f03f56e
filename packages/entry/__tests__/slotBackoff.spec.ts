import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { SlotOutcome } from '../src/slots/slotClient';
import { ADMITTED, completeAccount, createDataCentre } from './slotFixtures';
import type { Vm } from './slotFixtures';

describe('slots while chains reject requests', () => {
  it('gives a VM no chain that backs off for it, and gives that chain to others', async () => {
    const site = createDataCentre(3, ['c1', 'c2']);
    await site.pass(1500);
    const [backedOffVm, other] = site.vms as [Vm, Vm];
    backedOffVm.backingOff.add('c1');
    const headsOf = (outcomes: readonly SlotOutcome[]) =>
      outcomes.map((outcome) => (outcome.kind === 'granted' ? outcome.chain.headId : outcome.kind));
    const toBackedOff = Array.from({ length: 20 }, (_, index) =>
      site.send(backedOffVm, `t${index}`),
    );
    await site.pass(50);
    const toOther = Array.from({ length: 20 }, (_, index) => site.send(other, `o${index}`));
    await site.pass(50);
    assert.deepEqual([...new Set(headsOf(toBackedOff.flat()))], ['c2']);
    assert.equal(site.inFlight('c1'), 20, 'the emptier one goes to who may use it');
    assert.deepEqual([...new Set(headsOf(toOther.flat()))], ['c1']);
    assert.equal(site.inFlight('c2'), 20);
  });

  it('refuses a request at once if every chain backs off for its VM', async () => {
    const site = createDataCentre(3, ['c1']);
    await site.pass(1500);
    const [backedOffVm, other] = site.vms as [Vm, Vm];
    backedOffVm.backingOff.add('c1');
    const refused = site.send(backedOffVm, 'in-vain');
    const granted = site.send(other, 'well');
    await site.pass(10);
    const reasons = refused.map((outcome) => (outcome.kind === 'refused' ? outcome.reason : ''));
    assert.deepEqual(reasons, ['turned-away']);
    assert.equal(granted[0]?.kind, 'granted');
  });

  it('refuses a request at once if every chain rejected it, but queues a begun stream', async () => {
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
    assert.equal(begun[0]?.kind, 'granted');
  });

  it('keeps no slot idle while its chain backs off for the VM of the first queued requests', async () => {
    const site = createDataCentre(4, ['c1', 'c2']);
    await completeAccount(site);
    const [backedOffVm, other, filler] = site.vms as [Vm, Vm, Vm];
    for (let index = 0; index < 2 * ADMITTED; index += 1) {
      site.send(filler, `f${index}`, {}, index % 2 === 0 ? 600 : 60_000);
    }
    await site.pass(100);
    assert.equal(site.inFlight('c1') + site.inFlight('c2'), 2 * ADMITTED);
    // The chain whose slots are released backs off for a VM whose requests have a higher priority.
    const freeing =
      [...filler.held.entries()].find(([ticket]) => ticket === 'f0')?.[1].headId ?? '';
    backedOffVm.backingOff.add(freeing);
    const ahead = Array.from({ length: 6 }, (_, index) =>
      site.send(backedOffVm, `ahead${index}`, { priority: 0 }),
    );
    const behind = Array.from({ length: 6 }, (_, index) => site.send(other, `behind${index}`));
    await site.pass(900);
    const granted = behind.flat().filter(({ kind }) => kind === 'granted').length;
    assert.equal(granted, 6);
    assert.equal(ahead.flat().filter(({ kind }) => kind === 'granted').length, 0);
  });

  it('reuses a slot at once if its stream ended before it was ever listed', async () => {
    const site = createDataCentre(2, ['c1']);
    await completeAccount(site);
    const vm = site.vms[0] as Vm;
    for (let index = 0; index < ADMITTED; index += 1) site.send(vm, `turned-away${index}`, {}, 3);
    await site.pass(100);
    const after = Array.from({ length: ADMITTED }, (_, index) => site.send(vm, `next${index}`));
    await site.pass(50);
    const granted = after.flat().filter(({ kind }) => kind === 'granted').length;
    assert.equal(granted, ADMITTED);
  });
});
