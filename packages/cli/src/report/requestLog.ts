/** Parses `request-ended` events in the logs of entry VMs. */
import { isJsonObject } from './jsonObject';

/** A `request-ended` event of an entry VM. */
export interface LoggedRequest {
  /** Wall-clock time at which the request arrived at the entry VM, in seconds since the epoch. */
  readonly second: number;
  readonly vmId: string;
  readonly route: string;
  readonly outcome: string;
  /** Code of the error table; empty if there was no error of this system. */
  readonly code: string;
  readonly isStream: boolean;
  readonly firstByteMs: number | null;
  readonly waitedMs: number;
  readonly longestPauseMs: number;
  /** Time left until the caller's deadline when the request arrived; null if it stated none. */
  readonly remainingMs: number | null;
}

const REQUEST_END = 'request-ended';
const MS_PER_S = 1000;

function numberOr<Fallback>(value: unknown, fallback: Fallback): number | Fallback {
  return typeof value === 'number' ? value : fallback;
}

function stringOrEmpty(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

function parseObject(line: string): Readonly<Record<string, unknown>> | undefined {
  // Log collectors prefix the line with a time or a name.
  const value: unknown = JSON.parse(line.slice(Math.max(0, line.indexOf('{'))));
  return isJsonObject(value) ? value : undefined;
}

/**
 * Parses a `request-ended` line of a log; returns undefined for any other line.
 *
 * @throws SyntaxError for a `request-ended` line that cannot be parsed, such as one that a log
 * collector truncated.
 */
export function readRequestEnd(line: string): LoggedRequest | undefined {
  if (!line.includes(REQUEST_END)) return undefined;
  const fields = parseObject(line);
  if (fields?.event !== REQUEST_END) return undefined;
  const endedAtMs = Date.parse(stringOrEmpty(fields.time));
  const durationMs = numberOr(fields.durationMs, 0);
  if (Number.isNaN(endedAtMs)) throw new SyntaxError('the line has no valid time');
  return {
    second: Math.floor((endedAtMs - durationMs) / MS_PER_S),
    vmId: stringOrEmpty(fields.vmId),
    route: stringOrEmpty(fields.route),
    outcome: stringOrEmpty(fields.outcome),
    code: stringOrEmpty(fields.code),
    isStream: fields.longestPauseMs !== undefined,
    firstByteMs: numberOr(fields.firstByteMs, null),
    waitedMs: numberOr(fields.waitedMs, 0),
    longestPauseMs: numberOr(fields.longestPauseMs, 0),
    remainingMs: numberOr(fields.remainingMs, null),
  };
}
