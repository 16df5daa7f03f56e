/** Selects the headers to forward to a backend server, and back to the caller. */
import type { IncomingHttpHeaders } from 'node:http';

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that this VM sets itself. */
const NOT_FORWARDED_HEADERS: ReadonlySet<string> = new Set([
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
  // Headers named in the connection header are hop-by-hop too.
  const connectionHeaders = new Set(
    (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) => {
      const isOmitted =
        value === undefined || NOT_FORWARDED_HEADERS.has(name) || connectionHeaders.has(name);
      return isOmitted ? [] : [[name, value]];
    }),
  );
}

/** Headers for the backend server, without any `spoolplank-*` that the caller may have forged. */
export function copyRequestHeaders(
  headers: IncomingHttpHeaders,
  ownHeaders: Readonly<Record<string, string>>,
): ForwardedHeaders {
  const copied = Object.entries(copyHeaders(headers)).filter(
    ([name]) => !name.startsWith('spoolplank-'),
  );
  return { ...Object.fromEntries(copied), ...ownHeaders };
}

export function copyResponseHeaders(headers: IncomingHttpHeaders): ForwardedHeaders {
  const copied = Object.entries(copyHeaders(headers)).filter(
    ([name]) => !name.startsWith('spoolplank-'),
  );
  return Object.fromEntries(copied);
}
