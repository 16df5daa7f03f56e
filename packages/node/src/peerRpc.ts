/**
 * RPC between VMs: JSON-RPC 2.0 over HTTP on keep-alive connections. Requests are signed with the
 * shared key of the deployment.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { JSONRPCClient, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0';
import { fromErrorBody, SpoolplankError, toErrorBody, toSpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { callHttp } from './httpClient';
import type { Endpoint } from './httpClient';
import type { ClientMemory } from './clientMemory';
import { listen, sendError } from './httpServer';
import { createPeerConnections } from './peerConnections';
import { authenticatePeer, signedPeerHeaders } from './peerIdentity';
import type { PeerIdentity } from './peerIdentity';
import { readBody, readKeptBody } from './requestBody';
import type { KeptBody } from './requestBody';
import { acceptTunnels } from './tunnel';
import type { TunnelServerOptions } from './tunnel';

/** Handles one RPC method; the signature of the request authenticates the sending VM. */
export type PeerMethod = (params: JsonValue, senderVmId: string) => Promise<JsonValue> | JsonValue;

export interface PeerServerOptions extends PeerIdentity, Endpoint {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Called with the error code of every request that was refused before it reached a method. */
  readonly onRefused?: (reason: string) => void;
  /** Called after each request with the number of bytes received and sent. */
  readonly onTraffic?: (receivedBytes: number, sentBytes: number) => void;
  /** Opens tunnels to backend servers for other VMs; none are opened without it. */
  readonly tunnels?: TunnelServerOptions;
  /** Memory for messages that are being read; without it, it is not limited. */
  readonly memory?: ClientMemory;
}

interface SenderContext {
  readonly senderVmId: string;
}

const RPC_PATH = '/rpc';
/** Largest message between VMs. */
export const MAX_PEER_MESSAGE_BYTES = 33_554_432;
const APPLICATION_ERROR = -32_000;
/** Estimated size of the HTTP headers of one message, used to measure control traffic. */
const ESTIMATED_HEADER_BYTES = 350;

function createRpcServer(
  methods: Readonly<Record<string, PeerMethod>>,
): JSONRPCServer<SenderContext> {
  const server = new JSONRPCServer<SenderContext>({ errorListener: () => {} });
  Object.entries(methods).forEach(([name, method]) => {
    server.addMethod(name, async (params: JsonValue, { senderVmId }: SenderContext) => {
      try {
        return await method(params, senderVmId);
      } catch (error) {
        const spoolplankError = toSpoolplankError(error);
        throw new JSONRPCErrorException(
          spoolplankError.message,
          APPLICATION_ERROR,
          toErrorBody(spoolplankError),
        );
      }
    });
  });
  return server;
}

async function readWhole(request: IncomingMessage, memory?: ClientMemory): Promise<KeptBody> {
  const maxBytes = MAX_PEER_MESSAGE_BYTES;
  if (memory) return readKeptBody(request, { maxBytes, memory });
  return { bytes: await readBody(request, maxBytes), release: () => {} };
}

async function readMessage(request: IncomingMessage, memory?: ClientMemory): Promise<string> {
  const { bytes, release } = await readWhole(request, memory);
  const message = bytes.toString('utf8');
  release();
  return message;
}

/** Starts the server for requests of other VMs. */
export async function listenForPeers(options: PeerServerOptions): Promise<Server> {
  const rpc = createRpcServer(options.methods);

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method !== 'POST' || request.url !== RPC_PATH)
      throw new SpoolplankError('not-found');
    const body = await readMessage(request, options.memory);
    const senderVmId = authenticatePeer(request, body, options);
    const rpcResponse = await rpc.receiveJSON(body, { senderVmId });
    const text = rpcResponse ? JSON.stringify(rpcResponse) : '';
    options.onTraffic?.(body.length + ESTIMATED_HEADER_BYTES, text.length + ESTIMATED_HEADER_BYTES);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  const server = await listen({
    host: options.host,
    port: options.port,
    onRequest(request, response) {
      handleRequest(request, response).catch((error: unknown) => {
        const { code } = sendError(response, error);
        options.onRefused?.(code);
      });
    },
  });
  if (options.tunnels) acceptTunnels(server, options, options.tunnels);
  return server;
}

export interface PeerClientOptions extends PeerIdentity {
  readonly timeoutMs: number;
  readonly onTraffic?: (receivedBytes: number, sentBytes: number) => void;
}

export interface PeerCallOptions {
  readonly timeoutMs?: number;
  /**
   * Time without a reply after which idle connections that have not been used since are closed, as
   * they may have fallen silent too; `timeoutMs` by default.
   */
  readonly overdueMs?: number;
  /** Opens a connection for this call, as one of the pool may have fallen silent. */
  readonly usesNewConnection?: boolean;
}

interface CallContext extends Required<PeerCallOptions> {
  /** The original error of the transport; json-rpc-2.0 keeps only its message. */
  transportError?: SpoolplankError;
}

export interface PeerTarget extends Endpoint {
  readonly vmId: string;
}

export interface PeerClient {
  /**
   * Calls a method of another VM.
   *
   * @throws SpoolplankError the error that the method threw on the other VM, or `unreachable`.
   */
  call<Result>(
    target: PeerTarget,
    method: string,
    params: unknown,
    callOptions?: PeerCallOptions,
  ): Promise<Result>;
  close(): void;
}

/** Creates the RPC client; a process needs only one. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const connections = createPeerConnections();
  const clients = new Map<string, JSONRPCClient<CallContext>>();

  async function post(
    target: PeerTarget,
    body: string,
    { timeoutMs, overdueMs, usesNewConnection }: CallContext,
  ): Promise<JSONRPCResponse> {
    const endWatch = connections.watchCall(overdueMs);
    const answer = await callHttp({
      endpoint: target,
      method: 'POST',
      path: RPC_PATH,
      agent: usesNewConnection ? connections.unpooled : connections.pooled,
      timeoutMs,
      body,
      headers: {
        'content-type': 'application/json',
        ...signedPeerHeaders(options, target.vmId, body),
      },
    }).finally(endWatch);
    options.onTraffic?.(
      answer.body.length + ESTIMATED_HEADER_BYTES,
      body.length + ESTIMATED_HEADER_BYTES,
    );
    const json = JSON.parse(answer.body.toString('utf8')) as JSONRPCResponse;
    if (answer.status !== 200) throw fromErrorBody(json);
    return json;
  }

  function clientFor(target: PeerTarget): JSONRPCClient<CallContext> {
    const name = `${target.vmId}@${target.host}:${target.port}`;
    const existing = clients.get(name);
    if (existing) return existing;
    const client: JSONRPCClient<CallContext> = new JSONRPCClient(
      async (request: JSONRPCRequest, context) => {
        try {
          client.receive(await post(target, JSON.stringify(request), context));
        } catch (error) {
          Object.assign(context, { transportError: toSpoolplankError(error) });
          throw error;
        }
      },
    );
    clients.set(name, client);
    return client;
  }

  return {
    async call<Result>(
      target: PeerTarget,
      method: string,
      params: unknown,
      {
        timeoutMs = options.timeoutMs,
        overdueMs = timeoutMs,
        usesNewConnection = false,
      }: PeerCallOptions = {},
    ) {
      const context: CallContext = { timeoutMs, overdueMs, usesNewConnection };
      try {
        return (await clientFor(target).request(method, params, context)) as Result;
      } catch (error) {
        if (context.transportError) throw context.transportError;
        if (error instanceof JSONRPCErrorException) throw fromErrorBody(error.data);
        throw new SpoolplankError('unreachable', { detail: String(error), cause: error });
      }
    },
    close: () => connections.close(),
  };
}
