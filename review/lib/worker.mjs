/** Stand-in of a worker that follows the users' pages: heartbeats, orders, reports and requests. */
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';

const { delay, HEARTBEAT_MS, send } = await import(new URL('./site.mjs', import.meta.url).href);

/** Headers with which a worker signs its answer to a request. */
export function signedHeaders(request, name) {
  return { 'Request-Id': request.headers['request-id'], 'Server-Stamp': `3e1b.07.${name}` };
}

/**
 * Starts a worker. `serve(request, response, worker)` gets the requests of clients; what is meant
 * for another worker was answered with 421 before.
 */
export async function startWorker({ service, kind, slots = 6, serve, controls, onConnection }) {
  const id = `i-${randomBytes(4).toString('hex')}`;
  const worker = { id, service, address: '', layers: null, orders: 0 };
  let sequence = 0;
  let isStopped = false;

  function readAll(request, onEnd) {
    const pieces = [];
    request.on('data', (piece) => pieces.push(piece));
    request.on('end', () => onEnd(Buffer.concat(pieces)));
  }

  function acceptOrder(body, response) {
    const { op, from, target, expected } = JSON.parse(body.toString('utf8'));
    if (expected !== undefined && expected !== worker.orders) {
      response.writeHead(409).end('{}');
      return;
    }
    if (op !== 'place') {
      response.writeHead(404).end('{}');
      return;
    }
    worker.orders += 1;
    worker.layers = { from, target, version: 1 };
    response.writeHead(202, { 'Content-Type': 'application/json' });
    response.end('{}');
  }

  const models = () => [{ name: 'm', version: 1, adapters: [] }];

  function report(response) {
    response.writeHead(200, { 'Content-Type': 'application/json' });
    response.end(
      JSON.stringify({
        stage: 'both',
        models: models(),
        layers: worker.layers,
        kind,
        busy: false,
        sequence: worker.orders,
        queued: 0,
        running: 0,
        kv_used: 0,
        kv_total: 90_000,
        handles: 0,
        pace: 1,
        stalled: [],
      }),
    );
  }

  const server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      request.resume();
      response.writeHead(421, {
        'Instance-Id': id,
        'Request-Id': request.headers['request-id'] ?? '',
      });
      response.end();
    } else if (request.url === '/order') {
      readAll(request, (body) => acceptOrder(body, response));
    } else if (request.url === '/report') {
      request.resume();
      report(response);
    } else if (request.url === '/health') {
      request.resume();
      response.writeHead(200, { 'Instance-Id': id }).end();
    } else {
      serve(request, response, worker);
    }
  });
  if (onConnection) server.on('connection', onConnection);
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  worker.address = `127.0.0.1:${server.address().port}`;

  /** Calls the nodes that serve control in turn until one acknowledges. */
  async function beat() {
    sequence += 1;
    const body = JSON.stringify({
      service,
      address: worker.address,
      zone: 'hall-a',
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence,
      ...(kind ? { stage: 'both', models: models(), kind, layers: worker.layers } : {}),
    });
    const path = `/instances/${id}/heartbeat`;
    for (const address of controls) {
      const headers = { 'Content-Type': 'application/json' };
      const call = { address, path, method: 'POST', headers, body };
      const answer = await send(call).catch(() => null);
      if (answer?.status === 200) return;
    }
  }

  async function keepBeating() {
    while (!isStopped) {
      await beat();
      await delay(HEARTBEAT_MS);
    }
  }
  keepBeating();

  worker.stop = () => {
    isStopped = true;
    server.close();
    server.closeAllConnections();
  };
  return worker;
}
