/**
 * Decides whether a request waits for the end of a backoff or is refused with a retry-after.
 *
 * The decision is needed when all servers that could run the request back off and the time at which
 * the first of them accepts requests again is known. For a short backoff the request waits, which
 * keeps its turn and saves a second connection. A request that cannot be served in time that way is
 * refused at once, with the time at which it can be served.
 */

export interface BackoffWait {
  /** Time until the turn of this request, in milliseconds. */
  readonly turnInMs: number;
  /** Time until the deadline of the request, in milliseconds. */
  readonly remainingMs: number;
  /** Time since the request arrived, in milliseconds. */
  readonly waitedMs: number;
}

/** Callers wait two seconds for a first event; 800 ms remain for running the request. */
const MAX_WAIT_MS = 1200;
/** The other half remains for running the request, and for another attempt if the run fails. */
const MAX_REMAINING_SHARE = 0.5;

export function isBackoffWorthWaiting({ turnInMs, remainingMs, waitedMs }: BackoffWait): boolean {
  return waitedMs + turnInMs <= MAX_WAIT_MS && turnInMs <= remainingMs * MAX_REMAINING_SHARE;
}
