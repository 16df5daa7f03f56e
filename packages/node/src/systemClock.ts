import { performance } from 'node:perf_hooks';
import type { Clock } from '@spoolplank/shared';

/** The clocks of the operating system. */
export interface ClockSources {
  /** Monotonic clock, which stops while the machine is suspended. */
  readonly steadyMs: () => number;
  /** Wall clock, which continues during a suspension and may be stepped in either direction. */
  readonly wallMs: () => number;
}

/**
 * Minimum gain of the wall clock on the monotonic clock between two readings that counts as a
 * suspension. It must be below the 70 ms that separate the end of one leader's lease from the
 * earliest start of another's, and above the effect of slewing, which gains 0.02 ms in 40 ms.
 */
const MIN_SUSPENSION_MS = 50;
/**
 * Maximum time between the two monotonic readings around a wall clock reading. A longer time means
 * that the process was interrupted in between.
 */
const MAX_READING_MS = 5;
const MAX_READING_ATTEMPTS = 10;

/**
 * Creates a clock whose `nowMs` includes the time for which the machine was suspended. The system's
 * monotonic clock excludes it, so a VM that resumes after seconds would still trust a lease or a
 * confirmation that has expired. A suspension is detected at the next reading, from the gain of the
 * wall clock.
 *
 * A wall clock that is stepped forward cannot be distinguished from a suspension and is counted as
 * one, so leases expire early; a step back is ignored. Whatever must not end early uses `steadyMs`.
 * A suspension during which the wall clock is stepped back by the same amount is not detected.
 */
export function createSystemClock({ steadyMs, wallMs }: ClockSources): Clock {
  let suspendedMs = 0;
  let wallOffsetMs = wallMs() - steadyMs();

  /** Reads by how much the wall clock is ahead of the monotonic clock, without an interruption. */
  function readWallOffsetMs(): number {
    let best = { offsetMs: 0, readingMs: Number.POSITIVE_INFINITY };
    for (
      let attempt = 0;
      attempt < MAX_READING_ATTEMPTS && best.readingMs > MAX_READING_MS;
      attempt += 1
    ) {
      const startMs = steadyMs();
      const offsetMs = wallMs() - startMs;
      const readingMs = steadyMs() - startMs;
      if (readingMs < best.readingMs) best = { offsetMs, readingMs };
    }
    return best.offsetMs;
  }

  function countSuspension(): void {
    const newOffsetMs = readWallOffsetMs();
    const offsetChangeMs = newOffsetMs - wallOffsetMs;
    if (offsetChangeMs > MIN_SUSPENSION_MS) suspendedMs += offsetChangeMs;
    wallOffsetMs = newOffsetMs;
  }

  return {
    nowMs() {
      const steadyNowMs = steadyMs();
      const offsetDriftMs = wallMs() - steadyNowMs - wallOffsetMs;
      // Two readings cost 0.1 us. The repeated readings are made only when these two differ.
      if (Math.abs(offsetDriftMs) > MIN_SUSPENSION_MS) countSuspension();
      else wallOffsetMs += offsetDriftMs;
      return steadyMs() + suspendedMs;
    },
    steadyMs,
    wallMs,
  };
}

/** The clock of the machine that the process runs on. */
export const SYSTEM_CLOCK: Clock = createSystemClock({
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
});

/** Runs a function after a delay; returns a function that cancels it. */
export function scheduleTimer(run: () => void, delayMs: number): () => void {
  const timer = setTimeout(run, delayMs);
  return () => clearTimeout(timer);
}

export function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
