/** A fake plain service that counts the executions of each idempotency key. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  closeServer,
  delay,
  listen,
  parseJsonBody,
  portOf,
  readBody,
  sendError,
  sendJson,
} from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import { createAnnouncer } from './announcer';

export interface FakeServiceOptions {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Duration of one call. */
  readonly durationMs: number;
  /** Maximum number of concurrent calls; further calls are queued. */
  readonly capacity: number;
  readonly announceIntervalMs: number;
  readonly addresses: readonly string[];
  readonly token: string;
}

export const DEFAULT_SERVICE_OPTIONS: FakeServiceOptions = {
  name: 'service',
  service: 'bookings',
  host: '127.0.0.1',
  port: 0,
  dataCentre: 'dc1',
  durationMs: 5,
  capacity: 64,
  announceIntervalMs: 1000,
  addresses: [],
  token: '',
};

export interface FakeService {
  readonly port: number;
  readonly executions: ReadonlyMap<string, number>;
  leave(): Promise<void>;
  close(): Promise<void>;
}

/** Faults that a test can inject while the service runs. */
interface ServiceFaults {
  durationMs: number;
  /**
   * `before`: refuse without executing; `during`: execute, then close the connection without an
   * answer; `after`: execute, then close the connection after part of the answer.
   */
  failure: 'none' | 'before' | 'during' | 'after';
  /** Value of `retry-after` in refusals, in seconds; 0 omits the header. */
  retryAfterS: number;
  /** Rate limit announced with each answer, in requests per second; 0 announces none. */
  limitPerS: number;
  /** Number of calls that still fail before the service recovers. */
  remaining: number;
}

const MAX_BODY_BYTES = 67_108_864;

export async function startFakeService(
  overrides: Partial<FakeServiceOptions>,
): Promise<FakeService> {
  const options = { ...DEFAULT_SERVICE_OPTIONS, ...overrides };
  const executions = new Map<string, number>();
  const faults: ServiceFaults = {
    durationMs: options.durationMs,
    failure: 'none',
    retryAfterS: 0,
    limitPerS: 0,
    remaining: Number.POSITIVE_INFINITY,
  };
  const slotWaiters: (() => void)[] = [];
  let running = 0;
  let isLeaving = false;
  let lastRequestAtMs = 0;
  let refusals = 0;

  async function acquireSlot(): Promise<void> {
    if (running >= options.capacity) {
      await new Promise<void>((resolve) => {
        slotWaiters.push(resolve);
      });
    }
    running += 1;
  }

  function releaseSlot(): void {
    running -= 1;
    slotWaiters.shift()?.();
  }

  function consumeFailure(): ServiceFaults['failure'] {
    if (faults.failure === 'none' || faults.remaining <= 0) return 'none';
    faults.remaining -= 1;
    return faults.failure;
  }

  async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    lastRequestAtMs = performance.now();
    const body = await readBody(request, MAX_BODY_BYTES);
    const failure = consumeFailure();
    if (failure === 'before') {
      refusals += 1;
      const retryHeaders: Readonly<Record<string, string>> =
        faults.retryAfterS > 0 ? { 'retry-after': String(faults.retryAfterS) } : {};
      sendJson(
        response,
        503,
        { refused: true },
        { 'spoolplank-outcome': 'not-run', ...retryHeaders },
      );
      return;
    }
    await acquireSlot();
    const header = request.headers['idempotency-key'];
    const key = typeof header === 'string' ? header : '';
    executions.set(key, (executions.get(key) ?? 0) + 1);
    await delay(faults.durationMs);
    releaseSlot();
    if (failure === 'during') {
      request.socket.destroy();
      return;
    }
    const answer = {
      served: options.name,
      method: request.method,
      path: request.url,
      key,
      organisation: request.headers['spoolplank-organisation'] ?? null,
      body: body.toString('utf8'),
    };
    if (failure === 'after') {
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': 10_000 });
      response.write(JSON.stringify(answer));
      setTimeout(() => request.socket.destroy(), 10);
      return;
    }
    const limitHeaders: Readonly<Record<string, string>> =
      faults.limitPerS > 0 ? { 'spoolplank-limit': String(faults.limitPerS) } : {};
    sendJson(response, 200, answer, limitHeaders);
  }

  let server: Server;

  const announcer = createAnnouncer({
    ...options,
    intervalMs: options.announceIntervalMs,
    loadLagMs: 0,
    describe: () => ({
      name: options.name,
      dataCentre: options.dataCentre,
      host: options.host,
      port: portOf(server),
      state: isLeaving ? 'leaving' : 'ready',
      services: [options.service],
    }),
    readLoad: () => ({ running, queued: slotWaiters.length }),
  });

  async function route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/-/executions') {
      sendJson(response, 200, Object.fromEntries(executions));
    } else if (request.url === '/-/faults') {
      Object.assign(faults, parseJsonBody(await readBody(request, MAX_BODY_BYTES)));
      sendJson(response, 200, faults);
    } else if (request.url === '/-/leave') {
      isLeaving = true;
      await announcer.announceNow();
      sendJson(response, 200, { isLeaving });
    } else if (request.url === '/-/totals') {
      sendJson(response, 200, { lastRequestAgoMs: performance.now() - lastRequestAtMs, refusals });
    } else if (request.url?.startsWith('/-/')) {
      throw new SpoolplankError('not-found');
    } else {
      await serve(request, response);
    }
  }

  server = await listen({
    host: options.host,
    port: options.port,
    onRequest(request, response) {
      route(request, response).catch((error: unknown) => sendError(response, error));
    },
  });
  const port = portOf(server);
  announcer.start();

  return {
    port,
    executions,
    async leave() {
      isLeaving = true;
      await announcer.announceNow();
    },
    async close() {
      announcer.stop();
      await closeServer(server, true);
    },
  };
}
