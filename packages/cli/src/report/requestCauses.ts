/** Says of each logged request whether it was served in time, and if not, for what reason. */
import type { LoggedRequest } from './requestLog';

export interface TimeTargets {
  /** Within this a plain answer, or the first event of a stream, is on time. */
  readonly firstEventMs: number;
  /** The longest pause between events of a stream that is on time. */
  readonly pauseMs: number;
}

/** Why a request was late that was served; `in-time` when it was not. */
export type Timeliness =
  'in-time' | 'late-on-arrival' | 'late-by-wait' | 'late-by-first-event' | 'late-by-pause';

/** A wait here that takes up so much of the target is what made a request late. */
const WAIT_SHARE = 0.25;

function timelinessOf(
  request: LoggedRequest,
  ageMs: number,
  { firstEventMs, pauseMs }: TimeTargets,
): Timeliness {
  if (ageMs > firstEventMs) return 'late-on-arrival';
  if ((request.firstByteMs ?? 0) + ageMs > firstEventMs) {
    return request.waitedMs > firstEventMs * WAIT_SHARE ? 'late-by-wait' : 'late-by-first-event';
  }
  return request.isStream && request.longestPauseMs > pauseMs ? 'late-by-pause' : 'in-time';
}

/**
 * Gives each request its cause: for one that was served its timeliness, else how it ended and the
 * code of the error. How long a caller had tried before is what it lacks against the longest wait
 * that callers of its route stated.
 */
export function findCauses(
  requests: readonly LoggedRequest[],
  targets: TimeTargets,
): readonly string[] {
  const longestMs = new Map<string, number>();
  requests.forEach(({ route, remainingMs }) => {
    if (remainingMs === null) return;
    longestMs.set(route, Math.max(longestMs.get(route) ?? 0, remainingMs));
  });
  return requests.map((request) => {
    const { outcome, code, route, remainingMs } = request;
    if (outcome !== 'served') return code === '' ? outcome : `${outcome} (${code})`;
    const ageMs = remainingMs === null ? 0 : (longestMs.get(route) ?? remainingMs) - remainingMs;
    return timelinessOf(request, ageMs, targets);
  });
}
