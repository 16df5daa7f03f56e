/**
 * Tracks the permits taken for slots until it is known whether their requests were sent. A permit
 * counts one request against the rate limit of a server.
 */
import type { HeldSlot } from '@spoolplank/routing';
import type { LimitAccount } from '../limits/limitAccount';

export interface SlotPermits {
  /** Takes a permit for a slot; returns the rate limit of the server, or null if it has none. */
  take(holder: string, ticket: string, headId: string): number | null;
  /** Records that the request of a slot was sent. */
  recordUsed(holder: string, ticket: string): void;
  /** Records the slots that a holder lists, whose requests were therefore sent. */
  recordListed(holder: string, slots: readonly HeldSlot[]): void;
  /** Returns the permit of a slot whose request was not sent. */
  refund(holder: string, ticket: string): void;
}

/** Exceeded only if messages were lost. All pending permits are then dropped without a refund. */
const MAX_PENDING = 600;

const keyOf = (holder: string, ticket: string): string => `${holder} ${ticket}`;

export function createSlotPermits({ limits }: { readonly limits: LimitAccount }): SlotPermits {
  const pendingServers = new Map<string, string>();

  return {
    take(holder, ticket, headId) {
      const limitPerS = limits.limitPerSOf(headId);
      limits.tryAcquire(headId);
      if (pendingServers.size >= MAX_PENDING) pendingServers.clear();
      if (limitPerS !== null) pendingServers.set(keyOf(holder, ticket), headId);
      return limitPerS;
    },
    recordUsed(holder, ticket) {
      pendingServers.delete(keyOf(holder, ticket));
    },
    recordListed(holder, slots) {
      // Without rate limits no permits are pending.
      if (pendingServers.size === 0) return;
      slots.forEach(({ ticket }) => pendingServers.delete(keyOf(holder, ticket)));
    },
    refund(holder, ticket) {
      const headId = pendingServers.get(keyOf(holder, ticket));
      if (headId !== undefined) limits.refund(headId);
    },
  };
}
