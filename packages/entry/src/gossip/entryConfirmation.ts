/**
 * The confirmation of the document on an entry: received with the exchanges of facts, or asked for
 * when these are late.
 */
import type { StoredDocument } from '@spoolplank/control';
import {
  CONFIRM_METHOD,
  createConfirmationRenewal,
  createConfirmationWatch,
} from '@spoolplank/membership';
import type {
  ChangeBounds,
  Confirmation,
  ConfirmationTimings,
  DocumentCache,
} from '@spoolplank/membership';
import { scheduleTimer } from '@spoolplank/node';
import type { EventLog, LogFields, PeerClient } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { EntryFeed } from './entryFeed';

export interface EntryConfirmationOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly documents: DocumentCache<StoredDocument>;
  readonly bounds: ChangeBounds;
  readonly timings: ConfirmationTimings;
  readonly feed: Pick<EntryFeed, 'source' | 'unansweredMs'>;
  /** Lists the control VMs in order of preference. */
  readonly listSources: () => readonly string[];
  readonly controlPeerPort: number;
  readonly onDocument: (document: StoredDocument) => void;
}

export interface EntryConfirmation {
  start(): void;
  /**
   * Asks control VMs at once; resolves when the confirmation shows again that no route or key was
   * added, or after a short wait.
   */
  renewNow(): Promise<void>;
  /** Where the confirmation comes from, for the log. */
  describe(): LogFields;
  /** Logs when the confirmation is overdue; called periodically. */
  tick(): void;
  stop(): void;
}

export function createEntryConfirmation(options: EntryConfirmationOptions): EntryConfirmation {
  const { clock, log, peers, documents, timings, feed, controlPeerPort: port } = options;
  const renewal = createConfirmationRenewal({
    clock,
    schedule: scheduleTimer,
    documents,
    dueMs: timings.entryDueMs,
    timings,
    /** The others come first, as the current source is late or has no confirmation itself. */
    listSources() {
      const current = feed.source();
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
  const describe = () => ({
    confirmationSource: feed.source(),
    unansweredMs: Math.round(feed.unansweredMs),
  });
  const watch = createConfirmationWatch({
    documents,
    overdueMs: options.bounds.applyMs,
    onOverdue: (report) => log.warn('confirmation-overdue', { ...report, ...describe() }),
    onRenewed: (report) => log.info('confirmation-renewed', { ...report }),
  });

  return {
    start: renewal.start,
    renewNow: () => renewal.renewNow(timings.refusalLimitMs),
    describe,
    tick: watch.tick,
    stop: renewal.stop,
  };
}
