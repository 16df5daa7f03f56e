/** Which headers go on to a backend server and back to the caller. */
import type { IncomingHttpHeaders } from 'node:http';

/** Headers of one connection (RFC 9110, section 7.6.1), and those that this VM writes itself. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'authorization',
  'expect',
]);

export type ForwardedHeaders = Readonly<Record<string, string | readonly string[]>>;

function copyHeaders(headers: IncomingHttpHeaders): Record<string, string | readonly string[]> {
  // What the connection header names belongs to that connection too.
  const named = new Set(
    (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) => {
      const isLeftOut = value === undefined || NOT_FORWARDED.has(name) || named.has(name);
      return isLeftOut ? [] : [[name, value]];
    }),
  );
}

/** Headers for the backend server; the caller's `spoolplank-*` are dropped, so none is forged. */
export function copyRequestHeaders(
  headers: IncomingHttpHeaders,
  own: Readonly<Record<string, string>>,
): ForwardedHeaders {
  const copied = Object.entries(copyHeaders(headers)).filter(
    ([name]) => !name.startsWith('spoolplank-'),
  );
  return { ...Object.fromEntries(copied), ...own };
}

export function copyResponseHeaders(headers: IncomingHttpHeaders): ForwardedHeaders {
  const copied = Object.entries(copyHeaders(headers)).filter(
    ([name]) => !name.startsWith('spoolplank-'),
  );
  return Object.fromEntries(copied);
}
