/** The end of a tunnel at the VM that opened it, which behaves like a connection to the server. */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { createFrameDecoder } from './tunnelFrames';
import type { TunnelEnd } from './tunnelFrames';

/** A tunnel ended without the relay reporting how the server ended its connection. */
export class TunnelBrokenError extends Error {
  public constructor(detail: string) {
    super(`the tunnel broke off: ${detail}`);
    this.name = 'TunnelBrokenError';
  }
}

export interface TunnelSocketOptions {
  /** The connection to the relay, after the exchange that opened the tunnel. */
  readonly socket: Socket;
  /** Whether the relay sends frames; without them it cannot report the end of the server. */
  readonly isFramed: boolean;
}

/**
 * Has those methods of a socket that Node's HTTP client and its agent call.
 *
 * Reads nothing before it is read itself, so that no error is emitted before there is a listener.
 * Emits a `TunnelBrokenError` when the tunnel ends and the server has not, and an error with the
 * code `ECONNRESET` when the server resets its connection.
 */
export class TunnelSocket extends Duplex {
  /** Read by the agent. */
  public timeout = 0;

  readonly #socket: Socket;

  #hasEnded = false;

  public constructor({ socket, isFramed }: TunnelSocketOptions) {
    super({
      allowHalfOpen: false,
      read() {
        socket.resume();
      },
      write(bytes: Buffer, _encoding, done) {
        socket.write(bytes, done);
      },
      final(done) {
        socket.end(done);
      },
      destroy(error, done) {
        socket.destroy();
        done(error);
      },
    });
    this.#socket = socket;
    const forward = (bytes: Buffer): void => {
      if (!this.push(bytes)) socket.pause();
    };
    const decoder = createFrameDecoder({
      onBytes: forward,
      onEnd: (end) => this.#endAs(end),
    });
    const decode = (bytes: Buffer): void => {
      try {
        decoder.push(bytes);
      } catch (error) {
        this.#break(String(error));
      }
    };
    socket.on('data', isFramed ? decode : forward).pause();
    socket.on('end', () => this.#break('closed by the relay'));
    socket.on('error', ({ message }) => this.#break(message));
    socket.on('close', () => this.#break('closed'));
    socket.on('timeout', () => this.emit('timeout'));
    // An idle connection of the agent has no listener of its own for a moment.
    this.on('error', () => {});
  }

  #break(detail: string): void {
    if (!this.#hasEnded) this.destroy(new TunnelBrokenError(detail));
  }

  #endAs(end: TunnelEnd): void {
    this.#hasEnded = true;
    if (end === 'end') {
      this.push(null);
      return;
    }
    const error = new Error('the server reset its connection');
    this.destroy(Object.assign(error, { code: 'ECONNRESET' }));
  }

  /** Closes the tunnel once all bytes have been written. */
  public destroySoon(): void {
    this.end(() => this.destroy());
  }

  public setTimeout(durationMs: number, listener?: () => void): this {
    this.timeout = durationMs;
    this.#socket.setTimeout(durationMs);
    // As with a socket, a duration of 0 removes the listener.
    if (listener && durationMs === 0) this.removeListener('timeout', listener);
    else if (listener) this.once('timeout', listener);
    return this;
  }

  public setKeepAlive(isEnabled?: boolean, initialDelayMs?: number): this {
    this.#socket.setKeepAlive(isEnabled, initialDelayMs);
    return this;
  }

  public setNoDelay(isEnabled?: boolean): this {
    this.#socket.setNoDelay(isEnabled);
    return this;
  }

  public ref(): this {
    this.#socket.ref();
    return this;
  }

  public unref(): this {
    this.#socket.unref();
    return this;
  }
}
