/** HTTP servers and the reading of request bodies. */
import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { SpoolplankError, toErrorBody, toSpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';

export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly onRequest: RequestListener;
  /** How long a client may take over its headers. */
  readonly headersTimeoutMs?: number;
  readonly keepAliveTimeoutMs?: number;
  readonly maxHeaderBytes?: number;
}

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 30_000;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const RETRY_AFTER_STEP_MS = 1000;

/** Starts a server and resolves once it listens. */
export function listen(options: HttpServerOptions): Promise<Server> {
  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      // Sessions last for hours: only the headers have a time limit here.
      requestTimeout: 0,
      headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
      keepAliveTimeout: options.keepAliveTimeoutMs ?? DEFAULT_KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true,
    },
    options.onRequest,
  );
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve(server));
  });
}

/** The port a server listens on. */
export function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Stops listening; resolves when the last connection has ended or was cut. */
export function closeServer(server: Server, isCut = false): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if (isCut) server.closeAllConnections();
    else server.closeIdleConnections();
  });
}

/**
 * Reads a body whole.
 *
 * @throws SpoolplankError `body-too-large`, before more than the limit was kept.
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    throw new SpoolplankError('body-too-large', { detail: `At most ${maxBytes} bytes are taken.` });
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new SpoolplankError('body-too-large', {
        detail: `At most ${maxBytes} bytes are taken.`,
      });
    }
    chunks.push(chunk);
  }
  if (!request.complete)
    throw new SpoolplankError('bad-request', { detail: 'The body ended early.' });
  return Buffer.concat(chunks);
}

/**
 * Parses a JSON body.
 *
 * @throws SpoolplankError `bad-request` with the parser's own message.
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

/** Answers with JSON. */
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

/** Answers with an error: the one place where errors become HTTP. */
export function sendError(
  response: ServerResponse,
  thrown: unknown,
  addresses?: readonly string[],
): SpoolplankError {
  const error = toSpoolplankError(thrown);
  const headers: Record<string, string> = {};
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(
      Math.max(1, Math.ceil(error.retryAfterMs / RETRY_AFTER_STEP_MS)),
    );
  }
  // Bytes of a refused body may still be on their way; the connection cannot be used again.
  if (error.code === 'body-too-large' || error.code === 'bad-request') headers.connection = 'close';
  sendJson(response, error.httpStatus, toErrorBody(error, addresses), headers);
  return error;
}

/**
 * The path and query of a request.
 *
 * @throws SpoolplankError `bad-request` for what is neither.
 */
export function readUrl(request: IncomingMessage): URL {
  try {
    return new URL(`http://vm${request.url ?? '/'}`);
  } catch (error) {
    throw new SpoolplankError('bad-request', { detail: 'The path is malformed.', cause: error });
  }
}

/** A header that may stand once; more than once is refused, as no one can say which counts. */
export function readSingleHeader(request: IncomingMessage, name: string): string | undefined {
  const values = request.headersDistinct[name];
  if (values && values.length > 1) {
    throw new SpoolplankError('invalid-header', { detail: `${name} stands more than once.` });
  }
  return values?.[0];
}

/** The token of an `Authorization: Bearer` header; empty when there is none. */
export function readBearerToken(request: IncomingMessage): string {
  const match = /^Bearer ([\x21-\x7e]+)$/i.exec(readSingleHeader(request, 'authorization') ?? '');
  return match?.[1] ?? '';
}
