/** HTTP client on keep-alive connections. */
import { Agent, request as startRequest } from 'node:http';
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { failOnReset } from './resetDetection';

export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Parses an address of the form host:port. */
export function parseAddress(address: string): Endpoint {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

export interface HttpCallOptions {
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | readonly string[]>>;
  readonly body?: Buffer | string;
  /**
   * Maximum time until the response headers arrive; for calls that read the whole response, also
   * the maximum time from then until the body has arrived.
   */
  readonly timeoutMs?: number;
  /** Largest body of a response that is read as a whole. */
  readonly maxBodyBytes?: number;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
  /** Called when the connection is open: from then on, bytes of the request may have been sent. */
  readonly onConnected?: () => void;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_FREE_SOCKETS = 64;
/** The largest replies are those between VMs, with all facts or a part of a snapshot. */
const DEFAULT_MAX_BODY_BYTES = 33_554_432;
/** Informational responses (1xx) before a response; servers send one or two. */
const MAX_INFORMATIONAL = 16;

/** Creates a pool of keep-alive connections. */
export function createAgent(maxSockets = Number.POSITIVE_INFINITY): Agent {
  return new Agent({
    keepAlive: true,
    maxSockets,
    maxFreeSockets: MAX_FREE_SOCKETS,
    scheduling: 'lifo',
  });
}

const SHARED_AGENT = createAgent();

/** Aborts a request that is answered with informational responses without end. */
export function limitInformational(request: ClientRequest): void {
  let count = 0;
  request.on('information', () => {
    count += 1;
    if (count <= MAX_INFORMATIONAL) return;
    request.destroy(new Error(`more than ${MAX_INFORMATIONAL} informational responses`));
  });
}

/**
 * Sends a request and resolves with the response once its headers have arrived.
 *
 * @throws SpoolplankError `unreachable`; its outcome is `not-run` if no connection was
 * established, else `unknown`.
 */
export function sendHttpRequest(options: HttpCallOptions): Promise<IncomingMessage> {
  const { endpoint, method, path, headers, body, timeoutMs = DEFAULT_TIMEOUT_MS, signal } = options;
  return new Promise((resolve, reject) => {
    let isConnected = false;
    const clientRequest = startRequest({
      host: endpoint.host,
      port: endpoint.port,
      method,
      path,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
      },
      agent: options.agent ?? SHARED_AGENT,
      signal,
    });
    const markConnected = () => {
      isConnected = true;
      options.onConnected?.();
    };
    let timer: NodeJS.Timeout | undefined;
    const fail = (error: Error) => {
      clearTimeout(timer);
      reject(
        new SpoolplankError('unreachable', {
          detail: `${endpoint.host}:${endpoint.port}: ${error.message}`,
          outcome: isConnected ? 'unknown' : 'not-run',
          cause: error,
        }),
      );
    };
    timer = setTimeout(() => {
      const error = new Error(`no answer within ${timeoutMs} ms`);
      clientRequest.destroy(error);
      // A request that still waits for a connection reports no error itself.
      fail(error);
    }, timeoutMs);
    clientRequest.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', markConnected);
      else markConnected();
    });
    clientRequest.on('error', fail);
    limitInformational(clientRequest);
    clientRequest.on('response', (response) => {
      clearTimeout(timer);
      failOnReset(clientRequest, response);
      resolve(response);
    });
    clientRequest.end(body);
  });
}

/** Reads a body to its end, within limits of time and size. */
async function readBody(
  response: IncomingMessage,
  timeoutMs: number,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  const timer = setTimeout(
    () => response.destroy(new Error(`no end within ${timeoutMs} ms`)),
    timeoutMs,
  );
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      length += chunk.length;
      // Leaving the loop closes the connection.
      if (length > maxBytes) throw new Error(`more than ${maxBytes} bytes`);
    }
  } finally {
    clearTimeout(timer);
  }
  return Buffer.concat(chunks);
}

/**
 * Sends a request and resolves with the complete response.
 *
 * @throws SpoolplankError `unreachable`, also when the connection ends before the body is complete,
 * and when the body does not end within its limits.
 */
export async function callHttp(options: HttpCallOptions): Promise<HttpResponse> {
  const { timeoutMs = DEFAULT_TIMEOUT_MS, maxBodyBytes = DEFAULT_MAX_BODY_BYTES } = options;
  const response = await sendHttpRequest(options);
  try {
    const body = await readBody(response, timeoutMs, maxBodyBytes);
    if (!response.complete) throw new Error('its connection ended');
    return { status: response.statusCode ?? 0, headers: response.headers, body };
  } catch (error) {
    const problem = error instanceof Error ? error.message : String(error);
    const detail = `The answer broke off: ${problem}.`;
    throw new SpoolplankError('unreachable', { detail, cause: error });
  }
}

/** A response with a JSON body; `json` is null when the body is empty. */
export interface JsonResponse extends Omit<HttpResponse, 'body'> {
  readonly json: JsonValue;
}

function parseBody(body: Buffer): JsonValue {
  if (body.length === 0) return null;
  try {
    return JSON.parse(body.toString('utf8')) as JsonValue;
  } catch (error) {
    throw new SpoolplankError('unreachable', { detail: 'The answer is not JSON.', cause: error });
  }
}

/**
 * Sends a JSON request and resolves with the parsed response.
 *
 * @throws SpoolplankError `unreachable`, also when the response is not JSON, such as a cut one.
 */
export async function callJson(
  options: Omit<HttpCallOptions, 'body'> & { readonly json?: unknown },
): Promise<JsonResponse> {
  const { json, headers, ...rest } = options;
  const body = json === undefined ? undefined : JSON.stringify(json);
  const answer = await callHttp({
    ...rest,
    body,
    headers: { 'content-type': 'application/json', ...headers },
  });
  return { status: answer.status, headers: answer.headers, json: parseBody(answer.body) };
}
