/**
 * Assigns retry times to refused callers of a service.
 *
 * When more requests arrive than servers accept, callers with the same retry-after return together,
 * and most of them are refused again. Here they get consecutive retry times, spaced at the rate
 * that the servers accept, so that each gets a slot or permit when it returns.
 */
import type { Clock } from '@spoolplank/shared';
import { MAX_REMAINING_SHARE } from './retryDelays';

export interface RetrySchedule {
  /** Time until the turn of the next caller, in milliseconds, with `ahead` requests before it. */
  reserveDelayMs(service: string, perS: number, ahead: number): number;
}

const MS_PER_S = 1000;
/** No later turns are assigned, as most callers have given up by then. */
const MAX_DELAY_MS = 10_000;

export function createRetrySchedule({
  clock,
}: {
  readonly clock: Pick<Clock, 'nowMs'>;
}): RetrySchedule {
  const lastAtMs = new Map<string, number>();

  return {
    reserveDelayMs(service, perS, ahead) {
      const nowMs = clock.nowMs();
      const spacingMs = MS_PER_S / perS;
      const afterLastMs = (lastAtMs.get(service) ?? 0) + spacingMs;
      const atMs = Math.min(
        nowMs + MAX_DELAY_MS,
        Math.max(nowMs + (ahead + 1) * spacingMs, afterLastMs),
      );
      lastAtMs.set(service, atMs);
      return Math.ceil(atMs - nowMs);
    },
  };
}

/** A caller, recognised when it returns by the class and size of its request and its deadline. */
export interface ReturningCaller {
  readonly service: string;
  readonly priority: number;
  readonly size: number;
  /** Time until the caller leaves for good. */
  readonly leavesInMs: number;
  /** Whether the caller has tried before. */
  readonly isRetry: boolean;
}

export interface TurnRequest {
  /** Rate at which slots are released. */
  readonly perS: number;
  /** Earliest time of the turn from now. */
  readonly earliestMs: number;
}

/** `early`: the caller has a turn that is yet to come, or one that was used. */
export type ReturnStanding = 'unknown' | 'early' | 'due';

/**
 * Retry times of callers that were refused for want of a slot.
 *
 * Load: 300 callers are refused within a second, and some of them retry three times at once. Each
 * caller has one turn, whatever it sends before.
 */
export interface RetryTurns {
  /** Time until the turn of a refused caller; the same turn again if it has one to come. */
  reserveMs(caller: ReturningCaller, turn: TurnRequest): number;
  /** Records that a caller asks again, which uses its turn if that is due. */
  recordReturn(caller: ReturningCaller): ReturnStanding;
}

interface Turn {
  readonly atMs: number;
  readonly leavesAtMs: number;
  isUsed: boolean;
}

/** Deadlines of the attempts of one caller differ by the delay of its messages. */
const SAME_CALLER_MS = 25;
/** A turn in another data centre may be this much earlier, and counts as due here. */
const DUE_SLACK_MS = 250;
/** Time after which a turn is forgotten. */
const TURN_LIFETIME_MS = 3000;
const SWEEP_MS = 1000;

const bucketOf = (leavesAtMs: number): number => Math.floor(leavesAtMs / SAME_CALLER_MS);
const keyOf = ({ service, priority, size }: ReturningCaller, bucket: number): string =>
  `${service} ${priority} ${size.toFixed(3)} ${bucket}`;

export function createRetryTurns({ clock }: { readonly clock: Pick<Clock, 'nowMs'> }): RetryTurns {
  const lastAtMs = new Map<string, number>();
  const turns = new Map<string, readonly Turn[]>();
  let sweptAtMs = clock.nowMs();

  function sweep(): void {
    const nowMs = clock.nowMs();
    if (nowMs - sweptAtMs < SWEEP_MS) return;
    sweptAtMs = nowMs;
    turns.forEach((known, key) => {
      const left = known.filter(({ atMs }) => nowMs - atMs < TURN_LIFETIME_MS);
      if (left.length > 0) turns.set(key, left);
      else turns.delete(key);
    });
  }

  function listOf(caller: ReturningCaller): readonly Turn[] {
    const leavesAtMs = clock.nowMs() + caller.leavesInMs;
    const bucket = bucketOf(leavesAtMs);
    return [bucket - 1, bucket, bucket + 1]
      .flatMap((near) => turns.get(keyOf(caller, near)) ?? [])
      .filter((turn) => Math.abs(turn.leavesAtMs - leavesAtMs) <= SAME_CALLER_MS);
  }

  return {
    reserveMs(caller, { perS, earliestMs }) {
      sweep();
      const nowMs = clock.nowMs();
      const known = caller.isRetry ? listOf(caller) : [];
      const pending = known.find(({ atMs, isUsed }) => !isUsed && atMs > nowMs);
      if (pending) return Math.ceil(pending.atMs - nowMs);
      const { service, leavesInMs } = caller;
      const afterLastMs = (lastAtMs.get(service) ?? 0) + MS_PER_S / perS;
      const nextMs = Math.min(nowMs + MAX_DELAY_MS, Math.max(nowMs + earliestMs, afterLastMs));
      lastAtMs.set(service, nextMs);
      // A caller that leaves before its turn comes earlier, and the turns after it keep their rate.
      const atMs = Math.max(nowMs, Math.min(nextMs, nowMs + leavesInMs * MAX_REMAINING_SHARE));
      const leavesAtMs = nowMs + leavesInMs;
      const key = keyOf(caller, bucketOf(leavesAtMs));
      turns.set(key, [...(turns.get(key) ?? []), { atMs, leavesAtMs, isUsed: false }]);
      return Math.ceil(atMs - nowMs);
    },
    recordReturn(caller) {
      sweep();
      const known = caller.isRetry ? listOf(caller) : [];
      if (known.length === 0) return 'unknown';
      const due = known.find(({ atMs, isUsed }) => !isUsed && atMs <= clock.nowMs() + DUE_SLACK_MS);
      if (!due) return 'early';
      due.isUsed = true;
      return 'due';
    },
  };
}
