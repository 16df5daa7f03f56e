/** HTTP servers, request parsing and JSON responses. */
import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { SpoolplankError, toErrorBody, toSpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { limitConnections } from './connectionLimit';
import { limitRequestsAhead } from './requestsAhead';

export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly onRequest: RequestListener;
  /** Maximum time in which a client has to send its request headers. */
  readonly headersTimeoutMs?: number;
  readonly keepAliveTimeoutMs?: number;
  readonly maxHeaderBytes?: number;
  /** Connections that are open at the same time; see `limitConnections`. */
  readonly maxConnections?: number;
}

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 30_000;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const MS_PER_S = 1000;

/** Starts a server and resolves once it is listening. */
export function listen(options: HttpServerOptions): Promise<Server> {
  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      // Sessions last for hours, so only the headers are subject to a time-out.
      requestTimeout: 0,
      headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
      keepAliveTimeout: options.keepAliveTimeoutMs ?? DEFAULT_KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true,
    },
    options.onRequest,
  );
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    limitRequestsAhead(server);
    if (options.maxConnections !== undefined) limitConnections(server, options.maxConnections);
    server.listen(options.port, options.host, () => resolve(server));
  });
}

/** Returns the port that a server listens on. */
export function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Stops listening; resolves when every connection has ended, or at once if they are dropped. */
export function closeServer(server: Server, dropsConnections = false): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if (dropsConnections) server.closeAllConnections();
    else server.closeIdleConnections();
  });
}

/**
 * Parses a JSON body.
 *
 * @throws SpoolplankError `bad-request` with the message of the JSON parser.
 */
export function parseJsonBody(body: Buffer): JsonValue {
  try {
    return JSON.parse(body.toString('utf8')) as JsonValue;
  } catch (error) {
    const reason = error instanceof Error ? error.message : '';
    throw new SpoolplankError('bad-request', {
      detail: `The body is not JSON: ${reason}`,
      cause: error,
    });
  }
}

/** Sends a JSON response, unless headers were sent already or the connection is closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Sends an error response. Every error is converted to HTTP here. */
export function sendError(
  response: ServerResponse,
  thrown: unknown,
  addresses?: readonly string[],
): SpoolplankError {
  const error = toSpoolplankError(thrown);
  const headers: Record<string, string> = {};
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_S)));
  }
  // Unread bytes of the body may still arrive, so the connection cannot be reused.
  if (error.code === 'body-too-large' || error.code === 'bad-request') headers.connection = 'close';
  sendJson(response, error.httpStatus, toErrorBody(error, addresses), headers);
  return error;
}

/**
 * Parses the path and query of a request.
 *
 * @throws SpoolplankError `bad-request` when they are malformed.
 */
export function readUrl(request: IncomingMessage): URL {
  try {
    return new URL(`http://vm${request.url ?? '/'}`);
  } catch (error) {
    throw new SpoolplankError('bad-request', { detail: 'The path is malformed.', cause: error });
  }
}

/**
 * Reads a header that may occur only once.
 *
 * @throws SpoolplankError `invalid-header` for a repeated header, as it is ambiguous.
 */
export function readSingleHeader(request: IncomingMessage, name: string): string | undefined {
  const values = request.headersDistinct[name];
  if (values && values.length > 1) {
    throw new SpoolplankError('invalid-header', { detail: `${name} stands more than once.` });
  }
  return values?.[0];
}

/** Reads the token of an `Authorization: Bearer` header; empty when there is none. */
export function readBearerToken(request: IncomingMessage): string {
  const match = /^Bearer ([\x21-\x7e]+)$/i.exec(readSingleHeader(request, 'authorization') ?? '');
  return match?.[1] ?? '';
}
