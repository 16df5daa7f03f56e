/** Parses the body of a completion request, in the format of common model servers. */
import { isJsonObject, SpoolplankError } from '@spoolplank/shared';
import type { JsonObject, JsonValue } from '@spoolplank/shared';
import type { CallerRequest } from './callerRequest';
import type { SessionRequest } from './sessionStore';

const DEFAULT_MAX_TOKENS = 256;

/** A validated request body. */
export interface Completion {
  readonly request: SessionRequest;
  readonly isStreamed: boolean;
}

/** Creates a `bad-request` error that names the invalid place in the body. */
export function createInvalidBodyError(pointer: string, expected: string): SpoolplankError {
  const finding = {
    source: 'body',
    pointer,
    problem: 'not valid',
    expected,
  };
  return new SpoolplankError('bad-request', {
    detail: `${pointer}: ${expected} is expected.`,
    findings: [finding],
  });
}

function readMessages(value: JsonValue | undefined): string {
  if (!Array.isArray(value) || value.length === 0)
    throw createInvalidBodyError('/messages', 'a list of {role, content}');
  return (value as readonly JsonValue[])
    .map((message, index) => {
      const { role, content } = isJsonObject(message) ? message : {};
      if (typeof role !== 'string' || typeof content !== 'string')
        throw createInvalidBodyError(`/messages/${index}`, '{role, content} as text');
      return `${role}: ${content}`;
    })
    .join('\n');
}

function readPrompt(body: JsonObject, isChat: boolean): string {
  if (isChat) return readMessages(body.messages);
  if (typeof body.prompt !== 'string' || body.prompt === '')
    throw createInvalidBodyError('/prompt', 'text');
  return body.prompt;
}

function readMaxTokens(body: JsonObject, limit: number): number {
  const value =
    body.max_tokens ?? body.max_completion_tokens ?? Math.min(DEFAULT_MAX_TOKENS, limit);
  const isValid =
    typeof value === 'number' && Number.isInteger(value) && value >= 1 && value <= limit;
  if (!isValid) throw createInvalidBodyError('/max_tokens', `a whole number from 1 to ${limit}`);
  return value;
}

function readBoolean(body: JsonObject, name: string): boolean {
  const value = body[name] ?? false;
  if (typeof value !== 'boolean') throw createInvalidBodyError(`/${name}`, 'true or false');
  return value;
}

/**
 * Parses and validates the body of a completion request.
 *
 * @throws SpoolplankError `bad-request` with the invalid place and the expected value.
 */
export function readCompletion(
  body: JsonValue,
  model: string,
  caller: CallerRequest,
  isChat: boolean,
): Completion {
  if (!isJsonObject(body)) throw createInvalidBodyError('', 'an object');
  const request: SessionRequest = {
    model,
    isChat,
    prompt: readPrompt(body, isChat),
    maxTokens: readMaxTokens(body, caller.policy.maxOutputTokens),
    priority: caller.policy.priority,
  };
  return { request, isStreamed: readBoolean(body, 'stream') };
}
