/** Reads the ends of requests out of the logs of entry VMs. */
import { isJsonObject } from './jsonObject';

/** How one request ended, as an entry VM logged it. */
export interface LoggedRequest {
  /** Second of the wall clock in which it arrived at the entry VM. */
  readonly second: number;
  readonly vmId: string;
  readonly route: string;
  readonly outcome: string;
  /** Code of this system's own error; empty without one. */
  readonly code: string;
  readonly isStream: boolean;
  readonly firstByteMs: number | null;
  readonly waitedMs: number;
  readonly longestPauseMs: number;
  /** Time that the caller still had when the request arrived; null when it did not say. */
  readonly remainingMs: number | null;
}

const REQUEST_END = 'request-ended';
const MS_PER_S = 1000;

function numberOr<Fallback>(value: unknown, fallback: Fallback): number | Fallback {
  return typeof value === 'number' ? value : fallback;
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

function parseObject(line: string): Readonly<Record<string, unknown>> | undefined {
  // Collectors put a time or a name before the line.
  const value: unknown = JSON.parse(line.slice(Math.max(0, line.indexOf('{'))));
  return isJsonObject(value) ? value : undefined;
}

/**
 * A line of a log as a request's end; undefined for any other line.
 *
 * @throws SyntaxError for a line that is about a request's end and cannot be read, as one that
 * a collector cut in two.
 */
export function readRequestEnd(line: string): LoggedRequest | undefined {
  if (!line.includes(REQUEST_END)) return undefined;
  const fields = parseObject(line);
  if (fields?.event !== REQUEST_END) return undefined;
  const endedAtMs = Date.parse(textOf(fields.time));
  const durationMs = numberOr(fields.durationMs, 0);
  if (Number.isNaN(endedAtMs)) throw new SyntaxError('the line has no time');
  return {
    second: Math.floor((endedAtMs - durationMs) / MS_PER_S),
    vmId: textOf(fields.vmId),
    route: textOf(fields.route),
    outcome: textOf(fields.outcome),
    code: textOf(fields.code),
    isStream: fields.longestPauseMs !== undefined,
    firstByteMs: numberOr(fields.firstByteMs, null),
    waitedMs: numberOr(fields.waitedMs, 0),
    longestPauseMs: numberOr(fields.longestPauseMs, 0),
    remainingMs: numberOr(fields.remainingMs, null),
  };
}
