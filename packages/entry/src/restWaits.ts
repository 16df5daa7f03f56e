/** Requests for which everything rests that could run them: a short wait, or a time to return. */
import { isRestWorthWaiting } from '@spoolplank/routing';
import type { RestTable } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { AdmittedRequest } from './entryContext';

export interface RestWaitsOptions {
  readonly clock: Clock;
  readonly delay: (durationMs: number) => Promise<void>;
  readonly rests: Pick<RestTable, 'returnAfterMs'>;
}

export interface RestWaits {
  /**
   * Waits out a short rest; `restEndsInMs` tells how long the first rest still lasts, 0 when
   * something may be sent.
   *
   * @throws SpoolplankError that says when it is the caller's turn, where that is too long a wait;
   * the request has not run.
   */
  wait(admitted: AdmittedRequest, restEndsInMs: () => number): Promise<void>;
}

export function createRestWaits({ clock, delay, rests }: RestWaitsOptions): RestWaits {
  return {
    async wait({ service, request, answer, endsAtMs }, restEndsInMs) {
      let restMs = restEndsInMs();
      while (restMs > 0 && !answer.isClosed) {
        const turnInMs = rests.returnAfterMs(service, restMs);
        const nowMs = clock.nowMs();
        const waitedMs = nowMs - request.arrivedAtMs;
        if (!isRestWorthWaiting({ turnInMs, remainingMs: endsAtMs - nowMs, waitedMs })) {
          const detail = `All servers rest, the first one for ${Math.ceil(restMs)} ms.`;
          throw new SpoolplankError('no-backend-server', { detail, retryAfterMs: turnInMs });
        }
        await delay(turnInMs);
        restMs = restEndsInMs();
      }
    },
  };
}
