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

describe('the slot ledger', () => {
  it('counts a slot as soon as it is granted', () => {
    const { ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    ledger.grant('vm2', slot('r1', 2.5));
    assert.equal(ledger.heldSizeOf('h'), 3.5);
    assert.equal(ledger.heldSizeOf('other'), 0);
  });

  it('frees a slot that its holder no longer lists', () => {
    const { ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    ledger.grant('vm1', slot('r2'));
    ledger.report('vm1', { sequence: 1, slots: [slot('r1'), slot('r2')] });
    ledger.report('vm1', { sequence: 2, slots: [slot('r2')] });
    assert.equal(ledger.heldSizeOf('h'), 1);
  });

  it('keeps a slot that was granted while an older report was in transit', () => {
    const { clock, ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    clock.advance(5);
    ledger.report('vm1', { sequence: 1, slots: [] });
    assert.equal(ledger.heldSizeOf('h'), 1);
  });

  it('frees a slot when the answer with its grant was lost', () => {
    const { clock, ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    clock.advance(501);
    ledger.report('vm1', { sequence: 1, slots: [] });
    clock.advance(101);
    assert.equal(ledger.heldSizeOf('h'), 0);
  });

  it('frees a slot immediately when its holder releases it', () => {
    const { ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1'));
    ledger.cancel('vm1', 'r1');
    ledger.cancel('vm1', 'unknown');
    ledger.cancel('nobody', 'r1');
    assert.equal(ledger.heldSizeOf('h'), 0);
  });

  /**
   * Guards against the rounding residue of a sum: with it a chain without requests did not count
   * as idle, and refused a request larger than its capacity.
   */
  it('counts exactly nothing on a chain whose slots were all released', () => {
    const { ledger, slot } = createFixture();
    ledger.grant('vm1', slot('r1', 0.1));
    ledger.grant('vm1', slot('r2', 0.2));
    ledger.cancel('vm1', 'r1');
    ledger.cancel('vm1', 'r2');
    assert.equal(ledger.heldSizeOf('h'), 0);
  });

  it('uses the newest report, regardless of the order of arrival', () => {
    const { ledger, slot } = createFixture();
    ledger.report('vm1', { sequence: 2, slots: [] });
    ledger.report('vm1', { sequence: 1, slots: [slot('r1')] });
    assert.equal(ledger.heldSizeOf('h'), 0);
  });

  it('learns earlier slots from the first report of a holder', () => {
    const { ledger, slot } = createFixture();
    ledger.report('vm1', { sequence: 9, slots: [slot('r1'), slot('r2')] });
    ledger.report('vm2', { sequence: 3, slots: [slot('r1')] });
    assert.equal(ledger.heldSizeOf('h'), 3);
    assert.equal(ledger.holders, 2);
  });

  it('frees the slots of sixty lost holders when their leases expire', () => {
    const { clock, ledger, slot } = createFixture();
    for (let vm = 0; vm < 60; vm += 1) {
      ledger.report(`vm${vm}`, { sequence: 1, slots: [slot('r1')] });
    }
    assert.equal(ledger.heldSizeOf('h'), 60);
    clock.advance(2500);
    assert.equal(ledger.heldSizeOf('h'), 60);
    clock.advance(200);
    assert.equal(ledger.heldSizeOf('h'), 0);
    assert.equal(ledger.holders, 0);
  });
});
