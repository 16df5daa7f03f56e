/**
 * Finds a chain of engines for a stream, or tells its caller when to retry. A slot is the
 * permission to put the load of one request on a chain; the allocator of the chain's data centre
 * grants it. An entry that reaches no allocator chooses a chain by the load that it knows of
 * itself.
 */
import type { Clock, ErrorCode, Random } from '@spoolplank/shared';
import { SpoolplankError } from '@spoolplank/shared';
import {
  costOfRequest,
  createRetryDelays,
  longestWaitMs,
  MAX_REMAINING_SHARE,
  sizeOfRequest,
} from '@spoolplank/routing';
import type { BackoffTable, DecisionSettings, ModelDescription } from '@spoolplank/routing';
import type { SendCause } from '../dispatch/backendOperations';
import type { ChainChoice, ChosenChain } from '../dispatch/chainChoice';
import type { AdmittedRequest } from '../entryContext';
import { createBackoffWaits } from '../admission/backoffWaits';
import type { StreamTable } from '../dispatch/streamTable';
import { createAdmissionQueue } from '../admission/admissionQueue';
import type { RankedDataCentre } from './dataCentreRank';
import type { SlotClient, SlotOutcome, SlotRequest } from './slotClient';
import type { SlotRefusal } from './slotMessages';

export interface SlotFinderOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly delay: (durationMs: number) => Promise<void>;
  readonly streams: StreamTable;
  readonly chains: ChainChoice;
  readonly slots: SlotClient;
  readonly backoffs: Pick<BackoffTable, 'retryAfterMs' | 'isEmpty'>;
  /** Whether some VM allocates the slots of a data centre. */
  readonly hasAllocator: (dataCentre: string) => boolean;
  /** Data centres that may have a slot for a service, best first. */
  readonly rankDataCentres: (service: string) => readonly RankedDataCentre[];
  readonly decisions: Pick<DecisionSettings, 'forecast' | 'sharing'>;
}

/** A request that needs a slot, and the chains that it has tried. */
export interface SlotSearch {
  readonly admitted: AdmittedRequest;
  readonly model: ModelDescription;
  /** Unique to the attempt. */
  readonly ticket: string;
  /** First engines of the chains that were already tried. */
  readonly excludedHeads: ReadonlySet<string>;
  /**
   * Whether the request must not be run any more, because its content was quarantined meanwhile.
   */
  readonly isQuarantined: () => boolean;
  /** Why the request is sent once a chain is found. */
  readonly cause: SendCause;
}

export interface SlotFinder {
  /**
   * Finds the chain for a new stream. Slots are released many times a second, and a gap in a chain
   * is filled in about a second, so a short wait serves most requests that would otherwise be
   * refused.
   *
   * @throws SpoolplankError the refusal for the caller, with the time after which it should retry.
   */
  findForNew(search: SlotSearch): Promise<ChosenChain | undefined>;
  /**
   * Finds the chain on which a partly delivered stream continues. Waits for a chain with free
   * capacity, possibly the previous one after its repair: moving all streams of a lost engine onto
   * full chains at once would delay the streams that run there. Once the stream has been silent for
   * `MAX_STREAM_PAUSE_MS`, it takes a full chain, as the alternative is to abort it.
   */
  findForResumed(search: SlotSearch, silentSinceMs: number): Promise<ChosenChain | undefined>;
  /** Time after which the caller of a request that no chain accepted should retry. */
  retryAfterMs(search: Pick<SlotSearch, 'admitted' | 'model'>): number;
}

/**
 * Longest wait for a slot where the targets of the route do not count. Callers wait two seconds for
 * a first event; the other 800 ms are left for one failed attempt.
 */
const MAX_ADMISSION_WAIT_MS = 1200;
const ADMISSION_POLL_MS = 15;
/** 90th percentile of the time to first event, relative to its mean. */
const FIRST_EVENT_SPREAD = 1.5;
/** About two seconds of the traffic of a busy entry. */
const MAX_QUEUE_LENGTH = 30;
/**
 * Longest pause of a begun stream that waits for free capacity. Callers give up after a pause of
 * two seconds, and repeating the prefill may take 500 ms of that on a full chain.
 */
const MAX_STREAM_PAUSE_MS = 1400;
const CHAIN_POLL_MS = 50;
const MS_PER_S = 1000;
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

const REFUSAL_CODES: Readonly<Record<SlotRefusal, ErrorCode>> = {
  'no-chain': 'no-backend-server',
  'turned-away': 'no-backend-server',
  hopeless: 'overloaded',
  'time-over': 'overloaded',
};

export function createSlotFinder(options: SlotFinderOptions): SlotFinder {
  const { clock, delay, streams, chains, slots, backoffs, decisions } = options;
  const { sharing } = decisions;
  const queue = createAdmissionQueue({
    clock,
    delay,
    maxLength: MAX_QUEUE_LENGTH,
    pollMs: ADMISSION_POLL_MS,
    sharing,
  });
  const backoffWaits = createBackoffWaits({ clock, delay, backoffs });
  const retryDelays = createRetryDelays({ clock, random: options.random });

  function claimOf({ admitted, model }: SlotSearch): SlotRequest['claim'] {
    const { route, request, organisation } = admitted;
    const weight = sharing.organisationWeights[organisation?.name ?? ''];
    return {
      classPriority: route.priority,
      cost: costOfRequest(request, model),
      ...(organisation ? { organisation: organisation.name } : {}),
      ...(weight === undefined ? {} : { weight }),
    };
  }

  function toRequest(
    search: SlotSearch,
    queueDeadlineAtMs: number,
    hasBegun: boolean,
  ): SlotRequest {
    const { admitted, model, excludedHeads, ticket } = search;
    const { answer, request, route, organisation, callerAgeMs, service } = admitted;
    const { arrivedAtMs } = request;
    const firstEventMs = streams.usualFirstEventMs * FIRST_EVENT_SPREAD;
    return {
      ticket,
      service,
      size: sizeOfRequest(request, model),
      priority: organisation?.priority ?? route.priority,
      ...(sharing.isEnabled ? { claim: claimOf(search) } : {}),
      hasBegun,
      isRetry: callerAgeMs > route.targetLatencyMs,
      arrivedAtMs,
      callerLeavesAtMs: admitted.deadlineAtMs,
      targets: { targetGapMs: route.targetGapMs, targetFirstEventMs: route.targetLatencyMs },
      latestStartAtMs: arrivedAtMs - callerAgeMs + route.targetLatencyMs - firstEventMs,
      queueDeadlineAtMs,
      excludedHeads,
      rankDataCentres: () => options.rankDataCentres(service),
      isAbandoned: () =>
        answer.isClosed || search.isQuarantined() || clock.nowMs() >= queueDeadlineAtMs,
    };
  }

  function chooseWithCapacity(
    { admitted, model, excludedHeads }: SlotSearch,
    acceptsDataCentre?: (dataCentre: string) => boolean,
  ): ChosenChain | undefined {
    const chain = chains.choose(admitted.service, model, excludedHeads, acceptsDataCentre);
    return chain?.hasCapacity ? chain : undefined;
  }

  /** Chooses a chain in data centres that have engines but no entry VM, and so no allocator. */
  function findUnallocated(search: SlotSearch): ChosenChain | undefined {
    return chooseWithCapacity(search, (dataCentre) => !options.hasAllocator(dataCentre));
  }

  /** Queues the request on this entry, which chooses a chain from its own knowledge. */
  function findLocally(search: SlotSearch, request: SlotRequest): Promise<ChosenChain | undefined> {
    const { isAbandoned } = request;
    return queue.enqueue({
      ...request,
      ...request.claim,
      isAbandoned,
      find: () => chooseWithCapacity(search),
    });
  }

  async function findChain(
    search: SlotSearch,
    request: SlotRequest,
    outcome: SlotOutcome,
  ): Promise<ChosenChain | undefined> {
    if (outcome.kind === 'granted') return outcome.chain;
    if (outcome.kind === 'unavailable') return findLocally(search, request);
    const isCancelled = search.admitted.answer.isClosed || search.isQuarantined();
    return isCancelled ? undefined : findUnallocated(search);
  }

  /** Estimated time until the requests ahead have slots, at the recent rate of grants. */
  function forecastMs(outcome: SlotOutcome): number {
    if (outcome.kind !== 'refused' || outcome.slotsPerS <= 0) return 0;
    return (outcome.ahead / outcome.slotsPerS) * MS_PER_S;
  }

  /** The caller's turn in the schedule of an allocator; undefined if none assigned one. */
  function turnOf(outcome: SlotOutcome, remainingMs: number): number | undefined {
    if (outcome.kind !== 'refused') return undefined;
    const { retryInMs, turnInMs } = outcome;
    if (retryInMs !== undefined || turnInMs === undefined) return retryInMs;
    return Math.round(Math.max(0, Math.min(turnInMs, remainingMs * MAX_REMAINING_SHARE)));
  }

  function refusalOf({ admitted }: SlotSearch, outcome: SlotOutcome): SpoolplankError {
    retryDelays.recordOverload();
    const remainingMs = admitted.deadlineAtMs - clock.nowMs();
    const retryAfterMs =
      turnOf(outcome, remainingMs) ?? retryDelays.retryAfterMs(remainingMs, forecastMs(outcome));
    if (outcome.kind !== 'refused')
      return new SpoolplankError('no-backend-server', { retryAfterMs });
    const { reason, ahead, slotsPerS } = outcome;
    const detail = `${reason}: ${ahead} wait for ${slotsPerS.toFixed(0)} slots a second.`;
    return new SpoolplankError(REFUSAL_CODES[reason], { detail, retryAfterMs });
  }

  /** Skips the search over all chains, which takes up to 5 ms after a change, if none backs off. */
  function backoffEndsInMs(
    { admitted, model }: Pick<SlotSearch, 'admitted' | 'model'>,
    excludedHeads: ReadonlySet<string>,
  ): number {
    return backoffs.isEmpty ? 0 : chains.backoffEndsInMs(admitted.service, model, excludedHeads);
  }

  return {
    async findForNew(search) {
      const { admitted } = search;
      const sinceMs = clock.nowMs();
      await backoffWaits.wait(admitted, () => backoffEndsInMs(search, search.excludedHeads));
      const waitMs = decisions.forecast.isEnabled
        ? longestWaitMs(admitted.route)
        : MAX_ADMISSION_WAIT_MS;
      const latestMs = admitted.request.arrivedAtMs + waitMs;
      const request = toRequest(search, Math.min(latestMs, admitted.deadlineAtMs), false);
      const outcome = await slots.find(request);
      const chain = await findChain(search, request, outcome);
      if (chain) {
        if (clock.nowMs() - sinceMs < CHAIN_POLL_MS) retryDelays.recordFreeCapacity();
        return chain;
      }
      if (admitted.answer.isClosed || search.isQuarantined()) return undefined;
      throw refusalOf(search, outcome);
    },
    async findForResumed(search, silentSinceMs) {
      const { admitted, model, excludedHeads } = search;
      const endsAtMs = silentSinceMs + MAX_STREAM_PAUSE_MS;
      const outcome = await slots.find(toRequest(search, endsAtMs, true));
      if (outcome.kind === 'granted') return outcome.chain;
      let chain = chains.choose(admitted.service, model, excludedHeads);
      while (
        !chain?.hasCapacityForResumed &&
        clock.nowMs() < endsAtMs &&
        !admitted.answer.isClosed
      ) {
        await delay(CHAIN_POLL_MS);
        chain = chains.choose(admitted.service, model, excludedHeads);
      }
      return chain;
    },
    retryAfterMs(search) {
      const { service, deadlineAtMs } = search.admitted;
      const backoffMs = backoffEndsInMs(search, NO_EXCLUSIONS);
      if (backoffMs > 0) return backoffs.retryAfterMs(service, backoffMs);
      return retryDelays.retryAfterMs(deadlineAtMs - clock.nowMs());
    },
  };
}
