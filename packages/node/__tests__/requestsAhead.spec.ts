import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import type { TestContext } from 'node:test';
import { delay, listen, portOf, readBody } from '..';

const HEAD = 'GET /x HTTP/1.1\r\nHost: a\r\n\r\n';
const MIB = 1_048_576;

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** A server whose requests a test answers. */
async function createSetting(test: TestContext) {
  const exchanges: Exchange[] = [];
  const server: Server = await listen({
    host: '127.0.0.1',
    port: 0,
    onRequest: (request, response) => exchanges.push({ request, response }),
  });
  const socket: Socket = connect(portOf(server), '127.0.0.1');
  await once(socket, 'connect');
  let received = '';
  socket.on('error', () => {});
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString('latin1');
  });
  test.after(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  async function until(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < 500 && !condition(); turn += 1) await delay(5);
    assert.ok(condition());
  }
  return { exchanges, socket, until, readReceived: () => received };
}

describe('requests that are sent ahead on a connection', () => {
  it('are begun one by one, each after the answer to the one before', async (test) => {
    const { exchanges, socket, until, readReceived } = await createSetting(test);
    socket.write(HEAD.repeat(300));
    await until(() => exchanges.length > 0);
    await delay(50);
    assert.equal(exchanges.length, 1);
    for (let index = 0; index < 300; index += 1) {
      await until(() => exchanges.length === index + 1);
      exchanges[index]?.response.end(`${index};`);
    }
    await until(() => readReceived().includes('299;'));
  });

  it('are begun after the body of the one before, but for one', async (test) => {
    const { exchanges, socket, until } = await createSetting(test);
    const body = 'x'.repeat(MIB);
    socket.write(
      `POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: ${MIB}\r\n\r\n${body}${HEAD.repeat(100)}`,
    );
    await until(() => exchanges.length === 1);
    const [first] = exchanges;
    assert.ok(first);
    assert.equal((await readBody(first.request, MIB)).length, MIB);
    await delay(20);
    // The end of a body with a length is not marked, so it is parsed with the next head.
    assert.ok(exchanges.length <= 2);
    for (let index = 0; index <= 100; index += 1) {
      await until(() => exchanges.length > index);
      assert.ok(exchanges.length <= index + 2);
      exchanges[index]?.response.end('ok');
    }
  });

  it('are answered after a body that nobody reads', async (test) => {
    const { exchanges, socket, until, readReceived } = await createSetting(test);
    const chunks = '1\r\nx\r\n'.repeat(200_000);
    const head = 'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
    socket.write(`${head}${chunks}0\r\n\r\n${HEAD}`);
    await until(() => exchanges.length === 1);
    await delay(50);
    exchanges[0]?.response.end('first');
    await until(() => exchanges.length === 2);
    exchanges[1]?.response.end('second');
    await until(() => readReceived().includes('second'));
  });

  it('do not hide that the client has left', async (test) => {
    const { exchanges, socket, until } = await createSetting(test);
    socket.write(HEAD.repeat(2));
    await until(() => exchanges.length === 1);
    let isClosed = false;
    exchanges[0]?.response.once('close', () => {
      isClosed = true;
    });
    socket.end();
    await until(() => isClosed);
  });

  it('are each refused if they expect what the server does not do', async (test) => {
    const { exchanges, socket, until, readReceived } = await createSetting(test);
    socket.write('GET /x HTTP/1.1\r\nHost: a\r\nExpect: much\r\n\r\n'.repeat(20));
    await until(() => readReceived().split('417').length === 21);
    assert.equal(exchanges.length, 0);
  });
});
