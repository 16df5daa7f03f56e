/**
 * Handles requests while all servers that could run them are in backoff, which is a time for which
 * a server asked this VM to send it nothing. A short backoff is waited for; for a longer one, the
 * request is refused and its caller is told when to retry.
 */
import { isBackoffWorthWaiting } from '@spoolplank/routing';
import type { BackoffTable } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { AdmittedRequest } from '../entryContext';

export interface BackoffWaitsOptions {
  readonly clock: Clock;
  readonly delay: (durationMs: number) => Promise<void>;
  readonly backoffs: Pick<BackoffTable, 'retryAfterMs'>;
}

export interface BackoffWaits {
  /**
   * Waits until a server is out of backoff. `backoffEndsInMs` returns the time until the earliest
   * end of a backoff, or 0 if some server is available.
   *
   * @throws SpoolplankError if the wait would be too long, with the time after which the caller
   *   should retry. The request has not run.
   */
  wait(admitted: AdmittedRequest, backoffEndsInMs: () => number): Promise<void>;
}

export function createBackoffWaits({ clock, delay, backoffs }: BackoffWaitsOptions): BackoffWaits {
  return {
    async wait({ service, request, answer, deadlineAtMs }, backoffEndsInMs) {
      let backoffMs = backoffEndsInMs();
      while (backoffMs > 0 && !answer.isClosed) {
        // Later than the end of the backoff if other requests were assigned the times before.
        const retryInMs = backoffs.retryAfterMs(service, backoffMs);
        const nowMs = clock.nowMs();
        const waitedMs = nowMs - request.arrivedAtMs;
        if (
          !isBackoffWorthWaiting({
            turnInMs: retryInMs,
            remainingMs: deadlineAtMs - nowMs,
            waitedMs,
          })
        ) {
          const detail = `All servers back off; the earliest is available in ${Math.ceil(backoffMs)} ms.`;
          throw new SpoolplankError('no-backend-server', { detail, retryAfterMs: retryInMs });
        }
        await delay(retryInMs);
        backoffMs = backoffEndsInMs();
      }
    },
  };
}
