import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createRetryAccount, RETRY_ARRIVAL_MS } from '../src/retryAccount';

const WINDOW_MS = 10_000;
const COUNTED_MS = WINDOW_MS + RETRY_ARRIVAL_MS;
const UNCONFIRMED_MS = 10_000;

function createAccount(allowance = 10) {
  const clock = createManualClock(100_000);
  const account = createRetryAccount({ clock, windowMs: WINDOW_MS, allowance });
  const originOf = (borrower: string) => ({ borrower, askedAtMs: clock.nowMs() });
  /** Reports what a borrower holds of `app`, and confirms what it has asked for. */
  function report(borrower: string, ...countsInMs: readonly number[]) {
    const held = { confirmedToMs: clock.nowMs(), countsInMs };
    const origin = originOf(borrower);
    account.lend({ service: 'app', origin, wanted: 0, reserved: 0, held });
  }
  /** Lends after the reservation that it needs. */
  function lendUnconfirmed(wanted: number, reserved = 0, service = 'app') {
    const request = { service, origin: originOf('borrower'), wanted, reserved };
    const missing = account.missingFor(request);
    if (missing > 0) account.setReserved(service, missing, clock.nowMs());
    return account.lend(request);
  }
  function lend(...loan: Parameters<typeof lendUnconfirmed>) {
    const granted = lendUnconfirmed(...loan);
    report('borrower');
    return granted;
  }
  return { clock, account, originOf, report, lendUnconfirmed, lend };
}

describe('the account of retries', () => {
  it('lends no more than the allowance until a window after the last arrival', () => {
    const { clock, lend } = createAccount();
    assert.equal(lend(6).granted, 6);
    clock.advance(5000);
    assert.equal(lend(6).granted, 4);
    assert.equal(lend(1).granted, 0);
    clock.advance(COUNTED_MS - 5000);
    assert.equal(lend(1).granted, 0);
    clock.advance(1);
    assert.equal(lend(20).granted, 6);
  });

  it('counts a suspension of its VM as no time', () => {
    const { clock, lend } = createAccount();
    assert.equal(lend(10).granted, 10);
    clock.suspend(COUNTED_MS + 1);
    assert.equal(lend(1).granted, 0);
  });

  it('says when the next retry is free', () => {
    const { clock, lend } = createAccount();
    lend(10);
    clock.advance(4000);
    assert.equal(lend(1).retryInMs, COUNTED_MS - 4000);
    assert.equal(createAccount().lend(1).retryInMs, 0);
  });

  it('leaves reserved retries to others', () => {
    const { lend } = createAccount();
    assert.equal(lend(10, 4).granted, 6);
    assert.equal(lend(1, 4).granted, 0);
    assert.equal(lend(10).granted, 4);
  });

  it('keeps the services apart', () => {
    const { account, lend } = createAccount();
    assert.equal(lend(10, 0, 'app').granted, 10);
    assert.equal(lend(10, 0, 'engines').granted, 10);
    assert.deepEqual(account.describe(), { app: 10, engines: 10 });
  });

  it('lends only what was reserved, for a short time', () => {
    const { clock, account, originOf } = createAccount(100);
    const request = { service: 'app', origin: originOf('a'), wanted: 5, reserved: 0 };
    assert.equal(account.lend(request).granted, 0);
    assert.equal(account.missingFor(request), 7);
    account.setReserved('app', 7, clock.nowMs());
    assert.equal(account.missingFor(request), 0);
    assert.equal(account.lend(request).granted, 5);
    assert.equal(account.lend(request).granted, 2);
    account.setReserved('app', 7, clock.nowMs());
    clock.suspend(2001);
    assert.equal(account.lend(request).granted, 0);
  });

  it('counts what was reserved before a takeover as lent at the last moment', () => {
    const { clock, account, lend } = createAccount();
    account.takeOver([{ service: 'app', count: 6, knownForMs: 500 }]);
    assert.equal(lend(20).granted, 4);
    clock.advance(COUNTED_MS + 2000 - 500);
    assert.equal(account.describe().app, 6);
    clock.advance(1);
    assert.equal(account.describe().app, 0);
  });

  it('lends no parts of retries', () => {
    const { lend } = createAccount(2.9);
    assert.equal(lend(5).granted, 2);
  });

  it('counts what borrowers hold from the time at which it counts nowhere else', () => {
    const { clock, account, report, lend } = createAccount();
    assert.equal(lend(2).granted, 2);
    report('a', 0, 1000, COUNTED_MS + 1);
    report('b', 0, 0, 0);
    assert.equal(lend(20).granted, 10 - 2 - 4);
    clock.advance(1000);
    assert.deepEqual(account.describe(), { app: 11 });
    report('b');
    assert.equal(lend(20).granted, 2);
    clock.advance(COUNTED_MS - 999);
    assert.deepEqual(account.describe(), { app: 5 });
    report('a', 0);
    assert.equal(lend(20).granted, 7);
  });

  it('counts a loan that is held without a gap if a report comes late, twice, or out of order', () => {
    const { clock, account, lendUnconfirmed } = createAccount();
    lendUnconfirmed(10);
    /** Delivers a report that was sent at a time, with what it says of the only loans. */
    function deliver(askedAtMs: number): void {
      const countsInMs = new Array<number>(10).fill(100_000 + COUNTED_MS - askedAtMs);
      const held = { confirmedToMs: askedAtMs - RETRY_ARRIVAL_MS, countsInMs };
      const origin = { borrower: 'borrower', askedAtMs };
      account.lend({ service: 'app', origin, wanted: 0, reserved: 0, held });
    }
    const count = () => account.describe().app ?? 0;
    clock.advance(1000);
    deliver(clock.nowMs());
    const firstAtMs = clock.nowMs();
    clock.advance(COUNTED_MS - 1300);
    const lateAtMs = clock.nowMs();
    clock.advance(250);
    deliver(lateAtMs);
    deliver(lateAtMs);
    deliver(firstAtMs);
    for (let passedMs = 0; passedMs < 1000; passedMs += 10) {
      clock.advance(10);
      assert.ok(count() >= 10, `${count()} after ${passedMs} ms`);
    }
    assert.equal(count(), 10);
  });

  it('counts what a borrower holds until long after its last report', () => {
    const { clock, account, report } = createAccount();
    report('a', 0, 0);
    clock.advance(60_000 + WINDOW_MS);
    assert.deepEqual(account.describe(), { app: 2 });
    clock.advance(WINDOW_MS);
    assert.deepEqual(account.describe(), { app: 0 });
  });

  it('counts a loan for longer whose borrower ended before it could confirm it', () => {
    const { clock, account, report, lendUnconfirmed } = createAccount();
    lendUnconfirmed(2);
    clock.advance(1000);
    report('borrower');
    clock.advance(1000);
    assert.equal(lendUnconfirmed(3).granted, 3);
    report('another');
    clock.advance(COUNTED_MS + 1);
    assert.deepEqual(account.describe(), { app: 3 });
    assert.equal(lendUnconfirmed(20).granted, 7);
    report('another');
    clock.advance(UNCONFIRMED_MS - 1);
    assert.deepEqual(account.describe(), { app: 10 });
    clock.advance(1);
    assert.deepEqual(account.describe(), { app: 7 });
  });

  it('counts a loan no longer than the others if its borrower confirms none', () => {
    const { clock, account } = createAccount();
    account.setReserved('app', 3, clock.nowMs());
    assert.equal(account.lend({ service: 'app', wanted: 3, reserved: 0 }).granted, 3);
    clock.advance(COUNTED_MS + 1);
    assert.deepEqual(account.describe(), { app: 0 });
  });

  it('answers a request that arrives twice with the same loan', () => {
    const { clock, account, originOf } = createAccount();
    account.setReserved('app', 5, clock.nowMs());
    const origin = { ...originOf('a'), sequence: 1 };
    const request = { service: 'app', origin, wanted: 2, reserved: 0 };
    assert.equal(account.isRepeated(request), false);
    assert.equal(account.lend(request).granted, 2);
    assert.equal(account.isRepeated(request), true);
    assert.equal(account.missingFor({ ...request, wanted: 9 }), 0);
    assert.equal(account.lend(request).granted, 2);
    assert.deepEqual(account.describe(), { app: 2 });
    const others = [
      { ...originOf('b'), sequence: 1 },
      { ...originOf('a'), sequence: 2 },
    ];
    others.forEach((other) => account.lend({ ...request, origin: other, wanted: 1 }));
    assert.deepEqual(account.describe(), { app: 4 });
  });

  it('lends again what a borrower has not used', () => {
    const { clock, account, originOf } = createAccount();
    const ask = (
      borrower: string,
      sequence: number,
      wanted: number,
      unused?: readonly number[],
    ) => {
      const held = unused && { confirmedToMs: 0, countsInMs: [], unused };
      account.setReserved('app', 10, clock.nowMs());
      const origin = { ...originOf(borrower), sequence };
      return account.lend({ service: 'app', origin, wanted, reserved: 0, held }).granted;
    };
    assert.equal(ask('a', 1, 4), 4);
    assert.equal(ask('a', 2, 3), 3);
    assert.equal(ask('b', 1, 9), 3);
    assert.equal(ask('a', 3, 0, [1, 7]), 0);
    assert.deepEqual(account.describe(), { app: 6 });
    assert.equal(ask('a', 4, 0, [1]), 0);
    assert.equal(ask('b', 2, 9), 4);
  });

  it('ceases to count a loan whose borrower confirms it late', () => {
    const { clock, account, report, lendUnconfirmed } = createAccount();
    lendUnconfirmed(2);
    clock.advance(COUNTED_MS + 1);
    assert.deepEqual(account.describe(), { app: 2 });
    report('borrower');
    assert.deepEqual(account.describe(), { app: 0 });
  });
});
