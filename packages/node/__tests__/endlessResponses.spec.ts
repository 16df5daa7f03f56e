import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { callHttp } from '..';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const PIECE = 'x'.repeat(16_384);
const PIECE_CHUNK = `${PIECE.length.toString(16)}\r\n${PIECE}\r\n`;
const MAX_BODY_BYTES = 262_144;
const TIMEOUT_MS = 400;
/** Far above what fits into the buffers of a connection beside the limit. */
const MAX_SENT_BYTES = 16_777_216;

interface EndlessAnswer {
  readonly begin: string;
  /** Repeated until the caller closes; null to fall silent. */
  readonly piece: string | null;
}

const ENDLESS: Readonly<Record<string, EndlessAnswer>> = {
  'informational responses': { begin: '', piece: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  'a header': { begin: `${HEAD}X-Long: `, piece: PIECE },
  headers: { begin: HEAD, piece: `X-Header: ${'y'.repeat(1000)}\r\n` },
  'a body in chunks': { begin: `${HEAD}${CHUNKED}`, piece: PIECE_CHUNK },
  'a body that its connection ends': { begin: `${HEAD}\r\n`, piece: PIECE },
  'a chunk extension': { begin: `${HEAD}${CHUNKED}5;`, piece: PIECE },
  'bytes that are no answer': { begin: '', piece: '\u0000\u0001garbage' },
  'silence after the head': { begin: `${HEAD}Content-Length: 10\r\n\r\nabc`, piece: null },
};

/** Guards against a call that is read for ever, and keeps all that it has read. */
describe('a call that is answered without end', () => {
  let server: Server;
  let answer: EndlessAnswer = { begin: '', piece: null };
  let sentBytes = 0;
  let closed: Promise<void> = Promise.resolve();

  function writeWithoutEnd(socket: Socket, piece: string): void {
    let isFull = false;
    while (!isFull && !socket.destroyed && sentBytes < 2 * MAX_SENT_BYTES) {
      sentBytes += piece.length;
      isFull = !socket.write(piece);
    }
  }

  before(async () => {
    server = createServer((socket) => {
      const { begin, piece } = answer;
      closed = new Promise((resolve) => {
        socket.once('close', () => resolve());
      });
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(begin);
        if (piece === null) return;
        socket.on('drain', () => writeWithoutEnd(socket, piece));
        writeWithoutEnd(socket, piece);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  after(() => server.close());

  Object.entries(ENDLESS).forEach(([name, endless]) => {
    it(`fails, and its connection is closed: ${name}`, async () => {
      answer = endless;
      sentBytes = 0;
      const { port } = server.address() as AddressInfo;
      const call = callHttp({
        endpoint: { host: '127.0.0.1', port },
        method: 'GET',
        path: '/',
        timeoutMs: TIMEOUT_MS,
        maxBodyBytes: MAX_BODY_BYTES,
      });
      await assert.rejects(call, { code: 'unreachable' });
      await closed;
      assert.ok(sentBytes <= MAX_SENT_BYTES, `${sentBytes} bytes were sent`);
    });
  });
});
