/** Parses the rates in response headers: the requests per second that a server accepts. */

/** Decimal digits with an optional fraction; no sign, no exponent. */
const RATE_PATTERN = /^\d{1,12}(\.\d{1,6})?$/;

/**
 * Returns the lowest rate in the values of a header, in requests per second; null if there are none
 * or one of them cannot be parsed. If a server states several rates, the lowest is the safe choice.
 */
export function parseRate(values: readonly string[]): number | null {
  const texts = values.flatMap((value) => value.split(',')).map((text) => text.trim());
  if (texts.length === 0 || !texts.every((text) => RATE_PATTERN.test(text))) return null;
  return Math.min(...texts.map(Number));
}
