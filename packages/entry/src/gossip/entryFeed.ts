/**
 * Exchanges facts between an entry and its current control VM. A fact is a record that all VMs
 * replicate by gossip.
 */
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
import type { EventLog, PeerClient } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import { createSourceChoice } from './sourceChoice';

export interface EntryFeedOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly table: FactTable<SystemFact>;
  readonly documents: DocumentCache<StoredDocument>;
  /** The facts that this VM publishes with each exchange. */
  readonly outgoingFacts: () => readonly FactUpdate<SystemFact>[];
  /** Lists the control VMs in order of preference. */
  readonly listSources: () => readonly string[];
  readonly timings: ConfirmationTimings;
  readonly controlPeerPort: number;
  readonly onDocument: (document: StoredDocument) => void;
}

/** Pause after a failed exchange. */
const FEED_RETRY_MS = 100;
/** Larger and infinite ages are logged as this value. */
const MAX_AGE_MS = 60_000;

export interface EntryFeed extends FeedClient {
  /** The control VM with which the next exchange is made. */
  source(): string;
}

export function createEntryFeed(options: EntryFeedOptions): EntryFeed {
  const { clock, log, peers, table, documents, timings } = options;
  const sources = createSourceChoice({ clock, list: options.listSources });

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
          { timeoutMs: timings.exchangeTimeoutMs, overdueMs: timings.exchangeOverdueMs },
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
    waitMs: timings.holdMs,
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
