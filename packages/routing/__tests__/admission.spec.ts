import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import PQueue from 'p-queue';
import { createAdmission, createFairQueueClass, createRetryBudget, FairQueue } from '..';
import type { FairQueueOptions } from '..';

describe('fair queue', () => {
  const run = () => Promise.resolve();

  function drain(
    queue: FairQueue,
    owners: ReadonlyMap<() => Promise<unknown>, string>,
    count: number,
  ): readonly string[] {
    return Array.from({ length: count }, () => owners.get(queue.dequeue() ?? run) ?? '');
  }

  function enqueue(
    queue: FairQueue,
    owners: Map<() => Promise<unknown>, string>,
    organisation: string,
    count: number,
    weight = 1,
  ): void {
    for (let item = 0; item < count; item += 1) {
      const task = () => Promise.resolve();
      owners.set(task, organisation);
      queue.enqueue(task, { organisation, weight });
    }
  }

  it('serves a small organisation while another one floods the queue', () => {
    const queue = new FairQueue();
    const owners = new Map<() => Promise<unknown>, string>();
    enqueue(queue, owners, 'flood', 1000);
    enqueue(queue, owners, 'small', 3);
    assert.equal(drain(queue, owners, 6).filter((owner) => owner === 'small').length, 3);
  });

  it('shares capacity by weight', () => {
    const queue = new FairQueue();
    const owners = new Map<() => Promise<unknown>, string>();
    enqueue(queue, owners, 'one', 100, 1);
    enqueue(queue, owners, 'three', 100, 3);
    const served = drain(queue, owners, 40).filter((owner) => owner === 'three').length;
    assert.ok(served >= 29 && served <= 31, `${served} of 40`);
  });

  it('evicts from the organisation with the longest queue for its weight, or by priority within its own', () => {
    const queue = new FairQueue();
    const add = (id: string, organisation: string, weight: number, priority = 5) =>
      queue.enqueue(() => Promise.resolve(id), { id, organisation, weight, priority });
    ['a1', 'a2', 'a3', 'a4'].forEach((id) => add(id, 'a', 4));
    ['b1', 'b2', 'b3'].forEach((id) => add(id, 'b', 1));
    assert.equal(queue.selectForEviction('c', 1, 5), 'b3');
    add('b0', 'b', 1, 9);
    assert.equal(queue.selectForEviction('c', 1, 5), 'b3', 'the newest of the lowest priority');
    assert.equal(
      queue.selectForEviction('b', 1, 5),
      undefined,
      'the lane of the new item would be the longest',
    );
    assert.equal(
      queue.selectForEviction('b', 1, 7),
      'b3',
      'it has a higher priority than an item of its own lane',
    );
  });

  it('serves higher priorities of an organisation first', () => {
    const queue = new FairQueue();
    const low = () => Promise.resolve();
    const high = () => Promise.resolve();
    queue.enqueue(low, { organisation: 'a', priority: 1 });
    queue.enqueue(high, { organisation: 'a', priority: 5 });
    assert.equal(queue.dequeue(), high);
  });

  it('skips an organisation without capacity, and works as a queue class of p-queue', async () => {
    let isBlocked = true;
    const done: string[] = [];
    const queue = new PQueue<FairQueue, FairQueueOptions>({
      concurrency: 1,
      queueClass: createFairQueueClass((organisation) => organisation !== 'full' || !isBlocked),
    });
    const task = (name: string) => () => Promise.resolve(done.push(name));
    await queue.add(task('first'), { organisation: 'other' });
    const blocked = queue.add(task('full'), { organisation: 'full' });
    await queue.add(task('other'), { organisation: 'other' });
    assert.deepEqual(done, ['first', 'other']);
    isBlocked = false;
    await queue.add(task('last'), { organisation: 'other' });
    await blocked;
    assert.deepEqual(done.slice(2).sort(), ['full', 'last']);
  });

  it('removes an aborted request from the queue', async () => {
    const queue = new PQueue<FairQueue, FairQueueOptions>({
      concurrency: 1,
      queueClass: createFairQueueClass(() => true),
    });
    let release = () => {};
    const running = queue.add(
      () =>
        new Promise<void>((resolve) => {
          release = resolve;
        }),
      {},
    );
    const controller = new AbortController();
    const waiting = queue.add(() => Promise.reject(new Error('it ran')), {
      id: 'w',
      signal: controller.signal,
    });
    controller.abort(new Error('given up'));
    await assert.rejects(waiting, /given up/);
    assert.equal(queue.size, 0);
    release();
    await running;
  });
});

describe('admission', () => {
  const branch = (maxInFlight: number, maxQueueLength: number) => [
    { pointer: '/organisations/a', policy: { maxInFlight, maxQueueLength } },
  ];

  it('refuses requests beyond the queue length as not run, with a retry-after time', () => {
    const admission = createAdmission();
    admission.admit(branch(1, 1));
    admission.admit(branch(1, 1));
    assert.throws(
      () => admission.admit(branch(1, 1)),
      (error: { code: string; outcome: string; retryAfterMs: number }) =>
        error.code === 'overloaded' && error.outcome === 'not-run' && error.retryAfterMs > 0,
    );
  });

  it('releases a request once, even if its end is recorded twice', () => {
    const admission = createAdmission();
    const ticket = admission.admit(branch(1, 0));
    ticket.start();
    ticket.end();
    ticket.end();
    assert.deepEqual(admission.counts(), []);
  });
});

describe('retry budget', () => {
  it('allows a share of the traffic in addition to the accumulated retries', () => {
    const budget = createRetryBudget({ share: 0.1, maxSaved: 2 });
    assert.deepEqual([budget.spend(), budget.spend(), budget.spend()], [true, true, false]);
    for (let requests = 0; requests < 11; requests += 1) budget.earn();
    assert.deepEqual([budget.spend(), budget.spend()], [true, false]);
  });
});
