/** A source of time. It is injected, so that tests control the passing of time. */
export interface Clock {
  /**
   * Monotonic time in milliseconds, including the time for which the VM was suspended. Only
   * differences between readings are meaningful. It may run ahead of the real time but never behind
   * it, so it is used for whatever expires: a lease that is held, a confirmation, the age of a
   * message.
   */
  nowMs(): number;
  /**
   * Monotonic time in milliseconds that never runs ahead of the real time, and stops while the VM
   * is suspended. It is used for whatever must not end early, such as a promise not to vote for
   * another replica. Only differences between readings of this clock are meaningful.
   */
  steadyMs(): number;
  /** Wall-clock time in milliseconds since the epoch; for display only, never for decisions. */
  wallMs(): number;
}

export interface ManualClock extends Clock {
  /** Moves all clocks forward. */
  advance(durationMs: number): void;
  /** Moves all clocks except the steady one forward, as a suspension of the VM does. */
  suspend(durationMs: number): void;
  /** Steps only the wall clock, as a clock correction does; the offset may be negative. */
  stepWallClock(offsetMs: number): void;
}

/** Creates a clock that moves only when it is advanced; for tests and simulations. */
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
    stepWallClock(offsetMs) {
      wallOffsetMs += offsetMs;
    },
  };
}
