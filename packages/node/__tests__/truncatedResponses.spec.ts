import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, it } from 'node:test';
import { SpoolplankError } from '@spoolplank/shared';
import { callHttp, callJson } from '..';

const HOST = '127.0.0.1';
const BODY = '{"from":0,"target":12}';
const HEADERS = {
  length: `Content-Length: ${BODY.length}`,
  chunked: 'Transfer-Encoding: chunked',
  connection: 'Connection: close',
} as const;

interface Cut {
  readonly framing: keyof typeof HEADERS;
  readonly bytes: number;
  readonly ending: 'end' | 'resetAndDestroy';
  /** Time between the last bytes and the end of the connection. */
  readonly delayMs?: number;
}

async function writeCut(socket: Socket, { framing, bytes, ending, delayMs = 0 }: Cut) {
  const part = BODY.slice(0, bytes);
  const body = framing === 'chunked' ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
  socket.write(`HTTP/1.1 200 OK\r\n${HEADERS[framing]}\r\n\r\n${body}`);
  if (delayMs > 0) await delay(delayMs);
  socket[ending]();
}

/** Calls a server whose response is cut. */
async function callCut<Answer>(
  cut: Cut,
  call: (options: {
    readonly endpoint: { readonly host: string; readonly port: number };
    readonly method: string;
    readonly path: string;
  }) => Promise<Answer>,
): Promise<Answer> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      void writeCut(socket, cut);
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  try {
    const endpoint = { host: HOST, port: (server.address() as AddressInfo).port };
    return await call({ endpoint, method: 'GET', path: '/' });
  } finally {
    server.close();
  }
}

const isUnreachable = (error: unknown) =>
  error instanceof SpoolplankError && error.code === 'unreachable';

describe('a response to a call between processes', () => {
  for (const delayMs of [0, 1, 20]) {
    it(`is an error if it has no length and is reset after ${delayMs} ms`, async () => {
      const cut = { framing: 'connection', bytes: 9, ending: 'resetAndDestroy', delayMs } as const;
      await assert.rejects(callCut(cut, callHttp), isUnreachable);
    });
  }

  for (const framing of ['length', 'chunked'] as const) {
    it(`is an error if its ${framing} says that more follows`, async () => {
      const cut = { framing, bytes: 9, ending: 'end' } as const;
      await assert.rejects(callCut(cut, callHttp), isUnreachable);
    });
  }

  it('is an error if its JSON is cut at any byte', async () => {
    for (let bytes = 1; bytes < BODY.length; bytes += 1) {
      const cut = { framing: 'connection', bytes, ending: 'end' } as const;
      await assert.rejects(callCut(cut, callJson), isUnreachable, `${bytes} bytes`);
    }
  });

  it('is complete if it has no length and its connection is closed normally', async () => {
    const whole = { framing: 'connection', bytes: BODY.length, ending: 'end' } as const;
    const { json } = await callCut(whole, callJson);
    assert.deepEqual(json, JSON.parse(BODY));
  });
});
