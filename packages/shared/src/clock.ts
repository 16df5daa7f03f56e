/** A source of time. Injected everywhere, so that a test decides when time passes. */
export interface Clock {
  /**
   * Monotonic time in milliseconds, the time included for which the VM was suspended; only
   * differences mean something. It may run ahead, never behind: it is for what runs out, such as a
   * lease that is held, a confirmation, or the age of what was heard.
   */
  nowMs(): number;
  /**
   * Monotonic time in milliseconds that never runs ahead, and stands still while the VM is
   * suspended. It is for what must be waited out, such as a promise not to vote for somebody else.
   * Only differences of two of its own readings mean something.
   */
  steadyMs(): number;
  /** Wall-clock time in milliseconds since the epoch; for people to read, never for decisions. */
  wallMs(): number;
}

export interface ManualClock extends Clock {
  /** Moves all times forward. */
  advance(durationMs: number): void;
  /** Moves all but the steady time forward, as a suspension of the VM does. */
  suspend(durationMs: number): void;
  /** Moves the wall clock alone, as a time correction would; may be negative. */
  jumpWall(offsetMs: number): void;
}

/** Creates a clock that stands still until it is advanced; for tests and deterministic runs. */
export function createManualClock(startMs = 0): ManualClock {
  let nowMs = startMs;
  let suspendedMs = 0;
  let wallOffsetMs = 0;
  return {
    nowMs: () => nowMs,
    steadyMs: () => nowMs - suspendedMs,
    wallMs: () => nowMs + wallOffsetMs,
    advance(durationMs) {
      nowMs += durationMs;
    },
    suspend(durationMs) {
      nowMs += durationMs;
      suspendedMs += durationMs;
    },
    jumpWall(offsetMs) {
      wallOffsetMs += offsetMs;
    },
  };
}
