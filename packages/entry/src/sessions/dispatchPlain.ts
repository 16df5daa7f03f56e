/** Dispatches a plain request to a backend server, with retries on others where they are safe. */
import { Agent } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { callHttp, createAgent } from '@spoolplank/node';
import type { HttpResponse } from '@spoolplank/node';
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

const KEEP_ALIVE_AGENT = createAgent();
/**
 * Opens a new connection for each request that must not run twice. A server may close a reused
 * connection just as the request is written, which leaves unknown whether the request ran.
 */
const SINGLE_USE_AGENT = new Agent({ keepAlive: false });
const DEFAULT_RETRY_AFTER_MS = 1000;
/** Response header with which a backend server states that it did not run the request. */
const OUTCOME_HEADER = 'spoolplank-outcome';

async function attempt(
  context: EntryContext,
  call: PlainCall,
  target: Announcement,
): Promise<HttpResponse> {
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
      agent: caller.isRepeatable ? KEEP_ALIVE_AGENT : SINGLE_USE_AGENT,
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
        detail: `${target.name} refused the request.`,
      });
    }
    return answer;
  } finally {
    clearTimeout(timer);
  }
}

async function attemptWithMetrics(
  context: EntryContext,
  call: PlainCall,
  target: Announcement,
): Promise<HttpResponse> {
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

/** Selects a backend server, preferring those that this request has not been tried on. */
function selectTarget(
  context: EntryContext,
  { service }: CallerRequest,
  excluded: ReadonlySet<string>,
  withoutPermit: ReadonlySet<string>,
): Announcement | undefined {
  const { clock, random, loads, settings } = context;
  const announced = listBackendServers(context).filter(({ name }) => !withoutPermit.has(name));
  const select = (without: ReadonlySet<string>) => {
    const { dataCentre } = settings.vm;
    const request = { service, dataCentre, excluded: without, nowMs: clock.nowMs() };
    return selectBackendServer(announced, request, loads, random);
  };
  return select(excluded) ?? select(new Set());
}

/** The selected server, or the retry delay where no server grants a permit. */
interface TargetChoice {
  readonly server: Announcement | undefined;
  /** Shortest retry delay of the servers that refused a permit; undefined where none did. */
  readonly retryInMs: number | undefined;
}

/**
 * Selects a server and takes a permit where it named a limit. If a server grants no permit, the
 * others are tried before the caller is told to wait.
 */
async function findTarget(
  context: EntryContext,
  caller: CallerRequest,
  excluded: ReadonlySet<string>,
): Promise<TargetChoice> {
  const withoutPermit = new Set<string>();
  const retryDelaysMs: number[] = [];
  for (;;) {
    const server = selectTarget(context, caller, excluded, withoutPermit);
    const retryInMs = retryDelaysMs.length > 0 ? Math.min(...retryDelaysMs) : undefined;
    if (!server) return { server, retryInMs };
    const permit = await context.limits.take(server);
    if (permit.isPermitted) return { server, retryInMs };
    withoutPermit.add(server.name);
    retryDelaysMs.push(permit.retryInMs);
  }
}

/** Combines the outcomes of two attempts: `not-run` only if neither can have run. */
function worseOutcome(a: Outcome, b: Outcome): Outcome {
  return a === 'not-run' ? b : a;
}

/**
 * Dispatches a request until it is answered or may not be retried.
 *
 * @throws SpoolplankError whose outcome covers every attempt: `not-run` only if none of them
 * can have run.
 */
export async function dispatchPlain(context: EntryContext, call: PlainCall): Promise<HttpResponse> {
  const { caller } = call;
  const { retryBudget, clock, metrics } = context;
  const excluded = new Set<string>();
  let outcome: Outcome = 'not-run';
  let permitRetryInMs: number | undefined;
  let lastError: SpoolplankError | undefined;
  retryBudget.earn();
  for (let tries = 0; tries <= caller.policy.maxRetries; tries += 1) {
    if (clock.nowMs() >= deadlineOf(caller)) {
      throw new SpoolplankError('deadline-exceeded', { outcome, cause: lastError });
    }
    const { server: target, retryInMs } = await findTarget(context, caller, excluded);
    permitRetryInMs = retryInMs;
    if (!target) break;
    try {
      return await attemptWithMetrics(context, call, target);
    } catch (thrown) {
      lastError = toSpoolplankError(thrown);
      excluded.add(target.name);
      outcome = worseOutcome(outcome, lastError.outcome);
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
    retryAfterMs: permitRetryInMs ?? retryAfterMs(context, caller.service, DEFAULT_RETRY_AFTER_MS),
    cause: lastError,
  });
}
