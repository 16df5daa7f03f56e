/** Claims of idempotency keys, batched so that many share one request and one disk sync. */
import type { ClaimResult, ControlRequest, StoredAnswer } from '@spoolplank/control';
import { delay } from '@spoolplank/node';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { ControlClient } from './controlClient';

/** Identifies the claim of one request. */
export interface ClaimIdentity {
  readonly organisation: string;
  readonly key: string;
  readonly owner: string;
}

export interface ClaimsClient {
  /**
   * Claims a key.
   *
   * @throws SpoolplankError `claims-unavailable`; the request must not be dispatched then. If the
   * claim was granted nevertheless, it is released in the background.
   */
  acquire(claim: ClaimIdentity, requestDigest: string, retentionMs: number): Promise<ClaimResult>;
  /** Reports the outcome of the request. Waits briefly, then retries in the background. */
  settle(
    claim: ClaimIdentity,
    outcome: 'done' | 'failed' | 'unknown',
    answer: StoredAnswer | null,
  ): Promise<void>;
  /** Releases a claim whose request did not run. Waits briefly, then retries in the background. */
  release(claim: ClaimIdentity): Promise<void>;
}

interface PendingSubmission {
  readonly request: ControlRequest;
  readonly resolve: (result: ClaimResult) => void;
  readonly reject: (error: SpoolplankError) => void;
}

const MAX_BATCH_SIZE = 256;
const MAX_BATCHES_IN_FLIGHT = 4;
const SUBMIT_TIMEOUT_MS = 3000;
const MAX_SETTLE_WAIT_MS = 1000;
const RETRY_INTERVAL_MS = 500;
const MAX_SUBMIT_ATTEMPTS = 120;

export function createClaimsClient(control: ControlClient): ClaimsClient {
  let pending: PendingSubmission[] = [];
  let inFlight = 0;

  function flush(): void {
    if (pending.length === 0 || inFlight >= MAX_BATCHES_IN_FLIGHT) return;
    const batch = pending.slice(0, MAX_BATCH_SIZE);
    pending = pending.slice(MAX_BATCH_SIZE);
    inFlight += 1;
    const requests = batch.map(({ request }) => request);
    control
      .call<readonly ClaimResult[]>('control.submit', { requests }, { withinMs: SUBMIT_TIMEOUT_MS })
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
      pending.push({ request, resolve, reject });
    });
    // Deferred to the end of the event-loop turn, so that concurrent requests share a batch.
    if (pending.length === 1) setImmediate(flush);
    return result;
  }

  async function submitInOrder(requests: readonly ControlRequest[]): Promise<void> {
    let remaining = [...requests];
    for (let attempts = 0; remaining.length > 0 && attempts < MAX_SUBMIT_ATTEMPTS; attempts += 1) {
      const [next] = remaining;
      try {
        if (next) await submit(next);
        remaining = remaining.slice(1);
      } catch {
        await delay(RETRY_INTERVAL_MS);
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
        // It is unknown whether the claim was granted, so it is acquired again and then voided.
        void submitInOrder([request, { kind: 'claim.void', ...claim }]);
        throw error;
      }
    },
    async settle(claim, outcome, answer) {
      const submission = submitInOrder([
        {
          kind: 'claim.settle',
          ...claim,
          outcome,
          answer,
        },
      ]);
      await Promise.race([submission, delay(MAX_SETTLE_WAIT_MS)]);
    },
    async release(claim) {
      const submission = submitInOrder([{ kind: 'claim.void', ...claim }]);
      await Promise.race([submission, delay(MAX_SETTLE_WAIT_MS)]);
    },
  };
}
