/**
 * Tunnels between VMs: a VM connects to a backend server on behalf of another one and passes the
 * bytes on in both directions. A tunnel is opened by an HTTP `CONNECT` request on the port for
 * peers, which is signed like every other call. From then on the bytes to the server pass as they
 * are, and those from the server in frames, unless one of the two VMs does not know frames.
 *
 * Source: RFC 9110, section 9.3.6.
 */
import { request as startRequest } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { authenticatePeer, signedPeerHeaders } from './peerIdentity';
import type { PeerIdentity } from './peerIdentity';
import type { Endpoint } from './httpClient';
import { detachFromParser } from './requestsAhead';
import { detectSocketReset } from './resetDetection';
import { createFrameEncoder, RESET_FRAME } from './tunnelFrames';
import { TunnelSocket } from './tunnelSocket';

/**
 * Why a VM opens no tunnel. `unreachable`: it tried and could not connect to the server either.
 * The others say nothing about the server.
 */
export type TunnelRefusal = 'unreachable' | 'unknown-server' | 'partitioned' | 'overloaded';

export interface TunnelServerOptions {
  /** Why no tunnel to an address may be opened now; null when one may. */
  readonly findRefusal: (address: string) => TunnelRefusal | null;
  /** Connects to a backend server directly, never through another tunnel. */
  readonly connect: (address: string) => Promise<Socket>;
  /** Number of tunnels that may be open at the same time. */
  readonly maxTunnels?: number;
}

/** The refusal of a tunnel by another VM. */
export class TunnelRefusedError extends Error {
  public readonly reason: TunnelRefusal | 'no-answer';

  public constructor(reason: TunnelRefusal | 'no-answer', detail: string) {
    super(`${detail}: ${reason}`);
    this.name = 'TunnelRefusedError';
    this.reason = reason;
  }
}

const DEFAULT_MAX_TUNNELS = 256;
/** A tunnel without any byte for this time has lost one of its ends. */
const IDLE_TIMEOUT_MS = 60_000;
const REASON_HEADER = 'spoolplank-reason';
/** Sent by a VM that reads frames, and by a relay that sends them. */
const FRAMING_HEADER = 'spoolplank-framing';
const FRAMING_VERSION = '1';
const REFUSED_STATUS = 503;
const FORBIDDEN_STATUS = 403;

const messageOf = (address: string): string => `CONNECT ${address}`;

function refuse(client: Socket, status: number, reason: string): void {
  client.end(`HTTP/1.1 ${status} Refused\r\n${REASON_HEADER}: ${reason}\r\n\r\n`);
}

/** Passes the server's bytes on in frames, and how it ends its connection. */
function sendFrames(server: Socket, client: Socket): void {
  const encoder = createFrameEncoder();
  server.pipe(encoder).pipe(client);
  server.on('close', () => {
    if (server.readableEnded || client.destroyed) return;
    encoder.unpipe(client);
    client.write(RESET_FRAME);
    client.destroySoon();
  });
}

/** Passes the server's bytes on as they are; a reset of the server resets the client. */
function sendBytes(server: Socket, client: Socket): void {
  server.pipe(client);
  server.on('error', () => client.resetAndDestroy());
  server.on('close', () => client.destroySoon());
}

/** Passes bytes on in both directions. */
function join(client: Socket, server: Socket, isFramed: boolean): void {
  [client, server].forEach((socket) => {
    socket.setNoDelay(true);
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => {});
  });
  client.pipe(server);
  client.on('error', () => server.resetAndDestroy());
  client.on('close', () => server.destroySoon());
  detectSocketReset(server);
  if (isFramed) sendFrames(server, client);
  else sendBytes(server, client);
}

/** Accepts tunnels on a server for peers. */
export function acceptTunnels(
  server: Server,
  identity: PeerIdentity,
  { findRefusal, connect, maxTunnels = DEFAULT_MAX_TUNNELS }: TunnelServerOptions,
): void {
  let open = 0;

  async function accept(request: IncomingMessage, client: Socket): Promise<void> {
    const address = request.url ?? '';
    detachFromParser(client);
    let isClosed = false;
    client.on('error', () => {});
    client.once('close', () => {
      isClosed = true;
    });
    try {
      authenticatePeer(request, messageOf(address), identity);
    } catch {
      refuse(client, FORBIDDEN_STATUS, 'wrong-deployment');
      return;
    }
    const refusal = open >= maxTunnels ? 'overloaded' : findRefusal(address);
    if (refusal !== null) {
      refuse(client, REFUSED_STATUS, refusal);
      return;
    }
    open += 1;
    client.once('close', () => {
      open -= 1;
    });
    const upstream = await connect(address).catch(() => null);
    if (!upstream) refuse(client, REFUSED_STATUS, 'unreachable');
    else if (isClosed) upstream.destroy();
    else {
      const isFramed = request.headers[FRAMING_HEADER] === FRAMING_VERSION;
      const framing = isFramed ? `${FRAMING_HEADER}: ${FRAMING_VERSION}\r\n` : '';
      client.write(`HTTP/1.1 200 Connected\r\n${framing}\r\n`);
      join(client, upstream, isFramed);
    }
  }

  server.on('connect', (request, client) => {
    void accept(request, client as Socket);
  });
}

export interface TunnelRequest {
  readonly identity: PeerIdentity;
  /** The VM that connects to the server. */
  readonly relay: Endpoint & { readonly vmId: string };
  readonly address: string;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

const REASONS: ReadonlySet<string> = new Set<TunnelRefusal>([
  'unreachable',
  'unknown-server',
  'partitioned',
  'overloaded',
]);

function isRefusal(reason: unknown): reason is TunnelRefusal {
  return typeof reason === 'string' && REASONS.has(reason);
}

/**
 * Opens a tunnel to a backend server through another VM; nothing has been sent to the server when
 * it fails.
 *
 * @throws TunnelRefusedError when that VM opens none.
 */
export function openTunnel(options: TunnelRequest): Promise<Duplex> {
  const { identity, relay, address, timeoutMs, signal } = options;
  return new Promise((resolve, reject) => {
    const call = startRequest({
      host: relay.host,
      port: relay.port,
      method: 'CONNECT',
      path: address,
      agent: false,
      headers: {
        ...signedPeerHeaders(identity, relay.vmId, messageOf(address)),
        [FRAMING_HEADER]: FRAMING_VERSION,
      },
      signal,
    });
    let timer: NodeJS.Timeout | undefined;
    const fail = (error: Error) => {
      clearTimeout(timer);
      reject(error);
      call.destroy();
    };
    const noAnswer = (problem: string) =>
      fail(new TunnelRefusedError('no-answer', `${relay.host} for ${address}, ${problem}`));
    timer = setTimeout(() => noAnswer(`${timeoutMs} ms`), timeoutMs);
    call.on('error', (error) => noAnswer(error.message));
    call.on('response', (response) => noAnswer(`status ${response.statusCode ?? 0}`));
    call.on('connect', (response, socket, head) => {
      const reason = response.headers[REASON_HEADER];
      if (response.statusCode !== 200) {
        socket.destroy();
        const detail = `${relay.host} for ${address}`;
        fail(new TunnelRefusedError(isRefusal(reason) ? reason : 'no-answer', detail));
        return;
      }
      clearTimeout(timer);
      if (head.length > 0) socket.unshift(head);
      const isFramed = response.headers[FRAMING_HEADER] === FRAMING_VERSION;
      const tunnel = new TunnelSocket({ socket, isFramed });
      if (signal.aborted) tunnel.destroy();
      resolve(tunnel);
    });
    call.end();
  });
}

/** Whether a relay opened no tunnel because of the server, and may open one to another server. */
export function isRefusedForServer(error: unknown): boolean {
  if (!(error instanceof TunnelRefusedError)) return false;
  return error.reason === 'unreachable' || error.reason === 'unknown-server';
}
