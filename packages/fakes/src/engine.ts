/** A fake model engine that holds a range of layers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  closeServer,
  listen,
  parseJsonBody,
  portOf,
  readBody,
  sendError,
  sendJson,
} from '@spoolplank/node';
import type { Announcement } from '@spoolplank/membership';
import { SpoolplankError } from '@spoolplank/shared';
import { createAnnouncer } from './announcer';
import { createCacheEventLog } from './cacheEvents';
import { DEFAULT_ENGINE_OPTIONS } from './engineOptions';
import type { FakeEngineOptions } from './engineOptions';
import { HOPS_PATH, STREAMS_PATH } from './engineProtocol';
import type { Hop, StreamOrder } from './engineProtocol';
import { createEngineStage } from './engineStage';
import type { EngineFaults } from './engineStage';
import { createKvStore } from './kvStore';
import type { KvExport } from './kvStore';
import { createStepLoop } from './stepLoop';
import { createStreamTable } from './streamTable';

export interface FakeEngine {
  readonly port: number;
  /** Announces that the engine is leaving and refuses new streams from then on. */
  leave(): Promise<void>;
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 67_108_864;

type Route = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void> | void;

export async function startFakeEngine(overrides: Partial<FakeEngineOptions>): Promise<FakeEngine> {
  const options: FakeEngineOptions = { ...DEFAULT_ENGINE_OPTIONS, ...overrides };
  const faults: EngineFaults = {
    linkDelayMs: options.linkDelayMs,
    linkBytesPerS: options.linkBytesPerS,
    skippedLayer: null,
    refusesStreams: false,
    endAfter: null,
  };
  const loop = createStepLoop(options);
  const cacheEvents = createCacheEventLog({
    delayMs: options.cacheEventDelayMs,
    lossEvery: options.cacheEventLossEvery,
  });
  const kv = createKvStore({ ...options, onCacheEvent: cacheEvents.publish });
  const streams = createStreamTable(() => faults.endAfter);
  const stage = createEngineStage({ options, faults, loop, kv, streams });
  let isLeaving = false;

  async function openStream(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = parseJsonBody(await readBody(request, MAX_BODY_BYTES)) as unknown as StreamOrder;
    if (isLeaving || faults.refusesStreams)
      throw new SpoolplankError('no-backend-server', {
        detail: 'The engine accepts no new streams.',
      });
    stage.beginStream(order, response);
  }

  async function receiveHops(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const hops = parseJsonBody(
      await readBody(request, MAX_BODY_BYTES),
    ) as unknown as readonly Hop[];
    hops.forEach(stage.receiveHop);
    sendJson(response, 200, { taken: hops.length });
  }

  async function importKv(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const state = parseJsonBody(await readBody(request, MAX_BODY_BYTES)) as unknown as KvExport;
    const handle = url.searchParams.get('handle') ?? '';
    if (!kv.importState(handle, state))
      throw new SpoolplankError('bad-request', {
        detail: 'The key-value state is truncated or belongs to other layers.',
      });
    sendJson(response, 200, { positions: state.positions });
  }

  async function setFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
    Object.assign(faults, parseJsonBody(await readBody(request, MAX_BODY_BYTES)));
    sendJson(response, 200, faults);
  }

  const refuseUnknown: Route = (_request, response) => {
    sendError(response, new SpoolplankError('not-found'));
  };

  const ROUTES: Readonly<Record<string, Route>> = {
    [`POST ${STREAMS_PATH}`]: openStream,
    [`POST ${HOPS_PATH}`]: receiveHops,
    'GET /record': (_request, response) => sendJson(response, 200, stage.records),
    'GET /cache-events': (_request, response, url) =>
      sendJson(response, 200, cacheEvents.since(Number(url.searchParams.get('since') ?? 0))),
    'GET /totals': (_request, response) =>
      sendJson(response, 200, { ...loop.totals, sessions: kv.sessions }),
    'GET /kv': (_request, response, url) =>
      sendJson(response, 200, kv.exportState(url.searchParams.get('handle') ?? '')),
    'PUT /kv': importKv,
    'POST /faults': setFaults,
  };

  const server: Server = await listen({
    host: options.host,
    port: options.port,
    onRequest(request, response) {
      const url = new URL(request.url ?? '/', 'http://engine');
      const route = ROUTES[`${request.method} ${url.pathname}`] ?? refuseUnknown;
      Promise.resolve(route(request, response, url)).catch((error: unknown) =>
        sendError(response, error),
      );
    },
  });
  const port = portOf(server);

  const announcer = createAnnouncer({
    addresses: options.addresses,
    token: options.token,
    intervalMs: options.announceIntervalMs,
    describe: (): Omit<Announcement, 'incarnation' | 'sequence' | 'load'> => ({
      name: options.name,
      dataCentre: options.dataCentre,
      host: options.host,
      port,
      state: isLeaving ? 'leaving' : 'ready',
      services: [],
      engine: {
        model: options.model,
        version: options.version,
        adapters: [],
        acceleratorKind: options.acceleratorKind,
        firstLayer: options.firstLayer,
        lastLayer: options.lastLayer,
        maxBatch: options.maxBatch,
        stepBaseMs: options.stepBaseMs,
        stepPerItemMs: options.stepPerItemMs,
        isFencingChecked: options.isFencingChecked,
        links: [],
      },
    }),
    readLoad: () => ({ running: streams.size, queued: 0 }),
    loadLagMs: options.loadLagMs,
  });
  announcer.start();

  return {
    port,
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
