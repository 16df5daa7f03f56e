import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compareQueued, isHopeless } from '../src/queueOrder';
import type { QueuedRequest } from '../src/queueOrder';

const NOW_MS = 10_000;

function createQueued(overrides: Partial<QueuedRequest> = {}): QueuedRequest {
  return {
    priority: 1,
    arrivedAtMs: NOW_MS,
    inTimeUntilMs: NOW_MS + 350,
    leavesAtMs: NOW_MS + 1200,
    isRetry: false,
    ...overrides,
  };
}

const LATE = createQueued({ arrivedAtMs: NOW_MS - 600, inTimeUntilMs: NOW_MS - 250 });
const RETURNED = createQueued({ inTimeUntilMs: NOW_MS - 2000, isRetry: true });
const isFirst = (a: QueuedRequest, b: QueuedRequest) => compareQueued(a, b, NOW_MS) < 0;

describe('who gets the next slot', () => {
  it('is one that can still be in time before one that cannot', () => {
    assert.ok(isFirst(createQueued(), LATE));
    assert.ok(isFirst(createQueued(), RETURNED));
  });

  it('is one that came back before one that can still do so', () => {
    assert.ok(isFirst(RETURNED, LATE));
  });

  it('is one that came back and is about to leave before everybody', () => {
    const leaving = createQueued({ ...RETURNED, leavesAtMs: NOW_MS + 200 });
    assert.ok(isFirst(leaving, createQueued()));
  });

  it('is the one with the least time left among those that can be in time', () => {
    assert.ok(isFirst(createQueued({ inTimeUntilMs: NOW_MS + 100 }), createQueued()));
  });

  it('is the more urgent one whatever else', () => {
    assert.ok(isFirst(createQueued({ ...LATE, priority: 0 }), createQueued()));
  });

  it('keeps callers in time while more of them come than there are slots', () => {
    // 90 requests a second for three seconds, 60 slots: replayed against the order of arrival.
    const simulate = (order: (a: QueuedRequest, b: QueuedRequest, nowMs: number) => number) => {
      let queue: QueuedRequest[] = [];
      let inTime = 0;
      for (let ms = 0; ms < 6000; ms += 1) {
        if (ms < 3000 && Math.floor((ms * 90) / 1000) > Math.floor(((ms - 1) * 90) / 1000)) {
          const times = { arrivedAtMs: ms, inTimeUntilMs: ms + 350, leavesAtMs: ms + 1200 };
          queue.push(createQueued(times));
        }
        queue = queue.filter(({ leavesAtMs }) => leavesAtMs > ms);
        if (Math.floor((ms * 60) / 1000) > Math.floor(((ms - 1) * 60) / 1000)) {
          queue.sort((a, b) => order(a, b, ms));
          const served = queue.shift();
          if (served && served.inTimeUntilMs >= ms) inTime += 1;
        }
      }
      return inTime;
    };
    const byArrival = simulate((a, b) => a.arrivedAtMs - b.arrivedAtMs);
    const byOrder = simulate(compareQueued);
    assert.ok(byOrder > 1.8 * byArrival, `${byOrder} in time, ${byArrival} by arrival`);
  });
});

describe('a wait', () => {
  it('is hopeless when those ahead take longer than what is left', () => {
    assert.equal(isHopeless({ ahead: 11, slotsPerS: 10, remainingMs: 1000 }), true);
    assert.equal(isHopeless({ ahead: 8, slotsPerS: 10, remainingMs: 1000 }), false);
  });

  it('is never hopeless while nothing is known of slots: a chain may come back', () => {
    assert.equal(isHopeless({ ahead: 30, slotsPerS: 0, remainingMs: 1000 }), false);
  });

  it('is hopeless by a limit however low that is, as a limit is certain', () => {
    const forecast = { ahead: 0, slotsPerS: 0, remainingMs: 1000 };
    assert.equal(isHopeless({ ...forecast, limitedPerS: 0.5 }), true);
    assert.equal(isHopeless({ ...forecast, limitedPerS: 2 }), false);
    assert.equal(isHopeless({ ...forecast, ahead: 2, limitedPerS: 2 }), true);
    assert.equal(isHopeless({ ...forecast, limitedPerS: null }), false);
  });
});
