/**
 * Wires what this VM knows of its network paths to backend servers: which of them it reaches, which
 * of the others are lost, and the connections through other VMs.
 */
import type { Duplex } from 'node:stream';
import type { BackendFact, MemberFact } from '@spoolplank/membership';
import { delay, isRefusedForServer } from '@spoolplank/node';
import type {
  EventLog,
  Metrics,
  PeerClient,
  PeerMethod,
  ServerLinks,
  TunnelServerOptions,
} from '@spoolplank/node';
import type { Clock, Random } from '@spoolplank/shared';
import { createIndirectProbes } from './indirectProbes';
import type { LossVerdict } from './indirectProbes';
import { createRelayChoice } from './relayChoice';
import { createServerConnector } from './serverConnector';
import { createServerReach } from './serverReach';
import { createSilenceWatch } from './silenceWatch';

export interface ServerPathsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: Pick<PeerClient, 'call'>;
  /** This VM. */
  readonly host: string;
  readonly dataCentre: string;
  /** All known entry VMs. */
  readonly listEntries: () => readonly MemberFact[];
  /** Addresses of all known backend servers. */
  readonly listServers: () => readonly string[];
  /** The backend server that last announced itself at an address. */
  readonly findServer: (address: string) => BackendFact | undefined;
  /** Whether a new, direct connection to the address is accepted within the timeout. */
  readonly isReachable: (address: string, timeoutMs: number) => Promise<boolean>;
  readonly links: ServerLinks;
  /** Whether to try a server when none shows a sign of life; by default true. */
  readonly watchesSilence?: boolean;
}

export interface ServerPaths {
  /** RPC methods that other VMs call on this one. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** How this VM connects to backend servers for other VMs. */
  readonly tunnels: TunnelServerOptions;
  /** Decides whether a server that this VM failed to connect to is lost, or only its own path. */
  confirmLoss(address: string): Promise<LossVerdict>;
  /** Records that a server is out of this VM's reach. */
  recordUnreachable(address: string, evidence: string): void;
  /** Whether this VM reaches no server. */
  readonly isPartitioned: boolean;
  /** Tries unreachable servers directly; called periodically. */
  tick(): void;
  /** Forgets servers that are gone. */
  sweep(): void;
  describe(): unknown;
}

/** Timeout of a direct attempt; a connection within a region takes 2 ms. */
const RETRY_TIMEOUT_MS = 150;
/** Servers that are tried when none shows a sign of life. */
const MAX_SILENT_PROBES = 4;

export function createServerPaths(options: ServerPathsOptions): ServerPaths {
  const { clock, random, log, metrics, host, dataCentre, links } = options;
  const { listEntries, listServers, findServer, isReachable, watchesSilence = true } = options;
  const isKnown = (address: string) => findServer(address) !== undefined;

  const reach = createServerReach({
    clock,
    log,
    metrics,
    countContacts: links.countContacts,
    countServers: () => listServers().length,
    onChange(address) {
      if (address === null) listServers().forEach(links.reroute);
      else links.reroute(address);
    },
  });
  metrics.gauge('spoolplank_is_partitioned', () => (reach.isPartitioned ? 1 : 0));

  const relays = createRelayChoice({
    clock,
    random,
    host,
    dataCentre,
    listEntries,
    dataCentreOf: (address) => findServer(address)?.dataCentre,
  });
  const connector = createServerConnector<Duplex>({
    clock,
    log,
    metrics,
    reach,
    relays,
    connectDirectly: links.connectDirectly,
    connectThrough: links.connectThrough,
    isAboutServer: isRefusedForServer,
    onClosed: (socket, listener) => socket.once('close', listener),
    discard: (socket) => socket.destroy(),
    delay,
  });
  links.setConnector({
    connect: connector.connect,
    mayReuse: (address, isDirect) => reach.isUnreachable(address) !== isDirect,
  });

  const probes = createIndirectProbes({
    clock,
    random,
    log,
    metrics,
    peers: options.peers,
    host,
    dataCentre,
    listEntries,
    isReachable,
    countContacts: links.countContacts,
    listServers,
  });

  const silence = createSilenceWatch({ clock, countContacts: links.countContacts });

  const tryDirectly = (address: string): Promise<boolean> =>
    isReachable(address, RETRY_TIMEOUT_MS).catch(() => false);

  function pickServer(): string | undefined {
    const servers = listServers();
    return servers.length > 0 ? servers[random.nextInt(servers.length)] : undefined;
  }

  async function retry(address: string): Promise<void> {
    if (await tryDirectly(address)) reach.recordContact(address);
  }

  /** Tries one server, and several others if it does not accept the connection. */
  async function probeSilent(): Promise<void> {
    const servers = listServers();
    const start = servers.length > 0 ? random.nextInt(servers.length) : 0;
    const chosen = [...servers.slice(start), ...servers.slice(0, start)].slice(
      0,
      MAX_SILENT_PROBES,
    );
    const [first, ...others] = chosen;
    if (first === undefined) return;
    if (await tryDirectly(first)) {
      silence.recordAccepted();
      return;
    }
    const isAccepted = await Promise.all(others.map(tryDirectly));
    const missed = [first, ...others.filter((_, index) => !isAccepted[index])];
    missed.forEach((address) => reach.recordFailure(address, 'silent'));
  }

  return {
    methods: probes.methods,
    tunnels: {
      findRefusal(address) {
        if (!isKnown(address)) return 'unknown-server';
        if (reach.isPartitioned) return 'partitioned';
        return reach.isUnreachable(address) ? 'unreachable' : null;
      },
      connect: (address) => links.connectDirectly(address, AbortSignal.timeout(RETRY_TIMEOUT_MS)),
    },
    confirmLoss: (address) =>
      reach.isPartitioned ? Promise.resolve('unreachable') : probes.confirmLoss(address),
    recordUnreachable: reach.recordFailure,
    get isPartitioned() {
      return reach.isPartitioned;
    },
    tick() {
      reach.tick();
      const due = reach.takeDue();
      // The servers that were out of reach first may be lost, so another one is tried too.
      const other = reach.isPartitioned ? pickServer() : undefined;
      (other === undefined ? due : [...due, other]).forEach((address) => {
        void retry(address);
      });
      if (watchesSilence && silence.isProbeDue() && !reach.isPartitioned) void probeSilent();
    },
    sweep: () => reach.sweep(isKnown),
    describe: () => ({ ...reach.describe(), tunnels: relays.describe() }),
  };
}
