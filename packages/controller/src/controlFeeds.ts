/** Feeds from the other control VMs: facts and the document, each received directly if possible. */
import type { StoredDocument } from '@spoolplank/control';
import { createFeedClient } from '@spoolplank/membership';
import type {
  ConfirmationTimings,
  DocumentCache,
  FactTable,
  FactUpdate,
  FeedClient,
  FeedReply,
  SystemFact,
} from '@spoolplank/membership';
import { delay } from '@spoolplank/node';
import type { EventLog, PeerClient, PeerTarget } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface ControlFeedsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly table: FactTable<SystemFact>;
  readonly documents: DocumentCache<StoredDocument>;
  readonly timings: ConfirmationTimings;
  readonly findTarget: (vmId: string) => PeerTarget;
  /**
   * Facts that this VM publishes with each exchange, by which control VMs discover each other.
   * Without them, no VM would follow one that is neither a seed nor a voter, and the announcements
   * of its backend servers would not be replicated.
   */
  readonly outgoingFacts: () => readonly FactUpdate<SystemFact>[];
  /** Called with a new document. */
  readonly onDocument: () => void;
}

export interface ControlFeeds {
  /** Follows exactly these VMs. */
  follow(hosts: readonly string[]): void;
  stop(): void;
}

const RETRY_MS = 300;

export function createControlFeeds(options: ControlFeedsOptions): ControlFeeds {
  const { clock, log, peers, table, documents, timings, findTarget, onDocument } = options;
  const clients = new Map<string, FeedClient>();

  /**
   * Table instances of this VM and of the control VMs that it receives facts from directly, except
   * `source`. Origins are instances rather than hosts, as facts that an earlier incarnation of a VM
   * had received are available only from other VMs.
   */
  function listDirectOriginsExcept(source: string): readonly string[] {
    const connected = [...clients].filter(
      ([other, { isConnected }]) => isConnected && other !== source,
    );
    return [table.instance, ...connected.map(([, { sourceIncarnation }]) => sourceIncarnation)];
  }

  /** Requests again the facts that sources omitted while this VM received them directly. */
  function restartAll(): void {
    clients.forEach((client) => client.restart());
  }

  function start(other: string): void {
    const client = createFeedClient<SystemFact, StoredDocument>({
      clock,
      table,
      documents,
      outgoingFacts: options.outgoingFacts,
      exchange: (request) =>
        peers.call<FeedReply<SystemFact, StoredDocument>>(
          findTarget(other),
          'feed.exchange',
          request,
          { timeoutMs: timings.exchangeTimeoutMs, overdueMs: timings.exchangeOverdueMs },
        ),
      delay,
      waitMs: timings.holdMs,
      retryMs: RETRY_MS,
      onDocument,
      isRelay: true,
      onSourceRestart: restartAll,
      exceptOrigins: () => listDirectOriginsExcept(other),
      onState(isConnected, problem) {
        log.info(isConnected ? 'peer-regained' : 'peer-lost', { peer: other, problem });
        if (!isConnected) restartAll();
      },
    });
    clients.set(other, client);
    void client.run();
  }

  return {
    follow(hosts) {
      hosts.filter((other) => !clients.has(other)).forEach(start);
      clients.forEach((client, other) => {
        if (hosts.includes(other)) return;
        client.stop();
        clients.delete(other);
        restartAll();
      });
    },
    stop() {
      clients.forEach((client) => client.stop());
    },
  };
}
