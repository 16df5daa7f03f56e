/** `POST /v1/chat/completions` and `/v1/completions`, streamed and whole, and their resumption. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { crc32 } from 'node:zlib';
import { parseJsonBody, readBody, readSingleHeader, sendJson } from '@spoolplank/node';
import { isJsonObject, SpoolplankError, toErrorBody, toSpoolplankError } from '@spoolplank/shared';
import type { JsonObject, JsonValue } from '@spoolplank/shared';
import { deadlineOf, readCallerRequest } from './callerRequest';
import type { CallerRequest } from './callerRequest';
import type { EntryContext } from './entryContext';
import { driveSession } from './sessionDriver';
import type { SessionReplication } from './sessionReplication';
import type { SessionRecord, SessionRequest, SessionToken } from './sessionStore';

const CHAT_PATH = '/v1/chat/completions';
const DEFAULT_MAX_TOKENS = 256;
/** Attempts that one entry VM can make before numbers of the next takeover begin. */
const ATTEMPTS_PER_TAKEOVER = 100_000;
const KEEP_ALIVE_INTERVAL_MS = 10_000;
const SESSION_HEADER = 'spoolplank-session';
const LAST_EVENT_HEADER = 'last-event-id';
const SESSION_PATTERN = /^[0-9a-f-]{36}$/;
const EVENT_ID_PATTERN = /^([0-9a-f-]{36}):(\d{1,9}):([0-9a-f]{8})$/;

/** Where a caller wants to go on. */
interface ResumePoint {
  readonly sessionId: string;
  /** Position of the last token the caller has; -1 when it has none. */
  readonly position: number;
  /** Digest of the answer up to that token. */
  readonly digest: string;
}

interface Completion {
  readonly request: SessionRequest;
  readonly isStreamed: boolean;
}

function invalidBody(pointer: string, expected: string): SpoolplankError {
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

function readCompletion(
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

function readResumePoint(request: IncomingMessage): ResumePoint | undefined {
  const lastEvent = readSingleHeader(request, LAST_EVENT_HEADER);
  const sessionId = readSingleHeader(request, SESSION_HEADER);
  if (lastEvent === undefined && sessionId === undefined) return undefined;
  const match = EVENT_ID_PATTERN.exec(lastEvent ?? '');
  if (lastEvent !== undefined && !match) {
    throw new SpoolplankError('invalid-header', {
      detail: `${LAST_EVENT_HEADER}: an event's id is expected.`,
    });
  }
  if (sessionId !== undefined && !SESSION_PATTERN.test(sessionId)) {
    throw new SpoolplankError('invalid-header', {
      detail: `${SESSION_HEADER}: a session's id is expected.`,
    });
  }
  if (match && sessionId !== undefined && match[1] !== sessionId) {
    throw new SpoolplankError('invalid-header', {
      detail: `${LAST_EVENT_HEADER} is of another session than ${SESSION_HEADER}.`,
    });
  }
  const id = match?.[1] ?? sessionId ?? '';
  return match
    ? { sessionId: id, position: Number(match[2]), digest: match[3] ?? '' }
    : { sessionId: id, position: -1, digest: '' };
}

function formatDigest(digest: number): string {
  return digest.toString(16).padStart(8, '0');
}

/** Writes the answer in the form that clients of model servers expect. */
interface AnswerWriter {
  begin(): void;
  /** False when the caller can take no more for now. */
  token(token: SessionToken, position: number): boolean;
  drained(): Promise<void>;
  end(): void;
  fail(error: SpoolplankError): void;
}

function createStreamWriter(
  record: SessionRecord,
  response: ServerResponse,
  resume: ResumePoint | undefined,
): AnswerWriter {
  const object = record.request.isChat ? 'chat.completion.chunk' : 'text_completion';
  const created = Math.floor(Date.now() / 1000);
  const resumeAt = resume?.position ?? -1;
  let digest = 0;
  let keepAlive: NodeJS.Timeout | undefined;

  function toChunk(text: string | null, finishReason: string | null): string {
    const choice = record.request.isChat
      ? { index: 0, delta: text === null ? {} : { content: text }, finish_reason: finishReason }
      : { index: 0, text: text ?? '', finish_reason: finishReason };
    return JSON.stringify({
      id: record.id,
      object,
      created,
      model: record.request.model,
      choices: [choice],
    });
  }

  function begin(): void {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      [SESSION_HEADER]: record.id,
    });
    response.flushHeaders();
    keepAlive = setInterval(() => response.write(': waiting\n\n'), KEEP_ALIVE_INTERVAL_MS);
  }

  return {
    begin,
    token({ text }, position) {
      digest = crc32(text, digest);
      if (position < resumeAt) return true;
      if (position === resumeAt) {
        // What was generated again must be what the caller has, or going on would mix two answers.
        if (formatDigest(digest) === resume?.digest) return true;
        throw new SpoolplankError('answer-invalid', {
          detail: 'The session cannot be continued after this event.',
        });
      }
      begin();
      const id = `${record.id}:${position}:${formatDigest(digest)}`;
      return response.write(`id: ${id}\ndata: ${toChunk(text, null)}\n\n`) || response.destroyed;
    },
    drained: () =>
      new Promise((resolve) => {
        const finish = () => {
          response.off('drain', finish);
          response.off('close', finish);
          resolve();
        };
        response.on('drain', finish);
        response.on('close', finish);
      }),
    end() {
      begin();
      clearInterval(keepAlive);
      response.end(`data: ${toChunk(null, 'length')}\n\ndata: [DONE]\n\n`);
    },
    fail(error) {
      clearInterval(keepAlive);
      if (!response.headersSent) throw error;
      response.end(`event: error\ndata: ${JSON.stringify(toErrorBody(error))}\n\n`);
    },
  };
}

function createWholeWriter(record: SessionRecord, response: ServerResponse): AnswerWriter {
  const texts: string[] = [];
  return {
    begin() {},
    token({ text }) {
      texts.push(text);
      return true;
    },
    drained: () => Promise.resolve(),
    end() {
      const text = texts.join('');
      const { isChat, model, prompt } = record.request;
      const choice = isChat
        ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }
        : { index: 0, text, finish_reason: 'length' };
      const promptTokens = prompt.split(/\s+/).length;
      sendJson(
        response,
        200,
        {
          id: record.id,
          object: isChat ? 'chat.completion' : 'text_completion',
          created: Math.floor(Date.now() / 1000),
          model,
          choices: [choice],
          usage: {
            prompt_tokens: promptTokens,
            completion_tokens: texts.length,
            total_tokens: promptTokens + texts.length,
          },
        },
        { [SESSION_HEADER]: record.id },
      );
    },
    fail(error) {
      throw error;
    },
  };
}

/** Aborts when the caller has gone or the answer comes too late. */
function watchCaller(
  caller: CallerRequest,
  response: ServerResponse,
  nowMs: number,
): { controller: AbortController; onFirstToken: () => void } {
  const controller = new AbortController();
  const timer = setTimeout(
    () => controller.abort(new SpoolplankError('deadline-exceeded')),
    Math.max(0, deadlineOf(caller) - nowMs),
  );
  response.on('close', () => {
    clearTimeout(timer);
    controller.abort();
  });
  return {
    controller,
    onFirstToken() {
      // A deadline from the settings is for the first token: sessions may last for hours.
      if (caller.statedDeadlineMs === undefined) clearTimeout(timer);
    },
  };
}

export interface CompletionRoute {
  serve(request: IncomingMessage, response: ServerResponse, organisation: string): Promise<void>;
}

export function createCompletionRoute(
  context: EntryContext,
  replication: SessionReplication,
): CompletionRoute {
  const { mirror, clock, gate, sessions, metrics } = context;
  const drivers = new Map<string, AbortController>();

  function findModel(
    organisation: string,
    model: JsonValue | undefined,
  ): { readonly model: string; readonly layers: number } {
    if (typeof model !== 'string') throw invalidBody('/model', 'the name of a model');
    const definition = Object.hasOwn(mirror.tree.services ?? {}, model)
      ? mirror.tree.services?.[model]
      : undefined;
    const isAllowed = mirror.tree.organisations?.[organisation]?.services?.[model] !== undefined;
    if (definition?.kind !== 'model' || definition.layers === undefined || !isAllowed)
      throw new SpoolplankError('unknown-model');
    return { model, layers: definition.layers };
  }

  async function findSession(resume: ResumePoint, organisation: string): Promise<SessionRecord> {
    const record = await replication.fetch(resume.sessionId);
    // Another organisation's session is answered like one that does not exist.
    if (record?.organisation !== organisation) throw new SpoolplankError('unknown-session');
    return record;
  }

  async function run(
    record: SessionRecord,
    layers: number,
    caller: CallerRequest,
    writer: AnswerWriter,
    response: ServerResponse,
  ): Promise<void> {
    const { controller, onFirstToken } = watchCaller(caller, response, clock.nowMs());
    const { signal } = controller;
    // A caller that comes back before its old connection was seen to be gone takes over from it.
    drivers.get(record.id)?.abort();
    drivers.set(record.id, controller);
    let isFirst = record.tokens.length === 0;
    try {
      record.tokens.forEach((token, position) => writer.token(token, position));
      await driveSession({
        context,
        replication,
        record,
        layers,
        signal,
        sink: {
          drained: writer.drained,
          onToken(token, position) {
            if (isFirst) {
              metrics.observe('spoolplank_first_token_ms', clock.nowMs() - caller.receivedAtMs);
              onFirstToken();
            }
            isFirst = false;
            metrics.count('spoolplank_tokens_total');
            return writer.token(token, position);
          },
        },
      });
      if (signal.aborted) {
        if (signal.reason instanceof SpoolplankError) throw signal.reason;
        return;
      }
      writer.end();
    } catch (thrown) {
      writer.fail(toSpoolplankError(thrown));
    } finally {
      if (drivers.get(record.id) === controller) drivers.delete(record.id);
    }
  }

  async function serveNew(
    body: JsonValue,
    request: IncomingMessage,
    response: ServerResponse,
    organisation: string,
  ): Promise<void> {
    const { model, layers } = findModel(organisation, isJsonObject(body) ? body.model : undefined);
    const caller = readCallerRequest(request, organisation, model, mirror, clock.nowMs());
    const isChat = request.url?.split('?')[0] === CHAT_PATH;
    const completion = readCompletion(body, model, caller, isChat);
    await gate.run(caller, async () => {
      const record = sessions.create(randomUUID(), organisation, completion.request);
      const writer = completion.isStreamed
        ? createStreamWriter(record, response, undefined)
        : createWholeWriter(record, response);
      await run(record, layers, caller, writer, response);
    });
  }

  /** Makes sure that attempt numbers go on rising, whoever drove the session before. */
  async function takeOver(record: SessionRecord): Promise<number> {
    const lease = await context.control.call<readonly { readonly fencingNumber?: number }[]>(
      'control.submit',
      {
        requests: [
          {
            kind: 'lease.acquire',
            name: `session/${record.id}`,
            holder: randomUUID(),
            durationMs: 1,
          },
        ],
      },
    );
    const fencingNumber = lease[0]?.fencingNumber;
    if (fencingNumber === undefined)
      throw new SpoolplankError('unknown-session', { detail: 'It is being resumed elsewhere.' });
    return Math.max(record.attempt, fencingNumber * ATTEMPTS_PER_TAKEOVER);
  }

  async function serveResumed(
    resume: ResumePoint,
    request: IncomingMessage,
    response: ServerResponse,
    organisation: string,
  ): Promise<void> {
    const record = await findSession(resume, organisation);
    const { model, layers } = findModel(organisation, record.request.model);
    const caller = readCallerRequest(request, organisation, model, mirror, clock.nowMs());
    await gate.run(caller, async () => {
      // Beyond any attempt that an entry VM not heard of may still drive.
      record.attempt = await takeOver(record);
      await run(record, layers, caller, createStreamWriter(record, response, resume), response);
    });
  }

  return {
    async serve(request, response, organisation) {
      const resume = readResumePoint(request);
      const { maxBodyBytes } = mirror.policyOf({ organisation });
      const raw = await readBody(request, maxBodyBytes);
      if (resume) await serveResumed(resume, request, response, organisation);
      else await serveNew(parseJsonBody(raw), request, response, organisation);
    },
  };
}
