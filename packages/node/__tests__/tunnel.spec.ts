import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { after, before, describe, it } from 'node:test';
import { listenForPeers, openTunnel, TunnelRefusedError } from '..';
import type { TunnelRefusal, TunnelServerOptions } from '..';

const KEY = 'a key of sixteen characters';
const HOST = '127.0.0.1';
const MAX_TUNNELS = 3;
const IDENTITY = { deployment: 'test', vmId: 'vm1', sharedKey: KEY };

const portOf = (server: { address(): unknown }): number => (server.address() as AddressInfo).port;

async function readAll(socket: Duplex): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of socket as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

async function reasonOf(tunnel: Promise<Duplex>): Promise<string> {
  const error: unknown = await tunnel.catch((thrown: unknown) => thrown);
  assert.ok(error instanceof TunnelRefusedError, String(error));
  return error.reason;
}

describe('a tunnel through another VM', () => {
  const accepted: Socket[] = [];
  let upstream: Server;
  let relay: Awaited<ReturnType<typeof listenForPeers>>;
  let plainRelay: Awaited<ReturnType<typeof listenForPeers>>;
  let address = '';
  let refusal: TunnelRefusal | null = null;

  const tunnels: TunnelServerOptions = {
    maxTunnels: MAX_TUNNELS,
    findRefusal: () => refusal,
    async connect(target) {
      const socket = connect({ host: HOST, port: Number(target.split(':')[1]) });
      await once(socket, 'connect');
      return socket;
    },
  };

  function open(options: { readonly sharedKey?: string; readonly server?: typeof relay } = {}) {
    const { sharedKey = KEY, server = relay } = options;
    return openTunnel({
      identity: { ...IDENTITY, sharedKey },
      relay: { vmId: 'vm2', host: HOST, port: portOf(server) },
      address,
      timeoutMs: 2000,
      signal: new AbortController().signal,
    });
  }

  async function openPair(): Promise<readonly [Duplex, Socket]> {
    const accepting = once(upstream, 'connection') as Promise<[Socket]>;
    const tunnel = await open();
    const [server] = await accepting;
    return [tunnel, server];
  }

  before(async () => {
    upstream = createServer((socket) => {
      accepted.push(socket);
      socket.on('error', () => {});
    });
    upstream.listen(0, HOST);
    await once(upstream, 'listening');
    address = `${HOST}:${portOf(upstream)}`;
    const listener = { ...IDENTITY, vmId: 'vm2', host: HOST, port: 0, methods: {} };
    relay = await listenForPeers({ ...listener, tunnels });
    plainRelay = await listenForPeers(listener);
  });

  after(() => {
    accepted.forEach((socket) => socket.destroy());
    [upstream, relay, plainRelay].forEach((server) => server.close());
  });

  it('passes bytes in both directions, and the end of each', async () => {
    const [tunnel, server] = await openPair();
    const sent = 'x'.repeat(200_000);
    server.end(sent);
    assert.equal(await readAll(tunnel), sent);
    const [second, otherServer] = await openPair();
    second.end('a request');
    assert.equal(await readAll(otherServer), 'a request');
  });

  it('is reset when the server resets its connection', async () => {
    const [tunnel, server] = await openPair();
    const failed = once(tunnel, 'error') as Promise<[NodeJS.ErrnoException]>;
    tunnel.resume();
    server.resetAndDestroy();
    const [error] = await failed;
    assert.equal(error.code, 'ECONNRESET');
  });

  it('closes the connection to the server when it is closed', async () => {
    const [tunnel, server] = await openPair();
    const closed = once(server, 'close');
    tunnel.destroy();
    await closed;
  });

  it('is refused with the reason, before anything is sent to the server', async () => {
    const acceptedBefore = accepted.length;
    for (const reason of ['partitioned', 'unknown-server', 'overloaded'] as const) {
      refusal = reason;
      assert.equal(await reasonOf(open()), reason);
    }
    refusal = null;
    assert.equal(accepted.length, acceptedBefore);
  });

  it('is refused when the server accepts no connection', async () => {
    const known = address;
    address = `${HOST}:1`;
    assert.equal(await reasonOf(open()), 'unreachable');
    address = known;
  });

  it('is refused to a sender with another key', async () => {
    const acceptedBefore = accepted.length;
    assert.equal(await reasonOf(open({ sharedKey: 'another key of that length' })), 'no-answer');
    assert.equal(accepted.length, acceptedBefore);
  });

  it('is refused by a VM that opens no tunnels', async () => {
    assert.equal(await reasonOf(open({ server: plainRelay })), 'no-answer');
  });

  it('is refused beyond the limit, and opened again when one has ended', async () => {
    const opened = [await openPair(), await openPair(), await openPair()];
    assert.equal(await reasonOf(open()), 'overloaded');
    const [[tunnel, server] = []] = opened;
    assert.ok(tunnel && server);
    const closed = once(server, 'close');
    tunnel.destroy();
    await closed;
    const [again] = await openPair();
    again.destroy();
    opened.forEach(([other]) => other.destroy());
  });
});
