/** `ANY /v1/services/{service}/{path}`: requests to plain services. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody } from '@spoolplank/node';
import type { HttpResponse } from '@spoolplank/node';
import { OUTCOME_BY_CLAIM } from '@spoolplank/control';
import type { ClaimResult, StoredAnswer } from '@spoolplank/control';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import { readCallerRequest } from './callerRequest';
import type { CallerRequest } from './callerRequest';
import type { ClaimIdentity } from './claimsClient';
import { dispatchPlain } from './dispatchPlain';
import type { PlainCall } from './dispatchPlain';
import type { EntryContext } from './entryContext';
import { copyResponseHeaders } from './forwardedHeaders';

/** Maximum size of an answer that is stored for replay. */
const MAX_STORED_ANSWER_BYTES = 16_384;
/** Tolerated difference between a caller's clock and this VM's, for the timestamp of a key. */
const CLOCK_SKEW_MS = 60_000;
const CLAIM_RETRY_AFTER_MS = 1000;

function writeAnswer(response: ServerResponse, answer: HttpResponse, isReplayed = false): void {
  response.writeHead(answer.status, {
    ...copyResponseHeaders(answer.headers),
    'content-length': answer.body.length,
    ...(isReplayed ? { 'spoolplank-replayed': 'true' } : {}),
  });
  response.end(answer.body);
}

function toStoredAnswer({ status, headers, body }: HttpResponse): StoredAnswer | null {
  if (body.length > MAX_STORED_ANSWER_BYTES) return null;
  return {
    status,
    contentType: headers['content-type'] ?? 'application/octet-stream',
    bodyBase64: body.toString('base64'),
  };
}

function fromStoredAnswer({ status, contentType, bodyBase64 }: StoredAnswer): HttpResponse {
  return {
    status,
    headers: { 'content-type': contentType },
    body: Buffer.from(bodyBase64, 'base64'),
  };
}

function digestRequest({ method, path, body, caller }: PlainCall): string {
  return createHash('sha256')
    .update(`${caller.service}\n${method}\n${path}\n`)
    .update(body)
    .digest('base64url');
}

type ClaimAnswer = (result: never) => HttpResponse;

/** Answers or errors for a request whose key was not granted, by claim status. */
const CLAIM_ANSWERS: Readonly<Record<Exclude<ClaimResult['status'], 'granted'>, ClaimAnswer>> = {
  settled({ outcome, answer }: Extract<ClaimResult, { status: 'settled' }>) {
    if (answer) return fromStoredAnswer(answer);
    throw new SpoolplankError(outcome === 'unknown' ? 'outcome-unknown' : 'already-ran', {
      outcome: OUTCOME_BY_CLAIM[outcome],
    });
  },
  held() {
    throw new SpoolplankError('already-running', { retryAfterMs: CLAIM_RETRY_AFTER_MS });
  },
  mismatch() {
    throw new SpoolplankError('key-reused');
  },
  full() {
    throw new SpoolplankError('claims-full', { retryAfterMs: CLAIM_RETRY_AFTER_MS });
  },
  voided() {
    throw new SpoolplankError('claims-unavailable');
  },
  lost() {
    throw new SpoolplankError('claims-unavailable');
  },
};

function assertKeyAge({ keyIssuedWallMs, policy }: CallerRequest, wallMs: number): void {
  if (keyIssuedWallMs === undefined) return;
  if (keyIssuedWallMs < wallMs - policy.keyRetentionMs) throw new SpoolplankError('key-expired');
  if (keyIssuedWallMs > wallMs + CLOCK_SKEW_MS) {
    throw new SpoolplankError('invalid-header', {
      detail: 'idempotency-key: its timestamp lies in the future.',
    });
  }
}

async function dispatchClaimed(
  context: EntryContext,
  call: PlainCall,
  claim: ClaimIdentity,
): Promise<HttpResponse> {
  try {
    const answer = await dispatchPlain(context, call);
    await context.claims.settle(claim, 'done', toStoredAnswer(answer));
    return answer;
  } catch (thrown) {
    const error = toSpoolplankError(thrown);
    if (error.outcome === 'not-run') await context.claims.release(claim);
    else await context.claims.settle(claim, error.outcome === 'ran' ? 'failed' : 'unknown', null);
    throw error;
  }
}

/** Runs a request at most once: claims its idempotency key, then dispatches it. */
async function runAtMostOnce(
  context: EntryContext,
  call: PlainCall,
  key: string,
): Promise<{ answer: HttpResponse; isReplayed: boolean }> {
  const { caller } = call;
  assertKeyAge(caller, context.clock.wallMs());
  const owner = `${context.settings.vm.vmId}/${context.instance}/${caller.requestId}`;
  const claim: ClaimIdentity = { organisation: caller.organisation, key, owner };
  // The claim outlives the validity of the key by the tolerated clock difference, both ways.
  const retentionMs = caller.policy.keyRetentionMs + 2 * CLOCK_SKEW_MS;
  const result = await context.claims.acquire(claim, digestRequest(call), retentionMs);
  context.metrics.count('spoolplank_claims_total', { status: result.status });
  if (result.status === 'granted')
    return { answer: await dispatchClaimed(context, call, claim), isReplayed: false };
  return { answer: CLAIM_ANSWERS[result.status](result as never), isReplayed: true };
}

/** Serves a request to a plain service. */
export async function servePlainService(
  context: EntryContext,
  request: IncomingMessage,
  response: ServerResponse,
  organisation: string,
): Promise<void> {
  const match = /^\/v1\/services\/([A-Za-z0-9._-]+)(\/.*)?$/.exec(request.url ?? '');
  const service = match?.[1] ?? '';
  const isAllowed =
    context.mirror.tree.organisations?.[organisation]?.services?.[service] !== undefined;
  if (!isAllowed || context.mirror.tree.services?.[service]?.kind !== 'plain')
    throw new SpoolplankError('unknown-service');
  const caller = readCallerRequest(
    request,
    organisation,
    service,
    context.mirror,
    context.clock.nowMs(),
  );
  context.admissionControl.check(caller);
  const body = await readBody(request, caller.policy.maxBodyBytes);
  const call: PlainCall = {
    caller,
    method: request.method ?? 'GET',
    path: match?.[2] ?? '/',
    headers: request.headers,
    body,
  };
  const key = caller.isRepeatable ? undefined : caller.idempotencyKey;
  const { answer, isReplayed } = await context.admissionControl.run(caller, async () =>
    key === undefined
      ? { answer: await dispatchPlain(context, call), isReplayed: false }
      : runAtMostOnce(context, call, key),
  );
  writeAnswer(response, answer, isReplayed);
}
