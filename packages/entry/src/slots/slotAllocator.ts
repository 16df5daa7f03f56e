/**
 * Allocates the slots of a data centre's chains to all VMs, from one account of the load in flight
 * and one queue for each service. A slot is the permission to put the load of one request on a
 * chain.
 *
 * The load pattern that makes one allocator necessary is described in `slotLedger`. With one queue
 * for all VMs, the next slot goes to the first of all waiting requests, not to the VM that happens
 * to poll first.
 */
import type { ServiceCapacity } from '@spoolplank/membership';
import type { Metrics } from '@spoolplank/node';
import {
  createResumePacing,
  createRetrySchedule,
  createUsualDemand,
  DEFAULT_DECISIONS,
  resumeSpacingMs,
  toHeldPath,
} from '@spoolplank/routing';
import type {
  DecisionSettings,
  PathStage,
  SharingSettings,
  SlotClaim,
  UsualDemand,
} from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue } from '@spoolplank/shared';
import { createAdmissionQueue } from '../admission/admissionQueue';
import type { AdmissionQueue } from '../admission/admissionQueue';
import type { LimitAccount } from '../limits/limitAccount';
import { createSlotAccount } from './slotAccount';
import { createSlotCharges, keyOf } from './slotCharges';
import { createSlotChains } from './slotChains';
import type { ChosenPath } from './pathChoice';
import type { SlotChainsOptions } from './slotChains';
import { createSlotOutlook } from './slotOutlook';
import type { SlotOutlookOptions } from './slotOutlook';
import { createRefusedCallers } from './refusedCallers';
import { createSlotPermits } from './slotPermits';
import { createSlotRevision } from './slotRevision';
import { createSlotRefusals } from './slotRefusals';
import type { SlotRefusalsOptions } from './slotRefusals';
import type { GrantedSlot, SlotAsk, SlotCall, SlotRefusal, SlotReply } from './slotMessages';

export interface SlotAllocatorOptions extends Omit<
  SlotChainsOptions,
  'inFlightOn' | 'engineLoads'
> {
  readonly clock: Clock;
  readonly delay: (durationMs: number) => Promise<void>;
  /** This VM. */
  readonly host: string;
  readonly limits: LimitAccount;
  /** Total size in flight on a chain as reported by all entries. */
  readonly reportedInFlight: (headId: string) => number;
  /** Whether this VM is the allocator of its data centre, as far as it knows. */
  readonly isAllocator: () => boolean;
  /** Whether this VM has a configuration. Without one it has no chains to allocate. */
  readonly isConfigured: () => boolean;
  /** Prefill time of a stage's engine relative to the model's; 1 where it is unknown. */
  readonly prefillFactorOf?: (stage: PathStage, service: string) => number;
  readonly metrics?: Pick<Metrics, 'count' | 'observe'>;
  /** The default settings if omitted. */
  readonly decisions?: Pick<DecisionSettings, 'forecast' | 'sharing'>;
  readonly chainReturnsInMs?: SlotOutlookOptions['chainReturnsInMs'];
  /** Called with each granted slot. */
  readonly onGranted?: (ask: SlotAsk, chosen: ChosenPath) => void;
  readonly log?: SlotRefusalsOptions['log'];
}

export interface SlotAllocator {
  /**
   * Records the slots that a VM holds and, if the call contains an ask, looks for a slot.
   *
   * @throws SpoolplankError `settings-stale` for an ask while this VM has no configuration. The
   *   caller then asks the next VM.
   */
  answer(call: SlotCall): Promise<SlotReply>;
  /** Capacity and load of the local chains for a service. */
  capacityOf(service: string): ServiceCapacity;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Number of VMs that hold slots. */
  readonly holders: number;
  /** What classes and organisations were granted recently, by service. */
  describeShares(): JsonValue;
}

/** Forecast of a wait with `ahead` requests before it, made at `atMs`. */
interface TicketForecast {
  readonly ahead: number;
  readonly waitMs: number | null;
  readonly atMs: number;
}

interface Ticket {
  /** The forecast when the request joined the queue; null if none was needed. */
  forecast: TicketForecast | null;
  /** Whether the request was refused by that forecast. */
  isHopeless: boolean;
  /** Whether the caller retries before its turn, and so gets no precedence. */
  readonly isEarly: boolean;
  /** The latest repetition of the ask; the chains that back off for its VM may have changed. */
  ask: SlotAsk;
  readonly queueDeadlineAtMs: number;
  lastAskedAtMs: number;
  /** Null while the request is queued; then the granted slot, or undefined if there was none. */
  outcome: { readonly slot: GrantedSlot | undefined } | null;
  settled: Promise<void>;
}

/**
 * Identifies the chains that an ask excludes. Asks with equal keys can get the same slots; streams
 * that have begun are paced, so that their failed tries say nothing about new ones.
 */
function exclusionKeyOf({ heads = [], excludedHeads, closedIds = [], hasBegun }: SlotAsk): string {
  const excluded = [...excludedHeads, ...closedIds].sort().join(' ');
  return `${hasBegun ? 'begun ' : ''}${[...heads].sort().join(' ')}-${excluded}`;
}

/** Cost of a permit for a plain server, which has no size. */
const PERMIT_COST = 1;

/** On whose account an ask is, and its cost. An older VM states neither. */
function toClaim(ask: SlotAsk, { isEnabled }: SharingSettings): SlotClaim {
  const { priority, size, cost = size > 0 ? size : PERMIT_COST, organisation = '' } = ask;
  const weight = ask.weight !== undefined && ask.weight > 0 ? ask.weight : 1;
  // Without sharing, all requests of one priority are in one class.
  const classPriority = isEnabled ? (ask.classPriority ?? priority) : priority;
  return { priority, classPriority, cost, organisation, weight };
}

/**
 * Asks are repeated every half second; an ask that was not repeated for this long was abandoned.
 */
const ABANDONED_AFTER_MS = 900;
/** Interval at which the queue looks for slots. A released slot is reported within about 30 ms. */
const POLL_MS = 20;
/** Interval at which abandoned tickets and lost holders are removed. */
const SWEEP_MS = 100;
/** Bounds memory; far above the number of requests that arrive within the maximum wait. */
const MAX_QUEUE_LENGTH = 600;

export function createSlotAllocator(options: SlotAllocatorOptions): SlotAllocator {
  const { clock, delay, limits, metrics, prefillFactorOf = () => 1, chainReturnsInMs } = options;
  const { decisions = DEFAULT_DECISIONS } = options;
  const { sharing } = decisions;
  const retrySchedule = createRetrySchedule({ clock });
  const account = createSlotAccount(options);
  const slotChains = createSlotChains({
    ...options,
    inFlightOn: account.inFlightOn,
    engineLoads: () => account.engines,
  });
  const permits = createSlotPermits({ limits });
  const resumePacing = createResumePacing({ clock });
  /** Turns of granted slots for resumed streams; an answer is held back until its turn. */
  const turnsAtMs = new WeakMap<GrantedSlot, number>();
  const refusedCallers = createRefusedCallers({ clock });
  const refusals = createSlotRefusals(options);
  const outlook = createSlotOutlook({
    clock,
    capacityOf: slotChains.capacityOf,
    hasChain(service, headId) {
      const model = options.modelOf(service);
      const own = model ? options.chains.listOf(service, model, options.dataCentre) : [];
      return own.some((chain) => chain.headId === headId);
    },
    ...(chainReturnsInMs ? { chainReturnsInMs } : {}),
  });
  const queues = new Map<string, AdmissionQueue>();
  const demands = new Map<string, UsualDemand>();
  const tickets = new Map<string, Ticket>();
  let sweptAtMs = Number.NEGATIVE_INFINITY;

  /** Each service has its own queue, as its requests need slots on its own chains. */
  function queueOf(service: string): AdmissionQueue {
    const known = queues.get(service);
    if (known) return known;
    const queue = createAdmissionQueue({
      clock,
      delay,
      maxLength: MAX_QUEUE_LENGTH,
      pollMs: POLL_MS,
      sharing,
      revision: createSlotRevision({
        listChains() {
          const model = options.modelOf(service);
          return model ? options.chains.listOf(service, model, options.dataCentre) : [];
        },
        inFlightOn: account.inFlightOn,
      }),
    });
    queues.set(service, queue);
    return queue;
  }

  const charges = createSlotCharges({ clock, queueOf });

  /** What the organisations of a class of a service usually ask for. */
  function demandOf(service: string, { priority, classPriority }: SlotClaim): UsualDemand {
    const name = `${service} ${priority} ${classPriority}`;
    const known = demands.get(name);
    if (known) return known;
    const demand = createUsualDemand({ clock });
    demands.set(name, demand);
    return demand;
  }

  /** The claim of an ask; without a configured weight, the organisation's usual demand is it. */
  function claimOf(ask: SlotAsk): SlotClaim {
    const claim = toClaim(ask, sharing);
    if (!sharing.isEnabled || ask.weight !== undefined) return claim;
    return { ...claim, weight: demandOf(ask.service, claim).weightOf(claim.organisation) };
  }

  function recordDemand(ask: SlotAsk): void {
    if (!sharing.isEnabled || ask.isRetry || ask.hasBegun) return;
    const claim = toClaim(ask, sharing);
    const { size, callerLeavesInMs: leavesInMs } = ask;
    demandOf(ask.service, claim).recordAsk({ ...claim, size, leavesInMs });
  }

  function isPaced({ hasBegun, heads }: SlotAsk): boolean {
    return hasBegun && heads === undefined;
  }

  /**
   * No bound for a paced ask: the recent rate of grants says nothing about the turns of streams
   * that resume together, and most of them would be refused by it.
   */
  function pacedRate(ask: SlotAsk): number | null {
    return isPaced(ask) ? Number.POSITIVE_INFINITY : null;
  }

  function findBest(ask: SlotAsk): ChosenPath | undefined {
    if (!isPaced(ask)) return slotChains.findBest(ask);
    return resumePacing.choose((busyHeads) =>
      slotChains.findBest({ ...ask, excludedHeads: [...ask.excludedHeads, ...busyHeads] }),
    );
  }

  function takeTurn({ service, size }: SlotAsk, slot: GrantedSlot): void {
    const model = options.modelOf(service);
    if (!model) return;
    const { headId, stages } = slot;
    const factorOf = (stage: PathStage) => prefillFactorOf(stage, service);
    const spacingMs = resumeSpacingMs({ model, stages, size, prefillFactorOf: factorOf });
    turnsAtMs.set(slot, resumePacing.takeTurn(headId, spacingMs));
  }

  function recordGrant(holder: string, ask: SlotAsk, claim: SlotClaim, waitedMs: number): void {
    charges.record(keyOf(holder, ask.ticket), ask.service, claim);
    const labels = { class: String(ask.classPriority ?? ask.priority) };
    metrics?.count('spoolplank_slot_grants_total', labels);
    metrics?.observe('spoolplank_slot_wait_ms', waitedMs, labels);
  }

  /** Whether forecasts apply: to streams, whose chains set no rate limits. */
  function isForecast(ask: SlotAsk): boolean {
    return decisions.forecast.isEnabled && !ask.heads;
  }

  /** The latest ask of a ticket, with its times as of now. */
  function askNow({ ask, lastAskedAtMs, isEarly }: Ticket): SlotAsk {
    const passedMs = clock.nowMs() - lastAskedAtMs;
    return {
      ...ask,
      isRetry: ask.isRetry && !isEarly,
      inTimeForMs: ask.inTimeForMs - passedMs,
      leavesInMs: ask.leavesInMs - passedMs,
    };
  }

  /** Looks for a slot, which is charged by `claim`. */
  function findSlot(
    holder: string,
    ask: SlotAsk,
    claim: SlotClaim,
    waitedMs: number,
  ): GrantedSlot | undefined {
    const chosen = findBest(ask);
    if (!chosen) return undefined;
    options.onGranted?.(ask, chosen);
    slotChains.recordGranted(ask, chosen);
    const { headId, stages, capacity } = chosen;
    if (isForecast(ask) && queueOf(ask.service).length === 0) refusedCallers.recordFree(ask);
    const limitPerS = permits.take(holder, ask.ticket, headId);
    const path = options.chains.layoutOf && !ask.heads ? toHeldPath(stages) : undefined;
    account.grant(holder, { ticket: ask.ticket, headId, size: ask.size }, path);
    recordGrant(holder, ask, claim, waitedMs);
    if (isForecast(ask)) outlook.recordGrant(holder, ask, headId);
    const inFlight = account.inFlightOn(headId);
    const slot = { grantedBy: options.host, headId, stages, capacity, inFlight, limitPerS };
    if (isPaced(ask)) takeTurn(ask, slot);
    return slot;
  }

  function enqueue(holder: string, ask: SlotAsk): Ticket {
    recordDemand(ask);
    const nowMs = clock.nowMs();
    const arrivedAtMs = nowMs - ask.waitedMs;
    const ticket: Ticket = {
      forecast: null,
      isHopeless: false,
      isEarly: isForecast(ask) && refusedCallers.isEarly(ask),
      ask,
      queueDeadlineAtMs: nowMs + ask.leavesInMs,
      lastAskedAtMs: nowMs,
      outcome: null,
      settled: Promise.resolve(),
    };
    // The weight changes with time; a refund takes back what was charged.
    const claim = claimOf(ask);
    const wait = {
      ...claim,
      hasBegun: ask.hasBegun,
      arrivedAtMs,
      latestStartAtMs: nowMs + ask.inTimeForMs,
      queueDeadlineAtMs: ticket.queueDeadlineAtMs,
      isRetry: ask.isRetry && !ticket.isEarly,
      find: () => findSlot(holder, ticket.ask, claim, clock.nowMs() - arrivedAtMs),
      exclusionKey: () => exclusionKeyOf(ticket.ask),
      limitedPerS: () => slotChains.limitedRate(ticket.ask) ?? pacedRate(ticket.ask),
      isHopeless(ahead: number) {
        if (!isForecast(ask) || slotChains.limitedRate(ask) !== null) return undefined;
        const waitMs = outlook.waitMs(askNow(ticket), ahead);
        ticket.forecast = { ahead, waitMs, atMs: clock.nowMs() };
        const isHopeless = outlook.isHopeless(askNow(ticket), ahead);
        ticket.isHopeless = isHopeless === true;
        return isHopeless;
      },
      isAbandoned: () =>
        clock.nowMs() - ticket.lastAskedAtMs > ABANDONED_AFTER_MS ||
        (isForecast(ask) &&
          outlook.hasLostProspect(askNow(ticket)) &&
          slotChains.limitedRate(ticket.ask) === null),
    };
    ticket.settled = queueOf(ask.service)
      .enqueue(wait)
      .then((slot) => {
        ticket.outcome = { slot };
        const { waitMs, atMs } = ticket.forecast ?? { waitMs: null, atMs: 0 };
        if (slot && waitMs !== null && Number.isFinite(waitMs)) {
          refusals.recordWait(waitMs, clock.nowMs() - atMs);
        }
      });
    return ticket;
  }

  function refusalReasonOf(ask: SlotAsk, { queueDeadlineAtMs }: Ticket): SlotRefusal {
    if (slotChains.isTurnedAway(ask)) return 'turned-away';
    if (!slotChains.hasUsable(ask)) return 'no-chain';
    return clock.nowMs() < queueDeadlineAtMs ? 'hopeless' : 'time-over';
  }

  /** Tries once without queueing; grants nothing while requests are queued, as these come first. */
  function tryOnce(holder: string, ask: SlotAsk): SlotReply {
    const queue = queueOf(ask.service);
    const claim = claimOf(ask);
    const slot = queue.length === 0 ? findSlot(holder, ask, claim, ask.waitedMs) : undefined;
    if (slot) queue.charge(claim);
    return slot ? { kind: 'granted', slot } : { kind: 'waiting', ahead: queue.length };
  }

  /** Refuses an ask, by the given forecast or by one for a place at the end of the queue. */
  function refuse(
    ask: SlotAsk,
    reason: SlotRefusal,
    forecast: Pick<TicketForecast, 'ahead' | 'waitMs'> | null = null,
  ): SlotReply {
    const { length } = queueOf(ask.service);
    const isForecasted = isForecast(ask);
    const limitedPerS = slotChains.limitedRate(ask);
    const isRateLimited = limitedPerS !== null;
    const forecastPerS = isForecasted ? outlook.slotsPerS(ask.service) : null;
    const slotsPerS = limitedPerS ?? forecastPerS ?? queueOf(ask.service).slotsPerS();
    const retryInMs = isRateLimited
      ? retrySchedule.reserveDelayMs(ask.service, limitedPerS, length)
      : null;
    const turnPerS = isForecasted && !isRateLimited ? outlook.returningPerS(ask.service) : null;
    const turnInMs = turnPerS === null ? null : refusedCallers.turnMs(ask, reason, turnPerS);
    const { inUse, capacity, ageMs } = outlook.supplyOf(ask.service);
    const waitMs = isForecasted && !isRateLimited ? outlook.waitMs(ask, length) : null;
    refusals.record(ask, {
      reason,
      ahead: forecast?.ahead ?? length,
      forecastMs: forecast ? forecast.waitMs : waitMs,
      slotsPerS,
      isRateLimited,
      inUse,
      capacity,
      supplyAgeMs: ageMs,
      turnInMs: retryInMs ?? turnInMs,
    });
    return {
      kind: 'refused',
      reason,
      ahead: length,
      slotsPerS,
      ...(retryInMs === null ? {} : { retryInMs }),
      ...(turnInMs === null ? {} : { turnInMs }),
    };
  }

  async function waitInQueue(holder: string, ask: SlotAsk): Promise<SlotReply> {
    const key = keyOf(holder, ask.ticket);
    const ticket = tickets.get(key) ?? enqueue(holder, ask);
    tickets.set(key, ticket);
    ticket.ask = ask;
    ticket.lastAskedAtMs = clock.nowMs();
    await Promise.race([ticket.settled, delay(ask.holdMs)]);
    const ahead = queueOf(ask.service).length;
    if (!ticket.outcome) return { kind: 'waiting', ahead };
    tickets.delete(key);
    const { slot } = ticket.outcome;
    if (slot) return { kind: 'granted', slot };
    const forecast = ticket.isHopeless ? ticket.forecast : null;
    const { isRetry } = ask;
    return refuse({ ...askNow(ticket), isRetry }, refusalReasonOf(ask, ticket), forecast);
  }

  /** Holds back an answer with a slot until the turn of the slot has come. */
  async function holdUntilTurn(reply: SlotReply): Promise<SlotReply> {
    const atMs = reply.kind === 'granted' ? turnsAtMs.get(reply.slot) : undefined;
    const waitMs = (atMs ?? 0) - clock.nowMs();
    if (waitMs > 0) await delay(waitMs);
    return reply;
  }

  function end(holder: string, name: string, wasUsed = true): void {
    outlook.recordReleased(holder, name, wasUsed);
    permits.recordUsed(holder, name);
    charges.settle(keyOf(holder, name));
    account.cancel(holder, name);
    const ticket = tickets.get(keyOf(holder, name));
    if (ticket) ticket.lastAskedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Releases the slot of a request that was not sent, and refunds its permit. */
  function cancel(holder: string, name: string): void {
    permits.refund(holder, name);
    charges.refund(keyOf(holder, name));
    end(holder, name, false);
  }

  /**
   * Removes the tickets of settled asks that are not repeated; tickets that are still queued are
   * dropped by the queue.
   */
  function removeAbandoned(): void {
    const nowMs = clock.nowMs();
    if (nowMs - sweptAtMs < SWEEP_MS) return;
    sweptAtMs = nowMs;
    charges.sweep();
    const oldestMs = nowMs - ABANDONED_AFTER_MS;
    tickets.forEach(({ outcome, lastAskedAtMs }, key) => {
      if (outcome && lastAskedAtMs < oldestMs) tickets.delete(key);
    });
  }

  return {
    async answer(call) {
      const { holder, sequence, slots, paths, givenUp, ended = [] } = call;
      const { limitReports = [], ask } = call;
      account.recordUse();
      removeAbandoned();
      slotChains.recordAvoided(call);
      account.report(holder, { sequence, slots, ...(paths ? { paths } : {}) });
      outlook.recordCall(call);
      permits.recordListed(holder, slots);
      slots.forEach(({ ticket }) => charges.settle(keyOf(holder, ticket)));
      charges.chargeHeld(holder, call.heldCosts);
      charges.refundUnclaimed();
      ended.forEach((ticket) => end(holder, ticket));
      givenUp.forEach((ticket) => cancel(holder, ticket));
      limits.recordReports(holder, limitReports, ask?.limits ?? []);
      if (!ask) return { kind: 'noted' };
      if (!options.isConfigured()) throw new SpoolplankError('settings-stale');
      if (slotChains.isTurnedAway(ask)) {
        cancel(holder, ask.ticket);
        return refuse(ask, 'turned-away');
      }
      return holdUntilTurn(ask.mayWait ? await waitInQueue(holder, ask) : tryOnce(holder, ask));
    },
    capacityOf: (service) => ({
      ...slotChains.capacityOf(service),
      waiting: queueOf(service).length,
    }),
    get waiting() {
      return [...queues.values()].reduce((sum, { length }) => sum + length, 0);
    },
    get holders() {
      return account.holders;
    },
    describeShares: () =>
      Object.fromEntries(
        [...queues].map(([service, queue]) => [service, { ...queue.describeShares() }]),
      ),
  };
}
