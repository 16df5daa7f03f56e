/**
 * Dispatches streams of a model that runs on a chain of engines. Each attempt needs a slot: the
 * permission to put the load of one request on a chain. A stream that breaks off is resumed on
 * another chain after the last event that its caller received.
 */
import { delay as delayByTimer } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import type { ModelDescription } from '@spoolplank/routing';
import { MAX_SUCCESS_STATUS } from './answerEnd';
import { laterRetryAfterMs, logNotRetried } from './attemptLimit';
import type { AttemptLimit } from './attemptLimit';
import type { SendCause } from './backendOperations';
import type { ChosenChain } from './chainChoice';
import type { AdmittedRequest, EntryContext, RequestEnd } from '../entryContext';
import type { SlotFinder, SlotSearch } from '../slots/slotFinder';
import { contentOf, digestContent, partsOf } from '../quarantine/requestContent';
import {
  createStreamAttempts,
  recordChain,
  RETRY_URGENCIES,
  TIMEOUT_MARGIN_MS,
} from './streamAttempt';
import type { BrokenRun, StreamResult } from './streamAttempt';
import { createHandover } from './streamHandover';
import type { Handover } from './streamHandover';
import type { StreamProgress } from './streamRelay';
import { enginesOf } from './streamTable';
import type { StreamRow, StreamTable } from './streamTable';

export interface StreamDispatchOptions {
  readonly context: EntryContext;
  readonly streams: StreamTable;
  readonly slots: SlotFinder;
  /** Probes an engine after a failed connection. */
  readonly probeAfterFailure: (instanceId: string, address: string) => void;
  /** Excludes an engine for all requests of this VM for a short time. */
  readonly avoid: (instanceId: string) => void;
  /** Called when an attempt has started. */
  readonly onStart?: () => void;
  /** Called when a part of a stream has arrived. */
  readonly onEvent?: () => void;
  /** Resolves after a duration; by default with a timer. */
  readonly delay?: (durationMs: number) => Promise<void>;
}

export interface StreamDispatch {
  /**
   * Serves a stream.
   *
   * @throws SpoolplankError the refusal for the caller; never once the caller has received a part
   *   of the response.
   */
  run(admitted: AdmittedRequest, model: ModelDescription): Promise<RequestEnd>;
  /**
   * Restarts a running stream on another chain, because its head leaves, and hands the caller's
   * stream over to the new run with its first event. The stream stays where it is unless the end is
   * `moved`; null if the stream has ended.
   */
  handOver(row: StreamRow): Promise<HandoverEnd | null>;
}

export interface HandoverEnd {
  /**
   * `refused`: not allowed by the route, the retry budget or the limits, or the new run failed.
   * `no-path`: no other chain had a slot.
   */
  readonly outcome: 'moved' | 'refused' | 'no-path';
  /** The path of the stream. */
  readonly path: readonly string[];
}

/** A run that is to take over a stream, from the moment at which it is sent. */
interface Successor {
  readonly chain: ChosenChain;
  readonly cancel: () => void;
  readonly ending: Promise<AttemptEnd>;
}

/** Links a run to the one from which it takes over. */
interface InboundLink {
  /** Cancels the run. */
  readonly signal: AbortSignal;
  readonly handover: Handover;
}

/** The end of an attempt, with the chain of the run that ended it. */
interface AttemptEnd {
  readonly result: EndedResult;
  readonly chain: ChosenChain;
}

/** A result after which no other run continues the stream. */
type EndedResult = Exclude<StreamResult, { kind: 'superseded' }>;

/** Number of rejections without a run after which a stream is not sent again. */
const MAX_REJECTIONS = 4;
/**
 * Maximum number of held-back attempts that are followed by another one. An attempt is held back,
 * so that nothing is sent, mostly because the first engine asked for a backoff or began to leave
 * after the chain was chosen. The next choice excludes that engine.
 */
const MAX_HELD_BACK = 4;
/**
 * Maximum time for which the next attempt waits for the probe that tells whether an engine crashed.
 * The probe of a crashed engine ends within milliseconds, as its port refuses the connection. An
 * engine that does not respond at all takes longer to detect than a caller should wait, so the
 * stream is then sent on without the result.
 */
const MAX_CRASH_EVIDENCE_WAIT_MS = 50;
/** Maximum number of attempts of one stream. If all fail, the cause is probably not the engines. */
const MAX_ATTEMPTS = 6;
/**
 * Interval at which all entries together resume streams while no allocator answers. Resuming
 * repeats the prefill, which keeps the slowest engine of a chain busy for 4 ms with a prompt of 800
 * tokens. Twice that time leaves half of the engine to the other streams.
 */
const RESUME_SPACING_MS = 8;
/**
 * Maximum delay before a stream resumes. Callers abandon a stream after a pause of 2 s. Detecting
 * the fault takes 0.5 s of it; the rest remains for the slot and for the repeated prefill.
 */
const MAX_RESUME_DELAY_MS = 900;
/** Pause after which a stream is resumed without further delay, as its caller leaves after 2 s. */
const RESUME_BY_MS = 1400;

/**
 * Log fields of a broken run. The content digest is equal for all attempts of a request, so that
 * the losses of several engines can be traced to one content.
 */
function describeRun(admitted: AdmittedRequest, run: BrokenRun) {
  return {
    content: digestContent(contentOf(admitted)),
    ranMs: Math.round(run.ranMs),
    hasAnswered: run.hasAnswered,
    hasBegun: run.hasBegun,
  };
}

/** A run that was superseded although no other run continues the stream has broken off. */
function toEnded(result: StreamResult): EndedResult {
  if (result.kind !== 'superseded') return result;
  const run = { ranMs: 0, hasAnswered: true, hasBegun: true, wasCutHere: true };
  return { kind: 'broken', problem: 'superseded', isHeadHealthy: false, run };
}

export function createStreamDispatch(options: StreamDispatchOptions): StreamDispatch {
  const { context, streams, slots, probeAfterFailure, avoid, delay = delayByTimer } = options;
  const { clock, log, view, quarantine, crashes } = context;
  const attempter = createStreamAttempts({
    context,
    streams,
    probeAfterFailure,
    onStart: options.onStart,
    onEvent: options.onEvent,
  });
  let nextResumeAtMs = 0;
  /** How each running stream is handed over to another run. */
  const handOvers = new WeakMap<StreamRow, (row: StreamRow) => Promise<HandoverEnd | null>>();

  /**
   * Excludes the engine that caused a rejection. If the rejection names a culprit, all requests of
   * this VM avoid it for a short time; otherwise this request excludes the first engine for good.
   * An unreachable first engine counts as a named culprit: this request may then use the chain once
   * it is repaired.
   */
  function recordRejection(
    { stages: [head] }: ChosenChain,
    culprit: string | null,
    excluded: Set<string>,
  ): void {
    const fact = culprit === null ? undefined : view.findByAddress(culprit);
    if (fact?.body.kind === 'backend') avoid(fact.body.instanceId);
    if (head && culprit === null) excluded.add(head.id);
  }

  /**
   * Staggers the streams that resume after the loss of an engine. Each of them repeats its prefill;
   * if all did so at once, they would delay every other stream of their new chain. An allocator
   * paces the streams of all entries; without one, each entry spaces its own for all of them.
   */
  async function waitToResume(silentSinceMs: number): Promise<void> {
    const nowMs = clock.nowMs();
    const spacingMs = RESUME_SPACING_MS * Math.max(1, view.listMembers('entry').length);
    nextResumeAtMs = Math.max(nextResumeAtMs + spacingMs, nowMs);
    const latestAtMs = Math.min(nowMs + MAX_RESUME_DELAY_MS, silentSinceMs + RESUME_BY_MS);
    const waitMs = Math.min(nextResumeAtMs, latestAtMs) - nowMs;
    if (waitMs > 0) await delay(waitMs);
  }

  /**
   * Records the content of a run as the suspected cause of the crash of its first engine if the
   * engine had sent the head of its response, but no part of the body. Without the head the request
   * had not started there, and after a part of the body it ran well; in both cases a crash is taken
   * for a coincidence.
   */
  async function recordBrokenRun(
    admitted: AdmittedRequest,
    { stages: [head] }: ChosenChain,
    { ranMs, hasAnswered, hasBegun, wasCutHere }: BrokenRun,
  ): Promise<void> {
    if (!head || !hasAnswered || hasBegun || wasCutHere) return;
    const content = contentOf(admitted);
    const recorded = crashes.record({
      content: digestContent(content),
      instanceId: head.id,
      address: head.address,
      ranMs,
      parts: partsOf(content),
    });
    await Promise.race([recorded, delay(MAX_CRASH_EVIDENCE_WAIT_MS)]);
  }

  return {
    handOver: (row) => handOvers.get(row)?.(row) ?? Promise.resolve(null),
    async run(admitted, model) {
      const { request, answer, route, service } = admitted;
      const content = contentOf(admitted);
      const budget = context.budgetOf(service);
      const progress: StreamProgress = {
        lastEventId: request.lastEventId,
        hasBegun: false,
        firstByteMs: null,
        status: 0,
        servedBy: [],
        slot: null,
        waitedMs: 0,
        lastEventAtMs: null,
        longestPauseMs: 0,
        answerEnd: null,
      };
      const excluded = new Set<string>();
      let runs = 0;
      let rejections = 0;
      let heldBack = 0;
      /** Whether an attempt may have reached an engine, so that the next one is a retry. */
      let hasArrived = false;
      let limit: AttemptLimit | null = null;
      let attempts = 0;
      /** Whether an earlier attempt may have run; the caller then cannot be told `not-run`. */
      let mayHaveRun = false;
      /** Whether the stream broke off and has not been spaced from other resumed streams since. */
      let isSpacingDue = false;
      let problem = '';

      const end = (outcome: RequestEnd['outcome'], status: number): RequestEnd => ({
        outcome,
        status,
        attempts,
        servedBy: progress.servedBy,
        firstByteMs: progress.firstByteMs,
        slot: progress.slot,
        waitedMs: progress.waitedMs,
        longestPauseMs: progress.longestPauseMs,
        answerEnd: progress.answerEnd,
      });

      function nextCause(): SendCause {
        if (!hasArrived) return 'first';
        return progress.hasBegun ? 'resumed' : 'retry';
      }

      /** What forbids another attempt. */
      function findAttemptLimit(): AttemptLimit | null {
        if (heldBack > MAX_HELD_BACK) return 'held-back';
        if (rejections === 0 && !mayHaveRun) return null;
        const isAllowed = !mayHaveRun || (route.isResumable && runs < route.maxAttempts);
        if (!isAllowed) return 'route';
        if (!quarantine.mayRetry(content)) return 'quarantine';
        if (admitted.deadlineAtMs - clock.nowMs() <= 2 * TIMEOUT_MARGIN_MS) return 'deadline';
        if (rejections >= MAX_REJECTIONS || attempts >= MAX_ATTEMPTS) return 'attempts';
        const urgency = RETRY_URGENCIES[nextCause()];
        return urgency !== null && budget.isExhausted(urgency) ? 'retry-budget' : null;
      }

      function mayAttempt(): boolean {
        limit = findAttemptLimit();
        if (limit !== null) logNotRetried(log, request.id, limit);
        return limit === null;
      }

      /**
       * Whether a run may be sent beside the running one. Its retry is taken only when that run is
       * sent: a search without a slot must leave it for the resumption after the head has exited.
       */
      function mayHandOver(): boolean {
        if (!route.isResumable || !progress.hasBegun || progress.lastEventId === null) return false;
        if (answer.isClosed || !quarantine.mayRetry(content)) return false;
        const hasTime = admitted.deadlineAtMs - clock.nowMs() > 2 * TIMEOUT_MARGIN_MS;
        // The running run counts as one, and the new one as another.
        const isBelowLimits = runs + 1 < route.maxAttempts && attempts < MAX_ATTEMPTS;
        return hasTime && isBelowLimits && !budget.isExhausted('begun');
      }

      /**
       * Runs an attempt and, if its head leaves, the one that takes over from it. That one is run
       * in the same way, so that it can be handed over again; `inbound` links it to its
       * predecessor.
       */
      async function runAttempt(
        search: SlotSearch,
        chain: ChosenChain,
        inbound?: InboundLink,
      ): Promise<AttemptEnd> {
        const old = new AbortController();
        const state: { successor?: Successor } = {};
        let isOver = false;
        /** Whether a successor is being looked for or was opened: a handover records one run. */
        let hasStarted = false;
        let reportSwitch = (): void => {};
        const whenSwitched = new Promise<'switched'>((resolve) => {
          reportSwitch = () => resolve('switched');
        });
        const handover = createHandover({
          onSwitch() {
            old.abort();
            if (state.successor) recordChain(progress, state.successor.chain);
            reportSwitch();
          },
        });
        const isCancelled = () => isOver || inbound?.signal.aborted === true;
        const isObsolete = () => isCancelled() || answer.isClosed || quarantine.has(content);

        async function findNext(next: SlotSearch): Promise<ChosenChain | null> {
          const found = await slots.findForResumed(next, clock.nowMs());
          if (!found) return null;
          if (found.grantedBy === null && !isObsolete()) {
            if (!found.hasCapacityForResumed) return null;
            await waitToResume(clock.nowMs());
          }
          return found;
        }

        /** Whether a chain may run the stream beside the chain on which it runs now. */
        function isFit({ stages }: ChosenChain, row: StreamRow): boolean {
          // An engine could not tell the two runs apart, as they have the same request id.
          const used = enginesOf(row);
          return !stages.some(({ id }) => used.has(id));
        }

        async function handOver(row: StreamRow): Promise<HandoverEnd | null> {
          if (isObsolete()) return null;
          const { servedBy: path } = progress;
          const isWaiting = inbound !== undefined && !inbound.handover.isSwitched;
          if (isWaiting || hasStarted || !mayHandOver()) return { outcome: 'refused', path };
          hasStarted = true;
          const next: SlotSearch = {
            ...search,
            ticket: `${search.ticket}/moved`,
            excludedHeads: new Set([...excluded, ...search.excludedHeads, chain.headId]),
            isQuarantined: isObsolete,
            cause: 'handover',
          };
          const found = await findNext(next);
          const isUsable = found && !isObsolete() && isFit(found, row);
          // Deadline and budget may have changed during the search.
          if (!isUsable || !mayHandOver()) {
            hasStarted = false;
            // Releases the slot: an attempt that is cancelled before its start sends nothing.
            const link = { signal: AbortSignal.abort(), handover };
            if (found) await attempter.attempt(next, found, progress, link);
            return isObsolete() ? null : { outcome: isUsable ? 'refused' : 'no-path', path };
          }
          const cancel = new AbortController();
          runs += 1;
          attempts += 1;
          handover.open();
          const ending = runAttempt(next, found, { signal: cancel.signal, handover });
          state.successor = { chain: found, cancel: () => cancel.abort(), ending };
          const winner = await Promise.race([whenSwitched, ending]);
          if (winner === 'switched' || handover.isSwitched) {
            return { outcome: 'moved', path: progress.servedBy };
          }
          const { result: first } = winner;
          if (first.kind === 'not-run' || first.kind === 'held-back') runs -= 1;
          if (isOver) return null;
          // The first run goes on; if it breaks off, the stream is resumed as without a handover.
          state.successor = undefined;
          // Nothing was sent, so the stream may be handed over later.
          if (first.kind === 'held-back') hasStarted = false;
          else excluded.add(found.headId);
          if (first.kind === 'broken') await recordBrokenRun(admitted, found, first.run);
          return { outcome: 'refused', path };
        }

        inbound?.signal.addEventListener('abort', () => {
          old.abort();
          state.successor?.cancel();
        });
        const result = await attempter.attempt(search, chain, progress, {
          signal: old.signal,
          handover: inbound?.handover,
          onStart: (row) => handOvers.set(row, handOver),
          onForwarded: handover.recordForwarded,
          onCompleted: handover.recordCompleted,
        });
        isOver = true;
        const { successor } = state;
        if (!successor) return { result: toEnded(result), chain };
        const isContinued = result.kind === 'superseded' || result.kind === 'broken';
        if (!isContinued || quarantine.has(content)) {
          successor.cancel();
          return { result: toEnded(result), chain };
        }
        // A run that broke off before the switch is continued by the one that was sent already.
        const next = await successor.ending;
        if (next.result.kind === 'not-run' || next.result.kind === 'held-back') {
          return { result: toEnded(result), chain };
        }
        excluded.add(chain.headId);
        return next;
      }

      budget.earn(admitted.sentAfterMs);
      while (mayAttempt()) {
        const waitStartMs = clock.nowMs();
        const search: SlotSearch = {
          admitted,
          model,
          // Identifies the slot of this attempt.
          ticket: `${request.id}/${attempts + heldBack}`,
          excludedHeads: excluded,
          isQuarantined: () => quarantine.has(content),
          cause: nextCause(),
        };
        const chosen = mayHaveRun
          ? await slots.findForResumed(search, progress.lastEventAtMs ?? waitStartMs)
          : await slots.findForNew(search);
        if (chosen?.grantedBy === null && isSpacingDue) {
          await waitToResume(progress.lastEventAtMs ?? waitStartMs);
          if (answer.isClosed) return end('caller-left', progress.status);
        }
        isSpacingDue = false;
        progress.waitedMs += clock.nowMs() - waitStartMs;
        if (!chosen && answer.isClosed) return end('caller-left', progress.status);
        // Other VMs may have reported crashes under this content while the request waited.
        if (!mayHaveRun) quarantine.check(content);
        if (!chosen || quarantine.has(content)) break;
        attempts += 1;
        const { result, chain } = await runAttempt(search, chosen);
        if (result.kind === 'caller-left') return end('caller-left', progress.status);
        hasArrived ||=
          result.kind !== 'held-back' && (result.kind !== 'not-run' || result.hasArrived);
        if (result.kind === 'held-back') {
          heldBack += 1;
          attempts -= 1;
        }
        if (result.kind === 'completed') {
          answer.end();
          return end(result.status > MAX_SUCCESS_STATUS ? 'failed-there' : 'served', result.status);
        }
        ({ problem } = result);
        log.info('attempt-failed', {
          requestId: request.id,
          result: result.kind,
          problem,
          ...(result.kind === 'not-run'
            ? { culprit: result.culprit, backoffMs: result.backoffMs }
            : {}),
          path: progress.servedBy,
          lastEventId: progress.lastEventId,
          ...(result.kind === 'broken' ? describeRun(admitted, result.run) : {}),
          ...progress.answerEnd,
          factsAgeMs: Math.round(context.factsAgeMs()),
        });
        isSpacingDue ||= result.kind === 'broken' && progress.hasBegun;
        if (result.kind === 'not-run') {
          rejections += 1;
          recordRejection(chain, result.culprit, excluded);
        } else if (result.kind === 'broken') {
          mayHaveRun = true;
          // Counts as a run: from here, a lost engine looks the same as a lost connection.
          runs += 1;
          const [head] = chain.stages;
          if (head && !result.isHeadHealthy) excluded.add(head.id);
          await recordBrokenRun(admitted, chain, result.run);
        }
      }

      if (progress.hasBegun) {
        answer.abort();
        return end('broken-off', progress.status);
      }
      if (!mayHaveRun) {
        const refusedForMs = limit === 'retry-budget' ? budget.refusedForMs('yielding') : 0;
        const retryAfterMs = slots.retryAfterMs({ admitted, model });
        throw new SpoolplankError('no-backend-server', {
          detail: problem,
          retryAfterMs: laterRetryAfterMs(retryAfterMs, refusedForMs),
        });
      }
      throw new SpoolplankError('backend-server-failed', { detail: problem });
    },
  };
}
