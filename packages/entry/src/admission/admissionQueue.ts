/**
 * Queues requests that wait for a slot, in the order of `compareQueued`. A slot is the permission
 * to put the load of one request on a chain of engines.
 */
import {
  classOf,
  compareRanked,
  createSlotShares,
  rankOf,
  ROUND_COST,
  willMissQueueDeadline,
} from '@spoolplank/routing';
import type {
  QueuedRequest,
  QueueRank,
  ShareOrder,
  SharesReport,
  SharingSettings,
  SlotClaim,
} from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import { createQueueLines } from './queueLines';
import type { Line, Queued } from './queueLines';

export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly delay: (durationMs: number) => Promise<void>;
  /** Maximum length of the queue; if a request joins a full queue, the last one is dropped. */
  readonly maxLength: number;
  /** How often the queue looks for free slots. */
  readonly pollMs: number;
  /** Shares of the classes; without them only the order of `compareQueued` counts. */
  readonly sharing?: SharingSettings;
  /**
   * Changes when a slot was released or a chain changed. Until then, requests with the exclusions
   * of one that found no slot are skipped. Without it, they are tried each time.
   */
  readonly revision?: () => number;
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

type Entry = QueueEntry<unknown>;

/** How the wait of a request ends. */
interface Ends {
  /** Ends the wait, with a slot or without one. */
  readonly settle: (slot: unknown) => void;
  /** Ends the wait with the error that `find` threw. */
  readonly fail: (error: unknown) => void;
}

/** Requests of one line, as seen by a request of the same group. */
interface PeerLine {
  readonly claim: SlotClaim;
  readonly all: number;
  /** Number of them that come before the request in the order of requests. */
  readonly earlier: number;
}

/** A request of a line that may be tried next. */
interface Cursor extends Ranked<Entry> {
  readonly line: Line<Entry>;
  readonly index: number;
  readonly request: Queued<Entry>;
}

/** The exclusions of a request that found no slot, and when it was tried. */
interface FailedTry {
  readonly revision: number;
  readonly atMs: number;
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
/**
 * Time after which requests are tried again although nothing was released: an engine that was
 * avoided for a while may be usable again, which changes no revision.
 */
const RETRY_FAILED_MS = 60;
/** Requests that are checked for having been abandoned each time that the queue looks for slots. */
const CHECKED_PER_PASS = 16;
/** Pause after a grant; in the meantime the request is sent, and its slot counts as in flight. */
const AFTER_GRANT_MS = 2;
/** Window over which the rate of grants is measured. */
const RATE_WINDOW_MS = 1500;
const MS_PER_S = 1000;
/** Rank of a class that is owed a part of its share; before those of all route priorities. */
const OWED_RANK = -1;

/** A request and its place in the order. */
interface Ranked<Wait extends QueuedRequest> {
  readonly wait: Wait;
  readonly rank: QueueRank;
}

function claimOf(wait: Omit<QueueEntry<unknown>, 'find' | 'isAbandoned'>): SlotClaim {
  const { priority, cost = 1, organisation = '', weight = 1 } = wait;
  return { priority, classPriority: classOf(wait), cost, organisation, weight };
}

export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
  const { clock, delay, maxLength, pollMs, sharing } = options;
  const minShare = sharing?.isEnabled ? sharing.minClassShare : 0;
  const isShared = sharing?.isEnabled ?? false;
  const shares = createSlotShares({ clock, minShare, isShared });
  const lines = createQueueLines<Entry>();
  const ends = new Map<Queued<Entry>, Ends>();
  const failedTries = new Map<string, FailedTry>();
  const grantedAtMs: number[] = [];
  let isPolling = false;

  function recordGrant(wait: Entry): void {
    grantedAtMs.push(clock.nowMs());
    shares.charge(claimOf(wait));
  }

  /** Ranks queued requests; a class that is owed a part of its share comes before the others. */
  function createRanking(): <Wait extends QueuedRequest>(wait: Wait) => Ranked<Wait> {
    const nowMs = clock.nowMs();
    const owedClasses = new Map<number, number | undefined>();
    const owedAt = (priority: number): number | undefined => {
      if (!owedClasses.has(priority)) owedClasses.set(priority, shares.findOwed(priority));
      return owedClasses.get(priority);
    };
    const order: ShareOrder = {
      classRankOf: (priority, classPriority) =>
        classPriority === owedAt(priority) ? OWED_RANK : classPriority,
      roundOf: (wait) => shares.roundOf(claimOf(wait)),
      isAhead: (wait) => shares.isAhead(claimOf(wait)),
    };
    return (wait) => ({ wait, rank: rankOf(wait, nowMs, order) });
  }

  function slotsPerS(): number {
    const oldestMs = clock.nowMs() - RATE_WINDOW_MS;
    while (grantedAtMs.length > 0 && (grantedAtMs[0] ?? 0) < oldestMs) grantedAtMs.shift();
    return (grantedAtMs.length / RATE_WINDOW_MS) * MS_PER_S;
  }

  /** Removes a request; returns how to end its wait. */
  function takeOut(request: Queued<Entry>): Ends | undefined {
    const end = ends.get(request);
    lines.remove(request);
    ends.delete(request);
    shares.leave(claimOf(request.wait));
    return end;
  }

  function remove(request: Queued<Entry>, slot: unknown): void {
    takeOut(request)?.settle(slot);
  }

  /**
   * Moves requests to the lines of their present groups, and removes those whose wait ended. The
   * group of a line is read from its first request, so this comes before each use of the order.
   */
  function advance(): void {
    lines.advance(clock.nowMs()).forEach((request) => remove(request, undefined));
  }

  function removeEnded(): void {
    advance();
    lines.takeTurn(CHECKED_PER_PASS).forEach((request) => {
      if (request.wait.isAbandoned()) remove(request, undefined);
      else lines.refresh(request);
    });
  }

  /** Tries to grant a slot to one request. An error ends the wait of this request only. */
  function tryGrant(request: Queued<Entry>): boolean {
    try {
      const slot = request.wait.find();
      if (slot === undefined) return false;
      recordGrant(request.wait);
      remove(request, slot);
      return true;
    } catch (error) {
      takeOut(request)?.fail(error);
      return false;
    }
  }

  /** A stream that has begun may use a part of a chain that new streams may not. */
  const failureKeyOf = (exclusions: string, hasBegun: boolean): string =>
    `${hasBegun ? 'begun' : 'new'} ${exclusions}`;

  /** Whether a request with the same exclusions found no slot and nothing was released since. */
  function isBlocked(key: string): boolean {
    const failed = failedTries.get(key);
    if (!failed) return false;
    const isCurrent =
      failed.revision === options.revision?.() && clock.nowMs() - failed.atMs < RETRY_FAILED_MS;
    if (!isCurrent) failedTries.delete(key);
    return isCurrent;
  }

  /** Records that requests with some exclusions found no slot. A rate limit changes with time. */
  function recordFailure(key: string, wait: Entry): void {
    const revision = options.revision?.();
    const isLimited = (wait.limitedPerS?.() ?? null) !== null;
    if (revision === undefined || isLimited) return;
    failedTries.set(key, { revision, atMs: clock.nowMs() });
  }

  /** The requests to try in one pass: the first ones of the lines that may find a slot. */
  function listCandidates(): readonly Queued<Entry>[] {
    const toRanked = createRanking();
    const tries = new Map<string, number>();
    const candidates: Queued<Entry>[] = [];
    const cursorAt = (line: Line<Entry>, index: number): readonly Cursor[] => {
      const request = line.requests.at(index);
      return request ? [{ ...toRanked(request.wait), line, index, request }] : [];
    };
    const isOpen = ({ group, exclusions }: Line<Entry>) =>
      !isBlocked(failureKeyOf(exclusions, group === 'begun'));
    let cursors = [...lines.list()].filter(isOpen).flatMap((line) => cursorAt(line, 0));
    while (candidates.length < MAX_TRIES_PER_PASS) {
      const [first, ...others] = cursors;
      if (!first) break;
      const next = others.reduce((best, other) => {
        const order = compareRanked(other, best);
        return (order || other.request.sequence - best.request.sequence) < 0 ? other : best;
      }, first);
      candidates.push(next.request);
      const { exclusions } = next.line;
      const count = (tries.get(exclusions) ?? 0) + 1;
      tries.set(exclusions, count);
      cursors = cursors
        .flatMap((cursor) => (cursor === next ? cursorAt(next.line, next.index + 1) : cursor))
        .filter(({ line }) => count < MAX_FAILED_TRIES || line.exclusions !== exclusions);
    }
    return candidates;
  }

  /** Grants a slot to the first request that finds one; returns whether one did. */
  function grantNext(): boolean {
    const failed = new Map<string, Entry>();
    const isGranted = listCandidates().some((request) => {
      if (request.wait.isAbandoned()) {
        remove(request, undefined);
        return false;
      }
      lines.refresh(request);
      failed.set(failureKeyOf(request.exclusions, Boolean(request.wait.hasBegun)), request.wait);
      return tryGrant(request);
    });
    // After a grant the next pass follows at once, and tries the other requests again.
    if (!isGranted) failed.forEach((wait, key) => recordFailure(key, wait));
    return isGranted;
  }

  async function poll(): Promise<void> {
    if (isPolling) return;
    isPolling = true;
    let wasGranted = false;
    while (lines.length > 0) {
      // A granted slot counts as in flight only once its request has been sent, so the next pass
      // waits for that.
      await delay(wasGranted ? AFTER_GRANT_MS : pollMs);
      removeEnded();
      wasGranted = grantNext();
    }
    isPolling = false;
    failedTries.clear();
  }

  /**
   * Number of requests of the same group that get a slot before this one: those before it in the
   * order of requests, except where the shares of the organisations differ by more than a round.
   */
  function countAheadInGroup(wait: Entry, group: readonly PeerLine[]): number {
    const own = claimOf(wait);
    const earlierOf = (name: string) =>
      group.reduce(
        (sum, { claim, earlier }) => sum + (claim.organisation === name ? earlier : 0),
        0,
      );
    const ownEarlier = earlierOf(own.organisation);
    const endsAt = shares.startOf(own) + (ownEarlier * own.cost) / own.weight;
    return group.reduce((ahead, { claim, all, earlier }) => {
      if (claim.organisation === own.organisation) return ahead + earlier;
      const byShare = endsAt - shares.startOf(claim);
      const least = Math.floor((byShare - ROUND_COST) * claim.weight);
      const most = Math.ceil((byShare + ROUND_COST) * claim.weight);
      return ahead + Math.min(all, Math.max(0, least, Math.min(earlier, most)));
    }, 0);
  }

  /**
   * Number of requests that get a slot before this one. The guaranteed share of its class bounds
   * it: however many requests of more urgent classes wait, the class gets its part of the slots.
   */
  function countAhead(wait: Entry): number {
    const toRanked = createRanking();
    const own = toRanked(wait);
    const group: PeerLine[] = [];
    let ofLevel = 0;
    let ofClass = 0;
    let ofOthers = 0;
    for (const line of lines.list()) {
      const all = line.requests.length;
      const head = toRanked(line.requests.at(0)?.wait ?? wait);
      const isOfLevel = head.rank.priority === own.rank.priority;
      const isOfClass = isOfLevel && head.rank.classRank === own.rank.classRank;
      if (isOfClass && head.rank.group === own.rank.group) {
        group.push({ claim: claimOf(head.wait), all, earlier: lines.countBefore(line, wait) });
      } else if (compareRanked(head, own) <= 0) {
        if (isOfClass) ofClass += all;
        else if (isOfLevel) ofLevel += all;
        else ofOthers += all;
      }
    }
    const isByShare = isShared && own.rank.group !== 'begun';
    const inGroup = isByShare
      ? countAheadInGroup(wait, group)
      : group.reduce((sum, { earlier }) => sum + earlier, 0);
    const ofOwnClass = ofClass + inGroup;
    if (minShare === 0 || !isByShare) return ofOthers + ofLevel + ofOwnClass;
    const guaranteed = Math.ceil((ofOwnClass + 1) / minShare) - 1;
    return ofOthers + Math.min(ofLevel + ofOwnClass, guaranteed);
  }

  /** Whether no queued request comes before this one. */
  function isNext(wait: QueuedRequest): boolean {
    const toRanked = createRanking();
    const own = toRanked(wait);
    return [...lines.list()].every(({ requests }) => {
      const head = requests.at(0);
      return !head || compareRanked(toRanked(head.wait), own) > 0;
    });
  }

  function findLast(): Queued<Entry> | undefined {
    const toRanked = createRanking();
    const lasts = [...lines.list()].flatMap((line) => {
      const request = line.requests.at(line.requests.length - 1);
      return request ? [{ ...toRanked(request.wait), request }] : [];
    });
    const [first, ...others] = lasts;
    return others.reduce((last, other) => {
      const order = last ? compareRanked(other, last) : 0;
      const isLater = !last || (order || other.request.sequence - last.request.sequence) > 0;
      return isLater ? other : last;
    }, first)?.request;
  }

  function canTryAtOnce(wait: Entry): boolean {
    const key = failureKeyOf(wait.exclusionKey?.() ?? '', Boolean(wait.hasBegun));
    return !isBlocked(key) && isNext(wait);
  }

  function join<Slot>(wait: QueueEntry<Slot>): Promise<Slot | undefined> {
    return new Promise((resolve, reject) => {
      const settle = (slot: unknown) => resolve(slot as Slot | undefined);
      ends.set(lines.add(wait, clock.nowMs()), { settle, fail: reject });
      shares.join(claimOf(wait));
      const last = lines.length > maxLength ? findLast() : undefined;
      if (last) remove(last, undefined);
      void poll();
    });
  }

  return {
    get length() {
      return lines.length;
    },
    slotsPerS,
    charge: shares.charge,
    refund: shares.refund,
    chargeElsewhere: shares.chargeElsewhere,
    describeShares: shares.describe,
    async enqueue(wait) {
      advance();
      const slot = canTryAtOnce(wait) ? wait.find() : undefined;
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
