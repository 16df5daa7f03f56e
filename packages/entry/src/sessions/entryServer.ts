/** HTTP server for callers, backend servers and operators, with its routes. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { parseAnnouncement } from '@spoolplank/membership';
import {
  digestToken,
  isEqualSecret,
  listen,
  parseJsonBody,
  readBearerToken,
  readBody,
  readUrl,
  sendError,
  sendJson,
} from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { answerAddresses, listOtherAddresses } from './addresses';
import { authenticate } from './callerRequest';
import type { CompletionRoute } from './completions';
import type { EntryContext } from './entryContext';
import type { OperatorRoutes } from './operatorRoutes';
import { servePlainService } from './plainService';

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void> | void;

interface Route {
  /** Undefined matches every method. */
  readonly method: string | undefined;
  readonly path: string;
  /** Whether the path matches as a prefix. */
  readonly isPrefix?: boolean;
  readonly handle: Handler;
}

export interface EntryServerOptions {
  readonly context: EntryContext;
  readonly completions: CompletionRoute;
  readonly operators: OperatorRoutes;
  readonly dump: () => JsonValue;
}

const MAX_ANNOUNCEMENT_BYTES = 262_144;
const UNAVAILABLE_RETRY_AFTER_MS = 1000;

function createRoutes({
  context,
  completions,
  operators,
  dump,
}: EntryServerOptions): readonly Route[] {
  const { mirror, metrics, settings, directorySync } = context;

  function assertToken(request: IncomingMessage, digest: string): void {
    if (!isEqualSecret(digestToken(readBearerToken(request)), digest))
      throw new SpoolplankError('unauthorized');
  }

  /** Authenticates a caller's request and checks that this VM may serve it. */
  function admitCaller(request: IncomingMessage): string {
    if (context.isShuttingDown())
      throw new SpoolplankError('shutting-down', { retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS });
    const hasSettings = mirror.version > 0 || mirror.isFresh();
    if (!hasSettings)
      throw new SpoolplankError('settings-stale', { retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS });
    const organisation = authenticate(request, mirror);
    const mayServe =
      mirror.isFresh() || mirror.policyOf({ organisation }).onStaleSettings === 'serve';
    if (!mayServe)
      throw new SpoolplankError('settings-stale', { retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS });
    return organisation;
  }

  const forCallers =
    (
      serve: (
        request: IncomingMessage,
        response: ServerResponse,
        organisation: string,
      ) => Promise<void>,
    ): Handler =>
    (request, response) =>
      serve(request, response, admitCaller(request));

  const forOperators =
    (answer: (request: IncomingMessage, url: URL) => Promise<JsonValue> | JsonValue): Handler =>
    async (request, response, url) => {
      assertToken(request, settings.operatorTokenDigest);
      sendJson(response, 200, await answer(request, url));
    };

  return [
    { method: 'POST', path: '/v1/chat/completions', handle: forCallers(completions.serve) },
    { method: 'POST', path: '/v1/completions', handle: forCallers(completions.serve) },
    {
      method: undefined,
      path: '/v1/services/',
      isPrefix: true,
      handle: forCallers((request, response, organisation) =>
        servePlainService(context, request, response, organisation),
      ),
    },
    {
      method: 'GET',
      path: '/v1/addresses',
      handle: (_request, response, url) => sendJson(response, 200, answerAddresses(context, url)),
    },
    {
      method: 'POST',
      path: '/v1/announcements',
      async handle(request, response) {
        assertToken(request, settings.backendServerTokenDigest);
        const announcement = parseAnnouncement(
          parseJsonBody(await readBody(request, MAX_ANNOUNCEMENT_BYTES)),
        );
        directorySync.directory.announce(announcement);
        sendJson(response, 200, { ttlMs: context.timings.announcementTtlMs });
      },
    },
    {
      method: 'GET',
      path: '/v1/config',
      handle: forOperators((_request, url) => operators.getConfig(url)),
    },
    {
      method: 'POST',
      path: '/v1/config/changes',
      handle: forOperators((request) => operators.changeConfig(request)),
    },
    {
      method: 'POST',
      path: '/v1/config/validate',
      handle: forOperators((request) => operators.validateConfig(request)),
    },
    {
      method: 'GET',
      path: '/v1/config/history',
      handle: forOperators((_request, url) => operators.getHistory(url)),
    },
    {
      method: 'GET',
      path: '/v1/config/reach',
      handle: forOperators((_request, url) => operators.getReach(url)),
    },
    { method: 'GET', path: '/v1/status', handle: forOperators(() => operators.getStatus()) },
    { method: 'GET', path: '/v1/dump', handle: forOperators(() => dump()) },
    {
      method: 'GET',
      path: '/v1/group/recovery',
      handle: forOperators(() => operators.getRecovery()),
    },
    {
      method: 'POST',
      path: '/v1/group/recovery',
      handle: forOperators((request) => operators.recover(request)),
    },
    {
      method: 'GET',
      path: '/healthz',
      handle(_request, response) {
        const isTaking = context.isTaking();
        sendJson(response, isTaking ? 200 : 503, { isTaking, settingsVersion: mirror.version });
      },
    },
    {
      method: 'GET',
      path: '/metrics',
      handle(request, response) {
        assertToken(request, settings.operatorTokenDigest);
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(metrics.render());
      },
    },
  ];
}

function findRoute(routes: readonly Route[], method: string, path: string): Route {
  const routesOfPath = routes.filter((route) =>
    route.isPrefix ? path.startsWith(route.path) : path === route.path,
  );
  const route = routesOfPath.find(
    (candidate) => candidate.method === undefined || candidate.method === method,
  );
  if (route) return route;
  throw new SpoolplankError(routesOfPath.length > 0 ? 'method-not-allowed' : 'not-found');
}

/** Error codes whose answer lists other entry VMs for the caller to retry on. */
const RETRY_ELSEWHERE_CODES: ReadonlySet<string> = new Set([
  'settings-stale',
  'shutting-down',
  'overloaded',
]);

/** Starts the HTTP server for callers, backend servers and operators. */
export function listenForCallers(options: EntryServerOptions): Promise<Server> {
  const { context } = options;
  const { vm } = context.settings;
  const routes = createRoutes(options);

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = readUrl(request);
    await findRoute(routes, request.method ?? '', url.pathname).handle(request, response, url);
  }

  return listen({
    host: vm.host,
    port: vm.callerPort,
    onRequest(request, response) {
      handle(request, response).catch((thrown: unknown) => {
        const code = (thrown as { readonly code?: string } | null)?.code ?? '';
        const error = sendError(
          response,
          thrown,
          RETRY_ELSEWHERE_CODES.has(code) ? listOtherAddresses(context) : undefined,
        );
        context.metrics.count('spoolplank_refusals_total', {
          code: error.code,
          outcome: error.outcome,
        });
        if (error.code === 'internal') {
          context.logger.error('internal-error', {
            path: request.url?.split('?')[0],
            detail: error.message,
          });
        }
      });
    },
  });
}
