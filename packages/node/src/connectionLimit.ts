/**
 * Limits the open connections of a server. At the limit, a new connection takes the place of the
 * one on which nothing was answered for longest, so that clients that hold connections keep no
 * others out. A connection whose request has arrived whole is never closed for that.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export function limitConnections(server: Server, maxConnections: number): void {
  /** The one that was opened or answered last at the end. */
  const sockets = new Set<Socket>();
  /** Numbers of requests that have arrived whole and are not answered. */
  const running = new WeakMap<Socket, number>();

  const countOn = (socket: Socket): number => running.get(socket) ?? 0;

  function closeOne(): void {
    for (const socket of sockets) {
      if (countOn(socket) === 0) {
        sockets.delete(socket);
        socket.destroy();
        return;
      }
    }
  }

  server.on('connection', (socket: Socket) => {
    if (sockets.size >= maxConnections) closeOne();
    if (sockets.size >= maxConnections) {
      socket.destroy();
      return;
    }
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    let isWhole = false;
    const begin = () => {
      isWhole = true;
      running.set(socket, countOn(socket) + 1);
    };
    if (request.complete) begin();
    else request.once('end', begin);
    response.once('close', () => {
      request.off('end', begin);
      if (isWhole) running.set(socket, countOn(socket) - 1);
      if (sockets.delete(socket)) sockets.add(socket);
    });
  });
}
