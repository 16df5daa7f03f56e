import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createSlotLedger } from '../src/slotLedger';
import type { HeldSlot } from '../src/slotLedger';

function createFixture() {
  const clock = createManualClock(1000);
  const ledger = createSlotLedger({ clock, leaseMs: 2600, unclaimedMs: 400 });
  const slot = (ticket: string, size = 1): HeldSlot => ({ ticket, headId: 'h', size });
  return { clock, ledger, slot };
}

describe('the account of slots', () => {
  it('counts a slot from the moment it is given out', () => {
    const { ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    ledger.grant('vm2', slot('r1', 2.5));
    assert.equal(ledger.heldOn('h'), 3.5);
    assert.equal(ledger.heldOn('other'), 0);
  });

  it('frees what a holder no longer lists', () => {
    const { ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    ledger.grant('vm1', slot('r2'));
    ledger.report('vm1', { sequence: 1, slots: [slot('r1'), slot('r2')] });
    ledger.report('vm1', { sequence: 2, slots: [slot('r2')] });
    assert.equal(ledger.heldOn('h'), 1);
  });

  it('keeps a slot that was given out while an older list was on its way', () => {
    const { clock, ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    clock.advance(5);
    ledger.report('vm1', { sequence: 1, slots: [] });
    assert.equal(ledger.heldOn('h'), 1);
  });

  it('frees a slot whose answer was lost', () => {
    const { clock, ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    clock.advance(501);
    ledger.report('vm1', { sequence: 1, slots: [] });
    clock.advance(101);
    assert.equal(ledger.heldOn('h'), 0);
  });

  it('frees a slot at once that its holder gives up', () => {
    const { ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    ledger.giveUp('vm1', 'r1');
    ledger.giveUp('vm1', 'unknown');
    ledger.giveUp('nobody', 'r1');
    assert.equal(ledger.heldOn('h'), 0);
  });

  it('believes the newest list, whichever arrives last', () => {
    const { ledger, slot } = createFixture();
    ledger.report('vm1', { sequence: 2, slots: [] });
    ledger.report('vm1', { sequence: 1, slots: [slot('r1')] });
    assert.equal(ledger.heldOn('h'), 0);
  });

  it('learns what was held before it was asked, from the first list', () => {
    const { ledger, slot } = createFixture();
    ledger.report('vm1', { sequence: 9, slots: [slot('r1'), slot('r2')] });
    ledger.report('vm2', { sequence: 3, slots: [slot('r1')] });
    assert.equal(ledger.heldOn('h'), 3);
    assert.equal(ledger.holders, 2);
  });

  it('frees what sixty holders had that are all gone, once their leases have run out', () => {
    const { clock, ledger, slot } = createFixture();
    for (let vm = 0; vm < 60; vm += 1) {
      ledger.report(`vm${vm}`, { sequence: 1, slots: [slot('r1')] });
    }
    assert.equal(ledger.heldOn('h'), 60);
    clock.advance(2500);
    assert.equal(ledger.heldOn('h'), 60);
    clock.advance(200);
    assert.equal(ledger.heldOn('h'), 0);
    assert.equal(ledger.holders, 0);
  });
});
