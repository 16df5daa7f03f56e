import type { Clock } from '@spoolplank/shared';

/**
 * The log's own time, with which the leader timestamps commands. It advances from the last applied
 * timestamp at the rate of the local monotonic clock. After a change of leader or a restart it may
 * lag behind real time but never leads it, and wall-clock adjustments do not affect it. A lease or
 * a claim may therefore last slightly longer than requested, never shorter.
 */
export interface LogClock {
  nowMs(): number;
  /** Advances the clock to the timestamp of an applied command. */
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
