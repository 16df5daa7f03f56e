/**
 * Number of orders that each engine has accepted, as far as known. An order names the count on
 * which it is based: an order that arrives late, or at the next incarnation under the same name,
 * does not match and is refused.
 *
 * Source: optimistic concurrency control by version number; Kung and Robinson, 1981.
 */
import type { OrderOutcome } from './engineOperations';

export interface OrderCounts {
  /** The count of an incarnation of an engine; undefined when unknown. */
  find(instanceId: string): number | undefined;
  isKnown(instanceId: string): boolean;
  /** Assumes that an engine with an unknown count has accepted no order. */
  assumeNone(instanceId: string): void;
  /** Records the count that an engine reports; it may be some hundred milliseconds old. */
  recordReport(instanceId: string, acceptedOrders: number | undefined): void;
  /** Records the outcome of an order. */
  recordOutcome(instanceId: string, outcome: OrderOutcome): void;
}

export function createOrderCounts(): OrderCounts {
  const counts = new Map<string, number>();

  return {
    find: (instanceId) => counts.get(instanceId),
    isKnown: (instanceId) => counts.has(instanceId),
    assumeNone(instanceId) {
      if (!counts.has(instanceId)) counts.set(instanceId, 0);
    },
    recordReport(instanceId, acceptedOrders) {
      if (acceptedOrders === undefined) return;
      // The count of an incarnation only increases, so a lower one is an outdated report.
      counts.set(instanceId, Math.max(acceptedOrders, counts.get(instanceId) ?? 0));
    },
    recordOutcome(instanceId, outcome) {
      const known = counts.get(instanceId);
      if (outcome === 'begun' && known !== undefined) counts.set(instanceId, known + 1);
    },
  };
}
