/**
 * Establishes connections to backend servers. A server that this VM does not reach is connected to
 * through another VM, which only passes bytes on: the request, its deadline, its slot and its
 * cancellation stay with this VM. Nothing is sent before a connection is established, so that
 * trying several routes runs nothing twice.
 */
import type { MemberFact } from '@spoolplank/membership';
import type { EventLog, Metrics, PeerTarget } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { RelayChoice } from './relayChoice';
import type { ServerReach } from './serverReach';

export interface ServerConnectorOptions<Connection> {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly reach: ServerReach;
  readonly relays: RelayChoice;
  readonly connectDirectly: (address: string, signal: AbortSignal) => Promise<Connection>;
  readonly connectThrough: (
    relay: PeerTarget,
    address: string,
    signal: AbortSignal,
  ) => Promise<Connection>;
  /** Whether a failed tunnel is due to the server, so that the relay may reach others. */
  readonly isAboutServer: (error: unknown) => boolean;
  readonly onClosed: (connection: Connection, listener: () => void) => void;
  readonly discard: (connection: Connection) => void;
  readonly delay: (durationMs: number) => Promise<void>;
}

export interface ServerConnector<Connection> {
  /** @throws Error when no route leads to the server. */
  connect(address: string): Promise<Connection>;
}

/**
 * Time after which the other route is tried beside the first one. A connection within a region
 * takes 2 ms, and a lost packet is sent again after 200 ms.
 */
const HEDGE_MS = 60;
/** Time after which no further VM is asked for a tunnel. */
const RELAY_BUDGET_MS = 400;
/** VMs that reach the server neither, after which no other one is asked. */
const MAX_UNREACHABLE = 3;
/** Time for which a direct attempt goes on when a relay was faster, as its end tells which. */
const DIRECT_GRACE_MS = 300;

type Route<Connection> = (address: string, signal: AbortSignal) => Promise<Connection>;

export function createServerConnector<Connection>(
  options: ServerConnectorOptions<Connection>,
): ServerConnector<Connection> {
  const { clock, log, metrics, reach, relays, discard, delay } = options;

  async function connectDirectly(address: string, signal: AbortSignal): Promise<Connection> {
    try {
      const connection = await options.connectDirectly(address, signal);
      reach.recordContact(address);
      return connection;
    } catch (error) {
      reach.recordFailure(address, 'connection-failed');
      throw error;
    }
  }

  async function openThrough(
    { host, peerPort = 0 }: MemberFact,
    address: string,
    signal: AbortSignal,
  ): Promise<Connection> {
    const startedAtMs = clock.nowMs();
    const relay = { vmId: host, host, port: peerPort };
    const connection = await options.connectThrough(relay, address, signal);
    relays.recordOpened(host);
    options.onClosed(connection, () => relays.recordClosed(host));
    metrics.count('spoolplank_relayed_connections_total', { outcome: 'opened' });
    const tookMs = Math.round(clock.nowMs() - startedAtMs);
    log.info('relay-opened', { relay: host, address, tookMs });
    return connection;
  }

  async function connectThroughRelay(address: string, signal: AbortSignal): Promise<Connection> {
    const tried = new Set<string>();
    const endsAtMs = clock.nowMs() + RELAY_BUDGET_MS;
    let unreachable = 0;
    let failure: unknown = new Error('no VM to connect through');
    while (!signal.aborted && unreachable < MAX_UNREACHABLE && clock.nowMs() < endsAtMs) {
      const relay = relays.choose(address, tried);
      if (!relay) break;
      tried.add(relay.host);
      try {
        return await openThrough(relay, address, signal);
      } catch (error) {
        failure = error;
        if (signal.aborted) break;
        metrics.count('spoolplank_relayed_connections_total', { outcome: 'failed' });
        if (options.isAboutServer(error)) {
          unreachable += 1;
          relays.recordUnreachable(relay.host, address);
        } else relays.recordUnavailable(relay.host);
      }
    }
    throw failure;
  }

  return {
    async connect(address) {
      const isRelayedFirst = reach.isUnreachable(address);
      const stopDirect = new AbortController();
      const stopRelay = new AbortController();
      let isOver = false;

      /** Follows a route, and discards its connection if the other route was faster. */
      async function follow(route: Route<Connection>, stop: AbortController): Promise<Connection> {
        const connection = await route(address, stop.signal);
        if (!isOver) {
          isOver = true;
          return connection;
        }
        discard(connection);
        throw new Error('the other route was faster');
      }

      const direct = () => follow(connectDirectly, stopDirect);
      const relayed = () => follow(connectThroughRelay, stopRelay);
      const [first, second] = isRelayedFirst ? [relayed, direct] : [direct, relayed];
      const started = first();
      const hasFailed = started.then(
        () => new Promise<void>(() => {}),
        () => {},
      );
      const hedged = Promise.race([delay(HEDGE_MS), hasFailed]).then(() => {
        if (isOver) throw new Error('the first route was faster');
        return second();
      });
      try {
        return await Promise.any([started, hedged]);
      } catch (error) {
        // The direct attempt tells more about the server than the absence of a relay.
        const [one, other] = (error as AggregateError).errors as readonly unknown[];
        throw isRelayedFirst ? other : one;
      } finally {
        stopRelay.abort();
        void delay(DIRECT_GRACE_MS).then(() => stopDirect.abort());
      }
    },
  };
}
