import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createAdmissionQueue } from '../src/admission/admissionQueue';
import type { QueueEntry } from '../src/admission/admissionQueue';

function createQueue(maxLength = 10) {
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
  });
  let slots = 0;
  const taken: string[] = [];

  async function settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  }

  return {
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
