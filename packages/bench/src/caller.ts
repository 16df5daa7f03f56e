/** A minimal client: fetches addresses, streams completions and calls services. */
import { createInterface } from 'node:readline';
import { callHttp, callJson, createAgent, sendHttpRequest, parseAddress } from '@spoolplank/node';
import type { HttpResponse } from '@spoolplank/node';
import { fromErrorBody } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';

export interface StreamedAnswer {
  readonly text: string;
  readonly tokens: number;
  readonly sessionId: string;
  readonly lastEventId: string;
  readonly isWhole: boolean;
  readonly firstTokenMs: number;
  readonly durationMs: number;
  /** Times between consecutive tokens. */
  readonly gapsMs: readonly number[];
  readonly error: JsonValue;
}

export interface StreamEvent {
  readonly id: string;
  readonly position: number;
  readonly text: string;
}

export interface StreamOptions {
  readonly address: string;
  readonly token: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Resumes the session after this event instead of starting a new one. */
  readonly lastEventId?: string;
  readonly onToken?: (position: number) => void;
  /** Like `onToken`, with the content of the event. */
  readonly onEvent?: (event: StreamEvent) => void;
}

const AGENT = createAgent();

interface Chunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly error?: JsonValue;
}

/** Streams a chat completion; returns the received part if the connection breaks. */
export async function streamCompletion(options: StreamOptions): Promise<StreamedAnswer> {
  const { address, token, model, prompt, maxTokens, lastEventId } = options;
  const startedAtMs = performance.now();
  const response = await sendHttpRequest({
    endpoint: parseAddress(address),
    method: 'POST',
    path: '/v1/chat/completions',
    agent: AGENT,
    timeoutMs: 30_000,
    headers: {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
      ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId }),
    },
    body: JSON.stringify({
      model,
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: prompt }],
    }),
  });
  if (response.statusCode !== 200) {
    const chunks: Buffer[] = [];
    for await (const chunk of response as AsyncIterable<Buffer>) chunks.push(chunk);
    throw fromErrorBody(JSON.parse(Buffer.concat(chunks).toString('utf8')));
  }
  const texts: string[] = [];
  const gapsMs: number[] = [];
  let lastReceivedId = lastEventId ?? '';
  let lastTokenAtMs = startedAtMs;
  let firstTokenMs = 0;
  let isWhole = false;
  let error: JsonValue = null;
  try {
    for await (const line of createInterface({ input: response })) {
      if (line.startsWith('id: ')) lastReceivedId = line.slice(4);
      if (line === 'data: [DONE]') isWhole = true;
      else if (line.startsWith('data: ')) {
        const chunk = JSON.parse(line.slice(6)) as Chunk;
        if (chunk.error !== undefined) error = chunk.error;
        const text = chunk.choices?.[0]?.delta?.content;
        if (text !== undefined) {
          const nowMs = performance.now();
          if (texts.length === 0) firstTokenMs = nowMs - startedAtMs;
          else gapsMs.push(nowMs - lastTokenAtMs);
          lastTokenAtMs = nowMs;
          texts.push(text);
          options.onToken?.(texts.length - 1);
          options.onEvent?.({ id: lastReceivedId, position: texts.length - 1, text });
        }
      }
    }
  } catch {
    // The connection broke: the received part is returned with `isWhole` false.
  }
  return {
    text: texts.join(''),
    tokens: texts.length,
    sessionId: lastReceivedId.split(':')[0] ?? '',
    lastEventId: lastReceivedId,
    isWhole,
    firstTokenMs,
    durationMs: performance.now() - startedAtMs,
    gapsMs,
    error,
  };
}

/** Returns the text that the fake model receives for a chat prompt. */
export function chatPrompt(prompt: string): string {
  return `user: ${prompt}`;
}

export interface ServiceCall {
  readonly address: string;
  readonly token: string;
  readonly service: string;
  readonly path?: string;
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Calls a plain service. */
export function callService(options: ServiceCall): Promise<HttpResponse> {
  const { address, token, service, path = '/', method = 'POST', body = '{}', headers } = options;
  return callHttp({
    endpoint: parseAddress(address),
    method,
    path: `/v1/services/${service}${path}`,
    agent: AGENT,
    timeoutMs: 30_000,
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...headers },
    body,
  });
}

export interface Addresses {
  readonly addresses: readonly { readonly address: string; readonly weight: number }[];
  readonly keepMs: number;
}

/** Fetches the addresses that callers should use from an entry VM. */
export async function fetchAddresses(address: string): Promise<Addresses> {
  const { json } = await callJson({
    endpoint: parseAddress(address),
    method: 'GET',
    path: '/v1/addresses',
  });
  return json as unknown as Addresses;
}
