/** A TCP proxy that injects network faults: it can drop or freeze all connections. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Endpoint } from '@spoolplank/node';

/**
 * `open`: forwards bytes; `frozen`: keeps connections open but forwards nothing; `cut`: closes all
 * connections and accepts no new ones.
 */
export type ProxyState = 'open' | 'frozen' | 'cut';

export interface TcpProxy {
  readonly port: number;
  setState(state: ProxyState): void;
  /** Bytes forwarded in both directions. */
  readonly bytes: number;
  close(): Promise<void>;
}

export interface TcpProxyOptions {
  readonly target: Endpoint;
  readonly host?: string;
  readonly port?: number;
}

/** Starts a proxy that listens on its own port and forwards each connection to the target. */
export function startTcpProxy({
  target,
  host = '127.0.0.1',
  port = 0,
}: TcpProxyOptions): Promise<TcpProxy> {
  const sockets = new Set<Socket>();
  let state: ProxyState = 'open';
  let bytes = 0;

  function relay(socket: Socket, other: Socket): void {
    sockets.add(socket);
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      other.write(chunk);
    });
    socket.on('error', () => other.destroy());
    socket.on('close', () => {
      sockets.delete(socket);
      other.destroy();
    });
    if (state === 'frozen') socket.pause();
  }

  const server = createServer((incoming) => {
    if (state === 'cut') {
      incoming.destroy();
      return;
    }
    const outgoing = connect(target.port, target.host);
    relay(incoming, outgoing);
    relay(outgoing, incoming);
  });

  const SOCKET_ACTIONS: Readonly<Record<ProxyState, (socket: Socket) => void>> = {
    open: (socket) => socket.resume(),
    frozen: (socket) => socket.pause(),
    cut: (socket) => socket.destroy(),
  };

  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve({
        port: (server.address() as AddressInfo).port,
        get bytes() {
          return bytes;
        },
        setState(next) {
          state = next;
          sockets.forEach(SOCKET_ACTIONS[next]);
        },
        close: () =>
          new Promise((done) => {
            sockets.forEach((socket) => socket.destroy());
            server.close(() => done());
          }),
      });
    });
  });
}
