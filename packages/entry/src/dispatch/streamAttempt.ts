/** One attempt at a stream over one chain, from the first byte sent to the end of the response. */
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import { isCompletePath, sizeOfRequest } from '@spoolplank/routing';
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import type { BackendResponse } from './backendOperations';
import type { ChosenChain } from './chainChoice';
import type { EntryContext, SlotDecision } from '../entryContext';
import { createEventSplitter } from './eventSplitter';
import { HandoverMismatchError } from './streamHandover';
import type { Handover } from './streamHandover';
import type { SlotSearch } from '../slots/slotFinder';
import { contentOf } from '../quarantine/requestContent';
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
   * leave, or the path does not cover all layers.
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

/** State that a request keeps across its attempts. */
export interface StreamProgress {
  /** Id of the last event that the caller has received; the next attempt resumes after it. */
  lastEventId: string | null;
  /** Whether the caller has been sent the head of the response, in any attempt. */
  hasBegun: boolean;
  /** Time from the arrival of the request to the first byte forwarded; null before that. */
  firstByteMs: number | null;
  /** Status that was forwarded to the caller; 0 before that. */
  status: number;
  /** Engines and layers of the path of the last attempt. */
  servedBy: readonly string[];
  /** The last slot that the request was given, with the load of its chain at that time. */
  slot: SlotDecision | null;
  /** Time spent waiting for a chain with free capacity, over all attempts. */
  waitedMs: number;
  /** Time at which the last event was forwarded; null before the first one. */
  lastEventAtMs: number | null;
  /** Longest time between two forwarded events, including the change to another chain. */
  longestPauseMs: number;
}

/** Connects an attempt with the one that takes over from it, or from which it takes over. */
export interface RunLink {
  /** Cancels the attempt: it sends and forwards nothing from then on. */
  readonly signal: AbortSignal;
  /** Called when the attempt has started. */
  readonly onStart?: (row: StreamRow) => void;
  /** Called with complete events that were forwarded. */
  readonly onForwarded?: (events: Buffer) => void;
  /** Called when the response has ended, before anything else is done. */
  readonly onCompleted?: () => void;
  /** Set for an attempt that takes over a stream from a run that still runs. */
  readonly handover?: Pick<Handover, 'accept' | 'isCaughtUp'>;
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
/** Time before the caller's timeout at which a stream is ended, so that its end arrives in time. */
export const TIMEOUT_MARGIN_MS = 30;
export const MAX_SUCCESS_STATUS = 299;

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

  function recordPause(progress: StreamProgress): void {
    const nowMs = clock.nowMs();
    const pauseMs = nowMs - (progress.lastEventAtMs ?? nowMs);
    progress.longestPauseMs = Math.max(progress.longestPauseMs, pauseMs);
    progress.lastEventAtMs = nowMs;
  }

  /** Forwards complete events until the stream ends; rejects when it breaks off. */
  function relay(
    row: StreamRow,
    response: BackendResponse,
    progress: StreamProgress,
    link: RunLink | undefined,
  ): Promise<void> {
    const { answer, request } = row.admitted;
    const splitter = createEventSplitter();
    const { body } = response;
    const isCancelled = () => link?.signal.aborted ?? false;
    return new Promise((resolve, reject) => {
      link?.signal.addEventListener('abort', () => reject(new Error('superseded')));
      // The body of a run that was cancelled already emits no further event.
      if (isCancelled()) reject(new Error('superseded'));
      function forward(events: Buffer): void {
        if (!progress.hasBegun) {
          answer.begin(response.status, response.headers);
          Object.assign(progress, {
            hasBegun: true,
            status: response.status,
            firstByteMs: clock.nowMs() - request.arrivedAtMs,
          });
        }
        progress.lastEventId = splitter.lastEventId ?? progress.lastEventId;
        recordPause(progress);
        link?.onForwarded?.(events);
        if (answer.write(events)) return;
        row.isPaused = true;
        body.pause();
        answer.onWritable(() => {
          row.isPaused = false;
          row.lastProgressAtMs = clock.nowMs();
          body.resume();
        });
      }
      /** Forwards those events that the caller has not received from another run. */
      function forwardNew(events: Buffer): void {
        if (isCancelled() || answer.isClosed) return;
        const missing = link?.handover ? link.handover.accept(events) : events;
        if (missing.length > 0) forward(missing);
      }
      function endStream(): void {
        if (isCancelled()) return;
        if (link?.handover && !link.handover.isCaughtUp) {
          throw new HandoverMismatchError('ended before the events that were forwarded');
        }
        if (splitter.hasPartialEvent) forward(splitter.takePartialEvent());
        else if (!progress.hasBegun) forward(Buffer.alloc(0));
        link?.onCompleted?.();
        resolve();
      }
      /** Ends the run, as its events do not continue what the caller has received. */
      function guard(run: () => void): void {
        try {
          run();
        } catch (error) {
          reject(toSpoolplankError(error));
          body.destroy();
        }
      }
      body.on('data', (bytes: Buffer) => {
        if (isCancelled()) return;
        row.lastProgressAtMs = clock.nowMs();
        row.checks = 0;
        if (!row.hasBegun) {
          row.hasBegun = true;
          streams.recordFirstEvent(row.headId, clock.nowMs() - row.startedAtMs);
          context.quarantine.recordServed(contentOf(row.admitted));
        }
        const completeEvents = splitter.push(bytes);
        if (completeEvents.length > 0) guard(() => forwardNew(completeEvents));
        options.onEvent?.();
      });
      body.once('end', () => guard(endStream));
      body.once('error', reject);
      body.once('close', () => reject(new Error('connection closed before the end of the stream')));
    });
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
    if (isNotRun || response.isMisdirected) {
      response.body.resume();
      const { culpritAddress: culprit, backoffMs } = response;
      return { kind: 'not-run', problem: problem ?? `status ${status}`, culprit, backoffMs };
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
    return { kind: 'completed', status };
  }

  function classifyError(row: StreamRow, error: unknown, link: RunLink | undefined): StreamResult {
    if (row.abortReason === 'caller-left') return { kind: 'caller-left' };
    if (link?.signal.aborted) return { kind: 'superseded' };
    const [head] = row.stages;
    const known = toSpoolplankError(error);
    const problem = row.abortReason ?? known.message;
    if (known.code === 'server-closed') return { kind: 'held-back', problem };
    if (row.abortReason === null && head) {
      // Either the engine is lost or just this response: a probe tells which.
      probeAfterFailure(head.id, head.address);
    }
    if (known.outcome === 'not-run' && row.abortReason === null) {
      return { kind: 'not-run', problem, culprit: head?.address ?? null, backoffMs: null };
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
    if (!link?.handover) recordChain(progress, chain);
    const target = { instanceId: head.id, address: head.address };
    try {
      if (link?.signal.aborted) return { kind: 'superseded' };
      assertCompletePath(chain, search.model);
      context.crashes.recordSend(contentOf(search.admitted), target);
      const response = await operations.open({
        target,
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
      row.hasAnswered = true;
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
