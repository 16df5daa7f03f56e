/** Sends a plain request to a backend server, and again to another where that is allowed. */
import { Agent } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { callHttp, createAgent } from '@spoolplank/node';
import type { HttpAnswer } from '@spoolplank/node';
import type { Announcement } from '@spoolplank/membership';
import { selectBackendServer } from '@spoolplank/routing';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Outcome } from '@spoolplank/shared';
import { listBackendServers, recordSent, recordRejection, retryAfterMs } from './backendServers';
import { deadlineOf } from './callerRequest';
import type { CallerRequest } from './callerRequest';
import type { EntryContext } from './entryContext';
import { copyRequestHeaders } from './forwardedHeaders';
import { LIMIT_HEADER } from './sessionLimits';

export interface PlainCall {
  readonly caller: CallerRequest;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const KEPT_AGENT = createAgent();
/**
 * For requests that must not run twice: a connection of their own. A kept one may be closed
 * by the other side just as the request is written, and whether it ran is unknown.
 */
const FRESH_AGENT = new Agent({ keepAlive: false });
const RETRY_AFTER_NONE_MS = 1000;
/** With it a backend server says that it did not run a request. */
const OUTCOME_HEADER = 'spoolplank-outcome';

async function attempt(
  context: EntryContext,
  call: PlainCall,
  target: Announcement,
): Promise<HttpAnswer> {
  const { caller } = call;
  const remainingMs = Math.floor(deadlineOf(caller) - context.clock.nowMs());
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), remainingMs);
  recordSent(context, target.name);
  const sentAtMs = context.clock.steadyMs();
  try {
    const answer = await callHttp({
      endpoint: target,
      method: call.method,
      path: call.path,
      body: call.body,
      agent: caller.isRepeatable ? KEPT_AGENT : FRESH_AGENT,
      timeoutMs: remainingMs,
      signal: controller.signal,
      headers: copyRequestHeaders(call.headers, {
        'spoolplank-organisation': caller.organisation,
        'spoolplank-request': caller.requestId,
        'spoolplank-deadline-ms': String(remainingMs),
      }),
    });
    const { status, headers } = answer;
    recordRejection(context, target.name, { status, retryAfter: headers['retry-after'] });
    context.limits.recordAnswer(target, headers[LIMIT_HEADER], sentAtMs);
    if (answer.status === 503 && answer.headers[OUTCOME_HEADER] === 'not-run') {
      throw new SpoolplankError('backend-server-failed', {
        outcome: 'not-run',
        detail: `${target.name} refused it.`,
      });
    }
    return answer;
  } finally {
    clearTimeout(timer);
  }
}

async function attemptCounted(
  context: EntryContext,
  call: PlainCall,
  target: Announcement,
): Promise<HttpAnswer> {
  const { loads, clock, metrics } = context;
  const startedMs = clock.nowMs();
  loads.start(target.name);
  let isFailure = true;
  try {
    const answer = await attempt(context, call, target);
    isFailure = false;
    return answer;
  } finally {
    const durationMs = clock.nowMs() - startedMs;
    loads.finish(target.name, { isFailure, durationMs, nowMs: clock.nowMs() });
    metrics.count('spoolplank_attempts_total', {
      service: call.caller.service,
      result: isFailure ? 'failed' : 'answered',
    });
    metrics.observe('spoolplank_attempt_ms', durationMs, { service: call.caller.service });
  }
}

/** Picks a backend server, one that this request has not been to while there is such a one. */
function selectTarget(
  context: EntryContext,
  { service }: CallerRequest,
  excluded: ReadonlySet<string>,
  unpermitted: ReadonlySet<string>,
): Announcement | undefined {
  const { clock, random, loads, settings } = context;
  const announced = listBackendServers(context).filter(({ name }) => !unpermitted.has(name));
  const select = (without: ReadonlySet<string>) => {
    const { dataCentre } = settings.vm;
    const request = { service, dataCentre, excluded: without, nowMs: clock.nowMs() };
    return selectBackendServer(announced, request, loads, random);
  };
  return select(excluded) ?? select(new Set());
}

/** A server that may be sent the request now, or when it is the caller's turn. */
interface Target {
  readonly server: Announcement | undefined;
  /** Of the servers that named a limit, the first turn; undefined where none did. */
  readonly retryInMs: number | undefined;
}

/** Picks a server, and takes a permit where it named a limit; others come before a wait. */
async function findTarget(
  context: EntryContext,
  caller: CallerRequest,
  excluded: ReadonlySet<string>,
): Promise<Target> {
  const unpermitted = new Set<string>();
  const retriesInMs: number[] = [];
  for (;;) {
    const server = selectTarget(context, caller, excluded, unpermitted);
    const retryInMs = retriesInMs.length > 0 ? Math.min(...retriesInMs) : undefined;
    if (!server) return { server, retryInMs };
    const permit = await context.limits.take(server);
    if (permit.isPermitted) return { server, retryInMs };
    unpermitted.add(server.name);
    retriesInMs.push(permit.retryInMs);
  }
}

/** The worst that may be true of a request after all its attempts. */
function worse(a: Outcome, b: Outcome): Outcome {
  return a === 'not-run' ? b : a;
}

/**
 * Dispatches a request until it has an answer.
 *
 * @throws SpoolplankError whose outcome covers every attempt: `not-run` only if none of them
 * can have run.
 */
export async function dispatchPlain(context: EntryContext, call: PlainCall): Promise<HttpAnswer> {
  const { caller } = call;
  const { retryBudget, clock, metrics } = context;
  const excluded = new Set<string>();
  let outcome: Outcome = 'not-run';
  let turnInMs: number | undefined;
  let lastError: SpoolplankError | undefined;
  retryBudget.earn();
  for (let tries = 0; tries <= caller.policy.maxRetries; tries += 1) {
    if (clock.nowMs() >= deadlineOf(caller)) {
      throw new SpoolplankError('deadline-exceeded', { outcome, cause: lastError });
    }
    const { server: target, retryInMs } = await findTarget(context, caller, excluded);
    turnInMs = retryInMs;
    if (!target) break;
    try {
      return await attemptCounted(context, call, target);
    } catch (thrown) {
      lastError = toSpoolplankError(thrown);
      excluded.add(target.name);
      outcome = worse(outcome, lastError.outcome);
      const isSafe = lastError.outcome === 'not-run' || caller.isRepeatable;
      if (!isSafe || !retryBudget.spend()) break;
      metrics.count('spoolplank_retries_total', { service: caller.service });
    }
  }
  if (clock.nowMs() >= deadlineOf(caller))
    throw new SpoolplankError('deadline-exceeded', { outcome, cause: lastError });
  if (lastError && outcome !== 'not-run') {
    throw new SpoolplankError('backend-server-failed', {
      outcome,
      detail: lastError.message,
      cause: lastError,
    });
  }
  throw new SpoolplankError('no-backend-server', {
    retryAfterMs: turnInMs ?? retryAfterMs(context, caller.service, RETRY_AFTER_NONE_MS),
    cause: lastError,
  });
}
