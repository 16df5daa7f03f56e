import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createPermitAccount, grantedShare } from '../src/permitAccount';

function createAccount() {
  const clock = createManualClock(100_000);
  const state = { isOwner: true, askers: 11, vms: 11 };
  const account = createPermitAccount({ clock, shareOf: () => grantedShare(state) });
  /** Takes every permit that is granted within a period and returns their number. */
  function drain(durationMs: number, id = 's1'): number {
    let taken = 0;
    for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
      clock.advance(10);
      if (account.hasPermit(id) && account.tryAcquire(id)) taken += 1;
    }
    return taken;
  }
  /** Records answers without a limit to current requests, `gapMs` apart. */
  function answerUnnamed(count: number, gapMs: number): readonly boolean[] {
    return Array.from({ length: count }, () => {
      clock.advance(gapMs);
      return account.recordUnlimited('s1', 0);
    });
  }
  return { clock, state, account, drain, answerUnnamed };
}

describe('the account of permits', () => {
  it('does not limit a server that announced no rate', () => {
    const { account } = createAccount();
    assert.equal(account.limitPerSOf('s1'), null);
    assert.equal(account.ratePerS('s1'), Number.POSITIVE_INFINITY);
    for (let count = 0; count < 100; count += 1) assert.equal(account.tryAcquire('s1'), true);
  });

  it('grants nineteen twentieths of a rate, starting without a burst', () => {
    const { account, drain } = createAccount();
    assert.equal(account.recordLimit('s1', 10, 0), 'begun');
    assert.equal(account.hasPermit('s1'), false);
    const given = drain(10_000);
    assert.ok(given === 94 || given === 95, `${given}`);
  });

  it('grants three tenths while another VM may grant permits too', () => {
    const { account, state, drain } = createAccount();
    state.isOwner = false;
    account.recordLimit('s1', 10, 0);
    const given = drain(10_000);
    assert.ok(given === 29 || given === 30, `${given}`);
  });

  it('grants, as a stand-in, a share proportional to the VMs that ask it', () => {
    const parts = [1, 4, 6].map((askers) => grantedShare({ isOwner: false, askers, vms: 11 }));
    const sum = parts.reduce((all, part) => all + part, 0);
    assert.ok(Math.abs(sum - 0.3) < 1e-9, `${sum}`);
    assert.ok(grantedShare({ isOwner: false, askers: 20, vms: 11 }) <= 0.3);
  });

  it('uses the newest announcement, regardless of the order of arrival', () => {
    const { account, clock } = createAccount();
    account.recordLimit('s1', 10, 0);
    clock.advance(1000);
    assert.equal(account.recordLimit('s1', 5, 400), 'changed');
    assert.equal(account.recordLimit('s1', 20, 600), 'outdated');
    assert.equal(account.limitPerSOf('s1'), 5);
    assert.equal(account.recordLimit('s1', 5, 100), 'repeated');
  });

  it('ends a limit after three later answers without it and at least one second', () => {
    const { account, answerUnnamed } = createAccount();
    account.recordLimit('s1', 10, 0);
    assert.deepEqual(answerUnnamed(3, 200), [false, false, false], 'too early');
    assert.deepEqual(answerUnnamed(2, 200), [false, true]);
    assert.equal(account.limitPerSOf('s1'), null);
  });

  it('ends a limit after two such answers when they are rare', () => {
    const { account, answerUnnamed } = createAccount();
    account.recordLimit('s1', 0.5, 0);
    assert.deepEqual(answerUnnamed(2, 2100), [false, true]);
  });

  it('restarts the count of such answers with every announcement', () => {
    const { account, answerUnnamed } = createAccount();
    account.recordLimit('s1', 10, 0);
    for (let count = 0; count < 20; count += 1) {
      assert.deepEqual(answerUnnamed(2, 600), [false, false]);
      account.recordLimit('s1', 10, 0);
    }
  });

  it('does not end a limit because of answers to earlier requests', () => {
    const { account, clock } = createAccount();
    account.recordLimit('s1', 10, 0);
    clock.advance(5000);
    const ends = Array.from({ length: 10 }, () => account.recordUnlimited('s1', 5000));
    assert.ok(!ends.includes(true));
  });

  it('does not start an ended limit again because of an earlier announcement', () => {
    const { account, clock, answerUnnamed } = createAccount();
    account.recordLimit('s1', 10, 0);
    answerUnnamed(3, 400);
    clock.advance(100);
    assert.equal(account.recordLimit('s1', 10, 300), 'outdated');
    assert.equal(account.limitPerSOf('s1'), null);
    assert.equal(account.recordLimit('s1', 10, 0), 'begun');
  });

  it('ramps up to the full rate within a second after the end of a limit', () => {
    const { account, clock, answerUnnamed } = createAccount();
    account.recordLimit('s1', 4, 0);
    answerUnnamed(3, 400);
    assert.ok(account.ratePerS('s1') < 16);
    clock.advance(600);
    assert.ok(account.ratePerS('s1') < 100);
    clock.advance(500);
    assert.equal(account.ratePerS('s1'), Number.POSITIVE_INFINITY);
    account.sweep();
    assert.deepEqual(account.list(), []);
  });

  it('probes a server that accepts nothing every four seconds', () => {
    const { account, drain } = createAccount();
    account.recordLimit('s1', 0, 0);
    const asked = drain(40_000);
    assert.ok(asked >= 8 && asked <= 10, `${asked}`);
  });

  it('removes a limit that was not announced for a minute', () => {
    const { account, clock } = createAccount();
    account.recordLimit('s1', 10, 0);
    clock.advance(59_000);
    account.sweep();
    assert.equal(account.limitPerSOf('s1'), 10);
    clock.advance(2000);
    account.sweep();
    assert.equal(account.limitPerSOf('s1'), null);
  });

  it('grants a returned permit again', () => {
    const { account, clock } = createAccount();
    account.recordLimit('s1', 1, 0);
    clock.advance(1100);
    assert.equal(account.tryAcquire('s1'), true);
    assert.equal(account.tryAcquire('s1'), false);
    account.refund('s1');
    assert.equal(account.tryAcquire('s1'), true);
  });

  it('keeps to a limit that changes often', () => {
    const { account, clock } = createAccount();
    let taken = 0;
    for (let passedMs = 0; passedMs < 10_000; passedMs += 10) {
      clock.advance(10);
      if (passedMs % 100 === 0) account.recordLimit('s1', (passedMs / 100) % 2 === 0 ? 3 : 5, 0);
      if (account.tryAcquire('s1')) taken += 1;
    }
    assert.ok(taken <= 40 && taken >= 36, `${taken}`);
  });
});
