/**
 * The confirmation of the document on a control VM: made by its own replica while that leads, else
 * received with the exchanges, or asked for when these are late.
 */
import type { DocumentState, StoredDocument } from '@spoolplank/control';
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
import type { EventLog, PeerClient, PeerTarget } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import { createLeaderConfirmation } from './leaderConfirmation';

export interface ControlConfirmationOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  /** Host of this VM. */
  readonly host: string;
  readonly documents: DocumentCache<StoredDocument>;
  readonly state: Pick<DocumentState, 'current'>;
  readonly bounds: ChangeBounds;
  readonly timings: ConfirmationTimings;
  /** Whether the replica of this VM leads with a valid lease. */
  readonly canRead: () => boolean;
  /** The VM whose replica leads, as far as this one knows. */
  readonly leaderVm: () => string | undefined;
  readonly findTarget: (vmId: string) => PeerTarget;
  readonly listOthers: () => readonly string[];
  /** Called with a new document. */
  readonly onDocument: () => void;
}

export interface ControlConfirmation {
  start(): void;
  /** Confirms the document if the replica of this VM may. */
  refresh(): void;
  /** Refreshes the confirmation, and logs when it is overdue; called periodically. */
  tick(): void;
  stop(): void;
}

export function createControlConfirmation(
  options: ControlConfirmationOptions,
): ControlConfirmation {
  const { clock, log, peers, host, documents, timings, leaderVm, findTarget } = options;
  const refresh = createLeaderConfirmation(options);
  const renewal = createConfirmationRenewal({
    clock,
    schedule: scheduleTimer,
    documents,
    dueMs: timings.controlDueMs,
    timings,
    listSources() {
      const leader = leaderVm();
      const others = options.listOthers().filter((other) => other !== leader);
      return leader === undefined || leader === host ? others : [leader, ...others];
    },
    request: (source, params) =>
      peers.call<Confirmation<StoredDocument>>(findTarget(source), CONFIRM_METHOD, params, {
        timeoutMs: timings.askTimeoutMs,
        usesNewConnection: true,
      }),
    onDocument: options.onDocument,
    onAsked: (report) => log.info('confirmation-asked', { ...report }),
  });
  const watch = createConfirmationWatch({
    documents,
    overdueMs: options.bounds.applyMs,
    onOverdue: (report) => log.warn('confirmation-overdue', { ...report, leader: leaderVm() }),
    onRenewed: (report) => log.info('confirmation-renewed', { ...report }),
  });

  return {
    start: renewal.start,
    refresh,
    tick() {
      refresh();
      watch.tick();
    },
    stop: renewal.stop,
  };
}
