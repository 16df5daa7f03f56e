import assert from 'node:assert/strict';
import { once } from 'node:events';
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { after, before, describe, it } from 'node:test';
import { listenForPeers, openTunnel, signedPeerHeaders, TunnelBrokenError } from '..';

const HOST = '127.0.0.1';
const IDENTITY = { deployment: 'test', vmId: 'vm1', sharedKey: 'a key of sixteen characters' };
const BYTES = Buffer.from('some bytes');
const BYTES_FRAME = Buffer.concat([Buffer.from([0, 0, 0, BYTES.length]), BYTES]);
const END_FRAME = Buffer.alloc(4);

const portOf = (server: Server): number => (server.address() as AddressInfo).port;

/** Starts a relay of another version, which answers each tunnel in the given way. */
async function startRelay(answer: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  return server;
}

function open(server: Server, address: string): Promise<Duplex> {
  return openTunnel({
    identity: IDENTITY,
    relay: { vmId: 'vm2', host: HOST, port: portOf(server) },
    address,
    timeoutMs: 2000,
    signal: new AbortController().signal,
  });
}

/** Reads to the end of a tunnel. */
async function readEnd(
  tunnel: Duplex,
): Promise<{ readonly text: string; readonly error: unknown }> {
  const chunks: Buffer[] = [];
  tunnel.on('data', (chunk: Buffer) => chunks.push(chunk));
  const error: unknown = await new Promise((resolve) => {
    tunnel.once('error', resolve);
    tunnel.once('end', () => resolve(null));
  });
  return { text: Buffer.concat(chunks).toString(), error };
}

describe('the end of a tunnel', () => {
  const relays: Server[] = [];

  after(() => relays.forEach((relay) => relay.close()));

  async function readFrom(answer: (socket: Socket) => void) {
    const relay = await startRelay(answer);
    relays.push(relay);
    return readEnd(await open(relay, `${HOST}:1`));
  }

  function answerFramed(...frames: readonly Buffer[]) {
    return (socket: Socket) => {
      socket.write('HTTP/1.1 200 Connected\r\nspoolplank-framing: 1\r\n\r\n');
      socket.end(Buffer.concat(frames));
    };
  }

  it('is the end of the server if the relay reports it', async () => {
    const { text, error } = await readFrom(answerFramed(BYTES_FRAME, END_FRAME));
    assert.deepEqual([text, error], [BYTES.toString(), null]);
  });

  it('is a break if the relay closes it without a report', async () => {
    for (let length = 0; length < BYTES_FRAME.length + END_FRAME.length; length += 1) {
      const frames = Buffer.concat([BYTES_FRAME, END_FRAME]).subarray(0, length);
      const { error } = await readFrom(answerFramed(frames));
      assert.ok(error instanceof TunnelBrokenError, `${length} bytes: ${String(error)}`);
    }
  });

  it('is a break if the relay is of a version without frames', async () => {
    const { text, error } = await readFrom((socket) => {
      socket.write('HTTP/1.1 200 Connected\r\n\r\n');
      socket.end(BYTES);
    });
    assert.equal(text, BYTES.toString());
    assert.ok(error instanceof TunnelBrokenError, String(error));
  });

  it('is a break if the relay sends bytes that are no frames', async () => {
    const { error } = await readFrom(answerFramed(Buffer.from('HTTP/1.1 200 OK')));
    assert.ok(error instanceof TunnelBrokenError, String(error));
  });
});

describe('a relay', () => {
  let upstream: Server;
  let relay: Awaited<ReturnType<typeof listenForPeers>>;
  let address = '';
  /** Answers a connection to the backend server. */
  let serve = (_socket: Socket): void => {};

  before(async () => {
    upstream = createServer((socket) => {
      socket.on('error', () => {});
      serve(socket);
    });
    upstream.listen(0, HOST);
    await once(upstream, 'listening');
    address = `${HOST}:${portOf(upstream)}`;
    relay = await listenForPeers({
      ...IDENTITY,
      vmId: 'vm2',
      host: HOST,
      port: 0,
      methods: {},
      tunnels: {
        findRefusal: () => null,
        async connect(target) {
          const socket = connect({ host: HOST, port: Number(target.split(':')[1]) });
          await once(socket, 'connect');
          return socket;
        },
      },
    });
  });

  after(() => [upstream, relay].forEach((server) => server.close()));

  it('passes bytes on as they are to a VM of a version without frames', async () => {
    serve = (socket) => socket.end(BYTES);
    const headers = signedPeerHeaders(IDENTITY, 'vm2', `CONNECT ${address}`);
    const call = request({
      host: HOST,
      port: portOf(relay),
      method: 'CONNECT',
      path: address,
      headers,
    });
    call.end();
    const [, socket, head] = (await once(call, 'connect')) as [unknown, Socket, Buffer];
    socket.unshift(head);
    const { text, error } = await readEnd(socket);
    assert.deepEqual([text, error], [BYTES.toString(), null]);
  });

  it('passes on all bytes before the end to a VM that reads slowly', async () => {
    const sent = Buffer.alloc(3_000_000, 'x');
    serve = (socket) => socket.end(sent);
    const tunnel = await open(relay, address);
    let received = 0;
    for await (const chunk of tunnel as AsyncIterable<Buffer>) {
      received += chunk.length;
      await new Promise(setImmediate);
    }
    assert.equal(received, sent.length);
  });

  it('collects no listeners on a tunnel that is used again', async () => {
    const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
    serve = (socket) => socket.on('data', () => socket.write(answer));
    const tunnel = await open(relay, address);
    const agent = new Agent({ keepAlive: true, timeout: 3000 });
    Object.assign(agent, { createConnection: () => tunnel });
    const listenerCounts: number[] = [];
    for (let count = 0; count < 4; count += 1) {
      const call = request({ agent });
      call.end();
      const [response] = (await once(call, 'response')) as [IncomingMessage];
      response.resume();
      await once(response, 'end');
      await new Promise(setImmediate);
      listenerCounts.push(tunnel.listenerCount('timeout'));
    }
    agent.destroy();
    assert.equal(new Set(listenerCounts).size, 1, listenerCounts.join(', '));
  });

  it('passes on a reset of the server after bytes as a reset', async () => {
    serve = (socket) => {
      socket.write(BYTES);
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    const { text, error } = await readEnd(await open(relay, address));
    assert.equal(text, BYTES.toString());
    assert.equal((error as NodeJS.ErrnoException).code, 'ECONNRESET');
  });
});
