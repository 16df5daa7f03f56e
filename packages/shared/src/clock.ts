/** A source of time. Injected everywhere, so that a test decides when time passes. */
export interface Clock {
  /** Monotonic time in milliseconds; only differences mean something. */
  nowMs(): number;
  /** Wall-clock time in milliseconds since the epoch; for people to read, never for decisions. */
  wallMs(): number;
}

export interface ManualClock extends Clock {
  /** Moves both times forward. */
  advance(durationMs: number): void;
  /** Moves the wall clock alone, as a time correction would; may be negative. */
  jumpWall(offsetMs: number): void;
}

/** Creates a clock that stands still until it is advanced; for tests and deterministic runs. */
export function createManualClock(startMs = 0): ManualClock {
  let nowMs = startMs;
  let wallOffsetMs = 0;
  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs + wallOffsetMs,
    advance(durationMs) {
      nowMs += durationMs;
    },
    jumpWall(offsetMs) {
      wallOffsetMs += offsetMs;
    },
  };
}
