/** Determines for each logged request whether it was served in time, and if not, the cause. */
import type { LoggedRequest } from './requestLog';

export interface TimeTargets {
  /** Maximum time until the response, or until the first event of a stream. */
  readonly firstEventMs: number;
  /** Maximum pause between two events of a stream. */
  readonly pauseMs: number;
}

/** Why a served request was late; `in-time` if it was not late. */
export type Timeliness =
  'in-time' | 'late-on-arrival' | 'late-by-wait' | 'late-by-first-event' | 'late-by-pause';

/** A queueing time above this share of `firstEventMs` counts as the cause of a late response. */
const LATE_WAIT_SHARE = 0.25;

function timelinessOf(
  request: LoggedRequest,
  ageOnArrivalMs: number,
  { firstEventMs, pauseMs }: TimeTargets,
): Timeliness {
  if (ageOnArrivalMs > firstEventMs) return 'late-on-arrival';
  if ((request.firstByteMs ?? 0) + ageOnArrivalMs > firstEventMs) {
    return request.waitedMs > firstEventMs * LATE_WAIT_SHARE
      ? 'late-by-wait'
      : 'late-by-first-event';
  }
  return request.isStream && request.longestPauseMs > pauseMs ? 'late-by-pause' : 'in-time';
}

/**
 * Returns the cause of each request: its timeliness if it was served, else its outcome and error
 * code. The time that a caller spent on earlier attempts is not logged. It is estimated as the
 * difference between its remaining time and the longest remaining time that callers of the same
 * route stated.
 */
export function findCauses(
  requests: readonly LoggedRequest[],
  targets: TimeTargets,
): readonly string[] {
  const maxRemainingMs = new Map<string, number>();
  requests.forEach(({ route, remainingMs }) => {
    if (remainingMs === null) return;
    maxRemainingMs.set(route, Math.max(maxRemainingMs.get(route) ?? 0, remainingMs));
  });
  return requests.map((request) => {
    const { outcome, code, route, remainingMs } = request;
    if (outcome !== 'served') return code === '' ? outcome : `${outcome} (${code})`;
    const ageOnArrivalMs =
      remainingMs === null ? 0 : (maxRemainingMs.get(route) ?? remainingMs) - remainingMs;
    return timelinessOf(request, ageOnArrivalMs, targets);
  });
}
