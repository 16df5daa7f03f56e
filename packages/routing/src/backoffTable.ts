/**
 * Tracks backend servers that asked this VM to back off.
 *
 * A server that is full, or that sheds the load of one VM, asks for some seconds of backoff. It
 * refuses requests that are sent meanwhile, and refusing them costs the capacity that it wanted to
 * save. At the end of a backoff all waiting requests would arrive at once; they are sent one by one
 * instead, so that a server that still sheds load receives only one of them.
 */
import type { Clock } from '@spoolplank/shared';

export interface BackoffTableOptions {
  /** The steady clock, so that a suspension of the VM does not shorten a backoff. */
  readonly clock: Pick<Clock, 'steadyMs'>;
}

/** A server that may not be sent requests at present. */
export interface HeldBackServer {
  readonly name: string;
  readonly remainingMs: number;
}

export interface BackoffTable {
  /**
   * Records a backoff of a server, in milliseconds. It has no effect when the current backoff ends
   * later. Returns whether the server was not backing off before.
   */
  record(name: string, backoffMs: number): boolean;
  /** Time until a request may be sent to a server, in milliseconds; 0 when it may be now. */
  remainingMs(name: string): number;
  /** Whether no request may be sent to a server now, during a backoff or shortly after it. */
  isHeldBack(name: string): boolean;
  /** Whether the backoff that a server asked for is still in force. */
  isBackingOff(name: string): boolean;
  /** Records that a request is sent to a server; shortly after a backoff, this delays the next. */
  recordSent(name: string): void;
  /**
   * Returns the retry-after time, in milliseconds, of a request for a group of servers, of which
   * the first ends its backoff after `backoffMs`. Consecutive requests get increasing times.
   */
  retryAfterMs(group: string, backoffMs: number): number;
  list(): readonly HeldBackServer[];
  /** Whether the table has no entries, which is the usual case. */
  readonly isEmpty: boolean;
  /** Removes servers whose backoff and recovery period are over. */
  sweep(): void;
}

interface BackoffRow {
  /** Time on the steady clock. */
  readonly endsAtMs: number;
  nextSendAtMs: number;
}

/** The retry-after times assigned to requests for a group of servers during one backoff. */
interface RetryRow {
  readonly endsAtMs: number;
  readonly assignedCount: number;
}

/** Period after a backoff in which requests are sent to the server one by one. */
const RECOVERY_MS = 1000;
/** A server refuses a request within 2 to 5 ms, so the refusal arrives before the next send. */
const RECOVERY_SPACING_MS = 25;

export function createBackoffTable({ clock }: BackoffTableOptions): BackoffTable {
  const rows = new Map<string, BackoffRow>();
  const retries = new Map<string, RetryRow>();

  function remainingMs(name: string): number {
    const row = rows.get(name);
    if (!row) return 0;
    return Math.max(0, Math.max(row.endsAtMs, row.nextSendAtMs) - clock.steadyMs());
  }

  return {
    record(name, backoffMs) {
      const nowMs = clock.steadyMs();
      const known = rows.get(name);
      const wasBackingOff = known !== undefined && nowMs < known.endsAtMs;
      const endsAtMs = Math.max(nowMs + backoffMs, known?.endsAtMs ?? 0);
      rows.set(name, { endsAtMs, nextSendAtMs: endsAtMs });
      return !wasBackingOff;
    },
    remainingMs,
    isHeldBack: (name) => remainingMs(name) > 0,
    isBackingOff: (name) => clock.steadyMs() < (rows.get(name)?.endsAtMs ?? 0),
    recordSent(name) {
      const row = rows.get(name);
      const nowMs = clock.steadyMs();
      if (row && nowMs < row.endsAtMs + RECOVERY_MS) row.nextSendAtMs = nowMs + RECOVERY_SPACING_MS;
    },
    retryAfterMs(group, backoffMs) {
      const nowMs = clock.steadyMs();
      const known = retries.get(group);
      const assignedCount = known && nowMs < known.endsAtMs ? known.assignedCount : 0;
      retries.set(group, { endsAtMs: nowMs + backoffMs, assignedCount: assignedCount + 1 });
      return Math.ceil(backoffMs + assignedCount * RECOVERY_SPACING_MS);
    },
    list: () =>
      [...rows.keys()]
        .map((name) => ({ name, remainingMs: Math.ceil(remainingMs(name)) }))
        .filter((server) => server.remainingMs > 0),
    get isEmpty() {
      return rows.size === 0;
    },
    sweep() {
      const nowMs = clock.steadyMs();
      rows.forEach(({ endsAtMs }, name) => {
        if (nowMs > endsAtMs + RECOVERY_MS) rows.delete(name);
      });
      retries.forEach(({ endsAtMs }, group) => {
        if (nowMs > endsAtMs) retries.delete(group);
      });
    },
  };
}
