/**
 * Connections of this VM to backend servers: direct ones, and tunnels through other VMs. How a
 * connection is established is decided by the connector that is set.
 */
import { connect as connectSocket } from 'node:net';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { parseAddress } from './httpClient';
import type { PeerIdentity } from './peerIdentity';
import type { PeerTarget } from './peerRpc';
import { openTunnel } from './tunnel';

/** Establishes connections to backend servers. */
export interface ServerConnector {
  /** @throws Error when there is no connection; nothing has been sent to the server then. */
  connect(address: string): Promise<Duplex>;
  /** Whether a connection that is idle may be used for another request. */
  mayReuse(address: string, isDirect: boolean): boolean;
}

export interface ServerLinks {
  /** Connects as the connector decides; directly, if none is set. */
  connect(address: string): Promise<Duplex>;
  connectDirectly(address: string, signal: AbortSignal): Promise<Socket>;
  connectThrough(relay: PeerTarget, address: string, signal: AbortSignal): Promise<Duplex>;
  /** Whether an idle connection may be used for another request. */
  mayReuse(socket: Duplex): boolean;
  /** Whether a connection passes through another VM. */
  isRelayed(socket: Duplex): boolean;
  /**
   * Number of signs of life that came over direct connections: connections that were accepted, and
   * bytes received. It only increases.
   */
  countContacts(): number;
  setConnector(connector: ServerConnector): void;
  /** Sets the listener for addresses whose idle connections must not be used again. */
  onReroute(listener: (address: string) => void): void;
  /** Closes the idle connections to an address. */
  reroute(address: string): void;
}

/** Bounds the sockets of connections that are never accepted; each call has a shorter timeout. */
const DIRECT_TIMEOUT_MS = 1500;
/** Covers the exchange with the relay, and its connection within a region, which takes 2 ms. */
const TUNNEL_TIMEOUT_MS = 120;

interface LinkOrigin {
  readonly address: string;
  readonly isDirect: boolean;
}

export function createServerLinks(identity: PeerIdentity): ServerLinks {
  const origins = new WeakMap<Duplex, LinkOrigin>();
  const direct = new Set<Socket>();
  let closedContacts = 0;
  let connector: ServerConnector | null = null;
  let onReroute = (_address: string): void => {};

  function trackDirect(socket: Socket, address: string): void {
    origins.set(socket, { address, isDirect: true });
    direct.add(socket);
    closedContacts += 1;
    socket.once('close', () => {
      direct.delete(socket);
      closedContacts += socket.bytesRead;
    });
  }

  function connectDirectly(address: string, signal: AbortSignal): Promise<Socket> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      const socket = connectSocket({ host, port, noDelay: true });
      const fail = (error: Error) => {
        reject(error);
        socket.destroy();
      };
      const onAbort = () => fail(new Error('not needed any more'));
      const onTimeout = () => fail(new Error(`no connection within ${DIRECT_TIMEOUT_MS} ms`));
      const timer = setTimeout(onTimeout, DIRECT_TIMEOUT_MS);
      socket.on('error', fail);
      socket.once('close', () => clearTimeout(timer));
      signal.addEventListener('abort', onAbort, { once: true });
      socket.once('connect', () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        trackDirect(socket, address);
        resolve(socket);
      });
    });
  }

  return {
    connectDirectly,
    async connectThrough(relay, address, signal) {
      const socket = await openTunnel({
        identity,
        relay,
        address,
        timeoutMs: TUNNEL_TIMEOUT_MS,
        signal,
      });
      origins.set(socket, { address, isDirect: false });
      return socket;
    },
    connect: (address) =>
      connector?.connect(address) ?? connectDirectly(address, new AbortController().signal),
    mayReuse(socket) {
      const origin = origins.get(socket);
      return !origin || !connector || connector.mayReuse(origin.address, origin.isDirect);
    },
    isRelayed: (socket) => origins.get(socket)?.isDirect === false,
    countContacts() {
      let contacts = closedContacts;
      direct.forEach(({ bytesRead }) => {
        contacts += bytesRead;
      });
      return contacts;
    },
    setConnector(chosen) {
      connector = chosen;
    },
    onReroute(listener) {
      onReroute = listener;
    },
    reroute: (address) => onReroute(address),
  };
}
