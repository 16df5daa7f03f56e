import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compareQueued } from '../src/queueOrder';
import type { QueuedRequest } from '../src/queueOrder';

const NOW_MS = 10_000;

function createQueued(overrides: Partial<QueuedRequest> = {}): QueuedRequest {
  return {
    priority: 1,
    arrivedAtMs: NOW_MS,
    latestStartAtMs: NOW_MS + 350,
    queueDeadlineAtMs: NOW_MS + 1200,
    isRetry: false,
    ...overrides,
  };
}

const LATE = createQueued({ arrivedAtMs: NOW_MS - 600, latestStartAtMs: NOW_MS - 250 });
const RETURNED = createQueued({ latestStartAtMs: NOW_MS - 2000, isRetry: true });
const isFirst = (a: QueuedRequest, b: QueuedRequest) => compareQueued(a, b, NOW_MS) < 0;

describe('the next slot', () => {
  it('goes to a request that can still be in time before one that cannot', () => {
    assert.ok(isFirst(createQueued(), LATE));
    assert.ok(isFirst(createQueued(), RETURNED));
  });

  it('goes to a late retry before a late first attempt', () => {
    assert.ok(isFirst(RETURNED, LATE));
  });

  it('goes first to a retry that is about to leave the queue', () => {
    const leaving = createQueued({ ...RETURNED, queueDeadlineAtMs: NOW_MS + 200 });
    assert.ok(isFirst(leaving, createQueued()));
  });

  it('goes to the request with the least time left among those that can be in time', () => {
    assert.ok(isFirst(createQueued({ latestStartAtMs: NOW_MS + 100 }), createQueued()));
  });

  it('goes to the request of higher priority regardless of its class', () => {
    assert.ok(isFirst(createQueued({ ...LATE, priority: 0 }), createQueued()));
  });

  // Guards against route priorities that have no effect where all organisations have a priority.
  it('goes to the more urgent class among organisations of one priority', () => {
    const urgent = createQueued({ ...LATE, classPriority: 0 });
    const patient = createQueued({ classPriority: 2 });
    assert.ok(isFirst(urgent, patient));
    assert.ok(isFirst(createQueued({ ...patient, priority: 0 }), urgent));
    assert.ok(isFirst({ ...patient, hasBegun: true }, urgent), 'a stream that has begun');
    assert.ok(isFirst(urgent, createQueued()), 'an ask of an older VM is of the class 1');
  });

  it('keeps more callers in time than arrival order when slots are scarce', () => {
    // Simulates 90 requests per second for three seconds with 60 slots per second, and compares the
    // result with the order of arrival.
    const simulate = (order: (a: QueuedRequest, b: QueuedRequest, nowMs: number) => number) => {
      let queue: QueuedRequest[] = [];
      let inTime = 0;
      for (let ms = 0; ms < 6000; ms += 1) {
        if (ms < 3000 && Math.floor((ms * 90) / 1000) > Math.floor(((ms - 1) * 90) / 1000)) {
          const times = {
            arrivedAtMs: ms,
            latestStartAtMs: ms + 350,
            queueDeadlineAtMs: ms + 1200,
          };
          queue.push(createQueued(times));
        }
        queue = queue.filter(({ queueDeadlineAtMs }) => queueDeadlineAtMs > ms);
        if (Math.floor((ms * 60) / 1000) > Math.floor(((ms - 1) * 60) / 1000)) {
          queue.sort((a, b) => order(a, b, ms));
          const served = queue.shift();
          if (served && served.latestStartAtMs >= ms) inTime += 1;
        }
      }
      return inTime;
    };
    const byArrival = simulate((a, b) => a.arrivedAtMs - b.arrivedAtMs);
    const byOrder = simulate(compareQueued);
    assert.ok(byOrder > 1.8 * byArrival, `${byOrder} in time, ${byArrival} by arrival`);
  });
});
