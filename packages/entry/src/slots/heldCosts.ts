/**
 * Costs of the slots that this VM holds, which it reports to an allocator that did not grant them.
 *
 * Without the report, an organisation that held nearly all slots when the allocator was lost would
 * share the next ones equally with organisations that hold none.
 */
import type { HeldSlot } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { HeldCost } from './slotMessages';

export interface HeldCosts {
  /** Records the cost of a slot that a data centre granted. */
  record(dataCentre: string, ticket: string, cost: HeldCost): void;
  remove(dataCentre: string, ticket: string): void;
  /** The costs to report to an allocator with a list of slots; undefined while none are due. */
  takeDue(
    dataCentre: string,
    allocator: string,
    slots: readonly HeldSlot[],
  ): readonly HeldCost[] | undefined;
}

/** Interval of reports. An allocator may have been restarted under the same address. */
const REPORT_MS = 1000;
/** Time in which a granted slot is listed, unless its request was not sent. */
const LISTED_WITHIN_MS = 1300;

interface Recorded {
  readonly cost: HeldCost;
  readonly atMs: number;
}

/** Sums the costs of each organisation and class. */
function sumByAccount(costs: readonly HeldCost[]): readonly HeldCost[] {
  const sums = new Map<string, HeldCost>();
  costs.forEach((held) => {
    const { service, priority, classPriority, organisation } = held;
    const account = [service, priority, classPriority, organisation].join('\n');
    sums.set(account, { ...held, cost: held.cost + (sums.get(account)?.cost ?? 0) });
  });
  return [...sums.values()];
}

export function createHeldCosts({ clock }: { readonly clock: Pick<Clock, 'nowMs'> }): HeldCosts {
  const recorded = new Map<string, Map<string, Recorded>>();
  const reports = new Map<string, { readonly allocator: string; readonly atMs: number }>();

  function recordedIn(dataCentre: string): Map<string, Recorded> {
    const known = recorded.get(dataCentre) ?? new Map<string, Recorded>();
    recorded.set(dataCentre, known);
    return known;
  }

  /** Removes the costs of slots whose requests were not sent. */
  function removeUnused(costs: Map<string, Recorded>, slots: readonly HeldSlot[]): void {
    const oldestMs = clock.nowMs() - LISTED_WITHIN_MS;
    const listed = new Set(slots.map(({ ticket }) => ticket));
    costs.forEach(({ atMs }, ticket) => {
      if (atMs < oldestMs && !listed.has(ticket)) costs.delete(ticket);
    });
  }

  return {
    record(dataCentre, ticket, cost) {
      recordedIn(dataCentre).set(ticket, { cost, atMs: clock.nowMs() });
    },
    remove(dataCentre, ticket) {
      recordedIn(dataCentre).delete(ticket);
    },
    takeDue(dataCentre, allocator, slots) {
      const atMs = clock.nowMs();
      const last = reports.get(dataCentre);
      if (last?.allocator === allocator && atMs - last.atMs < REPORT_MS) return undefined;
      reports.set(dataCentre, { allocator, atMs });
      const costs = recordedIn(dataCentre);
      removeUnused(costs, slots);
      return sumByAccount(slots.flatMap(({ ticket }) => costs.get(ticket)?.cost ?? []));
    },
  };
}
