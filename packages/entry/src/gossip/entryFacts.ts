/**
 * The facts that an entry knows, and the exchange with a control VM that publishes its own. A fact
 * is a record that all VMs replicate by gossip.
 */
import type { StoredDocument } from '@spoolplank/control';
import {
  createDocumentCache,
  createFactTable,
  DEFAULT_CHANGE_BOUNDS,
  deriveConfirmationTimings,
  isRestart,
  retentionMsOf,
} from '@spoolplank/membership';
import type {
  ChangeBounds,
  DocumentCache,
  FactTable,
  FactUpdate,
  LoadFact,
  SystemFact,
  SystemFactKind,
} from '@spoolplank/membership';
import type { EventLog, PeerClient } from '@spoolplank/node';
import type { RoutingDocument } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import { createEntryFeed } from './entryFeed';
import { createEntryConfirmation } from './entryConfirmation';
import type { EntryConfirmation } from './entryConfirmation';
import { createRoutingView } from './routingView';
import type { RoutingView } from './routingView';
import { createSourceRanking } from './sourceRanking';

export interface EntryFactsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  /** Identifies this incarnation of the process. */
  readonly run: string;
  readonly host: string;
  readonly dataCentre: string;
  /** Hosts of control VMs named in the settings. */
  readonly seeds: () => readonly string[];
  readonly controlPeerPort: number;
  readonly readDocument: (document: StoredDocument) => RoutingDocument;
  readonly announcementMs: number;
  /** The last stated load of this VM. */
  readonly publishedLoad: () => LoadFact['inFlight'];
  readonly onDocument: (document: RoutingDocument) => void;
  /** How soon a change of the document is in force. */
  readonly changeBounds?: ChangeBounds;
}

/** Lists the facts of one component to publish with each exchange. */
export type OutgoingFactSource = () => readonly FactUpdate<SystemFact>[];

export interface EntryFacts {
  readonly table: FactTable<SystemFact>;
  readonly documents: DocumentCache<StoredDocument>;
  readonly view: RoutingView;
  /** Time of the last reply of a control VM, on this VM's clock; not finite before the first. */
  readonly syncedAtMs: number;
  /** Lists the control VMs to call: the one with which facts are exchanged, then the others. */
  readonly listSources: () => readonly string[];
  readonly confirmation: Pick<EntryConfirmation, 'describe' | 'renewNow' | 'tick'>;
  addSource(source: OutgoingFactSource): void;
  /** Adds a listener for facts that require action as soon as they are received. */
  onUrgentFact(listener: (body: SystemFact) => void): void;
  /** Sends the facts that this VM publishes at once, without waiting for the next exchange. */
  exchangeNow(): void;
  start(): void;
  /** Removes facts that are no longer stated by any VM. */
  sweep(): void;
  stop(): void;
}

/** Kinds of facts that this VM acts on as soon as it receives them. */
const URGENT_FACTS: ReadonlySet<SystemFactKind> = new Set<SystemFactKind>([
  'suspicion',
  'crash',
  'clearance',
  'open-run',
]);

export function createEntryFacts(options: EntryFactsOptions): EntryFacts {
  const { clock, log, run, readDocument, announcementMs, publishedLoad } = options;
  const documents = createDocumentCache<StoredDocument>(clock);
  const sources: OutgoingFactSource[] = [];
  const listeners: ((body: SystemFact) => void)[] = [];
  const table = createFactTable<SystemFact>({
    clock,
    instance: run,
    isUrgent: (body, before) => URGENT_FACTS.has(body.kind) || isRestart(body, before),
    onUrgent: (body) => listeners.forEach((listener) => listener(body)),
  });
  let syncedAtMs = () => Number.NEGATIVE_INFINITY;
  const view = createRoutingView({
    clock,
    table,
    documents,
    readDocument,
    syncedAtMs: () => syncedAtMs(),
    announcementMs,
    ownPublishedLoad: publishedLoad,
  });
  const { changeBounds = DEFAULT_CHANGE_BOUNDS } = options;
  const timings = deriveConfirmationTimings(changeBounds);
  const listSources = createSourceRanking({
    ...options,
    listControlMembers: () => view.listMembers('control'),
  });
  function onDocument({ version }: StoredDocument): void {
    const routes = view.routes();
    log.info('document-in-force', { version, routes: routes?.document.routes.length });
    if (routes) options.onDocument(routes.document);
  }
  const feed = createEntryFeed({
    ...options,
    table,
    documents,
    timings,
    listSources,
    outgoingFacts: () => sources.flatMap((list) => list()),
    onDocument,
  });
  const confirmation = createEntryConfirmation({
    ...options,
    documents,
    bounds: changeBounds,
    timings,
    feed,
    listSources,
    onDocument,
  });
  syncedAtMs = () => feed.syncedAtMs;

  return {
    table,
    documents,
    view,
    get syncedAtMs() {
      return feed.syncedAtMs;
    },
    listSources: () =>
      [...new Set([feed.source(), ...listSources()])].filter((host) => host !== ''),
    addSource: (source) => sources.push(source),
    onUrgentFact: (listener) => listeners.push(listener),
    exchangeNow() {
      void feed.push();
    },
    confirmation,
    start() {
      void feed.run();
      confirmation.start();
    },
    sweep: () => table.sweep(retentionMsOf),
    stop() {
      feed.stop();
      confirmation.stop();
    },
  };
}
