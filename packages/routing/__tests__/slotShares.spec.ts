import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createClassShares, createOrganisationShares } from '..';

const claimOf = (classPriority: number, cost = 1) => ({ priority: 1, classPriority, cost });

describe('the guaranteed share of a class', () => {
  function start() {
    const clock = createManualClock();
    const shares = createClassShares({ clock, minShare: 0.1 });
    [0, 2].forEach((classPriority) => shares.join(claimOf(classPriority)));
    return { clock, shares };
  }

  it('is a tenth of the granted cost while the class waits', () => {
    const { clock, shares } = start();
    const granted = [0, 0, 0];
    for (let grants = 0; grants < 600; grants += 1) {
      clock.advance(10);
      const next = shares.findOwed(1) ?? 0;
      granted[next] = (granted[next] ?? 0) + 1;
      shares.charge(claimOf(next));
    }
    const patient = granted[2] ?? 0;
    assert.ok(patient >= 59 && patient <= 66, `${patient} of 600`);
  });

  // Guards against a class that comes back after a pause and takes all slots at first.
  it('does not count what was granted before the class began to wait', () => {
    const { clock, shares } = start();
    shares.leave(claimOf(2));
    for (let grants = 0; grants < 100; grants += 1) shares.charge(claimOf(0));
    clock.advance(10);
    shares.join(claimOf(2));
    assert.equal(shares.findOwed(1), undefined);
    shares.charge(claimOf(0, 6));
    assert.equal(shares.findOwed(1), 2);
  });

  it('is restored when a slot was not used', () => {
    const { shares } = start();
    shares.charge(claimOf(0, 6));
    shares.charge(claimOf(2));
    assert.equal(shares.findOwed(1), undefined);
    shares.refund(claimOf(2));
    assert.equal(shares.findOwed(1), 2);
  });
});

describe('the share of an organisation', () => {
  it('is not credited for the time in which the organisation did not wait', () => {
    const shares = createOrganisationShares();
    ['busy', 'other'].forEach(shares.join);
    for (let grants = 0; grants < 10; grants += 1) {
      ['busy', 'other'].forEach((name) => shares.charge(name, 1));
    }
    shares.join('idle');
    assert.equal(shares.startOf('busy') - shares.startOf('idle'), 1);
  });

  // Guards against a credit of idle organisations while one waits that cannot be served.
  it('is not credited either while another organisation cannot be served', () => {
    const shares = createOrganisationShares();
    ['blocked', 'busy'].forEach(shares.join);
    for (let grants = 0; grants < 10; grants += 1) shares.charge('busy', 1);
    shares.join('idle');
    assert.equal(shares.startOf('busy') - shares.startOf('idle'), 1);
  });

  it('keeps the lead of an organisation that was served out of order', () => {
    const shares = createOrganisationShares({ isOutOfOrder: true });
    ['flood', 'waiting'].forEach(shares.join);
    for (let grants = 0; grants < 10; grants += 1) shares.charge('flood', 1);
    shares.join('new');
    assert.equal(shares.startOf('flood') - shares.startOf('new'), 10);
    shares.refund('flood', 4);
    assert.equal(shares.leadOf('flood'), 6);
  });
});
