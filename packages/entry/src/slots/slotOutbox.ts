/**
 * Collects what this VM has to report to the allocator of each data centre with the next call:
 * cancelled and ended tickets, and reports of servers about their rate limits.
 */
import type { Clock } from '@spoolplank/shared';
import { toLimitReport } from '../limits/serverLimits';
import type { PendingReport } from '../limits/serverLimits';
import type { SlotCall } from './slotMessages';

export interface SlotOutboxOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly schedule: (run: () => void, delayMs: number) => void;
  /** Calls the allocator of a data centre if no ask has carried the pending reports meanwhile. */
  readonly call: (dataCentre: string) => void;
}

export interface SlotOutbox {
  /** Cancels a ticket whose request was not sent. */
  cancel(dataCentre: string, ticket: string): void;
  /** Reports a request that ended before its slot was ever listed. */
  end(dataCentre: string, ticket: string): void;
  /** Adds a server's report about its limit. */
  report(dataCentre: string, report: PendingReport): void;
  /** Records that the slots held in a data centre changed. */
  recordChange(dataCentre: string): void;
  /** Removes and returns all pending reports for a data centre. */
  takePending(dataCentre: string): Pick<SlotCall, 'givenUp' | 'ended' | 'limitReports'>;
}

/** Reports that are added within this time are sent in one call. */
const BATCH_MS = 30;

/** Creates lists by data centre; taking a list empties it. */
function createPendingLists<Item>() {
  const lists = new Map<string, Item[]>();
  return {
    add(dataCentre: string, item: Item): void {
      lists.set(dataCentre, [...(lists.get(dataCentre) ?? []), item]);
    },
    take(dataCentre: string): readonly Item[] {
      const list = lists.get(dataCentre) ?? [];
      lists.delete(dataCentre);
      return list;
    },
  };
}

export function createSlotOutbox({ clock, schedule, call }: SlotOutboxOptions): SlotOutbox {
  const changed = new Set<string>();
  const givenUp = createPendingLists<string>();
  const ended = createPendingLists<string>();
  const reports = createPendingLists<PendingReport>();
  let isFlushDue = false;

  function recordChange(dataCentre: string): void {
    changed.add(dataCentre);
    if (isFlushDue) return;
    isFlushDue = true;
    schedule(() => {
      isFlushDue = false;
      [...changed].forEach((name) => call(name));
    }, BATCH_MS);
  }

  return {
    cancel(dataCentre, ticket) {
      givenUp.add(dataCentre, ticket);
      recordChange(dataCentre);
    },
    end(dataCentre, ticket) {
      ended.add(dataCentre, ticket);
      recordChange(dataCentre);
    },
    report(dataCentre, report) {
      reports.add(dataCentre, report);
      recordChange(dataCentre);
    },
    recordChange,
    takePending(dataCentre) {
      changed.delete(dataCentre);
      const endedTickets = ended.take(dataCentre);
      const limitReports = reports
        .take(dataCentre)
        .map((report) => toLimitReport(report, clock.steadyMs()));
      return {
        givenUp: givenUp.take(dataCentre),
        ...(endedTickets.length > 0 ? { ended: endedTickets } : {}),
        ...(limitReports.length > 0 ? { limitReports } : {}),
      };
    },
  };
}
