import type { EventLog } from '@spoolplank/node';

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
