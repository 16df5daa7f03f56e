/**
 * Dispatches requests to plain services, which are those without a model: any of their backend
 * servers can run a request alone. Requests are retried on other servers where the route allows it.
 */
import { finished } from 'node:stream/promises';
import type { BackendFact } from '@spoolplank/membership';
import type { Route } from '@spoolplank/routing';
import { delay } from '@spoolplank/node';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import { endingOfError, MAX_SUCCESS_STATUS } from './answerEnd';
import type { AnswerEnd } from './answerEnd';
import { isHeldBack, laterRetryAfterMs, logNotRetried } from './attemptLimit';
import type { AttemptLimit } from './attemptLimit';
import type { BackendResponse, SendCause } from './backendOperations';
import type { AnswerMemory } from './answerMemory';
import { createEventSplitter } from './eventSplitter';
import type { RawHeaders } from '../callerRequest';
import type { AdmittedRequest, EntryContext, RequestEnd } from '../entryContext';
import type { PermitFinder } from '../limits/permitFinder';
import { createPlainServers } from './plainServers';
import type { ChosenServer } from './plainServers';
import { contentOf, digestContent } from '../quarantine/requestContent';
import type { RequestContent } from '../quarantine/requestContent';
import { createBackoffWaits } from '../admission/backoffWaits';

/** Result of an attempt to send a request to one backend server. */
type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: RawHeaders;
      readonly body: Buffer;
      readonly end: AnswerEnd;
    }
  /** The server rejected the request, or was unreachable; the request has not run. */
  | {
      readonly kind: 'not-run';
      readonly problem: string;
      /** Whether the request reached the server. */
      readonly hasArrived: boolean;
      /** Backoff that the server asked for, in milliseconds; null when it asked for none. */
      readonly backoffMs: number | null;
    }
  /**
   * Nothing was sent: after the choice, the server asked for a backoff or began to leave, or the
   * retry budget refused the retry.
   */
  | { readonly kind: 'held-back'; readonly problem: string }
  /** The request may have run on the server, and there is no response to pass on. */
  | {
      readonly kind: 'unknown';
      readonly problem: string;
      /** Time until the connection broke; null when this entry aborted the attempt. */
      readonly brokenAfterMs: number | null;
      /** How the response ended; null when none was read. */
      readonly end: AnswerEnd | null;
    };

/** What the result of a response depends on besides the response itself. */
interface ResponseContext {
  readonly backend: BackendFact;
  readonly route: Route;
  /** Time since the request was sent; null when this entry aborted the attempt. */
  readonly measureBrokenMs: () => number | null;
}

interface AttemptOptions {
  readonly cause: SendCause;
  /** Whether the route allows another run after this one. */
  readonly canRetry: boolean;
  /** Aborts the attempt. */
  readonly abort: AbortController;
}

/** Result of an attempt for which the request was sent. */
type SentAttempt = Exclude<AttemptResult, { readonly kind: 'held-back' }>;

/** Time before its timeout at which an attempt is aborted, so that an error reaches the caller. */
const TIMEOUT_MARGIN_MS = 30;
/** A connection within a region takes a few ms; 400 ms allow a retransmission after 200 ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Multiple of the target latency after which a safe request is retried on another server. */
const ATTEMPT_TIMEOUT_FACTOR = 2.5;
/** Number of rejections without a run after which a request is refused. */
const MAX_REJECTIONS = 3;
/**
 * Number of held-back attempts after which a request is not sent again. An attempt is held back
 * when the chosen server asked for a backoff or began to leave just before the send; the next
 * choice excludes that server.
 */
const MAX_HELD_BACK = 4;
/** Largest response that is buffered. */
const MAX_ANSWER_BYTES = 16_777_216;
/** Highest status that is passed on without a retry. */
const MAX_FINAL_STATUS = 499;
/** Lowest status with which a backend server reports that it did not do what was asked. */
const MIN_UNSUCCESSFUL_STATUS = 300;
/**
 * Maximum time for which the next attempt waits for the probe that tells whether a server crashed.
 * A closed port is detected within 2 to 6 ms. For an unresponsive server the request is not delayed
 * further, for the reason given in `streamDispatch`.
 */
const MAX_CRASH_EVIDENCE_WAIT_MS = 50;

/** Maps the error of an attempt without a response to its result. */
function classifyError(
  { code, outcome, message }: SpoolplankError,
  brokenAfterMs: number | null,
): AttemptResult {
  if (isHeldBack(code)) return { kind: 'held-back', problem: message };
  if (outcome === 'not-run') {
    return { kind: 'not-run', problem: message, hasArrived: false, backoffMs: null };
  }
  return { kind: 'unknown', problem: message, brokenAfterMs, end: null };
}

/** A body that was read to its end; `error` tells why it broke off. */
interface ReadBody {
  readonly bytes: Buffer;
  readonly end: AnswerEnd;
  readonly error: unknown;
}

function positionOf(body: Buffer): AnswerEnd['position'] {
  const splitter = createEventSplitter();
  splitter.push(body);
  return splitter.position;
}

async function readBody(
  { body, framing }: BackendResponse,
  isEventStream: boolean,
  memory: AnswerMemory,
): Promise<ReadBody> {
  const chunks: Buffer[] = [];
  let length = 0;
  const kept = memory.open((error) => body.destroy(error));
  body.on('data', (chunk: Buffer) => {
    length += chunk.length;
    chunks.push(chunk);
    kept.setBytes(length);
    if (length > MAX_ANSWER_BYTES) body.destroy(new SpoolplankError('answer-too-large'));
  });
  const error: unknown = await finished(body, { writable: false }).then(
    () => null,
    (failure: unknown) => failure,
  );
  kept.release();
  const bytes = Buffer.concat(chunks);
  const ending = error === null ? 'ended' : endingOfError(error);
  const position = isEventStream ? positionOf(bytes) : null;
  return { bytes, end: { framing, ending, position }, error };
}

/** Whether the backend server completed the request and survived it. */
function isSuccess(result: AttemptResult): boolean {
  return result.kind === 'answered' && result.status < MIN_UNSUCCESSFUL_STATUS;
}

/**
 * Whether the server itself determines when it may be sent something again. Such an attempt is not
 * counted as a failure: repeated failures exclude a server for 5 s, which would keep it idle after
 * a shorter backoff.
 */
function hasAnnouncedBackoff(result: AttemptResult): boolean {
  return result.kind === 'held-back' || (result.kind === 'not-run' && result.backoffMs !== null);
}

export interface PlainDispatch {
  /**
   * Serves a request.
   *
   * @throws SpoolplankError the refusal for the caller.
   */
  run(admitted: AdmittedRequest): Promise<RequestEnd>;
}

export function createPlainDispatch(context: EntryContext, permits: PermitFinder): PlainDispatch {
  const { clock, loads, log, operations, quarantine, crashes, notices } = context;
  const servers = createPlainServers(context, permits);
  const backoffWaits = createBackoffWaits({ clock, delay, backoffs: notices.backoffs });

  async function classifyResponse(
    response: BackendResponse,
    { backend, route, measureBrokenMs }: ResponseContext,
  ): Promise<AttemptResult> {
    const { status, headers, problem, isNotRun, load } = response;
    if (load) {
      const sequence = Math.ceil(clock.nowMs());
      loads.report({ name: backend.instanceId, incarnation: 0, sequence, load });
    }
    if (isNotRun) {
      response.body.resume();
      const { backoffMs } = response;
      const reason = problem ?? `rejected with status ${status}`;
      return { kind: 'not-run', problem: reason, hasArrived: true, backoffMs };
    }
    if (problem !== null) {
      response.body.destroy();
      return { kind: 'unknown', problem, brokenAfterMs: null, end: null };
    }
    const isEventStream = route.kind === 'stream' && status <= MAX_SUCCESS_STATUS;
    const { bytes, end, error } = await readBody(response, isEventStream, context.answerMemory);
    const truncation = await context.checkEnd(end, backend);
    if (truncation === null) return { kind: 'answered', status, headers, body: bytes, end };
    const detail = error instanceof Error ? error.message : truncation;
    const { message } = new SpoolplankError('answer-truncated', { detail, cause: error });
    return { kind: 'unknown', problem: message, brokenAfterMs: measureBrokenMs(), end };
  }

  async function attempt(
    { request, organisation, deadlineAtMs, route, service }: AdmittedRequest,
    { backend, permit }: ChosenServer,
    { cause, canRetry, abort }: AttemptOptions,
  ): Promise<AttemptResult> {
    const startedAtMs = clock.nowMs();
    const remainingMs = deadlineAtMs - startedAtMs;
    const attemptTimeoutMs = canRetry
      ? Math.min(remainingMs, route.targetLatencyMs * ATTEMPT_TIMEOUT_FACTOR)
      : remainingMs;
    const timer = setTimeout(
      () => abort.abort(),
      Math.max(1, attemptTimeoutMs - TIMEOUT_MARGIN_MS),
    );
    const measureBrokenMs = () => (abort.signal.aborted ? null : clock.nowMs() - startedAtMs);
    loads.start(backend.instanceId);
    let result: AttemptResult;
    try {
      const response = await operations.open({
        target: backend,
        service,
        cause,
        retryUrgency: cause === 'first' ? null : 'usual',
        request,
        organisation: organisation?.name ?? null,
        remainingMs,
        resumeAfter: request.lastEventId,
        signal: abort.signal,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        hasPermit: permit !== null,
      });
      result = await classifyResponse(response, { backend, route, measureBrokenMs });
    } catch (error) {
      result = classifyError(toSpoolplankError(error), measureBrokenMs());
    } finally {
      clearTimeout(timer);
      if (permit) permits.recordEnded(permit);
    }
    const nowMs = clock.nowMs();
    if (hasAnnouncedBackoff(result)) {
      loads.cancel(backend.instanceId);
      return result;
    }
    const isFailure = result.kind !== 'answered';
    loads.finish(backend.instanceId, { isFailure, durationMs: nowMs - startedAtMs, nowMs });
    return result;
  }

  /**
   * Records a run whose server may have crashed. Nothing tells which of the requests that were
   * running on a plain server caused the crash, so each of them is suspected.
   */
  async function recordBrokenRun(
    content: RequestContent,
    { instanceId, address }: BackendFact,
    ranMs: number,
  ): Promise<void> {
    const run = { content: digestContent(content), instanceId, address, ranMs };
    await Promise.race([crashes.record(run), delay(MAX_CRASH_EVIDENCE_WAIT_MS)]);
  }

  return {
    async run(admitted) {
      const { request, answer, route, service } = admitted;
      const content = contentOf(admitted);
      const budget = context.budgetOf(service);
      const excluded = new Set<string>();
      const abort = new AbortController();
      // Aborts the current attempt when the caller leaves.
      let current = abort;
      answer.onClosed(() => current.abort());
      let runs = 0;
      let rejections = 0;
      let heldBack = 0;
      /** Whether an attempt may have reached a server, so that the next one is a retry. */
      let hasArrived = false;
      let last: SentAttempt | null = null as SentAttempt | null;
      let servedBy: readonly string[] = [];
      let limit: AttemptLimit | null = null;

      const end = (outcome: RequestEnd['outcome'], status: number): RequestEnd => ({
        outcome,
        status,
        attempts: runs + rejections,
        servedBy,
        firstByteMs: clock.nowMs() - request.arrivedAtMs,
        answerEnd: last === null || last.kind === 'not-run' ? null : last.end,
      });
      const isRetryable = (result: AttemptResult) =>
        result.kind !== 'answered' || result.status > MAX_FINAL_STATUS;

      /** What forbids another attempt. */
      function findAttemptLimit(): AttemptLimit | null {
        if (admitted.deadlineAtMs - clock.nowMs() <= TIMEOUT_MARGIN_MS) return 'deadline';
        if (runs >= route.maxAttempts || (runs > 0 && route.kind !== 'safe')) return 'route';
        if (rejections >= MAX_REJECTIONS) return 'attempts';
        if (heldBack >= MAX_HELD_BACK) return 'held-back';
        if (runs + rejections === 0) return null;
        if (!quarantine.mayRetry(content)) return 'quarantine';
        return hasArrived && budget.isExhausted('usual') ? 'retry-budget' : null;
      }

      /** Records the result of an attempt; resolves with whether to try another one. */
      async function handleResult(result: SentAttempt, backend: BackendFact): Promise<boolean> {
        if (result.kind === 'not-run') rejections += 1;
        else runs += 1;
        hasArrived ||= result.kind !== 'not-run' || result.hasArrived;
        // A received response is kept, to be passed on if later attempts get none.
        if (result.kind === 'answered' || last?.kind !== 'answered') last = result;
        if (isSuccess(result)) quarantine.recordServed(content);
        if (!isRetryable(result)) return false;
        if (result.kind === 'unknown' && result.brokenAfterMs !== null) {
          await recordBrokenRun(content, backend, result.brokenAfterMs);
        }
        log.info('attempt-failed', {
          requestId: request.id,
          backend: backend.instanceId,
          address: backend.address,
          result: result.kind,
          problem: result.kind === 'answered' ? `status ${result.status}` : result.problem,
          backoffMs: result.kind === 'not-run' ? result.backoffMs : undefined,
          content: digestContent(content),
          ...(result.kind === 'not-run' ? {} : result.end),
          factsAgeMs: Math.round(context.factsAgeMs()),
        });
        return result.kind !== 'unknown' || route.kind === 'safe';
      }

      budget.earn(admitted.sentAfterMs);
      for (;;) {
        // A request that may have run cannot be refused as `not-run` if the backoff is too long, so
        // it does not wait for the end of a backoff.
        if (runs === 0 && servers.backoffEndsInMs(service, excluded) > 0) {
          await backoffWaits.wait(admitted, () => servers.backoffEndsInMs(service, excluded));
        }
        if (answer.isClosed) return end('caller-left', 0);
        limit = findAttemptLimit();
        if (limit !== null) logNotRetried(log, request.id, limit);
        const ticket = `${request.id}/${runs + rejections + heldBack}`;
        const search = { admitted, ticket, excluded, mayWait: runs === 0 };
        const server = limit === null ? await servers.find(search) : undefined;
        if (!server) break;
        const { backend } = server;
        // Other VMs may have reported crashes under this content while the request waited.
        if (runs === 0) quarantine.check(content);
        excluded.add(backend.instanceId);
        servedBy = [backend.instanceId];
        current = new AbortController();
        const canRetry = route.kind === 'safe' && runs + 1 < route.maxAttempts;
        crashes.recordSend(content, backend);
        const cause = hasArrived ? 'retry' : 'first';
        const result = await attempt(admitted, server, { cause, canRetry, abort: current });
        if (result.kind === 'held-back') {
          excluded.delete(backend.instanceId);
          heldBack += 1;
        } else if (!(await handleResult(result, backend))) {
          break;
        }
      }

      if (answer.isClosed) return end('caller-left', 0);
      if (last?.kind === 'answered') {
        answer.send(last.status, last.headers, last.body);
        return end(last.status > MAX_FINAL_STATUS ? 'failed-there' : 'served', last.status);
      }
      if (runs === 0) {
        const refusedForMs = limit === 'retry-budget' ? budget.refusedForMs('usual') : 0;
        const retryAfterMs = laterRetryAfterMs(servers.retryAfterMs(service), refusedForMs);
        throw new SpoolplankError('no-backend-server', { retryAfterMs });
      }
      const isLate = clock.nowMs() >= admitted.deadlineAtMs - 2 * TIMEOUT_MARGIN_MS;
      throw new SpoolplankError(isLate ? 'deadline-exceeded' : 'backend-server-failed', {
        detail: last?.problem,
      });
    },
  };
}
