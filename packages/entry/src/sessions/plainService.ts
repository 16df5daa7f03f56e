/** `ANY /v1/services/{service}/{path}`: calls of plain services. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody } from '@spoolplank/node';
import type { HttpAnswer } from '@spoolplank/node';
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

/** Greatest answer that is kept to be given again. */
const MAX_STORED_ANSWER_BYTES = 16_384;
/** Allowed difference between a caller's clock and ours when a key states its age. */
const CLOCK_SKEW_MS = 60_000;
const ALREADY_RUNNING_RETRY_MS = 1000;

function writeAnswer(response: ServerResponse, answer: HttpAnswer, isReplayed = false): void {
  response.writeHead(answer.status, {
    ...copyResponseHeaders(answer.headers),
    'content-length': answer.body.length,
    ...(isReplayed ? { 'spoolplank-replayed': 'true' } : {}),
  });
  response.end(answer.body);
}

function toStoredAnswer({ status, headers, body }: HttpAnswer): StoredAnswer | null {
  if (body.length > MAX_STORED_ANSWER_BYTES) return null;
  return {
    status,
    contentType: headers['content-type'] ?? 'application/octet-stream',
    bodyBase64: body.toString('base64'),
  };
}

function fromStoredAnswer({ status, contentType, bodyBase64 }: StoredAnswer): HttpAnswer {
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

type ClaimAnswer = (result: never) => HttpAnswer;

/** What a caller is answered when its key cannot be claimed for it. */
const CLAIM_ANSWERS: Readonly<Record<Exclude<ClaimResult['status'], 'granted'>, ClaimAnswer>> = {
  settled({ outcome, answer }: Extract<ClaimResult, { status: 'settled' }>) {
    if (answer) return fromStoredAnswer(answer);
    throw new SpoolplankError(outcome === 'unknown' ? 'outcome-unknown' : 'already-ran', {
      outcome: OUTCOME_BY_CLAIM[outcome],
    });
  },
  held() {
    throw new SpoolplankError('already-running', { retryAfterMs: ALREADY_RUNNING_RETRY_MS });
  },
  mismatch() {
    throw new SpoolplankError('key-reused');
  },
  full() {
    throw new SpoolplankError('claims-full', { retryAfterMs: ALREADY_RUNNING_RETRY_MS });
  },
  voided() {
    throw new SpoolplankError('claims-unavailable');
  },
  lost() {
    throw new SpoolplankError('claims-unavailable');
  },
};

function assertKeyIsYoung({ keyIssuedWallMs, policy }: CallerRequest, wallMs: number): void {
  if (keyIssuedWallMs === undefined) return;
  if (keyIssuedWallMs < wallMs - policy.keyRetentionMs) throw new SpoolplankError('key-expired');
  if (keyIssuedWallMs > wallMs + CLOCK_SKEW_MS) {
    throw new SpoolplankError('invalid-header', {
      detail: 'idempotency-key: its time lies in the future.',
    });
  }
}

async function dispatchClaimed(
  context: EntryContext,
  call: PlainCall,
  claim: ClaimIdentity,
): Promise<HttpAnswer> {
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

/** Runs a request that must not run twice: first the claim of its key, then the request. */
async function runOnce(
  context: EntryContext,
  call: PlainCall,
  key: string,
): Promise<{ answer: HttpAnswer; isReplayed: boolean }> {
  const { caller } = call;
  assertKeyIsYoung(caller, context.clock.wallMs());
  const owner = `${context.settings.vm.vmId}/${context.instance}/${caller.requestId}`;
  const claim: ClaimIdentity = { organisation: caller.organisation, key, owner };
  // Kept longer than the key may be used by as much as clocks may differ.
  const retentionMs = caller.policy.keyRetentionMs + 2 * CLOCK_SKEW_MS;
  const result = await context.claims.acquire(claim, digestRequest(call), retentionMs);
  context.metrics.count('spoolplank_claims_total', { status: result.status });
  if (result.status === 'granted')
    return { answer: await dispatchClaimed(context, call, claim), isReplayed: false };
  return { answer: CLAIM_ANSWERS[result.status](result as never), isReplayed: true };
}

/** Serves a call of a plain service from the first byte to the last. */
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
      : runOnce(context, call, key),
  );
  writeAnswer(response, answer, isReplayed);
}
