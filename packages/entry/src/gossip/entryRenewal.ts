/** Renews the confirmation of the document on an entry when the exchanges of facts are late. */
import type { StoredDocument } from '@spoolplank/control';
import { CONFIRM_METHOD, createConfirmationRenewal } from '@spoolplank/membership';
import type {
  ChangeBounds,
  Confirmation,
  ConfirmationRenewal,
  ConfirmationTimings,
  DocumentCache,
} from '@spoolplank/membership';
import { scheduleTimer } from '@spoolplank/node';
import type { EventLog, PeerClient } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface EntryRenewalOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly documents: DocumentCache<StoredDocument>;
  readonly bounds: ChangeBounds;
  readonly timings: ConfirmationTimings;
  /** Lists the control VMs in order of preference. */
  readonly listSources: () => readonly string[];
  /** The control VM whose exchanges are late. */
  readonly currentSource: () => string;
  readonly controlPeerPort: number;
  readonly onDocument: (document: StoredDocument) => void;
}

export function createEntryRenewal(options: EntryRenewalOptions): ConfirmationRenewal {
  const { clock, log, peers, documents, bounds, timings, controlPeerPort: port } = options;
  return createConfirmationRenewal({
    clock,
    schedule: scheduleTimer,
    documents,
    dueMs: timings.entryDueMs,
    askIntervalMs: timings.askIntervalMs,
    idleIntervalMs: timings.holdMs,
    outOfContactMs: bounds.applyMs + bounds.contactMs,
    /** The other sources come first, as the current one is late or has no confirmation itself. */
    listSources() {
      const current = options.currentSource();
      const others = options.listSources().filter((source) => source !== current);
      return [...others, current].filter((source) => source !== '');
    },
    request: (host, params) =>
      peers.call<Confirmation<StoredDocument>>({ vmId: host, host, port }, CONFIRM_METHOD, params, {
        timeoutMs: timings.askTimeoutMs,
        usesNewConnection: true,
      }),
    onDocument: options.onDocument,
    onAsked: (report) => log.info('confirmation-asked', { ...report }),
  });
}
