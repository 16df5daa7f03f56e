/** Wires what this VM knows of its network paths to backend servers. */
import type { FactTable, SystemFact } from '@spoolplank/membership';
import type { EventLog, Metrics, PeerClient, PeerMethod, ServerLinks } from '@spoolplank/node';
import type { Clock, Random } from '@spoolplank/shared';
import type { BackendOperations } from '../dispatch/backendOperations';
import type { RoutingView } from '../gossip/routingView';
import { createIndirectProbes } from './indirectProbes';
import type { LossVerdict } from './indirectProbes';

export interface ServerPathsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: Pick<PeerClient, 'call'>;
  /** This VM. */
  readonly host: string;
  readonly dataCentre: string;
  readonly table: FactTable<SystemFact>;
  readonly view: Pick<RoutingView, 'listMembers'>;
  readonly operations: Pick<BackendOperations, 'isReachable'>;
  readonly links: Pick<ServerLinks, 'countContacts'>;
}

export interface ServerPaths {
  /** RPC methods that other VMs call on this one. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Decides whether a server that this VM failed to connect to is lost, or only its own path. */
  confirmLoss(address: string): Promise<LossVerdict>;
}

export function createServerPaths(options: ServerPathsOptions): ServerPaths {
  const { clock, random, log, metrics, peers, host, dataCentre, table, view } = options;
  return createIndirectProbes({
    clock,
    random,
    log,
    metrics,
    peers,
    host,
    dataCentre,
    listEntries: () => view.listMembers('entry'),
    isReachable: options.operations.isReachable,
    countContacts: options.links.countContacts,
    listServers: () =>
      table.list().flatMap(({ body }) => (body.kind === 'backend' ? [body.address] : [])),
  });
}
