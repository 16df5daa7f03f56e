/**
 * Limits the memory for what clients have sent and this process keeps, over all of them together.
 *
 * Beyond the limit, reading pauses rather than failing at once. Memory is freed by refusing those
 * that have stopped sending, the largest first, and only while others wait for it. A quarter is
 * left for small requests, so that large ones cannot keep these out.
 */
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { EventLog } from './lineLog';

export interface ClientMemoryOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Pick<EventLog, 'warn'>;
  /** Names the limit in the logs. */
  readonly name: string;
  /** Bytes that all requests together may keep. */
  readonly maxBytes: number;
  /** Time without a byte after which a request may be refused for the sake of others. */
  readonly stallMs?: number;
  /** Time for which a request waits for memory before it is refused. */
  readonly maxWaitMs?: number;
  /** Time in which a request without a deadline of its own has to arrive whole. */
  readonly bodyTimeoutMs?: number;
}

/** The bytes of one request. */
export interface ClientHold {
  /**
   * Asks to keep so many bytes in all. Returns true if there is capacity for them; otherwise
   * `onGranted` is called once there is, or `onRefused`.
   */
  grow(bytes: number, onGranted: () => void): boolean;
  /** Records that the client has sent something. */
  recordProgress(): void;
  /** Records that the request has arrived whole, and is kept until it is answered. */
  complete(): void;
  release(): void;
}

export interface ClientHoldOptions {
  /** Time in which the request has to arrive whole, if it has a deadline. */
  readonly timeoutMs?: number | undefined;
  /** Called with `request-timeout` or `memory-full` when the request must not be read further. */
  readonly onRefused: (error: SpoolplankError) => void;
}

export interface ClientMemory {
  /** Bytes that are kept now. */
  readonly bytes: number;
  readonly maxBytes: number;
  open(options: ClientHoldOptions): ClientHold;
}

interface Hold {
  readonly endsAtMs: number;
  readonly onRefused: ClientHoldOptions['onRefused'];
  bytes: number;
  progressAtMs: number;
  /** Whether the client has sent something since the last tick. */
  hasProgressed: boolean;
  wait: Wait | null;
}

interface Wait {
  readonly bytes: number;
  readonly sinceMs: number;
  readonly onGranted: () => void;
}

const DEFAULTS = { stallMs: 1000, maxWaitMs: 2000, bodyTimeoutMs: 60_000 };
/** Requests up to this size may use the part that is left for small ones. */
const SMALL_BYTES = 16_384;
const SMALL_SHARE = 0.25;
const TICK_MS = 250;
const RETRY_AFTER_MS = 1000;

export function createClientMemory(options: ClientMemoryOptions): ClientMemory {
  const { clock, log, name, maxBytes, stallMs, maxWaitMs, bodyTimeoutMs } = {
    ...DEFAULTS,
    ...options,
  };
  /** Requests that are being read. */
  const reading = new Set<Hold>();
  /** Those of them that wait for memory, the first to wait first. */
  const waiting = new Set<Hold>();
  let total = 0;
  let timer: NodeJS.Timeout | null = null;

  const limitOf = (bytes: number): number =>
    bytes <= SMALL_BYTES ? maxBytes : maxBytes * (1 - SMALL_SHARE);

  /** A request that is alone is read whatever its size, as its own limit bounds it. */
  const hasCapacity = (hold: Hold, bytes: number): boolean =>
    total === hold.bytes || total - hold.bytes + bytes <= limitOf(bytes);

  function setBytes(hold: Hold, bytes: number): void {
    total += bytes - hold.bytes;
    hold.bytes = bytes;
  }

  /** Lets those go on for which there is capacity now; a small one may overtake a large one. */
  function serveWaiting(): void {
    waiting.forEach((hold) => {
      const { wait } = hold;
      if (!wait || !hasCapacity(hold, wait.bytes)) return;
      waiting.delete(hold);
      setBytes(hold, wait.bytes);
      Object.assign(hold, { wait: null, progressAtMs: clock.nowMs() });
      wait.onGranted();
    });
  }

  function close(hold: Hold): void {
    reading.delete(hold);
    waiting.delete(hold);
    setBytes(hold, 0);
  }

  function refuse(hold: Hold, error: SpoolplankError): void {
    const { bytes } = hold;
    close(hold);
    log.warn('client-refused', { limit: name, code: error.code, bytes, total, maxBytes });
    hold.onRefused(error);
  }

  const refuseAsLate = (hold: Hold): void => refuse(hold, new SpoolplankError('request-timeout'));

  const listStalled = (): readonly Hold[] =>
    [...reading]
      .filter(({ wait, progressAtMs }) => !wait && clock.nowMs() - progressAtMs >= stallMs)
      .sort((one, other) => other.bytes - one.bytes);

  function freeCapacity(): void {
    const stalled = [...listStalled()];
    serveWaiting();
    while (waiting.size > 0) {
      const largest = stalled.shift();
      if (!largest) return;
      refuseAsLate(largest);
      serveWaiting();
    }
  }

  function tick(): void {
    const nowMs = clock.nowMs();
    reading.forEach((hold) => {
      if (hold.hasProgressed) Object.assign(hold, { progressAtMs: nowMs, hasProgressed: false });
      if (nowMs >= hold.endsAtMs) refuseAsLate(hold);
    });
    freeCapacity();
    waiting.forEach((hold) => {
      if (hold.wait && nowMs - hold.wait.sinceMs >= maxWaitMs) {
        refuse(hold, new SpoolplankError('memory-full', { retryAfterMs: RETRY_AFTER_MS }));
      }
    });
    if (reading.size > 0 || !timer) return;
    clearInterval(timer);
    timer = null;
  }

  return {
    maxBytes,
    get bytes() {
      return total;
    },
    open({ timeoutMs = bodyTimeoutMs, onRefused }) {
      const nowMs = clock.nowMs();
      const hold: Hold = {
        endsAtMs: nowMs + timeoutMs,
        onRefused,
        bytes: 0,
        progressAtMs: nowMs,
        hasProgressed: false,
        wait: null,
      };
      reading.add(hold);
      timer ??= setInterval(tick, TICK_MS).unref();
      return {
        grow(bytes, onGranted) {
          if (hasCapacity(hold, bytes)) {
            setBytes(hold, bytes);
            return true;
          }
          hold.wait = { bytes, sinceMs: clock.nowMs(), onGranted };
          waiting.add(hold);
          return false;
        },
        recordProgress() {
          hold.hasProgressed = true;
        },
        complete() {
          reading.delete(hold);
        },
        release() {
          close(hold);
          if (waiting.size > 0) serveWaiting();
        },
      };
    },
  };
}
