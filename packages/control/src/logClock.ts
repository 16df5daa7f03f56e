import type { Clock } from '@spoolplank/shared';

/**
 * Time as the log knows it. The leader stamps commands with it; it continues from the last
 * stamp by the local monotonic clock. It can therefore run late, after a change of leader or
 * a restart, but never early, and no correction of a wall clock moves it: a lease or a claim
 * may last a little longer than asked, never shorter.
 */
export interface LogClock {
  nowMs(): number;
  /** Takes over the stamp of an applied command. */
  observe(logTimeMs: number): void;
}

export function createLogClock(clock: Clock): LogClock {
  let baseLogMs = 0;
  let baseLocalMs = clock.steadyMs();
  return {
    nowMs: () => Math.floor(baseLogMs + (clock.steadyMs() - baseLocalMs)),
    observe(logTimeMs) {
      baseLogMs = Math.max(baseLogMs, logTimeMs);
      baseLocalMs = clock.steadyMs();
    },
  };
}
