/** Streams of a model that runs on a chain of engines. */
import { delay } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import { createReturnTimes } from '@spoolplank/routing';
import type { ModelDescription } from '@spoolplank/routing';
import type { ChainChoice, ChosenChain } from './chainChoice';
import type { AdmittedRequest, EntryContext, RequestEnd } from './entryContext';
import { createStreamAttempts, HIGHEST_GOOD_STATUS, TIMEOUT_MARGIN_MS } from './streamAttempt';
import type { StreamProgress } from './streamAttempt';
import type { StreamTable } from './streamTable';
import { createWaitingLine } from './waitingLine';

export interface StreamDispatchOptions {
  readonly context: EntryContext;
  readonly streams: StreamTable;
  readonly chains: ChainChoice;
  /** Looks whether an engine whose connection failed is still there. */
  readonly examine: (instanceId: string, address: string) => void;
  readonly avoid: (instanceId: string) => void;
}

export interface StreamDispatch {
  /**
   * Serves a stream.
   *
   * @throws SpoolplankError that the caller is to be refused with; never after it has begun.
   */
  run(admitted: AdmittedRequest, model: ModelDescription): Promise<RequestEnd>;
}

const MAX_REJECTIONS = 4;
/** Engines that end one after the other under one stream: beyond this something else is wrong. */
const MAX_ATTEMPTS = 6;
/** Reading a prompt of 800 tokens keeps the slowest engine of a chain busy for 4 ms. */
const RESUME_SPACING_MS = 8;
/** Callers give a stream up after a pause of two seconds; finding the fault took half a second. */
const MAX_TURN_WAIT_MS = 900;
/**
 * A begun stream waits for room until it has been silent for so long: callers give it up after two
 * seconds, and reading its prompt again may take half a second on a full chain.
 */
const MAX_SILENCE_MS = 1400;
const CHAIN_POLL_MS = 50;
/** Of the two seconds for which callers wait for a first event, without a failed first attempt. */
const MAX_ADMISSION_WAIT_MS = 1200;
const ADMISSION_POLL_MS = 15;
/** Nine in ten first events come within one and a half times the mean. */
const FIRST_EVENT_SPREAD = 1.5;
/**
 * Share of the retry budget that is kept for streams that have begun: those that have not can be
 * refused and come back, the others are lost to their callers.
 */
const RESERVED_FOR_BEGUN = 0.4;
/** Two seconds of an entry's busiest traffic on the sites seen. */
const MAX_WAITING = 30;

export function createStreamDispatch(options: StreamDispatchOptions): StreamDispatch {
  const { context, streams, chains, examine, avoid } = options;
  const { clock, log, view } = context;
  const attempter = createStreamAttempts({ context, streams, examine });
  const line = createWaitingLine({
    clock,
    delay,
    maxWaiting: MAX_WAITING,
    pollMs: ADMISSION_POLL_MS,
  });
  const returns = createReturnTimes({ clock, random: context.random });
  let nextTurnAtMs = 0;

  function noteRejection(culprit: string | null): void {
    const fact = culprit === null ? undefined : view.findByAddress(culprit);
    if (fact?.body.kind === 'backend') avoid(fact.body.instanceId);
  }

  function chooseWithRoom(
    { service }: AdmittedRequest,
    model: ModelDescription,
    excluded: ReadonlySet<string>,
  ): ChosenChain | undefined {
    const chain = chains.choose(service, model, excluded);
    return chain?.hasRoom ? chain : undefined;
  }

  /** What a stream is refused with for which no chain had room in time. */
  function refusalOf(
    { service, endsAtMs }: AdmittedRequest,
    model: ModelDescription,
    excluded: ReadonlySet<string>,
  ): SpoolplankError {
    returns.noteFull();
    const retryAfterMs = returns.afterMs(endsAtMs - clock.nowMs());
    const chain = chains.choose(service, model, excluded);
    if (!chain) return new SpoolplankError('no-backend-server', { retryAfterMs });
    const detail = `${chain.inFlight} streams of ${Math.floor(chain.capacity)}.`;
    return new SpoolplankError('overloaded', { detail, retryAfterMs });
  }

  /**
   * The chain for a new stream. Places come free many times a second, and a hole in a chain is
   * filled in about a second: a short wait serves most of those that would else be refused.
   */
  function findChainToBegin(
    admitted: AdmittedRequest,
    model: ModelDescription,
    excluded: ReadonlySet<string>,
  ): Promise<ChosenChain | undefined> {
    const { answer, request, route, organisation, callerAgeMs } = admitted;
    const { arrivedAtMs } = request;
    const firstEventMs = streams.usualFirstEventMs * FIRST_EVENT_SPREAD;
    const findPlace = () => chooseWithRoom(admitted, model, excluded);
    return line.enter({
      priority: organisation?.priority ?? route.priority,
      arrivedAtMs,
      inTimeUntilMs: arrivedAtMs - callerAgeMs + route.targetLatencyMs - firstEventMs,
      leavesAtMs: Math.min(arrivedAtMs + MAX_ADMISSION_WAIT_MS, admitted.endsAtMs),
      hasReturned: callerAgeMs > route.targetLatencyMs,
      find: findPlace,
      isGone: () => answer.isClosed,
    });
  }

  /**
   * The chain for the rest of a stream that the caller has a part of. It waits for one with room,
   * or for one that is just being mended, as its pause is too long already and all that lost an
   * engine together would hold up the others. It was admitted once, though: in the end a full
   * chain is no reason to break it off.
   */
  async function findChainToResume(
    { service, answer }: AdmittedRequest,
    model: ModelDescription,
    excluded: ReadonlySet<string>,
    silentSinceMs: number,
  ): Promise<ChosenChain | undefined> {
    const endsAtMs = silentSinceMs + MAX_SILENCE_MS;
    let chain = chains.choose(service, model, excluded);
    while (!chain?.hasRoomForBegun && clock.nowMs() < endsAtMs && !answer.isClosed) {
      await delay(CHAIN_POLL_MS);
      chain = chains.choose(service, model, excluded);
    }
    return chain;
  }

  /**
   * Streams that lost an engine come back one after the other: their prompts are read again, and
   * all at once that would hold up every other stream of the chain they go to.
   */
  async function waitForTurn(): Promise<void> {
    const nowMs = clock.nowMs();
    const readMs = RESUME_SPACING_MS * Math.max(1, view.listMembers('entry').length);
    nextTurnAtMs = Math.max(nextTurnAtMs + readMs, nowMs);
    const waitMs = Math.min(nextTurnAtMs - nowMs, MAX_TURN_WAIT_MS);
    if (waitMs > 0) await delay(waitMs);
  }

  return {
    async run(admitted, model) {
      const { request, answer, route, service } = admitted;
      const budget = context.budgetOf(service);
      const progress: StreamProgress = {
        lastEventId: request.lastEventId,
        hasBegun: false,
        firstByteMs: null,
        status: 0,
        servedBy: [],
        waitedMs: 0,
        lastEventAtMs: null,
        longestPauseMs: 0,
      };
      const excluded = new Set<string>();
      let runs = 0;
      let rejections = 0;
      let attempts = 0;
      let mayHaveRun = false;
      let problem = '';

      const end = (outcome: RequestEnd['outcome'], status: number): RequestEnd => ({
        outcome,
        status,
        attempts,
        servedBy: progress.servedBy,
        firstByteMs: progress.firstByteMs,
        waitedMs: progress.waitedMs,
        longestPauseMs: progress.longestPauseMs,
      });

      /** Another attempt is possible: there is time, budget, and an attempt left. */
      function mayTry(): boolean {
        if (attempts === 0) return true;
        const isAllowed = !mayHaveRun || (route.isResumable && runs < route.maxAttempts);
        const hasTime = admitted.endsAtMs - clock.nowMs() > 2 * TIMEOUT_MARGIN_MS;
        const isFew = rejections < MAX_REJECTIONS && attempts < MAX_ATTEMPTS;
        const reservedShare = progress.hasBegun ? 0 : RESERVED_FOR_BEGUN;
        return isAllowed && hasTime && isFew && budget.spend(reservedShare);
      }

      budget.earn();
      while (mayTry()) {
        const waitsSinceMs = clock.nowMs();
        const chain = mayHaveRun
          ? await findChainToResume(
              admitted,
              model,
              excluded,
              progress.lastEventAtMs ?? waitsSinceMs,
            )
          : await findChainToBegin(admitted, model, excluded);
        progress.waitedMs += clock.nowMs() - waitsSinceMs;
        if (!chain && answer.isClosed) return end('caller-left', progress.status);
        if (!chain && !mayHaveRun) throw refusalOf(admitted, model, excluded);
        if (!chain) break;
        if (attempts === 0 && line.length === 0) returns.noteRoom();
        attempts += 1;
        const result = await attempter.attempt(admitted, model, chain, progress);
        if (result.kind === 'caller-left') return end('caller-left', progress.status);
        if (result.kind === 'whole') {
          answer.end();
          return end(
            result.status > HIGHEST_GOOD_STATUS ? 'failed-there' : 'served',
            result.status,
          );
        }
        ({ problem } = result);
        log.info('attempt-failed', {
          requestId: request.id,
          result: result.kind,
          problem,
          culprit: result.kind === 'not-run' ? result.culprit : undefined,
          path: progress.servedBy,
          lastEventId: progress.lastEventId,
          factsAgeMs: Math.round(context.factsAgeMs()),
        });
        if (result.kind === 'broken' && progress.hasBegun) await waitForTurn();
        if (result.kind === 'not-run') {
          rejections += 1;
          noteRejection(result.culprit);
        } else {
          mayHaveRun = true;
          // Whether the engine ended or only the way to it, nobody here can tell: it counts.
          runs += 1;
          const [head] = chain.stages;
          if (head && !result.isHeadFine) excluded.add(head.id);
        }
      }

      if (progress.hasBegun) {
        answer.cut();
        return end('broken-off', progress.status);
      }
      if (!mayHaveRun) {
        throw new SpoolplankError('no-backend-server', {
          detail: problem,
          retryAfterMs: returns.afterMs(admitted.endsAtMs - clock.nowMs()),
        });
      }
      throw new SpoolplankError('backend-server-failed', { detail: problem });
    },
  };
}
