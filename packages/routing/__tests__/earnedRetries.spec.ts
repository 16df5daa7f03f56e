import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import { createEarnedRetries } from '../src/earnedRetries';
import type { EarnedRetries } from '../src/earnedRetries';

const WINDOW_MS = 10_000;
const RATIO = 0.2;

function createRetries() {
  const clock = createManualClock(100_000);
  return { clock, retries: createEarnedRetries({ clock, windowMs: WINDOW_MS, ratio: RATIO }) };
}

function earn(retries: EarnedRetries, count: number, sentAfterMs: number): void {
  for (let index = 0; index < count; index += 1) retries.earn(sentAfterMs);
}

/** Takes all retries that are left; each arrives at once. */
function takeAll(clock: Pick<ManualClock, 'advance'>, retries: EarnedRetries): number {
  let taken = 0;
  for (;;) {
    const takenAtMs = retries.take();
    if (takenAtMs === null) return taken;
    // Time passes until the server has answered.
    clock.advance(0.001);
    retries.settle(takenAtMs);
    taken += 1;
  }
}

interface TakenRetry {
  readonly retries: EarnedRetries;
  readonly takenAtMs: number;
}

/** Takes all retries that are left; they are under way. */
function listTaken(retries: EarnedRetries): readonly TakenRetry[] {
  const taken: TakenRetry[] = [];
  for (;;) {
    const takenAtMs = retries.take();
    if (takenAtMs === null) return taken;
    taken.push({ retries, takenAtMs });
  }
}

/** Counts retries that arrive now in the last of the steps. */
function countArrivals(arrived: number[], taken: readonly TakenRetry[]): void {
  arrived.push((arrived.pop() ?? 0) + taken.length);
  taken.forEach(({ retries, takenAtMs }) => retries.settle(takenAtMs));
}

describe('the retries that the requests of a VM earn', () => {
  it('are none at its start', () => {
    assert.equal(createRetries().retries.take(), null);
    const { clock, retries } = createRetries();
    earn(retries, 5, clock.steadyMs());
    assert.equal(retries.take(), null);
  });

  it('are used nearly up to the ratio while they are needed all the time', () => {
    const { clock, retries } = createRetries();
    let taken = 0;
    for (let index = 0; index < 2000; index += 1) {
      retries.earn(clock.steadyMs());
      if (index >= 1000) taken += takeAll(clock, retries);
      clock.advance(10);
    }
    assert.ok(taken >= 0.9 * RATIO * 1000 && taken <= RATIO * 1000, `${taken}`);
  });

  it('are saved for one window, up to a tenth of what its requests earn', () => {
    const { clock, retries } = createRetries();
    earn(retries, 1000, clock.steadyMs());
    assert.equal(retries.describe().saved, 20);
    clock.advance(WINDOW_MS + 1);
    assert.equal(takeAll(clock, retries), 0);
  });

  it('are saved whole by a VM with few requests only on a credit', () => {
    const countTaken = (hasCredit: boolean, isAnswered: boolean) => {
      const clock = createManualClock(100_000);
      const options = { clock, windowMs: WINDOW_MS, ratio: RATIO, hasCredit: () => hasCredit };
      const retries = createEarnedRetries(options);
      let taken = 0;
      for (let index = 0; index < 200; index += 1) {
        earn(retries, 1, clock.steadyMs());
        clock.advance(1000);
        const takenAtMs = retries.take();
        if (takenAtMs !== null) taken += 1;
        if (takenAtMs !== null && isAnswered) retries.settle(takenAtMs);
      }
      return taken;
    };
    const answered = countTaken(true, true);
    assert.ok(answered >= 0.8 * RATIO * 200 && answered <= RATIO * 200, `${answered}`);
    const unanswered = countTaken(true, false);
    assert.ok(unanswered >= 10 && unanswered <= RATIO * 200, `${unanswered}`);
    assert.equal(countTaken(false, true), 0);
  });

  it('need a credit where a tenth of what the requests earn is less than a retry and a half', () => {
    const { clock, retries } = createRetries();
    assert.equal(retries.needsCredit(), false);
    earn(retries, 5, clock.steadyMs());
    assert.equal(retries.needsCredit(), true);
    earn(retries, 70, clock.steadyMs());
    assert.equal(retries.needsCredit(), false);
  });

  it('are no more than a tenth of what the requests earn once a credit has ended', () => {
    const clock = createManualClock(100_000);
    const state = { hasCredit: true };
    const hasCredit = () => state.hasCredit;
    const retries = createEarnedRetries({ clock, windowMs: WINDOW_MS, ratio: RATIO, hasCredit });
    earn(retries, 20, clock.steadyMs());
    assert.ok(retries.describe().saved > 1);
    state.hasCredit = false;
    assert.equal(retries.take(), null);
    assert.ok(retries.describe().saved <= 0.1 * RATIO * 20);
  });

  it('are returned when they were not sent', () => {
    const { clock, retries } = createRetries();
    earn(retries, 60, clock.steadyMs());
    assert.ok(retries.take());
    assert.equal(retries.take(), null);
    retries.refund(clock.steadyMs());
    assert.ok(retries.take());
    assert.equal(retries.take(), null);
  });

  it('are no more than may be saved when they are read together after they have waited', () => {
    const { clock, retries } = createRetries();
    for (let index = 0; index < 1000; index += 1) {
      retries.earn(clock.steadyMs());
      takeAll(clock, retries);
      clock.advance(10);
    }
    const sentAfterMs = clock.steadyMs();
    clock.advance(4000);
    let taken = 0;
    for (let index = 0; index < 400; index += 1) {
      retries.earn(sentAfterMs);
      taken += takeAll(clock, retries);
    }
    assert.ok(taken > 0 && taken <= 0.1 * RATIO * 1000, `${taken}`);
  });

  it('are used nearly up to the ratio by a VM that reads each request half a second late', () => {
    const { clock, retries } = createRetries();
    let taken = 0;
    for (let index = 0; index < 2000; index += 1) {
      retries.earn(clock.steadyMs() - 500);
      if (index >= 1000) taken += takeAll(clock, retries);
      clock.advance(10);
    }
    assert.ok(taken >= 0.89 * RATIO * 1000 && taken <= RATIO * 1000, `${taken}`);
  });

  it('are not earned by requests that were sent before the window', () => {
    const { clock, retries } = createRetries();
    earn(retries, 1000, clock.steadyMs() - WINDOW_MS - 1);
    assert.deepEqual(retries.describe(), { requests: 0, saved: 0, underWay: 0 });
  });

  // A VM that shares the ratio by its own window uses it twice when demand moves to another VM.
  it('stay within the ratio for the sum over VMs whose demand moves and that restart', () => {
    for (let seed = 1; seed <= 300; seed += 1) {
      const random = createSeededRandom(seed);
      const clock = createManualClock(100_000);
      const create = () => createEarnedRetries({ clock, windowMs: WINDOW_MS, ratio: RATIO });
      const vms = Array.from({ length: 5 }, create);
      const requests: number[] = [];
      const taken: number[] = [];
      let pauses = 1;
      let used = 5;
      let isNeeded = false;
      for (let step = 0; step < 1200; step += 1) {
        if (random.nextInt(100) === 0) pauses = 1 + random.nextInt(10);
        if (random.nextInt(100) === 0) used = 1 + random.nextInt(5);
        if (random.nextInt(100) === 0) isNeeded = !isNeeded;
        if (random.nextInt(200) === 0) vms[random.nextInt(5)] = create();
        const count = Math.ceil(20 / pauses);
        for (let index = 0; index < count; index += 1) {
          vms[random.nextInt(used)]?.earn(clock.steadyMs());
        }
        requests.push(count);
        taken.push(isNeeded ? vms.reduce((sum, vm) => sum + takeAll(clock, vm), 0) : 0);
        clock.advance(50);
      }
      const windowSteps = WINDOW_MS / 50;
      const sumOf = (list: readonly number[], from: number) =>
        list.slice(Math.max(0, from), Math.max(0, from + windowSteps)).reduce((a, b) => a + b, 0);
      for (let from = 0; from + windowSteps <= taken.length; from += 10) {
        const earliest = from - windowSteps;
        const most = Math.max(sumOf(requests, from), sumOf(requests, earliest));
        assert.ok(sumOf(taken, from) <= RATIO * most, `seed ${seed}, step ${from}`);
      }
    }
  });

  // VMs that each save a whole retry of few requests save more than the ratio leaves room for.
  it('stay within the ratio when the demand of many VMs with few requests moves to one', () => {
    const VMS = 78;
    const REQUESTS_PER_VM = 12;
    const SAVING_WINDOWS = 6;
    const clock = createManualClock(100_000);
    const create = () => createEarnedRetries({ clock, windowMs: WINDOW_MS, ratio: RATIO });
    const vms = Array.from({ length: VMS }, create);
    const [last] = vms;
    assert.ok(last);
    const pauseMs = WINDOW_MS / REQUESTS_PER_VM;
    for (let index = 0; index < SAVING_WINDOWS * REQUESTS_PER_VM; index += 1) {
      vms.forEach((vm) => vm.earn(clock.steadyMs()));
      clock.advance(pauseMs);
    }
    let taken = vms.reduce((sum, vm) => sum + takeAll(clock, vm), 0);
    const requests = VMS * REQUESTS_PER_VM;
    for (let index = 0; index < requests - 1; index += 1) {
      last.earn(clock.steadyMs());
      taken += takeAll(clock, last);
      clock.advance((WINDOW_MS - 1) / requests);
    }
    assert.ok(taken <= RATIO * requests, `${taken} of ${RATIO * requests}`);
  });

  // A VM that dates requests by when it reads them earns those of 14 s in 10 s.
  it('stay within the ratio of the requests sent, while VMs stand still and read them later', () => {
    const STEP_MS = 50;
    for (let seed = 1; seed <= 300; seed += 1) {
      const random = createSeededRandom(seed);
      const clock = createManualClock(100_000);
      const create = () => ({
        retries: createEarnedRetries({ clock, windowMs: WINDOW_MS, ratio: RATIO }),
        unread: 0,
        lastReadMs: clock.steadyMs(),
        awakeAtMs: 0,
      });
      const vms = Array.from({ length: 5 }, create);
      const requests: number[] = [];
      const taken: number[] = [];
      let isNeeded = true;
      for (let step = 0; step < 1200; step += 1) {
        if (random.nextInt(200) === 0) isNeeded = !isNeeded;
        if (random.nextInt(400) === 0) vms[random.nextInt(5)] = create();
        const suspended = random.nextInt(100) === 0 ? vms : vms.slice(random.nextInt(6), 1);
        const awakeAtMs = clock.steadyMs() + random.nextInt(2 * WINDOW_MS);
        if (random.nextInt(20) === 0) suspended.forEach((vm) => Object.assign(vm, { awakeAtMs }));
        for (let index = 0; index < 20; index += 1) {
          const vm = vms[random.nextInt(5)];
          if (vm) vm.unread += 1;
        }
        requests.push(20);
        const reading = vms.filter((vm) => clock.steadyMs() >= vm.awakeAtMs);
        let takenNow = 0;
        for (const vm of reading) {
          // Retries are sent while the VM still reads what waited.
          for (let read = 0; vm.unread > 0 && read < 12; read += 1) {
            vm.unread -= 1;
            vm.retries.earn(vm.lastReadMs);
            if (isNeeded) takenNow += takeAll(clock, vm.retries);
          }
          if (vm.unread === 0) vm.lastReadMs = clock.steadyMs();
        }
        taken.push(takenNow);
        clock.advance(STEP_MS);
      }
      const windowSteps = WINDOW_MS / STEP_MS;
      for (let from = 0; from + windowSteps <= taken.length; from += 10) {
        const used = taken.slice(from, from + windowSteps).reduce((a, b) => a + b, 0);
        const allowed = RATIO * 20 * windowSteps;
        assert.ok(used <= allowed, `seed ${seed}, step ${from}: ${used} of ${allowed}`);
      }
    }
  });

  it('are not saved again while they may still arrive, for a window', () => {
    const { clock, retries } = createRetries();
    const take = () => {
      let taken = 0;
      while (retries.take() !== null) taken += 1;
      return taken;
    };
    earn(retries, 1000, clock.steadyMs());
    assert.equal(take(), 20);
    clock.advance(WINDOW_MS / 2);
    earn(retries, 500, clock.steadyMs());
    assert.equal(take(), 10, 'a tenth of what 1500 requests earn, less 20');
    clock.advance(WINDOW_MS / 2 + 1);
    earn(retries, 500, clock.steadyMs());
    assert.equal(take(), 10, 'a tenth of what 1000 requests earn, less 10');
  });

  it('are saved no longer when there are fewer requests and others may still arrive', () => {
    const { clock, retries } = createRetries();
    earn(retries, 500, clock.steadyMs());
    clock.advance(WINDOW_MS / 2);
    earn(retries, 500, clock.steadyMs());
    for (let taken = 0; taken < 10; taken += 1) assert.ok(retries.take());
    assert.equal(retries.describe().saved, 10);
    clock.advance(WINDOW_MS / 2 + 1);
    assert.equal(retries.describe().saved, 0);
  });

  // A VM that forgets retries once they are sent has those that wait at servers besides.
  it('stay within the ratio by arrival, while servers stand still and read them later', () => {
    const STEP_MS = 49;
    for (let seed = 1; seed <= 300; seed += 1) {
      const random = createSeededRandom(seed);
      const clock = createManualClock(100_000);
      const create = () => createEarnedRetries({ clock, windowMs: WINDOW_MS, ratio: RATIO });
      const vms = Array.from({ length: 5 }, create);
      const requestsPerStep = [4, 20, 100][seed % 3] ?? 20;
      const arrived: number[] = [];
      const waiting: TakenRetry[] = [];
      let awakeAtMs = 0;
      for (let step = 0; step < 1200; step += 1) {
        const isAwake = clock.steadyMs() >= awakeAtMs;
        if (isAwake && random.nextInt(60) === 0) {
          awakeAtMs = clock.steadyMs() + random.nextInt(WINDOW_MS);
        }
        for (let index = 0; index < requestsPerStep; index += 1) {
          vms[random.nextInt(5)]?.earn(clock.steadyMs());
        }
        arrived.push(0);
        if (isAwake) {
          countArrivals(arrived, waiting.splice(0));
        }
        const taken = vms.flatMap((retries) => listTaken(retries));
        const late = isAwake ? [] : taken.filter(() => random.nextInt(2) === 0);
        waiting.push(...late);
        countArrivals(
          arrived,
          taken.filter((retry) => !late.includes(retry)),
        );
        clock.advance(STEP_MS);
      }
      const windowSteps = Math.ceil(WINDOW_MS / STEP_MS);
      const allowed = RATIO * requestsPerStep * windowSteps;
      for (let from = 0; from + windowSteps <= arrived.length; from += 1) {
        const used = arrived.slice(from, from + windowSteps).reduce((a, b) => a + b, 0);
        assert.ok(used <= allowed, `seed ${seed}, step ${from}: ${used} of ${allowed}`);
      }
    }
  });
});
