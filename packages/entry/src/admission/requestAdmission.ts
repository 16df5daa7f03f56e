/** Decides whether a request is admitted, and selects its route and service. */
import { delay as realDelay } from '@spoolplank/node';
import { DEFAULT_DECISIONS, drawTarget, MAX_REMAINING_SHARE } from '@spoolplank/routing';
import type { DecisionSettings } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, ErrorCode, Random } from '@spoolplank/shared';
import { createCallerAge } from './callerAge';
import type { CallerAnswer, CallerRequest } from '../callerRequest';
import type { AdmittedRequest } from '../entryContext';
import type { RoutingView } from '../gossip/routingView';
import type { ReadingGaps } from './readingGaps';

export interface RequestAdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly view: RoutingView;
  /** Whether there is a routing document that was confirmed recently enough. */
  readonly isReadyToRoute: () => boolean;
  /** Whether the last confirmation is recent enough to know of removed routes and keys. */
  readonly isFresh: () => boolean;
  /** Whether the last confirmation is recent enough to know of added routes and keys. */
  readonly isCurrent: () => boolean;
  /** Asks for a confirmation; resolves when there is one, or after a short wait. */
  readonly renewConfirmation: () => Promise<void>;
  readonly readingGaps: Pick<ReadingGaps, 'sentAfterMs'>;
  readonly decisions?: Pick<DecisionSettings, 'forecast'>;
  readonly delay?: (durationMs: number) => Promise<void>;
}

export interface RequestAdmission {
  /** Refuses all new requests from now on, as not run. */
  refuseNewRequests(): void;
  /**
   * Admits a request and selects its service. Waits while this process is starting up.
   *
   * @throws SpoolplankError the refusal for the caller.
   */
  admit(request: CallerRequest, answer: CallerAnswer): Promise<AdmittedRequest>;
}

/**
 * Time after the start for which requests wait for the routing document, which arrives once the
 * consensus core has elected a leader. Callers of streams abandon them after 2 s at the earliest.
 */
const STARTUP_MS = 1800;
const STARTUP_POLL_MS = 20;
/**
 * Confirmations that stopped with the loss of a leader resume after the next election, which takes
 * a second or two.
 */
const STALE_RETRY_AFTER_MS = 1000;
/**
 * Share of the caller's deadline for which a request waits for the routing document; the rest is
 * left for the run.
 */
const STARTUP_WAIT_SHARE = 0.6;
/** Maximum time over which callers return after the expected end of a start. */
const MAX_RETURN_SPREAD_MS = 4000;
/** A caller that returns at once spends its retry on the state that it was refused in. */
const MIN_RETRY_MS = 50;
/** Refusals that a newer document may make wrong. */
const DOCUMENT_REFUSALS: ReadonlySet<ErrorCode> = new Set<ErrorCode>(['not-found', 'unauthorized']);
/** Short, as another entry can serve the request as soon as the caller has connected to it. */
const SHUTDOWN_RETRY_AFTER_MS = 50;

type MatchedRequest = Pick<AdmittedRequest, 'route' | 'organisation'>;

const isRefusedByDocument = (error: unknown): boolean =>
  error instanceof SpoolplankError && DOCUMENT_REFUSALS.has(error.code);

export function createRequestAdmission(options: RequestAdmissionOptions): RequestAdmission {
  const { clock, random, view, readingGaps, isReadyToRoute, isFresh, isCurrent } = options;
  const { decisions = DEFAULT_DECISIONS, delay = realDelay } = options;
  const callerAge = createCallerAge();
  const startedAtMs = clock.nowMs();
  let isRefusing = false;
  /** Whether the routing document was seen since the start. */
  let wasReady = false;

  /** Time that the caller has left; infinite when it stated none. */
  function remainingMsOf({ arrivedAtMs, deadlineMs }: CallerRequest): number {
    if (deadlineMs === null) return Number.POSITIVE_INFINITY;
    return Math.max(0, arrivedAtMs + deadlineMs - clock.nowMs());
  }

  /**
   * Retry time before the first routing document. After a power loss, all entries refuse callers at
   * the same time, who would return together after a fixed time. They are spread over the time that
   * the start has taken, as a late start tends to take about as long again.
   */
  function spreadRetryMs(request: CallerRequest): number {
    const startedForMs = clock.nowMs() - startedAtMs;
    const startupLeftMs = Math.max(0, STARTUP_MS - startedForMs);
    const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, Math.max(STALE_RETRY_AFTER_MS, startedForMs));
    const drawnMs = startupLeftMs + random.nextInt(Math.ceil(spreadMs));
    const retryInMs = Math.max(MIN_RETRY_MS, drawnMs);
    return Math.round(Math.min(retryInMs, remainingMsOf(request) * MAX_REMAINING_SHARE));
  }

  function staleError(request: CallerRequest): SpoolplankError {
    if (decisions.forecast.isEnabled && !wasReady) {
      return new SpoolplankError('settings-stale', { retryAfterMs: spreadRetryMs(request) });
    }
    const startupLeftMs = Math.max(0, STARTUP_MS - (clock.nowMs() - startedAtMs));
    const retryAfterMs = Math.max(STALE_RETRY_AFTER_MS, startupLeftMs);
    return new SpoolplankError('settings-stale', { retryAfterMs });
  }

  /**
   * Waits for the routing document, which arrives within a second or two of the start. Without the
   * wait, all entries would refuse all requests for that time after a power failure.
   */
  async function waitForStartup(request: CallerRequest): Promise<void> {
    const { arrivedAtMs, deadlineMs } = request;
    const patienceMs =
      decisions.forecast.isEnabled && deadlineMs !== null
        ? deadlineMs * STARTUP_WAIT_SHARE
        : STARTUP_MS;
    const endsAtMs = Math.min(startedAtMs + STARTUP_MS, arrivedAtMs + patienceMs);
    while (!isReadyToRoute() && clock.nowMs() < endsAtMs) await delay(STARTUP_POLL_MS);
  }

  /**
   * Finds the route and the organisation of a request in the document.
   *
   * @throws SpoolplankError the refusal for the caller.
   */
  function match(request: CallerRequest): MatchedRequest {
    if (isRefusing) {
      throw new SpoolplankError('shutting-down', { retryAfterMs: SHUTDOWN_RETRY_AFTER_MS });
    }
    const routes = view.routes();
    if (!routes) throw staleError(request);
    const route = routes.findRoute(request.host, request.url);
    const needsKey = routes.document.isKeyRequired && !route?.isAnonymousAllowed;
    // Without a fresh confirmation, recently removed keys are unknown.
    if (needsKey && !isFresh()) throw staleError(request);
    if (!route) throw new SpoolplankError('not-found');
    const organisation = request.key === null ? undefined : routes.findOrganisation(request.key);
    if (needsKey && !organisation) throw new SpoolplankError('unauthorized');
    return { route, organisation: organisation ?? null };
  }

  /** Like `match`, but refuses a request only by a document that is known to be the latest. */
  async function matchCurrent(request: CallerRequest): Promise<MatchedRequest> {
    try {
      return match(request);
    } catch (error) {
      if (isCurrent() || !isRefusedByDocument(error)) throw error;
    }
    await options.renewConfirmation();
    try {
      return match(request);
    } catch (error) {
      throw isCurrent() || !isRefusedByDocument(error) ? error : staleError(request);
    }
  }

  function admitMatched(
    request: CallerRequest,
    answer: CallerAnswer,
    { route, organisation }: MatchedRequest,
  ): AdmittedRequest {
    const limitMs = Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    return {
      request,
      answer,
      route,
      service: drawTarget(route.targets, random).service,
      organisation,
      callerAgeMs: callerAge.estimateMs({
        route: route.name,
        organisation: organisation?.name ?? '',
        remainingMs: request.deadlineMs,
      }),
      sentAfterMs: readingGaps.sentAfterMs(request.arrivedAtMs),
      deadlineAtMs: request.arrivedAtMs + limitMs,
    };
  }

  return {
    refuseNewRequests() {
      isRefusing = true;
    },
    async admit(request, answer) {
      if (!isReadyToRoute()) await waitForStartup(request);
      wasReady ||= isReadyToRoute();
      return admitMatched(request, answer, await matchCurrent(request));
    },
  };
}
