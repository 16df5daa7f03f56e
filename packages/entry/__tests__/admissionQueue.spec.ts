import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compareQueued, DEFAULT_DECISIONS } from '@spoolplank/routing';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { createAdmissionQueue } from '../src/admission/admissionQueue';
import type { AdmissionQueueOptions, QueueEntry } from '../src/admission/admissionQueue';

function createQueue(maxLength = 10, options: Partial<AdmissionQueueOptions> = {}) {
  const clock = createManualClock();
  const sleepers: (() => void)[] = [];
  const queue = createAdmissionQueue({
    clock,
    delay: () =>
      new Promise((resolve) => {
        sleepers.push(resolve);
      }),
    maxLength,
    pollMs: 10,
    ...options,
  });
  let slots = 0;
  const taken: string[] = [];

  async function settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  }

  return {
    clock,
    queue,
    taken,
    free: (count: number) => {
      slots += count;
    },
    enter(name: string, overrides: Partial<QueueEntry<string>> = {}) {
      return queue.enqueue({
        priority: 1,
        arrivedAtMs: clock.nowMs(),
        latestStartAtMs: clock.nowMs() + 100,
        queueDeadlineAtMs: clock.nowMs() + 100,
        isRetry: false,
        find() {
          if (slots === 0) return undefined;
          slots -= 1;
          taken.push(name);
          return name;
        },
        isAbandoned: () => false,
        ...overrides,
      });
    },
    async pass(durationMs: number): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
        clock.advance(10);
        sleepers.splice(0).forEach((wake) => wake());
        await settle();
      }
    },
  };
}

describe('the queue of requests that wait for a slot', () => {
  it('grants a free slot without waiting', async () => {
    const { enter, free, queue } = createQueue();
    free(1);
    assert.equal(await enter('a'), 'a');
    assert.equal(queue.length, 0);
  });

  it('grants slots by priority, then by arrival, ahead of later requests', async () => {
    const { enter, free, pass, taken } = createQueue();
    const waits = [enter('a'), enter('b'), enter('urgent', { priority: 0 })];
    free(2);
    const late = enter('late');
    await pass(50);
    free(2);
    await pass(50);
    await Promise.all([...waits, late]);
    assert.deepEqual(taken, ['urgent', 'a', 'b', 'late']);
  });

  it('drops requests that expired, were abandoned, or exceed the maximum length', async () => {
    const { enter, pass, queue } = createQueue(2);
    let hasLeft = false;
    const waits = [enter('a'), enter('b', { isAbandoned: () => hasLeft })];
    assert.equal(await enter('late', { latestStartAtMs: 0 }), undefined);
    hasLeft = true;
    await pass(10);
    assert.equal(queue.length, 1);
    await pass(100);
    assert.deepEqual(await Promise.all(waits), [undefined, undefined]);
    assert.equal(queue.length, 0);
  });

  it('grants a slot only after the previous one counts as in flight', async () => {
    const { enter, free, pass, taken } = createQueue();
    const waits = ['a', 'b', 'c'].map((name) => enter(name));
    free(3);
    await pass(10);
    assert.deepEqual(taken, ['a']);
    await pass(20);
    assert.deepEqual(taken, ['a', 'b', 'c']);
    await Promise.all(waits);
  });

  it('continues with the other requests when the search for a slot throws for one of them', async () => {
    const { enter, free, pass, queue } = createQueue();
    let looks = 0;
    const failing = enter('failing', {
      priority: 0,
      find() {
        looks += 1;
        if (looks > 1) throw new Error('no view');
        return undefined;
      },
    });
    const isFailed = assert.rejects(failing, /no view/);
    const other = enter('other');
    free(1);
    await pass(30);
    await isFailed;
    assert.equal(await other, 'other');
    assert.equal(queue.length, 0);
  });

  it('refuses a request at once if it would wait in vain at the rate of granted slots', async () => {
    const { enter, free, pass } = createQueue(100);
    free(6);
    await Promise.all(['1', '2', '3', '4', '5', '6'].map((name) => enter(name)));
    // At four slots a second and a wait of 100 ms, a request with another one ahead waits in vain.
    const first = enter('first');
    let isRefused = false;
    const second = enter('second').then((slot) => {
      isRefused = slot === undefined;
    });
    await pass(10);
    assert.equal(isRefused, true);
    await pass(100);
    await Promise.all([first, second]);
  });
});

describe('the cost of a grant', () => {
  const ORGANISATIONS = 24;

  /** Counts reads of queued requests while ten slots are granted, and tries after that. */
  async function countOperations(waiting: number, revision?: () => number) {
    const counts = { reads: 0, tries: 0, freeSlots: 0 };
    const { clock, queue, pass } = createQueue(1000, {
      sharing: DEFAULT_DECISIONS.sharing,
      ...(revision ? { revision } : {}),
    });
    const createEntry = (index: number): QueueEntry<string> => ({
      priority: 1,
      arrivedAtMs: clock.nowMs(),
      latestStartAtMs: clock.nowMs() + 5000 + index,
      queueDeadlineAtMs: clock.nowMs() + 9000,
      isRetry: false,
      organisation: `o${index % ORGANISATIONS}`,
      find() {
        counts.tries += 1;
        if (counts.freeSlots === 0) return undefined;
        counts.freeSlots -= 1;
        return 'slot';
      },
      isAbandoned: () => false,
    });
    const countReads = (entry: QueueEntry<string>) =>
      new Proxy(entry, {
        get(target, name) {
          counts.reads += 1;
          return Reflect.get(target, name) as unknown;
        },
      });
    for (let index = 0; index < waiting; index += 1) {
      void queue.enqueue(countReads(createEntry(index)));
    }
    await pass(10);
    Object.assign(counts, { reads: 0, freeSlots: 10 });
    await pass(200);
    assert.equal(queue.length, waiting - 10);
    const granting = counts.reads;
    counts.tries = 0;
    await pass(100);
    return { granting, tries: counts.tries };
  }

  // Guards against a sort of the whole queue at each look for slots.
  it('does not grow with the number of queued requests', async () => {
    const few = await countOperations(100);
    const many = await countOperations(800);
    assert.ok(many.granting < 1.3 * few.granting, `${few.granting} and ${many.granting} reads`);
  });

  it('does not include tries that must fail, until something is released', async () => {
    let revision = 1;
    const unchanged = await countOperations(100, () => revision);
    const changing = await countOperations(100, () => {
      revision += 1;
      return revision;
    });
    assert.ok(unchanged.tries <= 6, `${unchanged.tries} tries in 100 ms`);
    assert.equal(changing.tries, 30);
  });
});

describe('the order of grants', () => {
  // Guards against requests that stay in the line of a group which they have left.
  it('is that of compareQueued at the time of each grant', async () => {
    const random = createSeededRandom(1);
    const { clock, queue, pass } = createQueue(1000);
    const waiting = new Set<QueueEntry<string>>();
    const counts = { freeSlots: 0, granted: 0, passedOver: 0 };
    const createEntry = (nowMs: number): QueueEntry<string> => {
      const entry: QueueEntry<string> = {
        priority: random.nextInt(2),
        arrivedAtMs: nowMs - random.nextInt(200),
        latestStartAtMs: nowMs + random.nextInt(500) - 150,
        queueDeadlineAtMs: nowMs + 200 + random.nextInt(1000),
        isRetry: random.nextInt(3) === 0,
        hasBegun: random.nextInt(10) === 0,
        find() {
          if (counts.freeSlots === 0 || !waiting.has(entry)) return undefined;
          const earlier = [...waiting].filter(
            (other) =>
              other.queueDeadlineAtMs > clock.nowMs() &&
              compareQueued(other, entry, clock.nowMs()) < 0,
          );
          counts.passedOver += earlier.length;
          counts.freeSlots -= 1;
          counts.granted += 1;
          waiting.delete(entry);
          return 'slot';
        },
        isAbandoned: () => false,
      };
      return entry;
    };
    for (let turn = 0; turn < 400; turn += 1) {
      const entry = createEntry(clock.nowMs());
      void queue.enqueue(entry).then(() => waiting.delete(entry));
      waiting.add(entry);
      counts.freeSlots = turn % 2;
      await pass(10);
    }
    assert.equal(counts.passedOver, 0);
    assert.ok(counts.granted > 150, `${counts.granted} granted`);
  });
});

describe('the number of requests ahead', () => {
  // Guards against a forecast for an empty queue: between two passes the first request of a line
  // becomes late, and all others of the line were taken for late with it.
  it('includes requests in time that are behind one that became late since the last pass', async () => {
    const { clock, queue, enter } = createQueue();
    const nowMs = clock.nowMs();
    const queueDeadlineAtMs = nowMs + 1000;
    [5, 100, 200].forEach((inTimeForMs) => {
      void enter(`r${inTimeForMs}`, { latestStartAtMs: nowMs + inTimeForMs, queueDeadlineAtMs });
    });
    clock.advance(6);
    const counts: number[] = [];
    const isHopeless = (ahead: number) => counts.push(ahead) > 0;
    const newest = { latestStartAtMs: nowMs + 400, queueDeadlineAtMs, isHopeless };
    assert.equal(await enter('newest', newest), undefined);
    assert.deepEqual(counts, [2]);
    assert.equal(queue.length, 3);
  });
});
