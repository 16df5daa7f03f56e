/** One attempt of a session: a token stream from the first engine of a chain. */
import type { IncomingMessage } from 'node:http';
import { createAgent, sendHttpRequest } from '@spoolplank/node';
import type { Chain, TokenEvent } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { RejectedAnswer } from './backendServers';
import { LIMIT_HEADER } from './sessionLimits';
import type { HeaderValue } from './sessionLimits';
import type { SessionRecord } from './sessionStore';

/** The request that opens a stream at an engine; see docs/design/engine-protocol.md. */
interface StreamRequest {
  readonly handle: string;
  readonly session: string;
  readonly attempt: number;
  readonly fencingNumber: number;
  readonly model: string;
  readonly version: string;
  readonly stages: Chain['stages'];
  readonly prompt: string;
  readonly historyTokenIds: readonly number[];
  readonly maxTokens: number;
  readonly priority: number;
}

export type StreamLine =
  | ({ readonly kind: 'token' } & TokenEvent)
  /** `stop`: the model ended its answer; `length`: the maximum number of tokens was reached. */
  | { readonly kind: 'end'; readonly reason: 'length' | 'stop' }
  | { readonly kind: 'problem'; readonly problem: string };

export interface StreamListener {
  /** Handles a line; returns false to pause the stream until `resume`. */
  onLine(line: StreamLine): boolean;
  /** Called once when the stream has ended, for whatever reason; no line follows. */
  onEnd(reason: string): void;
}

export interface EngineStream {
  listen(listener: StreamListener): void;
  resume(): void;
  /** Closes the stream, so that every stage releases the handle. */
  cancel(): void;
}

/** Callbacks for the status and headers of the first engine's answer. */
export interface EngineCallbacks {
  readonly onRejected: (answer: RejectedAnswer) => void;
  /** Called with the limit header; undefined where the engine names no limit. */
  readonly onLimit: (header: HeaderValue) => void;
}

const STREAM_AGENT = createAgent();
const OPEN_TIMEOUT_MS = 1000;

/** Hot path, run for every chunk of every stream: splits lines without a transform stream. */
function readLines(response: IncomingMessage, listener: StreamListener): void {
  let partialLine = '';
  let hasEnded = false;
  const end = (reason: string) => {
    if (!hasEnded) listener.onEnd(reason);
    hasEnded = true;
  };
  response.setEncoding('utf8');
  response.on('data', (chunk: string) => {
    const lines = (partialLine + chunk).split('\n');
    partialLine = lines.pop() ?? '';
    let canTakeMore = true;
    lines.forEach((line) => {
      if (!hasEnded && !listener.onLine(JSON.parse(line) as StreamLine)) canTakeMore = false;
    });
    if (!canTakeMore) response.pause();
  });
  response.on('end', () => end('the stream ended early'));
  response.on('error', (error) => end(`the connection failed: ${error.message}`));
  response.on('close', () => end('the connection was closed'));
}

/**
 * Opens the stream of the session's current attempt.
 *
 * @throws SpoolplankError `unreachable` or `backend-server-failed`.
 */
export async function openEngineStream(
  record: SessionRecord,
  chain: Chain,
  { onRejected, onLimit }: EngineCallbacks,
): Promise<EngineStream> {
  const [first] = chain.stages;
  if (!first) throw new SpoolplankError('no-backend-server');
  const streamRequest: StreamRequest = {
    handle: `${record.id}.${record.attempt}`,
    session: record.id,
    attempt: record.attempt,
    fencingNumber: record.attempt,
    model: record.request.model,
    version: chain.version,
    stages: chain.stages,
    prompt: record.request.prompt,
    historyTokenIds: record.tokens.map(({ tokenId }) => tokenId),
    maxTokens: record.request.maxTokens,
    priority: record.request.priority,
  };
  const response = await sendHttpRequest({
    endpoint: first,
    method: 'POST',
    path: '/streams',
    agent: STREAM_AGENT,
    body: JSON.stringify(streamRequest),
    headers: { 'content-type': 'application/json' },
    timeoutMs: OPEN_TIMEOUT_MS,
  });
  onLimit(response.headers[LIMIT_HEADER]);
  if (response.statusCode !== 200) {
    const { statusCode: status = 0, headers } = response;
    onRejected({ status, retryAfter: headers['retry-after'] });
    response.resume();
    throw new SpoolplankError('backend-server-failed', {
      detail: `${first.name} answered with status ${response.statusCode}.`,
    });
  }
  return {
    listen: (listener) => readLines(response, listener),
    resume: () => response.resume(),
    cancel: () => response.destroy(),
  };
}
