/** Renews the confirmation of the document on a control VM when the exchanges are late. */
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
import type { EventLog, PeerClient, PeerTarget } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface ControlRenewalOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  /** Host of this VM. */
  readonly host: string;
  readonly documents: DocumentCache<StoredDocument>;
  readonly bounds: ChangeBounds;
  readonly timings: ConfirmationTimings;
  readonly findTarget: (vmId: string) => PeerTarget;
  readonly listOthers: () => readonly string[];
  /** The VM whose replica leads, as far as this one knows. */
  readonly leaderVm: () => string | undefined;
  readonly onDocument: () => void;
}

export function createControlRenewal(options: ControlRenewalOptions): ConfirmationRenewal {
  const { clock, log, peers, host, documents, bounds, timings, findTarget } = options;
  return createConfirmationRenewal({
    clock,
    schedule: scheduleTimer,
    documents,
    dueMs: timings.controlDueMs,
    askIntervalMs: timings.askIntervalMs,
    idleIntervalMs: timings.holdMs,
    outOfContactMs: bounds.applyMs + bounds.contactMs,
    listSources() {
      const leader = options.leaderVm();
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
}
