/** Virtual time that a test advances, with timers that run in order. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createManualClock } from '@spoolplank/shared';

interface Timer {
  readonly atMs: number;
  readonly run: () => void;
}

export function createVirtualTime(startMs = 100_000) {
  const clock = createManualClock(startMs);
  const timers: Timer[] = [];

  /** Index at which a timer is inserted to keep the list in the order of time. */
  function insertionIndexOf(atMs: number): number {
    let low = 0;
    let high = timers.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((timers[middle]?.atMs ?? 0) <= atMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  function schedule(run: () => void, delayMs: number): () => void {
    const timer = { atMs: clock.nowMs() + Math.max(0, delayMs), run };
    timers.splice(insertionIndexOf(timer.atMs), 0, timer);
    return () => {
      const index = timers.indexOf(timer);
      if (index >= 0) timers.splice(index, 1);
    };
  }

  return {
    clock,
    schedule,
    delay: (durationMs: number) =>
      new Promise<void>((resolve) => {
        schedule(resolve, durationMs);
      }),
    async pass(durationMs: number): Promise<void> {
      const endMs = clock.nowMs() + durationMs;
      // After a turn of the event loop, all pending promise callbacks have run.
      await nextTurn();
      for (;;) {
        const next = timers[0];
        if (!next || next.atMs > endMs) break;
        timers.shift();
        clock.advance(Math.max(0, next.atMs - clock.nowMs()));
        next.run();
        await nextTurn();
      }
      clock.advance(endMs - clock.nowMs());
    },
  };
}

export type VirtualTime = ReturnType<typeof createVirtualTime>;
