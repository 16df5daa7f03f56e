/** Accepts announcements and withdrawals of backend servers on this control VM. */
import {
  FACT_KEYS,
  FINAL_SEQUENCE,
  findBackend,
  formatInstanceId,
  isRestart,
  parseInstanceId,
} from '@spoolplank/membership';
import type { BackendFact, FactTable, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import type { RoutingDocument } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import { findAnnouncementProblem } from './announcementCheck';

/** Notification that a backend server has left. */
export interface Withdrawal {
  readonly serverId: string;
  /** The incarnation that left; null when the call does not name it. */
  readonly incarnation: number | null;
}

export interface BackendDirectoryOptions {
  readonly log: EventLog;
  readonly table: FactTable<SystemFact>;
  /** Null before the first document. */
  readonly currentDocument: () => RoutingDocument | null;
}

export interface BackendDirectory {
  /**
   * Stores an announcement. It has no effect if it is delayed or of an earlier incarnation.
   *
   * @throws SpoolplankError `bad-request` when the announcement is rejected; it has no effect then.
   */
  announce(fact: BackendFact, sequence: number): void;
  /** Marks a backend server as gone. */
  withdraw(withdrawal: Withdrawal): void;
}

/**
 * A withdrawal that names no incarnation may be a delayed one of an earlier incarnation. Calls
 * arrive up to three announcement intervals late, so such a withdrawal does not end an incarnation
 * that has sent no more than this number of announcements.
 */
const LATE_ANNOUNCEMENTS = 3;

export function createBackendDirectory(options: BackendDirectoryOptions): BackendDirectory {
  const { log, table, currentDocument } = options;

  return {
    announce(fact, sequence) {
      const { instanceId, service, address, state: newState } = fact;
      const known = findBackend(table, instanceId)?.body;
      const problem = findAnnouncementProblem({ stated: fact, known, document: currentDocument() });
      if (problem !== null) throw new SpoolplankError('bad-request', { detail: problem });
      const key = FACT_KEYS.backend(instanceId);
      const before = table.find(key)?.body;
      const isSameIncarnation = before?.kind === 'backend' && before.instanceId === instanceId;
      const isNews = !isSameIncarnation || before.state !== newState;
      const { incarnation } = parseInstanceId(instanceId);
      const isTaken = table.put(key, { incarnation, sequence }, fact);
      if (isTaken && isNews) {
        log.info('backend-seen', {
          instanceId,
          restartOf: isRestart(fact, before) ? (before as BackendFact).instanceId : undefined,
          service,
          address,
          state: newState,
          sequence,
        });
      }
    },
    withdraw({ serverId, incarnation }) {
      const latest = table.find(FACT_KEYS.backend(serverId));
      const isOfEarlierIncarnation =
        incarnation === null &&
        latest !== undefined &&
        latest.incarnation > 0 &&
        latest.sequence <= LATE_ANNOUNCEMENTS;
      if (isOfEarlierIncarnation) {
        log.info('withdrawal-late', { serverId, knownIncarnation: latest.incarnation });
        return;
      }
      const ended = incarnation ?? latest?.incarnation ?? 0;
      const instanceId = formatInstanceId({ serverId, incarnation: ended });
      const known = findBackend(table, instanceId)?.body;
      const fact: BackendFact =
        known !== undefined
          ? { ...known, state: 'gone' }
          : {
              kind: 'backend',
              instanceId,
              service: '',
              address: '',
              dataCentre: '',
              state: 'gone',
              slots: 0,
            };
      const version = { incarnation: ended, sequence: FINAL_SEQUENCE };
      const isTaken = table.put(FACT_KEYS.backend(instanceId), version, fact);
      log.info('backend-left', { instanceId, address: fact.address, isLate: !isTaken });
    },
  };
}
