/** The network paths of a control VM to engines, from what it knows of entries and engines. */
import type { BackendFact, FactTable, MemberFact, SystemFact } from '@spoolplank/membership';
import type { EventLog, Metrics, PeerClient, ServerLinks } from '@spoolplank/node';
import { createServerPaths } from '@spoolplank/reach';
import type { ServerPaths } from '@spoolplank/reach';
import type { Clock, Random } from '@spoolplank/shared';
import type { EngineOrders } from './engineOperations';

export interface EnginePathsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: PeerClient;
  readonly host: string;
  readonly dataCentre: string;
  readonly table: FactTable<SystemFact>;
  readonly orders: Pick<EngineOrders, 'isReachable'>;
  readonly links: ServerLinks;
}

/** Entries publish a fact of themselves every 600 ms, which reaches all control VMs in 800 ms. */
const MEMBER_LOST_MS = 2600;

/**
 * Lets the orders and reports of a control VM that does not reach an engine pass through an entry.
 * An idle control VM tries no engines, as it has nothing to send to them.
 */
export function createEnginePaths(options: EnginePathsOptions): ServerPaths {
  const { clock, table, orders, ...rest } = options;

  function listServers(): readonly BackendFact[] {
    return table.list().flatMap(({ body }) => (body.kind === 'backend' ? [body] : []));
  }

  function listEntries(): readonly MemberFact[] {
    const nowMs = clock.nowMs();
    return table.list().flatMap(({ body, receivedAtMs }) => {
      const isLive = nowMs - receivedAtMs < MEMBER_LOST_MS;
      return body.kind === 'member' && body.role === 'entry' && isLive ? [body] : [];
    });
  }

  return createServerPaths({
    ...rest,
    clock,
    listEntries,
    listServers: () => listServers().map(({ address }) => address),
    findServer: (address) => listServers().find((server) => server.address === address),
    isReachable: orders.isReachable,
    watchesSilence: false,
  });
}
