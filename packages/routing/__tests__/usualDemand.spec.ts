import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { createUsualDemand } from '../src/usualDemand';

/** 21 small organisations and three large ones, which send half of all requests. */
const SMALL = Array.from({ length: 21 }, (_, index) => `small${index}`);
const LARGE = ['large0', 'large1', 'large2'];
const SMALL_PER_S = 1;
const LARGE_PER_S = 7;

function createDemand(seed = 1) {
  const clock = createManualClock();
  const random = createSeededRandom(seed);
  const demand = createUsualDemand({ clock });
  const send = (organisation: string, leavesInMs?: number) =>
    demand.recordAsk({ organisation, cost: 1, size: 1, leavesInMs });

  /** Sends requests at random times; `factorOf` multiplies the rate of an organisation. */
  function pass(durationMs: number, factorOf: (organisation: string) => number = () => 1): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 20) {
      clock.advance(20);
      const sendSome = (organisation: string, perS: number): void => {
        let expected = perS * factorOf(organisation) * 0.02;
        for (; expected > 0; expected -= 1) if (random.nextFloat() < expected) send(organisation);
      };
      SMALL.forEach((organisation) => sendSome(organisation, SMALL_PER_S));
      LARGE.forEach((organisation) => sendSome(organisation, LARGE_PER_S));
    }
  }

  return { clock, send, pass, weightOf: demand.weightOf };
}

describe('the usual demand of an organisation', () => {
  // Guards against a large organisation that gets as few slots as a small one.
  it('is its weight after two minutes, relative to the median organisation', () => {
    const { pass, weightOf } = createDemand();
    pass(120_000);
    LARGE.map(weightOf).forEach((weight) => assert.ok(weight > 5.2 && weight < 8.8, `${weight}`));
    SMALL.map(weightOf).forEach((weight) => assert.ok(weight >= 0.5 && weight < 1.6, `${weight}`));
  });

  // Guards against a flood that raises its own share.
  it('is less than doubled by ten times the usual requests for 6 s', () => {
    [1, 2, 3, 4, 5].forEach((seed) => {
      const { pass, weightOf } = createDemand(seed);
      pass(90_000);
      const before = weightOf('large0');
      let highest = 0;
      for (let passedMs = 0; passedMs < 12_000; passedMs += 1000) {
        pass(1000, (organisation) => (organisation === 'large0' && passedMs < 6000 ? 10 : 1));
        highest = Math.max(highest, weightOf('large0'));
      }
      assert.ok(highest < 2 * before, `${highest} after ${before}`);
      assert.ok(highest > 1.2 * before, 'the flood is seen');
    });
  });

  // Guards against callers that raise the weight of their organisation by asking again.
  it('counts a caller once that hangs up and asks again at once', () => {
    const weights = [1, 4].map((attempts) => {
      const { clock, send, pass, weightOf } = createDemand();
      for (let passedMs = 0; passedMs < 60_000; passedMs += 1000) {
        for (let attempt = 0; attempt < attempts; attempt += 1) {
          send('hasty', 20_000 - attempt * 100);
          clock.advance(100);
        }
        clock.advance((4 - attempts) * 100);
        pass(600);
      }
      return weightOf('hasty');
    });
    assert.equal(weights[1], weights[0]);
  });

  it('makes a new organisation the equal of the median one, and none smaller than half of it', () => {
    const { pass, send, weightOf } = createDemand();
    pass(60_000);
    assert.equal(weightOf('new'), 1);
    send('new');
    pass(3000);
    assert.ok(weightOf('new') > 0.8, `${weightOf('new')}`);
    pass(60_000);
    assert.equal(weightOf('new'), 0.5);
  });

  // Guards against a successor of a lost allocator that takes a flood for usual demand.
  it('is equal for all without a history of 30 s, and after a minute without requests as it was', () => {
    const { clock, pass, weightOf } = createDemand();
    pass(27_000, (organisation) => (organisation === 'large0' ? 10 : 1));
    assert.deepEqual([...SMALL, ...LARGE].map(weightOf), Array(24).fill(1));
    pass(60_000);
    const before = LARGE.map(weightOf);
    clock.advance(60_000);
    LARGE.map(weightOf).forEach((weight, index) =>
      assert.ok(Math.abs(weight / (before[index] ?? 0) - 1) < 0.2, `${weight}`),
    );
  });
});
