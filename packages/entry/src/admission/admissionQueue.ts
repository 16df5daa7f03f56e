/**
 * Queues requests that wait for a slot, in the order of `compareQueued`. A slot is the permission
 * to put the load of one request on a chain of engines.
 */
import {
  classOf,
  compareQueued,
  createSlotShares,
  groupOf,
  ROUND_COST,
  willMissQueueDeadline,
} from '@spoolplank/routing';
import type {
  QueuedRequest,
  ShareOrder,
  SharesReport,
  SharingSettings,
  SlotClaim,
} from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly delay: (durationMs: number) => Promise<void>;
  /** Maximum length of the queue; if a request joins a full queue, the last one is dropped. */
  readonly maxLength: number;
  /** How often the queue looks for free slots. */
  readonly pollMs: number;
  /** Shares of the classes; without them only the order of `compareQueued` counts. */
  readonly sharing?: SharingSettings;
}

export interface QueueEntry<Slot> extends QueuedRequest {
  /** Cost of the slot, relative to a request of usual size; 1 by default. */
  readonly cost?: number;
  /** Empty by default; all requests without one share as one organisation. */
  readonly organisation?: string;
  /** Weight of the organisation among those of its class; 1 by default. */
  readonly weight?: number;
  /** Tries to take a slot; undefined if there is none. */
  readonly find: () => Slot | undefined;
  /**
   * Identifies the excluded servers. Requests with equal keys can take the same slots. Empty by
   * default.
   */
  readonly exclusionKey?: () => string;
  /** Slots per second that the rate limits of servers allow; null if no rate limit applies. */
  readonly limitedPerS?: () => number | null;
  /**
   * Whether a request with `ahead` others before it would wait in vain; undefined to judge it by
   * the rate of recent grants, as by default.
   */
  readonly isHopeless?: (ahead: number) => boolean | undefined;
  /** Whether the request no longer needs a slot, so that the queue drops it. */
  readonly isAbandoned: () => boolean;
}

export interface AdmissionQueue {
  /** Number of queued requests. */
  readonly length: number;
  /** Recent rate of granted slots. */
  slotsPerS(): number;
  /** Charges a slot that was granted without the queue. */
  charge(claim: SlotClaim): void;
  /** Takes back the charge for a slot that was not used. */
  refund(claim: SlotClaim): void;
  /** Charges a slot that another allocator granted. */
  chargeElsewhere(claim: SlotClaim): void;
  describeShares(): SharesReport;
  /**
   * Resolves with a slot, at once if one is free and no request is ahead, or with undefined if the
   * request left the queue without one or would wait in vain.
   */
  enqueue<Slot>(wait: QueueEntry<Slot>): Promise<Slot | undefined>;
}

interface Ticket {
  readonly wait: QueueEntry<unknown>;
  /** Ends the wait, with a slot or without one. */
  readonly settle: (slot: unknown) => void;
  /** Ends the wait with the error that `find` threw. */
  readonly fail: (error: unknown) => void;
}

/**
 * After this many failures of requests with equal exclusion keys, a pass skips the others of them.
 */
const MAX_FAILED_TRIES = 3;
/**
 * Bounds the cost of a pass. It exceeds `MAX_FAILED_TRIES`, so that a pass still reaches requests
 * with other exclusion keys: a chain in backoff for the first requests may be free for them.
 */
const MAX_TRIES_PER_PASS = 24;
/** Pause after a grant; in the meantime the request is sent, and its slot counts as in flight. */
const AFTER_GRANT_MS = 2;
/** Window over which the rate of grants is measured. */
const RATE_WINDOW_MS = 1500;
const MS_PER_S = 1000;

function claimOf(wait: Omit<QueueEntry<unknown>, 'find' | 'isAbandoned'>): SlotClaim {
  const { priority, cost = 1, organisation = '', weight = 1 } = wait;
  return { priority, classPriority: classOf(wait), cost, organisation, weight };
}

export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
  const { clock, delay, maxLength, pollMs, sharing } = options;
  const minShare = sharing?.isEnabled ? sharing.minClassShare : 0;
  const isShared = sharing?.isEnabled ?? false;
  const shares = createSlotShares({ clock, minShare, isShared });
  const queue: Ticket[] = [];
  const grantedAtMs: number[] = [];
  let isPolling = false;

  function recordGrant(wait: QueueEntry<unknown>): void {
    grantedAtMs.push(clock.nowMs());
    shares.charge(claimOf(wait));
  }

  const isAhead: ShareOrder['isAhead'] = (wait) => shares.isAhead(claimOf(wait));
  const byRound: ShareOrder['compareOrganisations'] = (a, b) =>
    shares.roundOf(claimOf(a)) - shares.roundOf(claimOf(b));

  /** Orders queued requests; a class that is owed a part of its share comes before the others. */
  function createCompare(
    compareOrganisations = byRound,
  ): (a: QueuedRequest, b: QueuedRequest) => number {
    const nowMs = clock.nowMs();
    const owedClasses = new Map<number, number | undefined>();
    const owedAt = (priority: number): number | undefined => {
      if (!owedClasses.has(priority)) owedClasses.set(priority, shares.findOwed(priority));
      return owedClasses.get(priority);
    };
    const order: ShareOrder = {
      compareClasses(priority, a, b) {
        const owed = a === b ? undefined : owedAt(priority);
        return Number(b === owed) - Number(a === owed) || a - b;
      },
      compareOrganisations,
      isAhead,
    };
    return (a, b) => compareQueued(a, b, nowMs, order);
  }

  function slotsPerS(): number {
    const oldestMs = clock.nowMs() - RATE_WINDOW_MS;
    while (grantedAtMs.length > 0 && (grantedAtMs[0] ?? 0) < oldestMs) grantedAtMs.shift();
    return (grantedAtMs.length / RATE_WINDOW_MS) * MS_PER_S;
  }

  function sortQueue(): void {
    const compare = createCompare();
    queue.sort((a, b) => compare(a.wait, b.wait));
  }

  function takeOut(ticket: Ticket): void {
    queue.splice(queue.indexOf(ticket), 1);
    shares.leave(claimOf(ticket.wait));
  }

  function remove(ticket: Ticket, slot: unknown): void {
    takeOut(ticket);
    ticket.settle(slot);
  }

  function removeEnded(): void {
    const nowMs = clock.nowMs();
    queue
      .filter(({ wait }) => nowMs >= wait.queueDeadlineAtMs || wait.isAbandoned())
      .forEach((ticket) => remove(ticket, undefined));
  }

  /** Tries to grant a slot to one request. An error ends the wait of this request only. */
  function tryGrant(ticket: Ticket): boolean {
    try {
      const slot = ticket.wait.find();
      if (slot === undefined) return false;
      recordGrant(ticket.wait);
      remove(ticket, slot);
      return true;
    } catch (error) {
      takeOut(ticket);
      ticket.fail(error);
      return false;
    }
  }

  /** Grants a slot to the first request that finds one; returns whether one did. */
  function grantNext(): boolean {
    sortQueue();
    const failedTries = new Map<string, number>();
    let tries = 0;
    for (const ticket of [...queue]) {
      const excluded = ticket.wait.exclusionKey?.() ?? '';
      const failures = failedTries.get(excluded) ?? 0;
      if (failures < MAX_FAILED_TRIES) {
        if (tryGrant(ticket)) return true;
        failedTries.set(excluded, failures + 1);
        tries += 1;
        if (tries >= MAX_TRIES_PER_PASS) return false;
      }
    }
    return false;
  }

  async function poll(): Promise<void> {
    if (isPolling) return;
    isPolling = true;
    let wasGranted = false;
    while (queue.length > 0) {
      // A granted slot counts as in flight only once its request has been sent, so the next pass
      // waits for that.
      await delay(wasGranted ? AFTER_GRANT_MS : pollMs);
      removeEnded();
      wasGranted = grantNext();
    }
    isPolling = false;
  }

  /**
   * Number of requests of the same group that get a slot before this one: those before it in the
   * order of requests, except where the shares of the organisations differ by more than a round.
   */
  function countAheadInGroup(wait: QueueEntry<unknown>, group: readonly Ticket[]): number {
    const own = claimOf(wait);
    const compare = createCompare(() => 0);
    const counts = new Map<string, { claim: SlotClaim; all: number; earlier: number }>();
    group.forEach(({ wait: other }) => {
      const claim = claimOf(other);
      const count = counts.get(claim.organisation) ?? { claim, all: 0, earlier: 0 };
      counts.set(claim.organisation, count);
      count.all += 1;
      if (compare(other, wait) <= 0) count.earlier += 1;
    });
    const ownEarlier = counts.get(own.organisation)?.earlier ?? 0;
    const endsAt = shares.startOf(own) + (ownEarlier * own.cost) / own.weight;
    let ahead = 0;
    counts.forEach(({ claim, all, earlier }, organisation) => {
      if (organisation === own.organisation) {
        ahead += earlier;
        return;
      }
      const byShare = endsAt - shares.startOf(claim);
      const least = (byShare - ROUND_COST) * claim.weight;
      const most = (byShare + ROUND_COST) * claim.weight;
      ahead += Math.min(all, Math.max(0, Math.floor(least), Math.min(earlier, Math.ceil(most))));
    });
    return ahead;
  }

  /**
   * Number of requests that get a slot before this one. The guaranteed share of its class bounds
   * it: however many requests of more urgent classes wait, the class gets its part of the slots.
   */
  function countAhead(wait: QueueEntry<unknown>): number {
    const nowMs = clock.nowMs();
    const compare = createCompare();
    if (!isShared) return queue.filter((ticket) => compare(ticket.wait, wait) <= 0).length;
    const ownGroup = groupOf(wait, nowMs, isAhead(wait));
    const isOfClass = ({ wait: other }: Ticket) =>
      other.priority === wait.priority && classOf(other) === classOf(wait);
    const isOfGroup = (ticket: Ticket) =>
      ownGroup !== 'begun' &&
      isOfClass(ticket) &&
      groupOf(ticket.wait, nowMs, isAhead(ticket.wait)) === ownGroup;
    const others = queue.filter((ticket) => !isOfGroup(ticket) && compare(ticket.wait, wait) <= 0);
    const inGroup = countAheadInGroup(wait, queue.filter(isOfGroup));
    const ahead = others.length + inGroup;
    if (minShare === 0 || ownGroup === 'begun') return ahead;
    const ofClass = others.filter(isOfClass).length + inGroup;
    const ofOtherLevels = others.filter(({ wait: other }) => other.priority !== wait.priority);
    const guaranteed = Math.ceil((ofClass + 1) / minShare) - 1;
    return Math.min(ahead, ofOtherLevels.length + guaranteed);
  }

  /** Whether no queued request comes before this one. */
  function isNext(wait: QueuedRequest): boolean {
    const compare = createCompare();
    return queue.every((ticket) => compare(ticket.wait, wait) > 0);
  }

  function join<Slot>(wait: QueueEntry<Slot>): Promise<Slot | undefined> {
    return new Promise((resolve, reject) => {
      queue.push({ wait, settle: (slot) => resolve(slot as Slot | undefined), fail: reject });
      shares.join(claimOf(wait));
      sortQueue();
      const last = queue.length > maxLength ? queue.at(-1) : undefined;
      if (last) remove(last, undefined);
      void poll();
    });
  }

  return {
    get length() {
      return queue.length;
    },
    slotsPerS,
    charge: shares.charge,
    refund: shares.refund,
    chargeElsewhere: shares.chargeElsewhere,
    describeShares: shares.describe,
    async enqueue(wait) {
      const slot = isNext(wait) ? wait.find() : undefined;
      if (slot !== undefined) {
        recordGrant(wait);
        return slot;
      }
      const ahead = countAhead(wait);
      const remainingMs = wait.queueDeadlineAtMs - clock.nowMs();
      const limitedPerS = wait.limitedPerS?.() ?? null;
      const isHopeless =
        wait.isHopeless?.(ahead) ??
        willMissQueueDeadline({ ahead, slotsPerS: slotsPerS(), remainingMs, limitedPerS });
      return isHopeless ? undefined : join(wait);
    },
  };
}
