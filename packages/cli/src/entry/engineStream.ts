/** One attempt of a session: a stream opened at the first engine of a chain. */
import type { IncomingMessage } from 'node:http';
import { createInterface } from 'node:readline';
import { createAgent, openCall } from '@spoolplank/node';
import type { Chain, TokenEvent } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { SessionRecord } from './sessionStore';

/** What engines are told; see docs/design/engine-protocol.md. */
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
  | { readonly kind: 'end' }
  | { readonly kind: 'problem'; readonly problem: string };

export interface EngineStream {
  readonly lines: AsyncIterable<StreamLine>;
  /** Lets go of the stream, so that every stage drops the handle. */
  cancel(): void;
}

const STREAM_AGENT = createAgent();
const OPEN_TIMEOUT_MS = 1000;

async function* readLines(response: IncomingMessage): AsyncGenerator<StreamLine> {
  const reader = createInterface({ input: response, crlfDelay: Number.POSITIVE_INFINITY });
  for await (const line of reader) yield JSON.parse(line) as StreamLine;
  throw new SpoolplankError('backend-server-failed', { detail: 'The stream broke off.' });
}

/**
 * Opens a stream for the session's next attempt.
 *
 * @throws SpoolplankError `unreachable` or `backend-server-failed`.
 */
export async function openEngineStream(record: SessionRecord, chain: Chain): Promise<EngineStream> {
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
  if (response.statusCode !== 200) {
    response.resume();
    throw new SpoolplankError('backend-server-failed', {
      detail: `${first.name} answered ${response.statusCode}.`,
    });
  }
  return { lines: readLines(response), cancel: () => response.destroy() };
}
