import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createPlaceLedger } from '../src/placeLedger';
import type { HeldPlace } from '../src/placeLedger';

function createSetting() {
  const clock = createManualClock(1000);
  const ledger = createPlaceLedger({ clock, leaseMs: 2600, untakenMs: 400 });
  const place = (ticket: string, size = 1): HeldPlace => ({ ticket, headId: 'h', size });
  return { clock, ledger, place };
}

describe('the account of places', () => {
  it('counts a place from the moment it is given out', () => {
    const { ledger, place } = createSetting();
    ledger.grant('vm1', place('r1'));
    ledger.grant('vm2', place('r1', 2.5));
    assert.equal(ledger.heldOn('h'), 3.5);
    assert.equal(ledger.heldOn('other'), 0);
  });

  it('frees what a holder no longer lists', () => {
    const { ledger, place } = createSetting();
    ledger.grant('vm1', place('r1'));
    ledger.grant('vm1', place('r2'));
    ledger.report('vm1', { sequence: 1, places: [place('r1'), place('r2')] });
    ledger.report('vm1', { sequence: 2, places: [place('r2')] });
    assert.equal(ledger.heldOn('h'), 1);
  });

  it('keeps a place that was given out while an older list was on its way', () => {
    const { clock, ledger, place } = createSetting();
    ledger.grant('vm1', place('r1'));
    clock.advance(5);
    ledger.report('vm1', { sequence: 1, places: [] });
    assert.equal(ledger.heldOn('h'), 1);
  });

  it('frees a place whose answer was lost', () => {
    const { clock, ledger, place } = createSetting();
    ledger.grant('vm1', place('r1'));
    clock.advance(501);
    ledger.report('vm1', { sequence: 1, places: [] });
    clock.advance(101);
    assert.equal(ledger.heldOn('h'), 0);
  });

  it('frees a place at once that its holder gives up', () => {
    const { ledger, place } = createSetting();
    ledger.grant('vm1', place('r1'));
    ledger.giveUp('vm1', 'r1');
    ledger.giveUp('vm1', 'unknown');
    ledger.giveUp('nobody', 'r1');
    assert.equal(ledger.heldOn('h'), 0);
  });

  it('believes the newest list, whichever arrives last', () => {
    const { ledger, place } = createSetting();
    ledger.report('vm1', { sequence: 2, places: [] });
    ledger.report('vm1', { sequence: 1, places: [place('r1')] });
    assert.equal(ledger.heldOn('h'), 0);
  });

  it('learns what was held before it was asked, from the first list', () => {
    const { ledger, place } = createSetting();
    ledger.report('vm1', { sequence: 9, places: [place('r1'), place('r2')] });
    ledger.report('vm2', { sequence: 3, places: [place('r1')] });
    assert.equal(ledger.heldOn('h'), 3);
    assert.equal(ledger.holders, 2);
  });

  it('frees what sixty holders had that are all gone, once their leases have run out', () => {
    const { clock, ledger, place } = createSetting();
    for (let vm = 0; vm < 60; vm += 1) {
      ledger.report(`vm${vm}`, { sequence: 1, places: [place('r1')] });
    }
    assert.equal(ledger.heldOn('h'), 60);
    clock.advance(2500);
    assert.equal(ledger.heldOn('h'), 60);
    clock.advance(200);
    assert.equal(ledger.heldOn('h'), 0);
    assert.equal(ledger.holders, 0);
  });
});
