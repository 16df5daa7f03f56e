import assert from 'node:assert/strict';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { finished } from 'node:stream/promises';
import { setImmediate as nextImmediate, setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { describe, it } from 'node:test';
import { detectSocketReset, failOnReset } from '../src/resetDetection';

/**
 * Sends a request to a server that responds without a length and then ends the connection in the
 * given way; returns whether the client takes the response for complete.
 */
async function readResponse(
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
        failOnReset(call, head);
        resolve(head);
      });
      call.end();
    });
    response.resume();
    await finished(response, { writable: false });
    return 'complete';
  } catch {
    return 'broken';
  } finally {
    server.close();
  }
}

/** A server in a worker thread: it writes part of a response and ends the connection 1 ms later. */
const SERVER_THREAD_SOURCE = `
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
/** How long the client blocks its event loop: longer than the server needs, also under load. */
const BLOCKED_MS = 60;

/** Blocks the event loop until the server has sent everything, also under load. */
function blockEventLoop(): void {
  const endsAtMs = performance.now() + BLOCKED_MS;
  while (performance.now() < endsAtMs);
}

/** Reads a response after its data and the end of its connection have both arrived. */
async function readAfterArrival(ending: 'end' | 'resetAndDestroy'): Promise<string> {
  const worker = new Worker(SERVER_THREAD_SOURCE, { eval: true, workerData: ending });
  const port = await new Promise<number>((resolve) => {
    worker.once('message', resolve);
  });
  try {
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      const call = request({ host: '127.0.0.1', port });
      call.on('error', reject);
      call.on('response', (head) => {
        failOnReset(call, head);
        resolve(head);
      });
      call.end();
      call.once('finish', () => {
        void nextImmediate().then(blockEventLoop);
      });
    });
    response.resume();
    await finished(response, { writable: false });
    return 'complete';
  } catch {
    return 'broken';
  } finally {
    await worker.terminate();
  }
}

/** Reads a socket that is paused while its last bytes and its end arrive. */
async function readPaused(ending: 'end' | 'resetAndDestroy'): Promise<string> {
  const worker = new Worker(SERVER_THREAD_SOURCE, { eval: true, workerData: ending });
  const port = await new Promise<number>((resolve) => {
    worker.once('message', resolve);
  });
  const socket = connect({ host: '127.0.0.1', port });
  try {
    await once(socket, 'connect');
    detectSocketReset(socket);
    socket.pause();
    const outcome = finished(socket, { writable: false }).then(
      () => 'complete',
      () => 'broken',
    );
    socket.write('a request');
    await nextImmediate();
    blockEventLoop();
    // The bytes are read here, and kept until the socket is resumed.
    await delay(BLOCKED_MS);
    socket.resume();
    return await outcome;
  } finally {
    socket.destroy();
    await worker.terminate();
  }
}

describe('a socket that is paused while its end arrives', () => {
  it('is broken when its connection was reset', async () => {
    assert.equal(await readPaused('resetAndDestroy'), 'broken');
  });

  it('is complete when its connection was closed normally', async () => {
    assert.equal(await readPaused('end'), 'complete');
  });
});

describe('a response that has arrived completely before it is read', () => {
  it('is broken when its connection was reset', async () => {
    assert.equal(await readAfterArrival('resetAndDestroy'), 'broken');
  });

  it('is complete when its connection was closed normally', async () => {
    assert.equal(await readAfterArrival('end'), 'complete');
  });
});

describe('a response that ends with its connection', () => {
  // With a delay of about 1 ms, the data and the reset are often read together.
  [0, 1, 1, 1, 2, 3, 20].forEach((delayMs, index) => {
    it(`is broken when the connection is reset after ${delayMs} ms (${index})`, async () => {
      assert.equal(await readResponse((socket) => socket.resetAndDestroy(), delayMs), 'broken');
    });
  });

  [0, 1, 20].forEach((delayMs) => {
    it(`is complete when the connection is closed normally after ${delayMs} ms`, async () => {
      assert.equal(await readResponse((socket) => socket.end(), delayMs), 'complete');
    });
  });
});
