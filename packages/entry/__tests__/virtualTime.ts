/** Time that passes only when a test lets it, for parts that wait. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createManualClock } from '@spoolplank/shared';

interface Timer {
  readonly atMs: number;
  readonly run: () => void;
}

export function createVirtualTime(startMs = 100_000) {
  const clock = createManualClock(startMs);
  const timers: Timer[] = [];

  /** Where a timer belongs in the list, which is kept in the order of time. */
  function placeOf(atMs: number): number {
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
    timers.splice(placeOf(timer.atMs), 0, timer);
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
      // A turn of the event loop: everything that can go on has done so.
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
