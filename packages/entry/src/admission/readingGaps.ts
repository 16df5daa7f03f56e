/**
 * Tells how long requests may have waited unread. While this process is stopped or its processor is
 * busy, requests wait in the buffers of the operating system, which does not say since when. The
 * last moment at which the process is known to have run bounds the time at which they were sent.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface ReadingGapsOptions {
  readonly clock: Pick<Clock, 'nowMs' | 'steadyMs'>;
  readonly log: Pick<EventLog, 'info'>;
  readonly metrics: Pick<Metrics, 'observe'>;
}

export interface ReadingGaps {
  /** Records that the process runs; called periodically, and when a request has been read. */
  mark(): void;
  /**
   * Lower bound of the time at which the caller sent a request, on the clock `steadyMs`.
   * `arrivedAtMs` is the time at which it was read, on the clock `nowMs`.
   */
  sentAfterMs(arrivedAtMs: number): number;
}

interface Gap {
  /** Last moment before the gap at which the process ran, on `steadyMs`. */
  readonly startSteadyMs: number;
  /** The same on `nowMs`. */
  readonly startMs: number;
  /** Until when requests that waited during the gap may still be read, on `nowMs`. */
  readonly readUntilMs: number;
}

/** Longer than the interval between two marks of a process that runs. */
const MIN_GAP_MS = 300;
/** Covers a gap that is too short to be noticed, and a packet that is sent again on the way. */
const MAX_DELIVERY_MS = 300;
/** Age from which a gap is forgotten; requests wait less long before they are dispatched. */
const KEPT_MS = 10_000;

export function createReadingGaps({ clock, log, metrics }: ReadingGapsOptions): ReadingGaps {
  let lastMs = clock.nowMs();
  let lastSteadyMs = clock.steadyMs();
  let gaps: readonly Gap[] = [];

  function recordGap(nowMs: number): void {
    const durationMs = nowMs - lastMs;
    metrics.observe('spoolplank_reading_gap_ms', durationMs);
    log.info('reading-gap', { durationMs: Math.round(durationMs) });
    gaps = [
      // A process that is stopped again reads nothing meanwhile.
      ...gaps
        .filter(({ readUntilMs }) => readUntilMs > nowMs - KEPT_MS)
        .map((gap) =>
          gap.readUntilMs > lastMs ? { ...gap, readUntilMs: gap.readUntilMs + durationMs } : gap,
        ),
      // It is given as long to read what has come meanwhile as it stood still.
      { startSteadyMs: lastSteadyMs, startMs: lastMs, readUntilMs: nowMs + durationMs },
    ];
  }

  return {
    mark() {
      const nowMs = clock.nowMs();
      if (nowMs - lastMs > MIN_GAP_MS) recordGap(nowMs);
      lastMs = nowMs;
      lastSteadyMs = clock.steadyMs();
    },
    sentAfterMs(arrivedAtMs) {
      const readSteadyMs = clock.steadyMs() - (clock.nowMs() - arrivedAtMs);
      const starts = gaps
        .filter(({ startMs, readUntilMs }) => arrivedAtMs > startMs && arrivedAtMs <= readUntilMs)
        .map(({ startSteadyMs }) => startSteadyMs);
      return Math.min(readSteadyMs, ...starts) - MAX_DELIVERY_MS;
    },
  };
}
