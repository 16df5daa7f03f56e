/**
 * Structured event log: JSON lines on standard output. Rate and memory are bounded, and logging
 * never blocks: when the reader of the output stalls, lines are dropped and no request is delayed.
 */
import { write } from 'node:fs';
import type { Clock } from '@spoolplank/shared';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined | readonly string[]>
>;

export interface EventLog {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Writes all buffered lines; called before the process ends. */
  flush(): Promise<void>;
}

/** Writes a chunk and reports the number of bytes written; tests replace it. */
export type ChunkWriter = (
  chunk: Buffer,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

export interface EventLogOptions {
  readonly vmId: string;
  readonly clock: Clock;
  readonly minLevel?: LogLevel;
  readonly maxBufferedBytes?: number;
  /**
   * Maximum number of lines per second for one event. Each log level is counted separately, so that
   * frequent lines do not suppress failures.
   */
  readonly maxLinesPerS?: number;
  readonly writeChunk?: ChunkWriter;
}

const LEVELS: Readonly<Record<LogLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

const DEFAULTS = {
  minLevel: 'info' as LogLevel,
  // About one second of log lines of an entry VM under load.
  maxBufferedBytes: 262_144,
  // Far above the rate of any event on an entry VM in normal operation.
  maxLinesPerS: 200,
};
/** How long lines are buffered before a write, so that many lines share one system call. */
const BATCH_DELAY_MS = 20;
/** Delay before a retry after a failed write, such as to a full pipe. */
const WRITE_RETRY_DELAY_MS = 50;
const RATE_WINDOW_MS = 1000;
const STANDARD_OUTPUT = 1;

const writeToStandardOutput: ChunkWriter = (chunk, done) => {
  write(STANDARD_OUTPUT, chunk, done);
};

interface RateWindow {
  sinceMs: number;
  lines: number;
}

export function createEventLog(options: EventLogOptions): EventLog {
  const { vmId, clock, minLevel, maxBufferedBytes, maxLinesPerS } = { ...DEFAULTS, ...options };
  const { writeChunk = writeToStandardOutput } = options;
  const rateWindows = new Map<string, RateWindow>();
  let bufferedLines: string[] = [];
  let bufferedBytes = 0;
  let droppedLines = 0;
  let unwrittenChunk: Buffer | null = null;
  let isWriting = false;
  let timer: NodeJS.Timeout | null = null;
  let flushResolvers: (() => void)[] = [];

  function takeChunk(): Buffer | null {
    if (unwrittenChunk) return unwrittenChunk;
    if (bufferedLines.length === 0) return null;
    if (droppedLines > 0) {
      bufferedLines.push(
        `${JSON.stringify({ vmId, event: 'lines-left-out', count: droppedLines })}\n`,
      );
      droppedLines = 0;
    }
    const chunk = Buffer.from(bufferedLines.join(''));
    bufferedLines = [];
    bufferedBytes = 0;
    return chunk;
  }

  function writeBuffered(): void {
    timer = null;
    if (isWriting) return;
    const chunk = takeChunk();
    if (!chunk) {
      flushResolvers.forEach((resolve) => resolve());
      flushResolvers = [];
      return;
    }
    isWriting = true;
    writeChunk(chunk, (error, writtenBytes) => {
      isWriting = false;
      if (error && error.code !== 'EAGAIN') {
        // The output is closed or broken: the chunk is discarded and counted as one dropped line.
        unwrittenChunk = null;
        droppedLines += 1;
      } else {
        unwrittenChunk = writtenBytes < chunk.length ? chunk.subarray(writtenBytes) : null;
      }
      if (error) timer ??= setTimeout(writeBuffered, WRITE_RETRY_DELAY_MS);
      else writeBuffered();
    });
  }

  function exceedsRate(event: string, level: LogLevel): boolean {
    const nowMs = clock.nowMs();
    const name = `${level} ${event}`;
    const rateWindow = rateWindows.get(name) ?? { sinceMs: nowMs, lines: 0 };
    if (nowMs - rateWindow.sinceMs >= RATE_WINDOW_MS)
      Object.assign(rateWindow, { sinceMs: nowMs, lines: 0 });
    rateWindow.lines += 1;
    rateWindows.set(name, rateWindow);
    return rateWindow.lines > maxLinesPerS;
  }

  function logAt(level: LogLevel) {
    return (event: string, fields: LogFields = {}): void => {
      if (LEVELS[level] < LEVELS[minLevel]) return;
      if (bufferedBytes > maxBufferedBytes || exceedsRate(event, level)) {
        droppedLines += 1;
        return;
      }
      const line = `${JSON.stringify({
        time: new Date(clock.wallMs()).toISOString(),
        uptimeMs: Math.round(clock.nowMs()),
        level,
        vmId,
        event,
        ...fields,
      })}\n`;
      bufferedLines.push(line);
      bufferedBytes += line.length;
      timer ??= setTimeout(writeBuffered, BATCH_DELAY_MS);
    };
  }

  return {
    debug: logAt('debug'),
    info: logAt('info'),
    warn: logAt('warn'),
    error: logAt('error'),
    flush: () =>
      new Promise((resolve) => {
        flushResolvers.push(resolve);
        writeBuffered();
      }),
  };
}
