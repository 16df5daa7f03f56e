import type { EventLog } from '@spoolplank/node';
import type { ErrorCode } from '@spoolplank/shared';

/**
 * What forbids another attempt at a request. `route`: its route allows no further run.
 * `quarantine`: servers have ended under its content. `held-back`: too many attempts were stopped
 * before they were sent. `attempts`: too many were rejected or sent.
 */
export type AttemptLimit =
  'route' | 'quarantine' | 'deadline' | 'held-back' | 'attempts' | 'retry-budget';

/** Logs that a request whose last attempt failed is not tried again. */
export function logNotRetried(
  log: Pick<EventLog, 'info'>,
  requestId: string,
  reason: AttemptLimit,
): void {
  log.info('not-retried', { requestId, reason });
}

const HELD_BACK_CODES: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'server-closed',
  'retry-refused',
]);
/** The first attempt of a caller that comes back needs no retry, so it need not wait for long. */
const MAX_BUDGET_WAIT_MS = 1000;

/** Whether an error of an attempt says that the last check before its send held it back. */
export function isHeldBack(code: ErrorCode): boolean {
  return HELD_BACK_CODES.has(code);
}

/** Time after which a caller retries whose request was also refused a retry for `refusedForMs`. */
export function laterRetryAfterMs(retryAfterMs: number, refusedForMs: number): number {
  return Math.max(retryAfterMs, Math.min(refusedForMs, MAX_BUDGET_WAIT_MS));
}
