import assert from 'node:assert/strict';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { finished } from 'node:stream/promises';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { describe, it } from 'node:test';
import { detectReset } from '../src/resetDetection';

/** Answers one request without a length, then ends the connection in the way given. */
async function readAnswer(
  endConnection: (socket: Socket) => void,
  delayMs: number,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part');
      setTimeout(() => endConnection(socket), delayMs);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      const call = request({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
      call.on('error', reject);
      call.on('response', (head) => {
        call.on('error', (error) => head.destroy(error));
        detectReset(head);
        resolve(head);
      });
      call.end();
    });
    response.resume();
    await finished(response, { writable: false });
    return 'whole';
  } catch {
    return 'broken';
  } finally {
    server.close();
  }
}

/** A server on a thread of its own: it writes a part, and ends the connection 1 ms later. */
const THREAD = `
  const { createServer } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\na part');
      setTimeout(() => socket[workerData](), 1);
    });
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
/** Longer than the server takes for all of it, also beside other work. */
const BUSY_MS = 60;

/** Reads an answer whose bytes and whose end are all there when this process comes to read. */
async function readLate(ending: 'end' | 'resetAndDestroy'): Promise<string> {
  const worker = new Worker(THREAD, { eval: true, workerData: ending });
  const port = await new Promise<number>((resolve) => {
    worker.once('message', resolve);
  });
  try {
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      const call = request({ host: '127.0.0.1', port });
      call.on('error', reject);
      call.on('response', (head) => {
        call.on('error', (error) => head.destroy(error));
        detectReset(head);
        resolve(head);
      });
      call.end();
      call.once('finish', () => {
        void nextTurn().then(() => {
          const endsAtMs = performance.now() + BUSY_MS;
          while (performance.now() < endsAtMs);
        });
      });
    });
    response.resume();
    await finished(response, { writable: false });
    return 'whole';
  } catch {
    return 'broken';
  } finally {
    await worker.terminate();
  }
}

describe('an answer that is all there before it is read', () => {
  it('is broken when its connection was reset', async () => {
    assert.equal(await readLate('resetAndDestroy'), 'broken');
  });

  it('is whole when its connection was closed in order', async () => {
    assert.equal(await readLate('end'), 'whole');
  });
});

describe('an answer that ends with its connection', () => {
  // About a millisecond, the bytes and the reset are often read in one go.
  [0, 1, 1, 1, 2, 3, 20].forEach((delayMs, index) => {
    it(`is broken when that is reset after ${delayMs} ms (${index})`, async () => {
      assert.equal(await readAnswer((socket) => socket.resetAndDestroy(), delayMs), 'broken');
    });
  });

  [0, 1, 20].forEach((delayMs) => {
    it(`is whole when that is closed in order after ${delayMs} ms`, async () => {
      assert.equal(await readAnswer((socket) => socket.end(), delayMs), 'whole');
    });
  });
});
