import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Server } from 'node:http';
import { SpoolplankError } from '@spoolplank/shared';
import { callHttp, closeServer, createPeerClient, listenForPeers, portOf } from '..';
import type { PeerClient } from '..';

const KEY = 'a key of sixteen or more';

describe('RPC between VMs', () => {
  let server: Server;
  const refusals: string[] = [];
  const senders: string[] = [];
  const clients: PeerClient[] = [];

  function createClient(deployment: string, sharedKey: string, vmId = 'vm1'): PeerClient {
    const client = createPeerClient({ deployment, sharedKey, vmId, timeoutMs: 2000 });
    clients.push(client);
    return client;
  }

  function target(vmId = 'vm2') {
    return { vmId, host: '127.0.0.1', port: portOf(server) };
  }

  before(async () => {
    server = await listenForPeers({
      deployment: 'd',
      sharedKey: KEY,
      vmId: 'vm2',
      host: '127.0.0.1',
      port: 0,
      onRefused: (reason) => refusals.push(reason),
      methods: {
        echo(params, sender) {
          senders.push(sender);
          return params;
        },
        fail() {
          throw new SpoolplankError('overloaded', { retryAfterMs: 70 });
        },
      },
    });
  });

  after(async () => {
    clients.forEach((client) => client.close());
    await closeServer(server, true);
  });

  it('answers a peer of the deployment, and identifies it', async () => {
    assert.deepEqual(await createClient('d', KEY).call(target(), 'echo', { a: 1 }), { a: 1 });
    assert.deepEqual(senders, ['vm1']);
  });

  it('carries an error with its code, outcome and retry delay', async () => {
    await assert.rejects(createClient('d', KEY).call(target(), 'fail', {}), {
      code: 'overloaded',
      outcome: 'not-run',
      retryAfterMs: 70,
    });
  });

  it('refuses and counts messages with another key, of another deployment, and for another VM', async () => {
    const rejectedCalls = [
      () => createClient('d', 'another key, also long').call(target(), 'echo', {}),
      () => createClient('e', KEY).call(target(), 'echo', {}),
      () => createClient('d', KEY).call(target('vm3'), 'echo', {}),
    ];
    for (const call of rejectedCalls) await assert.rejects(call, { code: 'wrong-deployment' });
    assert.equal(refusals.filter((code) => code === 'wrong-deployment').length, 3);
    assert.equal(senders.length, 1, 'no method ran for a refused message');
  });

  it('reports an unreachable peer as an error with the outcome not-run', async () => {
    const closedPortTarget = { vmId: 'vm2', host: '127.0.0.1', port: 1 };
    await assert.rejects(createClient('d', KEY).call(closedPortTarget, 'echo', {}), {
      code: 'unreachable',
      outcome: 'not-run',
    });
  });

  it('refuses a request without a valid signature, and one that is not JSON', async () => {
    const post = (body: string) =>
      callHttp({
        endpoint: target(),
        method: 'POST',
        path: '/rpc',
        body,
        headers: { 'spoolplank-deployment': 'd', 'spoolplank-vm': 'vm1', 'spoolplank-to': 'vm2' },
      });
    assert.equal((await post('{"jsonrpc":"2.0"}')).status, 403);
    assert.equal((await post('not json')).status, 403);
  });
});
