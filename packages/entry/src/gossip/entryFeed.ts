/**
 * Exchanges facts between an entry and its current control VM. A fact is a record that all VMs
 * replicate by gossip.
 */
import type { StoredDocument } from '@spoolplank/control';
import { createFeedClient } from '@spoolplank/membership';
import type {
  DocumentCache,
  FactTable,
  FactUpdate,
  FeedClient,
  FeedReply,
  MemberFact,
  SystemFact,
} from '@spoolplank/membership';
import { delay } from '@spoolplank/node';
import type { EventLog, PeerClient } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import { createSourceChoice } from './sourceChoice';
import { createSourceRanking } from './sourceRanking';

export interface EntryFeedOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly host: string;
  readonly dataCentre: string;
  readonly table: FactTable<SystemFact>;
  readonly documents: DocumentCache<StoredDocument>;
  /** The facts that this VM publishes with each exchange. */
  readonly outgoingFacts: () => readonly FactUpdate<SystemFact>[];
  readonly listControlMembers: () => readonly MemberFact[];
  /** Hosts of control VMs named in the settings. */
  readonly seeds: () => readonly string[];
  readonly controlPeerPort: number;
  readonly onDocument: (document: StoredDocument) => void;
}

/** Long-poll time of an exchange; it amounts to 1.25 exchanges per second and process. */
const FEED_WAIT_MS = 800;
/** Timeout of an exchange: the long-poll time plus 600 ms. */
const FEED_TIMEOUT_MS = 1400;
const FEED_OVERDUE_MS = 1050;
/** Pause after a failed exchange. */
const FEED_RETRY_MS = 100;
/** Larger and infinite ages are logged as this value. */
const MAX_AGE_MS = 60_000;

export interface EntryFeed extends FeedClient {
  /** The control VM with which the next exchange is made. */
  source(): string;
}

export function createEntryFeed(options: EntryFeedOptions): EntryFeed {
  const { clock, log, peers, table, documents } = options;
  const sources = createSourceChoice({ clock, list: createSourceRanking(options) });

  const client = createFeedClient<SystemFact, StoredDocument>({
    clock,
    table,
    documents,
    outgoingFacts: options.outgoingFacts,
    async exchange(request) {
      const source = sources.current();
      const target = { vmId: source, host: source, port: options.controlPeerPort };
      try {
        const reply = await peers.call<FeedReply<SystemFact, StoredDocument>>(
          target,
          'feed.exchange',
          request,
          { timeoutMs: FEED_TIMEOUT_MS, overdueMs: FEED_OVERDUE_MS },
        );
        const { confirmedAgeMs } = reply;
        if (sources.recordAnswer(confirmedAgeMs)) {
          log.info('control-left', { source, confirmedAgeMs, next: sources.current() });
        }
        return reply;
      } catch (error) {
        sources.recordFailure();
        throw error;
      }
    },
    delay,
    waitMs: FEED_WAIT_MS,
    retryMs: FEED_RETRY_MS,
    onDocument: options.onDocument,
    onState: (isConnected, problem) =>
      log.info(isConnected ? 'control-regained' : 'control-lost', {
        source: sources.current(),
        problem,
        confirmedAgeMs: Math.round(Math.min(documents.confirmedAgeMs(), MAX_AGE_MS)),
      }),
  });
  return Object.assign(client, { source: () => sources.current() });
}
