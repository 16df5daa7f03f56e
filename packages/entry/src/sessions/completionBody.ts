/** The body of a completion, in the form that clients of model servers send. */
import { isJsonObject, SpoolplankError } from '@spoolplank/shared';
import type { JsonObject, JsonValue } from '@spoolplank/shared';
import type { CallerRequest } from './callerRequest';
import type { SessionRequest } from './sessionStore';

const DEFAULT_MAX_TOKENS = 256;

/** A checked body. */
export interface Completion {
  readonly request: SessionRequest;
  readonly isStreamed: boolean;
}

/** An error that names the place in the body. */
export function invalidBody(pointer: string, expected: string): SpoolplankError {
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
    throw invalidBody('/messages', 'a list of {role, content}');
  return (value as readonly JsonValue[])
    .map((message, index) => {
      const { role, content } = isJsonObject(message) ? message : {};
      if (typeof role !== 'string' || typeof content !== 'string')
        throw invalidBody(`/messages/${index}`, '{role, content} as text');
      return `${role}: ${content}`;
    })
    .join('\n');
}

function readPrompt(body: JsonObject, isChat: boolean): string {
  if (isChat) return readMessages(body.messages);
  if (typeof body.prompt !== 'string' || body.prompt === '') throw invalidBody('/prompt', 'text');
  return body.prompt;
}

function readMaxTokens(body: JsonObject, limit: number): number {
  const value =
    body.max_tokens ?? body.max_completion_tokens ?? Math.min(DEFAULT_MAX_TOKENS, limit);
  const isValid =
    typeof value === 'number' && Number.isInteger(value) && value >= 1 && value <= limit;
  if (!isValid) throw invalidBody('/max_tokens', `a whole number from 1 to ${limit}`);
  return value;
}

function readFlag(body: JsonObject, name: string): boolean {
  const value = body[name] ?? false;
  if (typeof value !== 'boolean') throw invalidBody(`/${name}`, 'true or false');
  return value;
}

/**
 * Reads the body of a completion.
 *
 * @throws SpoolplankError `bad-request` with the place and what is expected there.
 */
export function readCompletion(
  body: JsonValue,
  model: string,
  caller: CallerRequest,
  isChat: boolean,
): Completion {
  if (!isJsonObject(body)) throw invalidBody('', 'an object');
  const request: SessionRequest = {
    model,
    isChat,
    prompt: readPrompt(body, isChat),
    maxTokens: readMaxTokens(body, caller.policy.maxOutputTokens),
    priority: caller.policy.priority,
  };
  return { request, isStreamed: readFlag(body, 'stream') };
}
