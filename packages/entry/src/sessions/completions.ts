/** `POST /v1/chat/completions` and `/v1/completions`, streamed and whole, and their resumption. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { parseJsonBody, readBody } from '@spoolplank/node';
import { isJsonObject, SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { createJsonWriter, createStreamWriter } from './answerWriter';
import type { AnswerWriter } from './answerWriter';
import { deadlineOf, readCallerRequest } from './callerRequest';
import type { CallerRequest } from './callerRequest';
import { invalidBody, readCompletion } from './completionBody';
import type { EntryContext } from './entryContext';
import { readResumePoint } from './resumePoint';
import type { ResumePoint } from './resumePoint';
import { driveSession } from './sessionDriver';
import type { SessionReplication } from './sessionReplication';
import type { SessionRecord } from './sessionStore';

const CHAT_PATH = '/v1/chat/completions';
/** Attempts that one entry VM can make before numbers of the next takeover begin. */
const ATTEMPTS_PER_TAKEOVER = 100_000;

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
  const { mirror, clock, admissionControl, sessions, metrics } = context;
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
    await admissionControl.run(caller, async () => {
      const record = sessions.create(randomUUID(), organisation, completion.request);
      const writer = completion.isStreamed
        ? createStreamWriter(record, response, undefined)
        : createJsonWriter(record, response);
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
    await admissionControl.run(caller, async () => {
      // Beyond any attempt that an unknown entry VM may still drive.
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
