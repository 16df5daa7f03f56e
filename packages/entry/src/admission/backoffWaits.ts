/** Delays requests while all servers that could run them back off, or refuses them with a retry. */
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
   * Waits for the end of a short backoff. `backoffEndsInMs` returns the time until the first
   * backoff ends, or 0 if a server is available.
   *
   * @throws SpoolplankError with the time after which the caller should retry, if the wait would be
   *   too long. The request has not run.
   */
  wait(admitted: AdmittedRequest, backoffEndsInMs: () => number): Promise<void>;
}

export function createBackoffWaits({ clock, delay, backoffs }: BackoffWaitsOptions): BackoffWaits {
  return {
    async wait({ service, request, answer, endsAtMs }, backoffEndsInMs) {
      let backoffMs = backoffEndsInMs();
      while (backoffMs > 0 && !answer.isClosed) {
        const turnInMs = backoffs.retryAfterMs(service, backoffMs);
        const nowMs = clock.nowMs();
        const waitedMs = nowMs - request.arrivedAtMs;
        if (!isBackoffWorthWaiting({ turnInMs, remainingMs: endsAtMs - nowMs, waitedMs })) {
          const detail = `All servers back off, the first one for ${Math.ceil(backoffMs)} ms.`;
          throw new SpoolplankError('no-backend-server', { detail, retryAfterMs: turnInMs });
        }
        await delay(turnInMs);
        backoffMs = backoffEndsInMs();
      }
    },
  };
}
