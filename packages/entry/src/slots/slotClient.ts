/**
 * Requests slots for this VM's requests from the allocator of each data centre. A slot is the
 * permission to put the load of one request on a chain of engines. If no allocator answers, the
 * outcome is `unavailable`, and the caller chooses a chain by the load that this VM knows of.
 */
import type { MemberFact } from '@spoolplank/membership';
import type { HeldSlot, AdvertisedLimit, PathStage } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { ChosenChain } from '../dispatch/chainChoice';
import type { PendingReport } from '../limits/serverLimits';
import type { AllocatorRank } from './allocatorRank';
import { createHeldCosts } from './heldCosts';
import { createHeldPaths } from './heldPaths';
import { createSlotOutbox } from './slotOutbox';
import type { RankedDataCentre } from './dataCentreRank';
import type {
  GrantedSlot,
  HeldCost,
  SlotAsk,
  SlotCall,
  SlotRefusal,
  SlotReply,
} from './slotMessages';

/** A request that needs a slot; times on this VM's clock. */
export interface SlotRequest {
  /** Identifies the slot; unique among the attempts of this VM. */
  readonly ticket: string;
  readonly service: string;
  /** Memory that the request needs, relative to a request of typical size. */
  readonly size: number;
  /** Priority of the organisation, or of the route if there is none; 0 is the highest. */
  readonly priority: number;
  /** On whose account the slot is, and its cost; set if slots are shared. */
  readonly claim?: Pick<SlotAsk, 'classPriority' | 'cost' | 'organisation' | 'weight'>;
  /** Whether the caller has already received a part of the stream. */
  readonly hasBegun: boolean;
  /** Whether the caller has tried before. */
  readonly isRetry: boolean;
  readonly arrivedAtMs: number;
  /** Until then a slot still meets the latency target. */
  readonly latestStartAtMs: number;
  /** Time at which the request stops waiting. */
  readonly queueDeadlineAtMs: number;
  /** Time at which the caller gives up all attempts. */
  readonly callerLeavesAtMs?: number;
  /** Targets of a stream for the pause between events and the time to the first one. */
  readonly targets?: Pick<SlotAsk, 'targetGapMs' | 'targetFirstEventMs'>;
  /** Plain servers that may serve the request; undefined for a stream, which needs a chain. */
  readonly heads?: readonly string[];
  /** First engines of the chains that were already tried. */
  readonly excludedHeads: ReadonlySet<string>;
  /** Data centres that have chains for the request, best first; called in each round. */
  readonly rankDataCentres: () => readonly RankedDataCentre[];
  /** Whether the request no longer needs a slot. */
  readonly isAbandoned: () => boolean;
}

export interface RefusedSlot {
  readonly kind: 'refused';
  readonly reason: SlotRefusal;
  readonly ahead: number;
  readonly slotsPerS: number;
  /** When the caller should retry; set only if rate limits are all that delays the request. */
  readonly retryInMs?: number;
  /** Earliest turn of the caller in the retry schedules of the allocators that refused it. */
  readonly turnInMs?: number;
}

export type SlotOutcome =
  | { readonly kind: 'granted'; readonly chain: ChosenChain }
  | RefusedSlot
  /** No allocator answered. */
  | { readonly kind: 'unavailable' };

export interface SlotClientOptions {
  readonly clock: Clock;
  /** Identifies this VM and the incarnation of its process. */
  readonly holder: string;
  readonly dataCentre: string;
  readonly rank: AllocatorRank;
  readonly call: (target: MemberFact, params: SlotCall, timeoutMs: number) => Promise<SlotReply>;
  /** Slots that this VM currently holds in a data centre. */
  readonly listHeld: (dataCentre: string) => readonly HeldSlot[];
  /** The path of the stream with a slot; absent where slots are granted by head alone. */
  readonly pathOf?: (ticket: string) => readonly PathStage[] | undefined;
  /** Engines that this VM avoids for now, as they rejected a request. */
  readonly listAvoided: () => readonly string[];
  /** Runs a function after a delay. */
  readonly schedule: (run: () => void, delayMs: number) => void;
  /** Engines that this VM must not send to: they asked it for a backoff, or are leaving. */
  readonly listClosed: () => readonly string[];
  /** Rate limits that servers of a data centre set in their answers to this VM. */
  readonly listLimits: (dataCentre: string) => readonly AdvertisedLimit[];
  /**
   * Called with a server for which the allocator, asked at `askedAtMs` on the steady clock, knows
   * no rate limit.
   */
  readonly onUnlimited: (headId: string, askedAtMs: number) => void;
  /** Called when a call to an allocator failed or timed out. */
  readonly onFailure: (target: MemberFact, problem: string) => void;
}

export interface SlotClient {
  /**
   * Waits for a slot in one of the ranked data centres until one is granted, all refuse, or the
   * request is abandoned.
   */
  find(request: SlotRequest): Promise<SlotOutcome>;
  /** Tries once to get a slot in a data centre, without waiting in its queue. */
  tryFind(request: SlotRequest, dataCentre: string): Promise<ChosenChain | undefined>;
  /** Records that a slot was released; the next batch reports it to its data centre. */
  recordReleased(dataCentre: string, ticket: string): void;
  /** Adds a server's report about its limit to the next batch for its data centre. */
  reportLimit(dataCentre: string, report: PendingReport): void;
  /**
   * Renews the leases that are due, and returns the time until the next one is; called periodically
   * and at that time.
   */
  tick(): number;
}

/** Interval at which leases are renewed; a lease lasts a little over twice as long. */
const RENEW_MS = 1000;
/** Shortest time to the next renewal; leases that are due within it are renewed together. */
const MIN_RENEWAL_WAIT_MS = 40;
/**
 * Time beyond the hold time after which a call counts as failed. A round trip takes 1 ms, and more
 * on a busy VM. The retransmission of a lost packet takes longer and is not waited for, on purpose.
 */
const ANSWER_TIMEOUT_MS = 120;
/**
 * Time for which the allocator holds a queued call. It bounds the time until a lost allocator is
 * noticed, and is the interval at which each queued request repeats its call.
 */
const QUEUE_HOLD_MS = 500;
/**
 * Share of the timeout after which a failed call counts as timed out. A refused connection fails
 * within milliseconds, and timers are off by at most 1 ms.
 */
const TIMEOUT_SHARE = 0.9;
/** Number of VMs that one call is sent to: the allocator and one fallback. */
const MAX_ATTEMPTS = 2;
/**
 * Hold time of the first call to a queue and of calls to other data centres, which are not to wait
 * for a slot.
 */
const PROBE_HOLD_MS = 1;

/** Refusal of a request whose waiting time ended on this VM while it was queued. */
const TIME_OVER: RefusedSlot = {
  kind: 'refused',
  reason: 'time-over',
  ahead: 0,
  slotsPerS: 0,
};

/** A data centre to ask, and whether the request joins its queue. */
interface Step {
  readonly dataCentre: string;
  /** Number of data centres that may serve the request. */
  readonly dataCentres: number;
  readonly mayWait: boolean;
  readonly holdMs: number;
}

/** State of the search for one request. */
interface Search {
  readonly request: SlotRequest;
  /** Data centres that refused the request, or whose allocator did not answer. */
  readonly exhausted: Set<string>;
  /** The data centre in whose queue the request waits. */
  queuedAt: string | undefined;
  refusal: RefusedSlot | undefined;
}

/** Combines the refusals of data centres: the latest one, and the earliest turn of all. */
function mergeRefusals(known: RefusedSlot | undefined, next: RefusedSlot): RefusedSlot {
  if (!known) return next;
  // A data centre without a chain says less about the wait than one whose chains are full.
  const main = next.reason === 'no-chain' ? known : next;
  const turnsMs = [known, next].flatMap(({ turnInMs }) => turnInMs ?? []);
  return turnsMs.length > 0 ? { ...main, turnInMs: Math.min(...turnsMs) } : main;
}

export function createSlotClient(options: SlotClientOptions): SlotClient {
  const { clock, holder, rank } = options;
  const reportedAtMs = new Map<string, number>();
  /** Tickets in the last list that was sent to each data centre. */
  const listed = new Map<string, ReadonlySet<string>>();
  const heldPaths = options.pathOf && createHeldPaths({ clock, pathOf: options.pathOf });
  const heldCosts = createHeldCosts({ clock });
  let sequence = 0;
  let sendReport = (_dataCentre: string): void => {};
  const { schedule } = options;
  const outbox = createSlotOutbox({
    clock,
    schedule,
    call: (dataCentre) => sendReport(dataCentre),
  });

  function reportOf(asked: string, target: MemberFact): SlotCall {
    sequence += 1;
    reportedAtMs.set(asked, clock.nowMs());
    const slots = options.listHeld(asked);
    listed.set(asked, new Set(slots.map(({ ticket }) => ticket)));
    const costs = heldCosts.takeDue(asked, target.host, slots);
    return {
      holder,
      dataCentre: options.dataCentre,
      sequence,
      ...(heldPaths?.describe(asked, target.host, slots) ?? { slots }),
      ...(costs ? { heldCosts: costs } : {}),
      ...outbox.takePending(asked),
    };
  }

  /** Calls the allocator of a data centre, or its fallback if the call fails. */
  async function callAllocator(
    dataCentre: string,
    ask: SlotAsk | undefined,
  ): Promise<SlotReply | undefined> {
    for (let tries = 0; tries < MAX_ATTEMPTS; tries += 1) {
      const target = rank.find(dataCentre);
      if (!target) return undefined;
      const params: SlotCall = { ...reportOf(dataCentre, target), ...(ask ? { ask } : {}) };
      const timeoutMs = (ask?.holdMs ?? 0) + ANSWER_TIMEOUT_MS;
      const sentAtMs = clock.nowMs();
      try {
        const reply = await options.call(target, params, timeoutMs);
        rank.recordAnswer(target.host);
        return reply;
      } catch (error) {
        const isTimeout = clock.nowMs() - sentAtMs >= timeoutMs * TIMEOUT_SHARE;
        if (isTimeout) rank.recordTimeout(target.host);
        else rank.recordUnavailable(target.host);
        options.onFailure(target, error instanceof Error ? error.message : String(error));
        // The allocator may have granted a slot in an answer that was lost or late, so the ticket
        // is cancelled.
        if (ask) outbox.cancel(dataCentre, ask.ticket);
      }
    }
    return undefined;
  }

  function toAsk(request: SlotRequest, step: Step): SlotAsk {
    const { dataCentre, dataCentres, mayWait, holdMs } = step;
    const nowMs = clock.nowMs();
    const { ticket, service, size, priority, hasBegun, isRetry, heads, callerLeavesAtMs } = request;
    const limits = options.listLimits(dataCentre);
    return {
      ticket,
      service,
      size,
      priority,
      ...request.claim,
      hasBegun,
      isRetry,
      waitedMs: nowMs - request.arrivedAtMs,
      inTimeForMs: request.latestStartAtMs - nowMs,
      ...request.targets,
      leavesInMs: request.queueDeadlineAtMs - nowMs,
      ...(callerLeavesAtMs === undefined ? {} : { callerLeavesInMs: callerLeavesAtMs - nowMs }),
      dataCentres,
      ...(heads ? { heads } : {}),
      excludedHeads: [...request.excludedHeads],
      avoidedIds: options.listAvoided(),
      closedIds: options.listClosed(),
      ...(limits.length > 0 ? { limits } : {}),
      mayWait,
      holdMs,
    };
  }

  function costOf({ service, priority, size, claim }: SlotRequest): HeldCost | undefined {
    if (!claim) return undefined;
    const { classPriority = priority, cost = size, organisation = '', weight = 1 } = claim;
    return { service, priority, classPriority, cost, organisation, weight };
  }

  function toChain(dataCentre: string, slot: GrantedSlot): ChosenChain {
    const hasPermit = slot.limitPerS !== null;
    return { ...slot, dataCentre, hasPermit, hasCapacity: true, hasCapacityForResumed: true };
  }

  /**
   * Plans the next round: a call to the queue of one data centre, and one non-waiting call to each
   * other data centre that seems to have free slots.
   */
  function planSteps(search: Search): readonly Step[] {
    const { request, exhausted, queuedAt } = search;
    const ranked = request.rankDataCentres();
    const dataCentres = ranked.length;
    const open = ranked.filter(({ dataCentre }) => !exhausted.has(dataCentre));
    const isStillOpen = open.some(({ dataCentre }) => dataCentre === queuedAt);
    const next = isStillOpen ? queuedAt : open[0]?.dataCentre;
    if (next === undefined) return [];
    const isFirstCall = next !== queuedAt;
    search.queuedAt = next;
    const others = open.filter(({ dataCentre, hasCapacity }) => hasCapacity && dataCentre !== next);
    const holdMs = isFirstCall ? PROBE_HOLD_MS : QUEUE_HOLD_MS;
    const probe = { dataCentres, mayWait: false, holdMs: PROBE_HOLD_MS };
    return [
      { dataCentre: next, dataCentres, mayWait: true, holdMs },
      ...others.map(({ dataCentre }) => ({ dataCentre, ...probe })),
    ];
  }

  async function askDataCentre(search: Search, step: Step): Promise<ChosenChain | undefined> {
    const { dataCentre } = step;
    const askedAtMs = clock.steadyMs();
    const reply = await callAllocator(dataCentre, toAsk(search.request, step));
    if (reply?.kind === 'granted') {
      const { headId, limitPerS } = reply.slot;
      if (limitPerS === null) options.onUnlimited(headId, askedAtMs);
      const cost = costOf(search.request);
      if (cost) heldCosts.record(dataCentre, search.request.ticket, cost);
      return toChain(dataCentre, reply.slot);
    }
    if (reply?.kind !== 'waiting') search.exhausted.add(dataCentre);
    if (reply?.kind === 'refused') search.refusal = mergeRefusals(search.refusal, reply);
    return undefined;
  }

  sendReport = (dataCentre) => {
    void callAllocator(dataCentre, undefined);
  };

  return {
    async find(request) {
      const search: Search = {
        request,
        exhausted: new Set(),
        queuedAt: undefined,
        refusal: undefined,
      };
      while (!request.isAbandoned()) {
        const steps = planSteps(search);
        if (steps.length === 0) break;
        for (const step of steps) {
          const chain = await askDataCentre(search, step);
          if (chain) {
            const { queuedAt } = search;
            // Cancels the ticket in the data centre in whose queue it still is, or which has
            // granted it a slot in the meantime.
            if (queuedAt !== undefined && queuedAt !== chain.dataCentre) {
              outbox.cancel(queuedAt, request.ticket);
            }
            return { kind: 'granted', chain };
          }
        }
      }
      const { queuedAt } = search;
      if (queuedAt === undefined || search.exhausted.has(queuedAt)) {
        return search.refusal ?? { kind: 'unavailable' };
      }
      outbox.cancel(queuedAt, request.ticket);
      return search.refusal ?? TIME_OVER;
    },
    tryFind(request, dataCentre) {
      const search: Search = {
        request,
        exhausted: new Set(),
        queuedAt: undefined,
        refusal: undefined,
      };
      const step = { dataCentre, dataCentres: 1, mayWait: false, holdMs: PROBE_HOLD_MS };
      return askDataCentre(search, step);
    },
    recordReleased(dataCentre, ticket) {
      heldCosts.remove(dataCentre, ticket);
      // A ticket that was never listed is reported explicitly. Otherwise the account would count it
      // as held for 1.3 s, so a request rejected within 3 ms would block a slot for that time.
      if (!listed.get(dataCentre)?.has(ticket)) outbox.end(dataCentre, ticket);
      outbox.recordChange(dataCentre);
    },
    reportLimit: outbox.report,
    tick() {
      const nowMs = clock.nowMs();
      reportedAtMs.forEach((atMs, dataCentre) => {
        if (nowMs - atMs < RENEW_MS) return;
        if (options.listHeld(dataCentre).length > 0) sendReport(dataCentre);
        else reportedAtMs.delete(dataCentre);
      });
      const nextAtMs = Math.min(...reportedAtMs.values()) + RENEW_MS;
      return Math.max(MIN_RENEWAL_WAIT_MS, nextAtMs - nowMs);
    },
  };
}
