/**
 * The retries that the requests of one VM earn, which it may send without asking anyone.
 *
 * For the sum over all VMs and any window, the retries that arrive are at most what was saved or
 * under way when the window began plus what is earned within it. A VM saves at most `SAVED_SHARE`
 * of what the requests of a whole window earn, less what is under way, and earns the rest of the
 * ratio, so the sum stays within the ratio of the requests in the window or of those in the one
 * before, however demand moves between VMs. A VM that restarts has saved nothing. A VM whose
 * requests earn too little to save a whole retry needs a credit, which counts beside the ratio.
 *
 * The requests of a window are those that were sent in it, and a request may be read much later. It
 * therefore earns as of a time before it was sent, and only as much as could have been saved from
 * then on: the requests that waited while a VM stood still earn no more than it may save.
 */
import type { Clock } from '@spoolplank/shared';

export interface EarnedRetriesOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly windowMs: number;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Whether one retry more may be saved, on a credit; by default not. */
  readonly hasCredit?: () => boolean;
}

export interface EarnedRetries {
  /** Counts a request that was sent after a time on the clock `steadyMs`. */
  earn(sentAfterMs: number): void;
  hasLeft(): boolean;
  /** Whether the requests earn whole retries, but too few to save one without a credit. */
  needsCredit(): boolean;
  /** Takes a retry to be sent now: its time on the clock `steadyMs`, or null if none is left. */
  take(): number | null;
  /**
   * Records that a retry that was taken at a time cannot arrive any more. One that may still arrive
   * a window after it was taken does not count here from then on.
   */
  settle(takenAtMs: number): void;
  /** Returns a retry that was taken at a time and not sent. */
  refund(takenAtMs: number): void;
  describe(): EarnedRetriesState;
}

export interface EarnedRetriesState {
  /** Requests within the window. */
  readonly requests: number;
  readonly saved: number;
  /** Retries that were taken and may still arrive. */
  readonly underWay: number;
}

/** State from a time until the next span begins. */
interface Span {
  readonly fromMs: number;
  /** Fewest requests within the window. */
  requests: number;
  /**
   * Most retries that were saved or under way, or could have been, had all requests been read at
   * once.
   */
  exposed: number;
}

/** Drops the first elements of a list, up to the first one that is kept. */
function dropUntil<Element>(list: Element[], isKept: (element: Element) => boolean): void {
  const kept = list.findIndex(isKept);
  list.splice(0, kept === -1 ? list.length : kept);
}

/** Share of the retries of a window that a VM may save; the others are used as they are earned. */
const SAVED_SHARE = 0.1;
/** A retry is taken whole; the rest is room for what requests earn as of before they were read. */
const MIN_SAVED = 1.5;
/** Retries that the requests of a window earn, from which a credit of one is worth its price. */
const MIN_EARNED = 1;
/** Bounds the number of spans that are kept. */
const MIN_SPAN_MS = 50;

export function createEarnedRetries(options: EarnedRetriesOptions): EarnedRetries {
  const { clock, windowMs, ratio, hasCredit = () => false } = options;
  /** Oldest first. */
  const sentAfter: number[] = [];
  /** Those that began within the window, oldest first. */
  const spans: Span[] = [];
  /** When the retries that may still arrive were taken, oldest first. */
  const underWay: number[] = [];
  let saved = 0;

  const tenthOf = (requests: number): number => requests * ratio * SAVED_SHARE;

  const mostSaved = (requests: number): number => tenthOf(requests) + (hasCredit() ? 1 : 0);

  const exposed = (): number => saved + underWay.length;

  const beginSpan = (): void => {
    spans.push({ fromMs: clock.steadyMs(), requests: sentAfter.length, exposed: exposed() });
  };

  function update(): void {
    const nowMs = clock.steadyMs();
    const oldestMs = nowMs - windowMs;
    dropUntil(sentAfter, (atMs) => atMs >= oldestMs);
    dropUntil(underWay, (atMs) => atMs >= oldestMs);
    const free = Math.max(0, mostSaved(sentAfter.length) - underWay.length);
    saved = Math.min(saved, free);
    dropUntil(spans, ({ fromMs }) => fromMs >= oldestMs);
    const last = spans.at(-1);
    if (!last || nowMs - last.fromMs >= MIN_SPAN_MS) beginSpan();
    else {
      last.requests = Math.min(last.requests, sentAfter.length);
      last.exposed = Math.max(last.exposed, exposed());
    }
  }

  /** Adds retries as of an earlier time, as far as they could have been saved since. */
  function add(count: number, sinceMs: number): void {
    const first = spans.findLastIndex(({ fromMs }) => fromMs <= sinceMs);
    const since = spans.slice(Math.max(0, first));
    const free = since.map((span) => mostSaved(span.requests) - span.exposed);
    const added = Math.max(0, Math.min(count, ...free));
    since.forEach((span) => {
      span.exposed += added;
    });
    saved += added;
  }

  function insert(sentAfterMs: number): void {
    // Requests are read nearly in the order in which they were sent.
    const before = sentAfter.findLastIndex((atMs) => atMs <= sentAfterMs);
    sentAfter.splice(before + 1, 0, sentAfterMs);
    spans
      .filter(({ fromMs }) => fromMs >= sentAfterMs)
      .forEach((span) => {
        span.requests += 1;
      });
  }

  /** Returns whether a retry that was taken at a time is still counted. */
  function endUnderWay(takenAtMs: number): boolean {
    update();
    const index = underWay.indexOf(takenAtMs);
    if (index < 0) return false;
    underWay.splice(index, 1);
    return true;
  }

  function hasLeft(): boolean {
    update();
    return saved >= 1;
  }

  return {
    earn(sentAfterMs) {
      update();
      if (sentAfterMs < clock.steadyMs() - windowMs) return;
      insert(sentAfterMs);
      add(ratio * (1 - SAVED_SHARE), sentAfterMs);
    },
    hasLeft,
    needsCredit() {
      update();
      const { length: requests } = sentAfter;
      return tenthOf(requests) < MIN_SAVED && requests * ratio >= MIN_EARNED;
    },
    take() {
      if (!hasLeft()) return null;
      const takenAtMs = clock.steadyMs();
      saved -= 1;
      underWay.push(takenAtMs);
      return takenAtMs;
    },
    settle(takenAtMs) {
      if (endUnderWay(takenAtMs)) beginSpan();
    },
    refund(takenAtMs) {
      if (endUnderWay(takenAtMs)) saved += 1;
    },
    describe() {
      update();
      return { requests: sentAfter.length, saved, underWay: underWay.length };
    },
  };
}
