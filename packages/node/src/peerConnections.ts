/**
 * Connections to other VMs. Live connections may fall silent without a reset while new ones work,
 * for example when a firewall between the VMs loses its state. A pool then offers one silent
 * connection after another, and each call on one lasts until its time-out. So an overdue reply ends
 * the trust in all idle connections that have not been used since its call was sent.
 */
import { Agent } from 'node:http';
import type { Duplex } from 'node:stream';
import { scheduleTimer } from './systemClock';

export interface PeerConnections {
  /** Keeps connections open for later calls. */
  readonly pooled: Agent;
  /** Opens a connection for each call, and closes it after the reply. */
  readonly unpooled: Agent;
  /**
   * Watches a call that is about to be sent. Returns the function to call when it has ended; until
   * then its reply is overdue after the given time, but not before 250 ms.
   */
  watchCall(overdueMs: number): () => void;
  close(): void;
}

const MAX_FREE_SOCKETS = 64;
/**
 * A busy VM may reply later than a call with a short time-out waits. New connections to it would
 * make it later still, so a shorter silence ends no trust.
 */
const MIN_OVERDUE_MS = 250;

/** A pool that can close the idle connections that were last used before a certain time. */
class PeerAgent extends Agent {
  readonly #usedAtMs = new WeakMap<Duplex, number>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets: MAX_FREE_SOCKETS, scheduling: 'lifo' });
  }

  /** Called by Node.js with a connection that becomes idle; the result tells whether to keep it. */
  override keepSocketAlive(socket: Duplex): void {
    this.#usedAtMs.set(socket, performance.now());
    return super.keepSocketAlive(socket);
  }

  closeUnusedSince(atMs: number): void {
    Object.values(this.freeSockets).forEach((sockets = []) =>
      [...sockets]
        .filter((socket) => (this.#usedAtMs.get(socket) ?? 0) < atMs)
        .forEach((socket) => socket.destroy()),
    );
  }
}

export function createPeerConnections(): PeerConnections {
  const pooled = new PeerAgent();
  const unpooled = new Agent({ keepAlive: false });
  return {
    pooled,
    unpooled,
    watchCall(overdueMs) {
      const sentAtMs = performance.now();
      return scheduleTimer(
        () => pooled.closeUnusedSince(sentAtMs),
        Math.max(overdueMs, MIN_OVERDUE_MS),
      );
    },
    close() {
      pooled.destroy();
      unpooled.destroy();
    },
  };
}
