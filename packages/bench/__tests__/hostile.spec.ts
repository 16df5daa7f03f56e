import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import fc from 'fast-check';
import { callHttp } from '@spoolplank/node';
import { callService, waitForBackendServers, waitUntil } from '..';
import type { Deployment, RunningFake } from '..';
import { KALAHARI_TOKEN, SERVICE, startReadyDeployment } from './fixtures';

const IDLE_TIMEOUT_MS = 150;
const RANDOM_REQUESTS = 300;
const TARGET = `/v1/services/${SERVICE}/smuggled`;

/** Sends raw bytes; resolves with the bytes received until the connection is idle or closed. */
function sendRaw(port: number, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    const finish = () => {
      socket.destroy();
      resolve(received);
    };
    socket.setTimeout(IDLE_TIMEOUT_MS, finish);
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('close', finish);
    socket.on('error', finish);
    socket.write(bytes, 'latin1');
  });
}

/** Ambiguous framing headers, for which proxies in a chain may disagree on where a request ends. */
const SMUGGLING_HEADERS: readonly string[] = [
  'Content-Length: 4\r\nTransfer-Encoding: chunked',
  'Transfer-Encoding: chunked\r\nContent-Length: 4',
  'Content-Length: 4\r\nContent-Length: 5',
  'Content-Length: +4',
  'Content-Length: 0x4',
  'Transfer-Encoding: xchunked',
  'Transfer-Encoding: chunked, identity',
  'Transfer-Encoding : chunked',
  'Transfer-Encoding:\n chunked',
  'X-Header: a\x00b\r\nContent-Length: 0',
  'Content-Length: 4\r\n Transfer-Encoding: chunked',
];

describe('hostile input', () => {
  let deployment: Deployment;
  let service: RunningFake;
  let port: number;

  before(async () => {
    deployment = await startReadyDeployment(1, 1);
    service = await deployment.startService({
      name: 'service-1',
      service: SERVICE,
      announceIntervalMs: 300,
    });
    await waitForBackendServers(deployment, 1);
    port = deployment.vm('vm2').address.callerPort;
  });

  after(() => deployment.stop());

  async function assertAvailable(): Promise<void> {
    assert.ok(deployment.vms.every(({ process }) => process.isRunning));
    const metrics = await deployment.operatorText('vm2', '/metrics');
    assert.ok(!metrics.includes('code="internal"'), 'no input led to an unexpected error');
    const answer = await callService({
      address: deployment.addresses[1] ?? '',
      token: KALAHARI_TOKEN,
      service: SERVICE,
    });
    assert.equal(answer.status, 200);
  }

  it('cannot smuggle a second request in any of the known forms', async () => {
    const send = (headers: string, key: string) => {
      const inner = `POST ${TARGET} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${KALAHARI_TOKEN}\r\nIdempotency-Key: ${key}\r\nContent-Length: 0\r\n\r\n`;
      return sendRaw(
        port,
        `POST /v1/addresses HTTP/1.1\r\nHost: x\r\n${headers}\r\n\r\n0\r\n\r\n${inner}`,
      );
    };
    for (const headers of SMUGGLING_HEADERS) await send(headers, 'smuggled');
    // Control: with a valid `Content-Length` the same bytes are two requests, and the second runs.
    await send('Content-Length: 5', 'pipelined');
    const countOf = async (key: string) =>
      ((await service.get('/-/executions')) as Readonly<Record<string, number>>)[key];
    await waitUntil(
      'the pipelined request has run',
      async () => (await countOf('pipelined')) === 1,
    );
    assert.equal(await countOf('smuggled'), undefined);
    await assertAvailable();
  });

  it('of any shape is rejected, and the VM stays available', async () => {
    const path = fc.constantFrom(
      '/v1/chat/completions',
      '/v1/completions',
      '/v1/announcements',
      '/v1/config/changes',
      `/v1/services/${SERVICE}/x`,
      '/v1/addresses?for=%ff',
      '/%',
      '//',
    );
    const input = fc.record({
      method: fc.constantFrom('GET', 'POST', 'PUT', 'DELETE'),
      path,
      token: fc.constantFrom(`Bearer ${KALAHARI_TOKEN}`, 'Bearer x', 'Basic eDp4', ''),
      header: fc.constantFrom(
        'spoolplank-deadline-ms',
        'last-event-id',
        'idempotency-key',
        'spoolplank-session',
      ),
      value: fc.stringMatching(/^[\x20-\x7e]{0,40}$/),
      body: fc.oneof(
        fc.json(),
        fc.uint8Array({ maxLength: 80 }).map((bytes) => Buffer.from(bytes).toString('latin1')),
      ),
    });
    let refused = 0;
    for (const { method, path: url, token, header, value, body } of fc.sample(input, {
      seed: 3,
      numRuns: RANDOM_REQUESTS,
    })) {
      const endpoint = { host: '127.0.0.1', port };
      const headers = { authorization: token, [header]: value };
      const { status } = await callHttp({
        endpoint,
        method,
        path: url,
        headers,
        body,
        timeoutMs: 5000,
      });
      assert.notEqual(status, 500);
      if (status >= 400) refused += 1;
    }
    assert.ok(refused > RANDOM_REQUESTS / 2);
    await assertAvailable();
  });

  it('without the shared key is rejected by the peer listener', async () => {
    const { host, peerPort } = deployment.vm('vm1').address;
    const bodies = [
      '{"jsonrpc":"2.0","method":"control.status","id":1}',
      '[]',
      'x',
      '{"a":'.repeat(1000),
    ];
    for (const body of bodies) {
      const answer = await callHttp({
        endpoint: { host, port: peerPort },
        method: 'POST',
        path: '/rpc',
        body,
      });
      assert.equal(answer.status, 403);
    }
    await assertAvailable();
  });

  it('that arrives slowly or stays incomplete blocks no other request', async () => {
    const partialRequest = `POST ${TARGET} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${KALAHARI_TOKEN}\r\nContent-Length: 1000\r\n\r\nabc`;
    const sockets = Array.from({ length: 50 }, () => connect(port, '127.0.0.1'));
    sockets.forEach((socket) => {
      socket.on('error', () => {});
      socket.write(partialRequest);
    });
    await assertAvailable();
    sockets.forEach((socket) => socket.destroy());
    const executions = (await service.get('/-/executions')) as Readonly<Record<string, number>>;
    assert.ok(Object.keys(executions).every((key) => key !== 'smuggled'));
  });
});
