import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Server } from 'node:http';
import { SpoolplankError } from '@spoolplank/shared';
import { callHttp, closeServer, createPeerClient, listenForPeers, portOf } from '..';
import type { PeerClient } from '..';

const KEY = 'a key of sixteen or more';

describe('peer rpc', () => {
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

  it('answers a peer of the deployment, and knows who it is', async () => {
    assert.deepEqual(await createClient('d', KEY).call(target(), 'echo', { a: 1 }), { a: 1 });
    assert.deepEqual(senders, ['vm1']);
  });

  it('carries an error with its code, outcome and time', async () => {
    await assert.rejects(createClient('d', KEY).call(target(), 'fail', {}), {
      code: 'overloaded',
      outcome: 'not-run',
      retryAfterMs: 70,
    });
  });

  it('refuses and counts messages with another key, of another deployment, and for another VM', async () => {
    const wrong = [
      () => createClient('d', 'another key, also long').call(target(), 'echo', {}),
      () => createClient('e', KEY).call(target(), 'echo', {}),
      () => createClient('d', KEY).call(target('vm3'), 'echo', {}),
    ];
    for (const call of wrong) await assert.rejects(call, { code: 'wrong-deployment' });
    assert.equal(refusals.filter((code) => code === 'wrong-deployment').length, 3);
    assert.equal(senders.length, 1, 'no method was run');
  });

  it('says of a peer that is not there that nothing was run', async () => {
    const nobody = { vmId: 'vm2', host: '127.0.0.1', port: 1 };
    await assert.rejects(createClient('d', KEY).call(nobody, 'echo', {}), {
      code: 'unreachable',
      outcome: 'not-run',
    });
  });

  it('refuses a body that was changed on its way, and one that is no request', async () => {
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
