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
import { createRetrySchedule, DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { SharingSettings, SlotClaim } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue } from '@spoolplank/shared';
import { createAdmissionQueue } from '../admission/admissionQueue';
import type { AdmissionQueue } from '../admission/admissionQueue';
import type { LimitAccount } from '../limits/limitAccount';
import { createSlotAccount } from './slotAccount';
import { createSlotChains } from './slotChains';
import type { SlotChainsOptions } from './slotChains';
import { createSlotPermits } from './slotPermits';
import { createSlotRevision } from './slotRevision';
import type {
  GrantedSlot,
  HeldCost,
  SlotAsk,
  SlotCall,
  SlotRefusal,
  SlotReply,
} from './slotMessages';

export interface SlotAllocatorOptions extends Omit<SlotChainsOptions, 'inFlightOn'> {
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
  /** The default settings if omitted. */
  readonly sharing?: SharingSettings;
  readonly metrics?: Pick<Metrics, 'count' | 'observe'>;
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

/** A slot that was charged to its class, and can be refunded until its request is sent. */
interface Charge {
  readonly service: string;
  readonly claim: SlotClaim;
  readonly atMs: number;
}

interface Ticket {
  /** The latest repetition of the ask; the chains that back off for its VM may have changed. */
  ask: SlotAsk;
  readonly queueDeadlineAtMs: number;
  lastAskedAtMs: number;
  /** Null while the request is queued; then the granted slot, or undefined if there was none. */
  outcome: { readonly slot: GrantedSlot | undefined } | null;
  settled: Promise<void>;
}

/** Identifies the chains that an ask excludes. Asks with equal keys can get the same slots. */
function exclusionKeyOf({ heads = [], excludedHeads, closedIds = [] }: SlotAsk): string {
  return `${[...heads].sort().join(' ')}-${[...excludedHeads, ...closedIds].sort().join(' ')}`;
}

/** Cost of a permit for a plain server, which has no size. */
const PERMIT_COST = 1;

/** On whose account an ask is, and its cost. An older VM states neither. */
function claimOf(ask: SlotAsk, { isEnabled }: SharingSettings): SlotClaim {
  const { priority, size, cost = size > 0 ? size : PERMIT_COST, organisation = '' } = ask;
  const weight = ask.weight !== undefined && ask.weight > 0 ? ask.weight : 1;
  // Without sharing, all requests of one priority are in one class.
  const classPriority = isEnabled ? (ask.classPriority ?? priority) : priority;
  return { priority, classPriority, cost, organisation, weight };
}

const keyOf = (holder: string, ticket: string): string => `${holder} ${ticket}`;

/**
 * Asks are repeated every half second; an ask that was not repeated for this long was abandoned.
 */
const ABANDONED_AFTER_MS = 900;
/** Interval at which the queue looks for slots. A released slot is reported within about 30 ms. */
const POLL_MS = 20;
/**
 * Time after which a granted slot that its holder never listed counts as unused; equal to the time
 * after which the ledger releases it.
 */
const UNCLAIMED_MS = 1300;
/** Time without a call after which a holder has lost its slots; equal to that of the ledger. */
const HOLDER_LOST_MS = 2600;
/** Interval at which abandoned tickets and lost holders are removed. */
const SWEEP_MS = 100;
/** Bounds memory; far above the number of requests that arrive within the maximum wait. */
const MAX_QUEUE_LENGTH = 600;

export function createSlotAllocator(options: SlotAllocatorOptions): SlotAllocator {
  const { clock, delay, limits, metrics, sharing = DEFAULT_DECISIONS.sharing } = options;
  const retrySchedule = createRetrySchedule({ clock });
  const account = createSlotAccount(options);
  const slotChains = createSlotChains({ ...options, inFlightOn: account.inFlightOn });
  const permits = createSlotPermits({ limits });
  const queues = new Map<string, AdmissionQueue>();
  const tickets = new Map<string, Ticket>();
  let sweptAtMs = Number.NEGATIVE_INFINITY;
  /** When each holder called last whose slots are charged. */
  const chargedHolders = new Map<string, number>();
  /** Charges for granted slots that their holders have not listed yet, oldest first. */
  const charges = new Map<string, Charge>();

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

  function recordGrant(holder: string, ask: SlotAsk, waitedMs: number): void {
    const atMs = clock.nowMs();
    const claim = claimOf(ask, sharing);
    charges.set(keyOf(holder, ask.ticket), { service: ask.service, claim, atMs });
    const labels = { class: String(ask.classPriority ?? ask.priority) };
    metrics?.count('spoolplank_slot_grants_total', labels);
    metrics?.observe('spoolplank_slot_wait_ms', waitedMs, labels);
  }

  /** Takes back the charge for a slot that its holder has not used. */
  function refund(key: string): void {
    const charge = charges.get(key);
    if (!charge) return;
    charges.delete(key);
    queueOf(charge.service).refund(charge.claim);
  }

  function refundUnclaimed(): void {
    const oldestMs = clock.nowMs() - UNCLAIMED_MS;
    for (const [key, { atMs }] of charges) {
      if (atMs >= oldestMs) return;
      refund(key);
    }
  }

  /**
   * Charges the slots that a holder has when it first reports their costs, as they were granted by
   * another allocator.
   */
  function chargeHeld(holder: string, heldCosts: readonly HeldCost[] | undefined): void {
    const nowMs = clock.nowMs();
    const lastMs = chargedHolders.get(holder) ?? Number.NEGATIVE_INFINITY;
    const isCharged = nowMs - lastMs <= HOLDER_LOST_MS;
    if (isCharged || heldCosts) chargedHolders.set(holder, nowMs);
    if (isCharged) return;
    heldCosts?.forEach(({ service, ...claim }) => queueOf(service).chargeElsewhere(claim));
  }

  function findSlot(holder: string, ask: SlotAsk, waitedMs: number): GrantedSlot | undefined {
    const chosen = slotChains.findBest(ask);
    if (!chosen) return undefined;
    const { headId, stages, capacity } = chosen;
    const limitPerS = permits.take(holder, ask.ticket, headId);
    account.grant(holder, { ticket: ask.ticket, headId, size: ask.size });
    recordGrant(holder, ask, waitedMs);
    const inFlight = account.inFlightOn(headId);
    return { grantedBy: options.host, headId, stages, capacity, inFlight, limitPerS };
  }

  function enqueue(holder: string, ask: SlotAsk): Ticket {
    const nowMs = clock.nowMs();
    const arrivedAtMs = nowMs - ask.waitedMs;
    const ticket: Ticket = {
      ask,
      queueDeadlineAtMs: nowMs + ask.leavesInMs,
      lastAskedAtMs: nowMs,
      outcome: null,
      settled: Promise.resolve(),
    };
    const wait = {
      ...claimOf(ask, sharing),
      hasBegun: ask.hasBegun,
      arrivedAtMs,
      latestStartAtMs: nowMs + ask.inTimeForMs,
      queueDeadlineAtMs: ticket.queueDeadlineAtMs,
      isRetry: ask.isRetry,
      find: () => findSlot(holder, ticket.ask, clock.nowMs() - arrivedAtMs),
      exclusionKey: () => exclusionKeyOf(ticket.ask),
      limitedPerS: () => slotChains.limitedRate(ticket.ask),
      isAbandoned: () => clock.nowMs() - ticket.lastAskedAtMs > ABANDONED_AFTER_MS,
    };
    ticket.settled = queueOf(ask.service)
      .enqueue(wait)
      .then((slot) => {
        ticket.outcome = { slot };
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
    const slot = queue.length === 0 ? findSlot(holder, ask, ask.waitedMs) : undefined;
    if (slot) queue.charge(claimOf(ask, sharing));
    return slot ? { kind: 'granted', slot } : { kind: 'waiting', ahead: queue.length };
  }

  function refuse(ask: SlotAsk, reason: SlotRefusal, ahead: number): SlotReply {
    const perS = slotChains.limitedRate(ask);
    const slotsPerS = queueOf(ask.service).slotsPerS();
    if (perS === null) return { kind: 'refused', reason, ahead, slotsPerS };
    const retryInMs = retrySchedule.reserveDelayMs(ask.service, perS, ahead);
    return { kind: 'refused', reason, ahead, slotsPerS: perS, retryInMs };
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
    return refuse(ask, refusalReasonOf(ask, ticket), ahead);
  }

  function end(holder: string, name: string): void {
    permits.recordUsed(holder, name);
    charges.delete(keyOf(holder, name));
    account.cancel(holder, name);
    const ticket = tickets.get(keyOf(holder, name));
    if (ticket) ticket.lastAskedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Releases the slot of a request that was not sent, and refunds its permit. */
  function cancel(holder: string, name: string): void {
    permits.refund(holder, name);
    refund(keyOf(holder, name));
    end(holder, name);
  }

  /**
   * Removes the tickets of settled asks that are not repeated; tickets that are still queued are
   * dropped by the queue.
   */
  function removeAbandoned(): void {
    const nowMs = clock.nowMs();
    if (nowMs - sweptAtMs < SWEEP_MS) return;
    sweptAtMs = nowMs;
    chargedHolders.forEach((lastMs, holder) => {
      if (nowMs - lastMs > HOLDER_LOST_MS) chargedHolders.delete(holder);
    });
    const oldestMs = nowMs - ABANDONED_AFTER_MS;
    tickets.forEach(({ outcome, lastAskedAtMs }, key) => {
      if (outcome && lastAskedAtMs < oldestMs) tickets.delete(key);
    });
  }

  return {
    async answer(call) {
      const { holder, sequence, slots, givenUp, ended = [], limitReports = [], ask } = call;
      account.recordUse();
      removeAbandoned();
      slotChains.recordAvoided(call);
      account.report(holder, { sequence, slots });
      permits.recordListed(holder, slots);
      slots.forEach(({ ticket }) => charges.delete(keyOf(holder, ticket)));
      chargeHeld(holder, call.heldCosts);
      refundUnclaimed();
      ended.forEach((ticket) => end(holder, ticket));
      givenUp.forEach((ticket) => cancel(holder, ticket));
      limits.recordReports(holder, limitReports, ask?.limits ?? []);
      if (!ask) return { kind: 'noted' };
      if (!options.isConfigured()) throw new SpoolplankError('settings-stale');
      if (slotChains.isTurnedAway(ask)) {
        cancel(holder, ask.ticket);
        return refuse(ask, 'turned-away', queueOf(ask.service).length);
      }
      return ask.mayWait ? waitInQueue(holder, ask) : tryOnce(holder, ask);
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
