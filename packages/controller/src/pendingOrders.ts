/** Orders that engines have or may have started, until their loaded layers show the outcome. */
import { findBackend, hasRestarted } from '@spoolplank/membership';
import type { FactTable, LayerRange, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface PendingOrdersOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: Pick<FactTable<SystemFact>, 'find'>;
}

export interface PendingOrders {
  readonly size: number;
  /** The range that an engine was ordered to load; undefined when no order is pending. */
  find(instanceId: string): LayerRange | undefined;
  /** Records an order that is overdue at `untilMs` on this VM's clock. */
  add(instanceId: string, range: LayerRange, untilMs: number): void;
  remove(instanceId: string): void;
  /**
   * Removes orders that are fulfilled, overdue, or void because the engine has restarted: its next
   * incarnation has not received the order.
   */
  dropSettled(): void;
  clear(): void;
}

interface PendingOrder {
  readonly range: LayerRange;
  readonly untilMs: number;
}

export function isSameRange(a: LayerRange | null | undefined, b: LayerRange): boolean {
  return a?.firstLayer === b.firstLayer && a.endLayer === b.endLayer;
}

export function createPendingOrders({ clock, log, table }: PendingOrdersOptions): PendingOrders {
  const orders = new Map<string, PendingOrder>();

  /** The log event for the end of an order; null while the order is pending. */
  function findOutcomeEvent(instanceId: string, { range, untilMs }: PendingOrder): string | null {
    if (hasRestarted(table, instanceId)) return 'order-void';
    if (isSameRange(findBackend(table, instanceId)?.body.engine?.held, range)) return 'order-done';
    return clock.nowMs() < untilMs ? null : 'order-overdue';
  }

  return {
    get size() {
      return orders.size;
    },
    find: (instanceId) => orders.get(instanceId)?.range,
    add(instanceId, range, untilMs) {
      orders.set(instanceId, { range, untilMs });
    },
    remove: (instanceId) => orders.delete(instanceId),
    dropSettled() {
      orders.forEach((order, instanceId) => {
        const end = findOutcomeEvent(instanceId, order);
        if (end === null) return;
        orders.delete(instanceId);
        if (end !== 'order-done') log.warn(end, { engine: instanceId, ...order.range });
      });
    },
    clear: () => orders.clear(),
  };
}
