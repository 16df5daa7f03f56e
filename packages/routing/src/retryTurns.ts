/**
 * Assigns retry times to callers of a service that is limited only by a known rate.
 *
 * When servers announced rate limits and more requests arrive than these allow, callers with the
 * same retry-after return together, and most of them are refused again. Here they get consecutive
 * retry times, spaced at the rate that the servers accept, so that each gets a permit when it
 * returns.
 */
import type { Clock } from '@spoolplank/shared';

export interface RetrySchedule {
  /** Time until the turn of the next caller, in milliseconds, with `ahead` requests before it. */
  reserveDelayMs(service: string, perS: number, ahead: number): number;
}

const MS_PER_S = 1000;
/** No later turns are assigned, as most callers have given up by then. */
const MAX_DELAY_MS = 10_000;

export function createRetrySchedule({
  clock,
}: {
  readonly clock: Pick<Clock, 'nowMs'>;
}): RetrySchedule {
  const lastAtMs = new Map<string, number>();

  return {
    reserveDelayMs(service, perS, ahead) {
      const nowMs = clock.nowMs();
      const spacingMs = MS_PER_S / perS;
      const afterLastMs = (lastAtMs.get(service) ?? 0) + spacingMs;
      const atMs = Math.min(
        nowMs + MAX_DELAY_MS,
        Math.max(nowMs + (ahead + 1) * spacingMs, afterLastMs),
      );
      lastAtMs.set(service, atMs);
      return Math.ceil(atMs - nowMs);
    },
  };
}
