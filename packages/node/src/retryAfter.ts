/** Parses `Retry-After` response headers, with which a server requests a backoff. */

/**
 * Upper limit of a requested backoff. A server that needs longer is expected to leave the
 * deployment; a wrong value, such as milliseconds instead of seconds, must not take the server out
 * of service for an hour. With this limit, one request every two minutes probes whether the backoff
 * still applies.
 */
const MAX_BACKOFF_MS = 120_000;
const MS_PER_S = 1000;
/** Seconds with an optional fraction. HTTP dates are not accepted, as clocks differ by seconds. */
const SECONDS_PATTERN = /^\d{1,12}(\.\d{1,6})?$/;

/** Returns the longest backoff among the values of the header; null if there is none. */
export function parseBackoffMs(values: readonly string[]): number | null {
  const requestedMs = values
    .flatMap((value) => value.split(','))
    .map((text) => text.trim())
    .filter((text) => SECONDS_PATTERN.test(text))
    .map((text) => Math.ceil(Number(text) * MS_PER_S));
  const longestMs = Math.max(0, ...requestedMs);
  return longestMs > 0 ? Math.min(longestMs, MAX_BACKOFF_MS) : null;
}
