/** Claims of idempotency keys, gathered so that many share one request and one sync. */
import type { ClaimResult, ControlRequest, StoredAnswer } from '@spoolplank/control';
import { delay } from '@spoolplank/node';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { ControlClient } from './controlClient';

/** The claim of one request. */
export interface ClaimIdentity {
  readonly organisation: string;
  readonly key: string;
  readonly owner: string;
}

export interface ClaimsClient {
  /**
   * Claims a key.
   *
   * @throws SpoolplankError `claims-unavailable`; nothing may be sent then. The claim, should
   * it have been made all the same, is given back in the background.
   */
  acquire(claim: ClaimIdentity, requestDigest: string, retentionMs: number): Promise<ClaimResult>;
  /** Reports how the request ended; waits a little, then goes on trying in the background. */
  settle(
    claim: ClaimIdentity,
    outcome: 'done' | 'failed' | 'unknown',
    answer: StoredAnswer | null,
  ): Promise<void>;
  /** Gives a claim back, before any byte was sent. */
  giveBack(claim: ClaimIdentity): Promise<void>;
}

interface Waiting {
  readonly request: ControlRequest;
  readonly resolve: (result: ClaimResult) => void;
  readonly reject: (error: SpoolplankError) => void;
}

const MAX_BATCH = 256;
const MAX_IN_FLIGHT = 4;
const ACQUIRE_WITHIN_MS = 3000;
const SETTLE_WAIT_MS = 1000;
const BACKGROUND_RETRY_MS = 500;
const BACKGROUND_TRIES = 120;

export function createClaimsClient(control: ControlClient): ClaimsClient {
  let waiting: Waiting[] = [];
  let inFlight = 0;

  function flush(): void {
    if (waiting.length === 0 || inFlight >= MAX_IN_FLIGHT) return;
    const batch = waiting.slice(0, MAX_BATCH);
    waiting = waiting.slice(MAX_BATCH);
    inFlight += 1;
    const requests = batch.map(({ request }) => request);
    control
      .call<readonly ClaimResult[]>('control.submit', { requests }, { withinMs: ACQUIRE_WITHIN_MS })
      .then((results) => {
        batch.forEach(({ resolve, reject }, index) => {
          const result = results[index];
          if (result) resolve(result);
          else reject(new SpoolplankError('claims-unavailable'));
        });
      })
      .catch((thrown: unknown) => {
        const cause = toSpoolplankError(thrown);
        const detail = cause.message;
        batch.forEach(({ reject }) =>
          reject(new SpoolplankError('claims-unavailable', { detail, cause, retryAfterMs: 1000 })),
        );
      })
      .finally(() => {
        inFlight -= 1;
        flush();
      });
    flush();
  }

  function submit(request: ControlRequest): Promise<ClaimResult> {
    const result = new Promise<ClaimResult>((resolve, reject) => {
      waiting.push({ request, resolve, reject });
    });
    // After this turn, so that requests that arrive together go together.
    if (waiting.length === 1) setImmediate(flush);
    return result;
  }

  async function submitUntilDone(requests: readonly ControlRequest[]): Promise<void> {
    let rest = [...requests];
    for (let tries = 0; rest.length > 0 && tries < BACKGROUND_TRIES; tries += 1) {
      const [next] = rest;
      try {
        if (next) await submit(next);
        rest = rest.slice(1);
      } catch {
        await delay(BACKGROUND_RETRY_MS);
      }
    }
  }

  return {
    async acquire(claim, requestDigest, retentionMs) {
      const request: ControlRequest = {
        kind: 'claim.acquire',
        ...claim,
        requestDigest,
        retentionMs,
      };
      try {
        return await submit(request);
      } catch (error) {
        // Whether it was made is not known: make sure of it, then give it back.
        void submitUntilDone([request, { kind: 'claim.void', ...claim }]);
        throw error;
      }
    },
    async settle(claim, outcome, answer) {
      const done = submitUntilDone([
        {
          kind: 'claim.settle',
          ...claim,
          outcome,
          answer,
        },
      ]);
      await Promise.race([done, delay(SETTLE_WAIT_MS)]);
    },
    async giveBack(claim) {
      const done = submitUntilDone([{ kind: 'claim.void', ...claim }]);
      await Promise.race([done, delay(SETTLE_WAIT_MS)]);
    },
  };
}
