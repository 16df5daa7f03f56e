/** Passes the events of one run on to the caller. */
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import { findTruncation } from './answerCompletion';
import { endingOfError, MAX_SUCCESS_STATUS } from './answerEnd';
import type { AnswerEnd, AnswerEnding } from './answerEnd';
import type { BackendResponse } from './backendOperations';
import type { KeptAnswer } from './answerMemory';
import { createEventSplitter } from './eventSplitter';
import type { EntryContext, SlotDecision } from '../entryContext';
import { contentOf } from '../quarantine/requestContent';
import { HandoverMismatchError } from './streamHandover';
import type { Handover } from './streamHandover';
import type { StreamRow, StreamTable } from './streamTable';

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
  /** How the last response ended that was read; null before that. */
  answerEnd: AnswerEnd | null;
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

export interface StreamRelayOptions {
  readonly context: Pick<EntryContext, 'answerMemory' | 'clock' | 'quarantine'>;
  readonly streams: Pick<StreamTable, 'recordFirstEvent'>;
  /** Called when a part of a stream has arrived, after it was forwarded. */
  readonly onEvent?: () => void;
}

export type StreamRelay = (
  row: StreamRow,
  response: BackendResponse,
  progress: StreamProgress,
  link: RunLink | undefined,
) => Promise<void>;

/** Largest event of a stream; events hold a few tokens each. */
const MAX_EVENT_BYTES = 1_048_576;

export function createStreamRelay({ context, streams, onEvent }: StreamRelayOptions): StreamRelay {
  const { clock } = context;

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
    const { body, framing } = response;
    const isEventStream = response.status <= MAX_SUCCESS_STATUS;
    const isCancelled = () => link?.signal.aborted ?? false;
    let kept: KeptAnswer | null = null;
    return new Promise<void>((resolve, reject) => {
      const giveUp = (error: SpoolplankError) => {
        reject(error);
        body.destroy();
      };
      kept = context.answerMemory.open(giveUp);
      link?.signal.addEventListener('abort', () => reject(new Error('superseded')));
      // The body of a run that was cancelled already emits no further event.
      if (isCancelled()) reject(new Error('superseded'));
      function recordEnd(ending: AnswerEnding): AnswerEnd {
        const position = isEventStream ? splitter.position : null;
        const end = { framing, ending, position };
        progress.answerEnd = end;
        return end;
      }
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
        const truncation = findTruncation(recordEnd('ended'));
        if (truncation !== null) {
          throw new SpoolplankError('answer-truncated', { detail: truncation });
        }
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
          giveUp(toSpoolplankError(error));
        }
      }
      /** Keeps the bytes of an event that is not complete yet, within its limit. */
      function keepPartialEvent(): void {
        const { partialBytes } = splitter;
        kept?.setBytes(partialBytes);
        if (partialBytes <= MAX_EVENT_BYTES) return;
        const detail = `${partialBytes} bytes of an event.`;
        giveUp(new SpoolplankError('answer-too-large', { detail }));
      }
      body.on('data', (bytes: Buffer) => {
        if (isCancelled()) return;
        row.lastProgressAtMs = clock.nowMs();
        row.checks = 0;
        if (!row.hasBegun) {
          row.hasBegun = true;
          streams.recordFirstEvent(row.headId, clock.nowMs() - row.startedAtMs);
          context.quarantine.recordServed(contentOf(row.admitted), row.startedAtMs);
        }
        const completeEvents = splitter.push(bytes);
        if (completeEvents.length > 0) guard(() => forwardNew(completeEvents));
        keepPartialEvent();
        onEvent?.();
      });
      body.once('end', () => guard(endStream));
      function fail(error: Error | null): void {
        // The end of the body closes it as well.
        if (!isCancelled() && !body.readableEnded) recordEnd(endingOfError(error));
        const detail = error?.message ?? 'Its connection closed before its end.';
        reject(new SpoolplankError('answer-truncated', { detail, cause: error }));
      }
      body.once('error', fail);
      body.once('close', () => fail(null));
      // A short body may have closed before its response was handed over.
      if (body.destroyed) fail(body.errored);
    }).finally(() => kept?.release());
  }

  return relay;
}
