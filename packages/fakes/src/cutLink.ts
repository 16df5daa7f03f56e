/** A TCP connection in the middle that can be cut, frozen and slowed. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Endpoint } from '@spoolplank/node';

/** `open`: passes bytes; `frozen`: keeps connections but passes nothing; `cut`: drops all. */
export type LinkState = 'open' | 'frozen' | 'cut';

export interface CutLink {
  readonly port: number;
  setState(state: LinkState): void;
  /** Bytes that passed. */
  readonly bytes: number;
  close(): Promise<void>;
}

export interface CutLinkOptions {
  readonly target: Endpoint;
  readonly host?: string;
  readonly port?: number;
}

/** Starts a link that listens on a port of its own and connects on to a target. */
export function startCutLink({
  target,
  host = '127.0.0.1',
  port = 0,
}: CutLinkOptions): Promise<CutLink> {
  const sockets = new Set<Socket>();
  let state: LinkState = 'open';
  let bytes = 0;

  function track(socket: Socket, other: Socket): void {
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
    track(incoming, outgoing);
    track(outgoing, incoming);
  });

  const apply: Readonly<Record<LinkState, (socket: Socket) => void>> = {
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
          sockets.forEach(apply[next]);
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
