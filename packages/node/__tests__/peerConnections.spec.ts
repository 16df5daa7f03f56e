import assert from 'node:assert/strict';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server as TcpServer, Socket } from 'node:net';
import type { Server } from 'node:http';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { closeServer, createPeerClient, delay, listenForPeers, portOf } from '..';
import type { PeerClient } from '..';

const IDENTITY = { deployment: 'd', sharedKey: 'a key of sixteen or more' };
const TIMEOUT_MS = 600;
/** Below the time after which a reply can be overdue, and below that of the reply. */
const SHORT_TIMEOUT_MS = 5;
const OVERDUE_MS = 260;
const POOLED = 4;

/** Guards against a pool that offers one silent connection after another. */
describe('connections between VMs', () => {
  let server: Server;
  let proxy: TcpServer;
  let client: PeerClient;
  let pairs: (readonly [Socket, Socket])[] = [];
  let opened = 0;

  before(async () => {
    server = await listenForPeers({
      ...IDENTITY,
      vmId: 'vm2',
      host: '127.0.0.1',
      port: 0,
      methods: {
        async echo(params) {
          await delay(20);
          return params;
        },
      },
    });
    proxy = createServer((incoming) => {
      const outgoing = connect(portOf(server), '127.0.0.1');
      opened += 1;
      pairs.push([incoming, outgoing]);
      incoming.pipe(outgoing);
      outgoing.pipe(incoming);
      [incoming, outgoing].forEach((socket) => socket.on('error', () => {}));
    });
    await new Promise<void>((resolve) => {
      proxy.listen(0, '127.0.0.1', resolve);
    });
  });

  after(async () => {
    proxy.close();
    await closeServer(server, true);
  });

  beforeEach(() => {
    client = createPeerClient({ ...IDENTITY, vmId: 'vm1', timeoutMs: TIMEOUT_MS });
  });

  afterEach(() => {
    client.close();
    pairs.flat().forEach((socket) => socket.destroy());
    pairs = [];
  });

  function call(options = {}) {
    const target = { vmId: 'vm2', host: '127.0.0.1', port: (proxy.address() as AddressInfo).port };
    return client.call(target, 'echo', { a: 1 }, options);
  }

  /** Loses all bytes of the live connections from now on, without a reset. */
  function silence(): void {
    pairs.forEach(([incoming, outgoing]) => {
      incoming.unpipe(outgoing);
      outgoing.unpipe(incoming);
    });
  }

  it('are not used any more once a call has shown that one of them is silent', async () => {
    await Promise.all(Array.from({ length: POOLED }, () => call()));
    silence();
    await assert.rejects(call(), { code: 'unreachable' });
    assert.deepEqual(await call(), { a: 1 });
  });

  it('are given up while the overdue call still waits', async () => {
    await Promise.all(Array.from({ length: POOLED }, () => call()));
    silence();
    const overdue = assert.rejects(call({ overdueMs: OVERDUE_MS }), { code: 'unreachable' });
    await delay(OVERDUE_MS + 40);
    assert.deepEqual(await call(), { a: 1 });
    await overdue;
  });

  it('are kept when a busy VM replies later than a short time-out', async () => {
    await Promise.all(Array.from({ length: POOLED }, () => call()));
    const openedBefore = opened;
    await assert.rejects(call({ timeoutMs: SHORT_TIMEOUT_MS }), { code: 'unreachable' });
    await Promise.all(Array.from({ length: POOLED - 1 }, () => call()));
    assert.equal(opened, openedBefore);
  });

  it('are kept if they were used while another one was silent', async () => {
    await Promise.all([call(), call()]);
    const [silent] = pairs.splice(0, 1);
    const live = pairs;
    pairs = silent ? [silent] : [];
    silence();
    const openedBefore = opened;
    const results = await Promise.allSettled([call(), call()]);
    assert.deepEqual(results.map(({ status }) => status).sort(), ['fulfilled', 'rejected']);
    await call();
    assert.equal(opened, openedBefore);
    pairs.push(...live);
  });

  it('are not used by a call that asks for a new one', async () => {
    await Promise.all(Array.from({ length: POOLED }, () => call()));
    silence();
    assert.deepEqual(await call({ usesNewConnection: true }), { a: 1 });
  });
});
