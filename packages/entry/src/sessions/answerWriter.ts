/** Writes completions in the format of common model servers, streamed or as one JSON body. */
import type { ServerResponse } from 'node:http';
import { crc32 } from 'node:zlib';
import { sendJson } from '@spoolplank/node';
import { SpoolplankError, toErrorBody } from '@spoolplank/shared';
import { formatDigest, SESSION_HEADER } from './resumePoint';
import type { ResumePoint } from './resumePoint';
import type { SessionRecord, SessionToken } from './sessionStore';

const KEEP_ALIVE_INTERVAL_MS = 10_000;

/** Writes the completion of one session to the caller. */
export interface AnswerWriter {
  begin(): void;
  /** Writes a token; returns false when the connection applies backpressure. */
  token(token: SessionToken, position: number): boolean;
  drained(): Promise<void>;
  end(): void;
  fail(error: SpoolplankError): void;
}

/** `length` when the answer has the maximum number of tokens, `stop` when the model ended it. */
function finishReasonOf({ tokens, request }: SessionRecord): 'length' | 'stop' {
  return tokens.length >= request.maxTokens ? 'length' : 'stop';
}

/**
 * Writes server-sent events, each with an id. On resumption, the tokens that the caller already has
 * are verified by their digest and skipped.
 */
export function createStreamWriter(
  record: SessionRecord,
  response: ServerResponse,
  resume: ResumePoint | undefined,
): AnswerWriter {
  const object = record.request.isChat ? 'chat.completion.chunk' : 'text_completion';
  const created = Math.floor(Date.now() / 1000);
  const resumePosition = resume?.position ?? -1;
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
      if (position < resumePosition) return true;
      if (position === resumePosition) {
        // If the regenerated prefix differs from the caller's, resuming would mix two answers.
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
      response.end(`data: ${toChunk(null, finishReasonOf(record))}\n\ndata: [DONE]\n\n`);
    },
    fail(error) {
      clearInterval(keepAlive);
      if (!response.headersSent) throw error;
      response.end(`event: error\ndata: ${JSON.stringify(toErrorBody(error))}\n\n`);
    },
  };
}

/** Writes one JSON body when the answer is complete. */
export function createJsonWriter(record: SessionRecord, response: ServerResponse): AnswerWriter {
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
        ? {
            index: 0,
            message: { role: 'assistant', content: text },
            finish_reason: finishReasonOf(record),
          }
        : { index: 0, text, finish_reason: finishReasonOf(record) };
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
