/** One attempt of a session: a stream opened at the first engine of a chain. */
import type { IncomingMessage } from 'node:http';
import { createAgent, openCall } from '@spoolplank/node';
import type { Chain, TokenEvent } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { RejectedAnswer } from './backendServers';
import { LIMIT_HEADER } from './sessionLimits';
import type { HeaderValue } from './sessionLimits';
import type { SessionRecord } from './sessionStore';

/** What engines are sent; see docs/design/engine-protocol.md. */
interface StreamOrder {
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
  /** `stop`: the model ended its answer; `length`: as many tokens as were asked for. */
  | { readonly kind: 'end'; readonly reason: 'length' | 'stop' }
  | { readonly kind: 'problem'; readonly problem: string };

export interface StreamListener {
  /** Takes a line; false when no more should come until `resume`. */
  onLine(line: StreamLine): boolean;
  /** The stream ended, in whatever way; after this nothing comes. */
  onEnd(reason: string): void;
}

export interface EngineStream {
  listen(listener: StreamListener): void;
  resume(): void;
  /** Lets go of the stream, so that every stage drops the handle. */
  cancel(): void;
}

/** Called with what the first engine says of itself with the head of its answer. */
export interface EngineListeners {
  readonly onTurnedAway: (answer: RejectedAnswer) => void;
  /** The header in which it names a limit; undefined where it names none. */
  readonly onLimit: (header: HeaderValue) => void;
}

const STREAM_AGENT = createAgent();
const OPEN_TIMEOUT_MS = 1000;

/** Hot: runs for every piece of every stream, so it splits lines without a stream in between. */
function listenForLines(response: IncomingMessage, listener: StreamListener): void {
  let rest = '';
  let hasEnded = false;
  const end = (reason: string) => {
    if (!hasEnded) listener.onEnd(reason);
    hasEnded = true;
  };
  response.setEncoding('utf8');
  response.on('data', (chunk: string) => {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    let wantsMore = true;
    lines.forEach((line) => {
      if (!hasEnded && !listener.onLine(JSON.parse(line) as StreamLine)) wantsMore = false;
    });
    if (!wantsMore) response.pause();
  });
  response.on('end', () => end('the stream ended early'));
  response.on('error', (error) => end(`the stream broke off: ${error.message}`));
  response.on('close', () => end('the stream broke off'));
}

/**
 * Opens a stream for the session's next attempt.
 *
 * @throws SpoolplankError `unreachable` or `backend-server-failed`.
 */
export async function openEngineStream(
  record: SessionRecord,
  chain: Chain,
  { onTurnedAway, onLimit }: EngineListeners,
): Promise<EngineStream> {
  const [first] = chain.stages;
  if (!first) throw new SpoolplankError('no-backend-server');
  const order: StreamOrder = {
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
  const response = await openCall({
    endpoint: first,
    method: 'POST',
    path: '/streams',
    agent: STREAM_AGENT,
    body: JSON.stringify(order),
    headers: { 'content-type': 'application/json' },
    timeoutMs: OPEN_TIMEOUT_MS,
  });
  onLimit(response.headers[LIMIT_HEADER]);
  if (response.statusCode !== 200) {
    const { statusCode: status = 0, headers } = response;
    onTurnedAway({ status, retryAfter: headers['retry-after'] });
    response.resume();
    throw new SpoolplankError('backend-server-failed', {
      detail: `${first.name} answered ${response.statusCode}.`,
    });
  }
  return {
    listen: (listener) => listenForLines(response, listener),
    resume: () => response.resume(),
    cancel: () => response.destroy(),
  };
}
