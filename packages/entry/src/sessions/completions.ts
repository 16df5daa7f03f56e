/**
 * `POST /v1/chat/completions` and `/v1/completions`, streamed or as one JSON body, and the
 * resumption of their sessions.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { parseJsonBody, readBody } from '@spoolplank/node';
import { isJsonObject, SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { createJsonWriter, createStreamWriter } from './answerWriter';
import type { AnswerWriter } from './answerWriter';
import { deadlineOf, readCallerRequest } from './callerRequest';
import type { CallerRequest } from './callerRequest';
import { createInvalidBodyError, readCompletion } from './completionBody';
import type { EntryContext } from './entryContext';
import { readResumePoint } from './resumePoint';
import type { ResumePoint } from './resumePoint';
import { driveSession } from './sessionDriver';
import type { SessionReplication } from './sessionReplication';
import type { SessionRecord } from './sessionStore';

const CHAT_PATH = '/v1/chat/completions';
/** Attempt numbers reserved for each takeover of a session by an entry VM. */
const ATTEMPTS_PER_TAKEOVER = 100_000;

/** Aborts when the caller disconnects or the deadline passes. */
function createCallerAbort(
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
      // A deadline from the settings applies to the first token only: sessions may last for hours.
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
  const { mirror, clock, admissionControl, sessions, metrics } = context;
  const activeControllers = new Map<string, AbortController>();

  function findModel(
    organisation: string,
    model: JsonValue | undefined,
  ): { readonly model: string; readonly layers: number } {
    if (typeof model !== 'string') throw createInvalidBodyError('/model', 'the name of a model');
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
    // A session of another organisation gets the same error as one that does not exist.
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
    const { controller, onFirstToken } = createCallerAbort(caller, response, clock.nowMs());
    const { signal } = controller;
    // A caller may resume before its old connection is known to be closed; the new request wins.
    activeControllers.get(record.id)?.abort();
    activeControllers.set(record.id, controller);
    let isFirstToken = record.tokens.length === 0;
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
            if (isFirstToken) {
              metrics.observe('spoolplank_first_token_ms', clock.nowMs() - caller.receivedAtMs);
              onFirstToken();
            }
            isFirstToken = false;
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
      if (activeControllers.get(record.id) === controller) activeControllers.delete(record.id);
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
    await admissionControl.run(caller, async () => {
      const record = sessions.create(randomUUID(), organisation, completion.request);
      const writer = completion.isStreamed
        ? createStreamWriter(record, response, undefined)
        : createJsonWriter(record, response);
      await run(record, layers, caller, writer, response);
    });
  }

  /**
   * Reserves attempt numbers above those of any entry VM that ran the session before, by a fencing
   * number from the control group. Returns the last number before the reserved ones.
   */
  async function reserveAttempts(record: SessionRecord): Promise<number> {
    const leaseResults = await context.control.call<readonly { readonly fencingNumber?: number }[]>(
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
    const fencingNumber = leaseResults[0]?.fencingNumber;
    if (fencingNumber === undefined)
      throw new SpoolplankError('unknown-session', {
        detail: 'The session is being resumed on another VM.',
      });
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
    await admissionControl.run(caller, async () => {
      // Exceeds the number of any attempt that another entry VM may still be running.
      record.attempt = await reserveAttempts(record);
      await run(record, layers, caller, createStreamWriter(record, response, resume), response);
    });
  }

  return {
    async serve(request, response, organisation) {
      const resume = readResumePoint(request);
      const { maxBodyBytes } = mirror.policyOf({ organisation });
      const rawBody = await readBody(request, maxBodyBytes);
      if (resume) await serveResumed(resume, request, response, organisation);
      else await serveNew(parseJsonBody(rawBody), request, response, organisation);
    },
  };
}
