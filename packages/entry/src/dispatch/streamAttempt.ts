/** One attempt at a stream over one chain, from the first byte sent to the end of the response. */
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import { isCompletePath, sizeOfRequest } from '@spoolplank/routing';
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import { MAX_SUCCESS_STATUS } from './answerEnd';
import type { RetryUrgency } from '../admission/retryBudgets';
import { isHeldBack } from './attemptLimit';
import type { BackendResponse, SendCause } from './backendOperations';
import type { ChosenChain } from './chainChoice';
import type { EntryContext } from '../entryContext';
import type { SlotSearch } from '../slots/slotFinder';
import { contentOf } from '../quarantine/requestContent';
import { createStreamRelay } from './streamRelay';
import type { RunLink, StreamProgress } from './streamRelay';
import type { AbortReason, StreamRow, StreamTable } from './streamTable';

/** Result of one attempt. */
export type StreamResult =
  | { readonly kind: 'completed'; readonly status: number }
  /** The request has not run. */
  | {
      readonly kind: 'not-run';
      readonly problem: string;
      /** Address of the engine that failed to run its stage; null when none is named. */
      readonly culprit: string | null;
      /** Backoff that the engine asked for, in milliseconds; null when it asked for none. */
      readonly backoffMs: number | null;
      /** Whether the request reached the engine. */
      readonly hasArrived: boolean;
    }
  /** The stream broke off or was aborted here; the caller keeps the events it has received. */
  | {
      readonly kind: 'broken';
      readonly problem: string;
      /**
       * Whether the first engine is fine, because the fault lies with a later engine of the path.
       */
      readonly isHeadHealthy: boolean;
      readonly run: BrokenRun;
    }
  /**
   * Nothing was sent: after the chain was chosen, its first engine asked for a backoff or began to
   * leave, the retry budget refused the retry, or the path does not cover all layers.
   */
  | { readonly kind: 'held-back'; readonly problem: string }
  /** Another run has taken over the stream, or the attempt was cancelled before it took over. */
  | { readonly kind: 'superseded' }
  | { readonly kind: 'caller-left' };

/** Progress of an attempt at the moment it broke off. */
export interface BrokenRun {
  /** Time since the request was sent. */
  readonly ranMs: number;
  /** Whether the first engine had sent the head of its response. */
  readonly hasAnswered: boolean;
  /** Whether any part of the response body had arrived; the head alone does not count. */
  readonly hasBegun: boolean;
  /**
   * Whether this entry aborted the attempt for another reason than the loss of its first engine.
   */
  readonly wasCutHere: boolean;
}

export interface StreamAttemptOptions {
  readonly context: EntryContext;
  readonly streams: StreamTable;
  /** Probes an engine after a failed connection. */
  readonly probeAfterFailure: (instanceId: string, address: string) => void;
  /** Called when an attempt has started. */
  readonly onStart?: () => void;
  /** Called when a part of a stream has arrived, after it was forwarded. */
  readonly onEvent?: () => void;
}

export interface StreamAttempts {
  /** Sends a stream, or the part of it that is missing, over a chain and updates `progress`. */
  attempt(
    search: SlotSearch,
    chain: ChosenChain,
    progress: StreamProgress,
    link?: RunLink,
  ): Promise<StreamResult>;
}

/**
 * A connection within a region takes 2 ms; the limit allows one lost packet to be sent again, and a
 * connection through another VM meanwhile.
 */
const CONNECT_TIMEOUT_MS = 250;
/** A partly received stream would be lost; the caller of another one can be refused and retry. */
export const RETRY_URGENCIES: Readonly<Record<SendCause, RetryUrgency | null>> = {
  first: null,
  retry: 'yielding',
  resumed: 'begun',
  handover: 'begun',
};
/** Time before the caller's timeout at which a stream is ended, so that its end arrives in time. */
export const TIMEOUT_MARGIN_MS = 30;

function describePath(stages: readonly PathStage[]): readonly string[] {
  return stages.map(({ id, firstLayer, endLayer }) => `${id}=${firstLayer}-${endLayer}`);
}

/** Records on which chain a stream runs, and by which decision. */
export function recordChain(progress: StreamProgress, chain: ChosenChain): void {
  const { grantedBy, dataCentre, inFlight, capacity } = chain;
  progress.slot = { grantedBy, dataCentre, inFlight, capacity };
  progress.servedBy = describePath(chain.stages);
}

export function createStreamAttempts(options: StreamAttemptOptions): StreamAttempts {
  const { context, streams, probeAfterFailure } = options;
  const { clock, log, operations } = context;
  const relay = createStreamRelay({ context, streams, onEvent: options.onEvent });

  function createRow(
    { admitted, model, ticket }: SlotSearch,
    chain: ChosenChain,
    abort: AbortController,
  ): StreamRow {
    const nowMs = clock.nowMs();
    const row: StreamRow = {
      admitted,
      model,
      ticket,
      dataCentre: chain.dataCentre,
      headId: chain.headId,
      size: sizeOfRequest(admitted.request, model),
      stages: chain.stages,
      orderedStages: [],
      lostIds: new Set(),
      startedAtMs: nowMs,
      hasAnswered: false,
      isRelayed: null,
      hasBegun: false,
      lastProgressAtMs: nowMs,
      lastCheckAtMs: 0,
      checks: 0,
      isChecking: false,
      isRepairing: false,
      isHandingOver: false,
      isPaused: false,
      abortReason: null,
      abort(reason: AbortReason) {
        row.abortReason ??= reason;
        abort.abort();
      },
    };
    return row;
  }

  function describeRun(row: StreamRow): BrokenRun {
    const { startedAtMs, hasAnswered, hasBegun, abortReason } = row;
    const wasCutHere = abortReason !== null && abortReason !== 'head-lost';
    return { ranMs: clock.nowMs() - startedAtMs, hasAnswered, hasBegun, wasCutHere };
  }

  async function classifyResponse(
    row: StreamRow,
    response: BackendResponse,
    progress: StreamProgress,
    link: RunLink | undefined,
  ): Promise<StreamResult> {
    const { status, isNotRun, problem } = response;
    if (isNotRun) {
      response.body.resume();
      const { culpritAddress: culprit, backoffMs } = response;
      return {
        kind: 'not-run',
        problem: problem ?? `status ${status}`,
        culprit,
        backoffMs,
        hasArrived: true,
      };
    }
    if (problem !== null) {
      response.body.destroy();
      return { kind: 'broken', problem, isHeadHealthy: false, run: describeRun(row) };
    }
    if (status > MAX_SUCCESS_STATUS && progress.hasBegun) {
      response.body.destroy();
      return {
        kind: 'broken',
        problem: `status ${status}`,
        isHeadHealthy: false,
        run: describeRun(row),
      };
    }
    await relay(row, response, progress, link);
    const [head] = row.stages;
    const truncation =
      progress.answerEnd && head
        ? await context.checkEnd(progress.answerEnd, { instanceId: head.id, address: head.address })
        : null;
    if (truncation !== null) throw new SpoolplankError('answer-truncated', { detail: truncation });
    return { kind: 'completed', status };
  }

  function classifyError(row: StreamRow, error: unknown, link: RunLink | undefined): StreamResult {
    if (row.abortReason === 'caller-left') return { kind: 'caller-left' };
    if (link?.signal.aborted) return { kind: 'superseded' };
    const [head] = row.stages;
    const known = toSpoolplankError(error);
    const problem = row.abortReason ?? known.message;
    if (isHeldBack(known.code)) return { kind: 'held-back', problem };
    if (row.abortReason === null && head) {
      // Either the engine is lost or just this response: a probe tells which.
      probeAfterFailure(head.id, head.address);
    }
    if (known.outcome === 'not-run' && row.abortReason === null) {
      const culprit = head?.address ?? null;
      return { kind: 'not-run', problem, culprit, backoffMs: null, hasArrived: false };
    }
    const isHeadHealthy = row.abortReason === 'no-repair' || row.abortReason === 'link-lost';
    return { kind: 'broken', problem, isHeadHealthy, run: describeRun(row) };
  }

  /**
   * Refuses a path that does not cover all layers: the VM that granted the slot may use another
   * version of the configuration, with different layers.
   */
  function assertCompletePath(
    { stages, grantedBy }: ChosenChain,
    { layers }: ModelDescription,
  ): void {
    if (isCompletePath(stages, layers)) return;
    const path = describePath(stages);
    log.warn('path-incomplete', { path, layers, grantedBy });
    const detail = `The path ${path.join(', ')} does not cover ${layers} layers in order.`;
    throw new SpoolplankError('server-closed', { detail });
  }

  async function attempt(
    search: SlotSearch,
    chain: ChosenChain,
    progress: StreamProgress,
    link?: RunLink,
  ): Promise<StreamResult> {
    const { request, organisation, answer, deadlineAtMs } = search.admitted;
    const [head] = chain.stages;
    if (!head) throw new SpoolplankError('internal', { detail: 'The chain has no engines.' });
    const abort = new AbortController();
    const row = createRow(search, chain, abort);
    const remainingMs = deadlineAtMs - clock.nowMs();
    const timer = setTimeout(() => row.abort('deadline'), remainingMs - TIMEOUT_MARGIN_MS);
    answer.onClosed(() => row.abort('caller-left'));
    streams.add(row);
    options.onStart?.();
    link?.onStart?.(row);
    link?.signal.addEventListener('abort', () => abort.abort());
    // A run that takes over is recorded when it does.
    if (!link?.handover) {
      recordChain(progress, chain);
      progress.answerEnd = null;
    }
    const target = { instanceId: head.id, address: head.address };
    try {
      if (link?.signal.aborted) return { kind: 'superseded' };
      assertCompletePath(chain, search.model);
      context.crashes.recordSend(contentOf(search.admitted), target);
      const response = await operations.open({
        target,
        service: search.admitted.service,
        cause: search.cause,
        retryUrgency: RETRY_URGENCIES[search.cause],
        request,
        organisation: organisation?.name ?? null,
        remainingMs,
        stages: chain.stages,
        resumeAfter: progress.lastEventId,
        signal: abort.signal,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        hasPermit: chain.hasPermit,
        onConnected(isRelayed) {
          row.isRelayed = isRelayed;
        },
      });
      row.hasAnswered = response.isMatched;
      return await classifyResponse(row, response, progress, link);
    } catch (error) {
      return classifyError(row, error, link);
    } finally {
      clearTimeout(timer);
      streams.remove(row);
    }
  }

  return { attempt };
}
