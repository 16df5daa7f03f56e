/**
 * Distinguishes a reset connection from one that was closed normally.
 *
 * When data and a reset arrive together, libuv reads the data and then reports the end of the
 * stream instead of the reset: if poll reports a hang-up after a read that did not fill the
 * buffer, `uv__stream_io` in `unix/stream.c` skips the next read. A response that has neither a
 * length nor chunks, and ends with its connection, then looks complete although the sender aborted
 * it. Reading is therefore paused after each piece, so that the next read asks the kernel, which
 * reports the reset.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/**
 * The methods of a socket's internal handle that are used here; Node.js has no public interface to
 * stop reading immediately.
 */
interface ReadableHandle {
  readStop(): void;
  readStart(): void;
}

const HANDLE_FIELD = '_handle';

/** Whether the end of a response is marked only by the end of its connection. */
function endsWithConnection({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Makes a connected socket fail if its connection is reset together with the last bytes. Must be
 * called before the socket is read, or in the listener of its first bytes.
 */
export function detectSocketReset(socket: Socket): void {
  const handleOf = () =>
    (socket as unknown as Readonly<Record<string, ReadableHandle | null>>)[HANDLE_FIELD] ?? null;
  const readLater = () => {
    handleOf()?.readStop();
    setImmediate(() => handleOf()?.readStart());
  };
  const push = socket.push.bind(socket);
  // Each read calls `push`, also while the socket is paused and emits no event.
  Object.assign(socket, {
    push(chunk: unknown, encoding?: BufferEncoding): boolean {
      const canTakeMore = push(chunk, encoding);
      // Without room in its buffer, the socket itself stops reading until there is some.
      if (chunk !== null && canTakeMore) readLater();
      return canTakeMore;
    },
  });
  readLater();
}

/**
 * Makes a response fail if its connection is reset. Must be called when the headers of the response
 * arrive, before anything else is awaited.
 */
export function failOnReset(request: ClientRequest, response: IncomingMessage): void {
  // After a reset, a response without a length seems complete; only the request reports the error.
  request.on('error', (error) => response.destroy(error));
  if (endsWithConnection(response)) detectSocketReset(response.socket);
}
