/**
 * Tells callers that were refused for want of a slot when to return, from one schedule for each
 * service at its allocator, and recognises those that return before. The schedule starts when the
 * overload is expected to be over and is spaced at the rate at which slots are released.
 */
import { createRetryDelays, createRetryTurns } from '@spoolplank/routing';
import type { RetryDelays, ReturningCaller } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { SlotAsk, SlotRefusal } from './slotMessages';

export interface RefusedCallers {
  /** Records a request that got a slot at once while no other waited. */
  recordFree(ask: SlotAsk): void;
  /** Whether the caller of a new ask retries before its turn. */
  isEarly(ask: SlotAsk): boolean;
  /** Time until the turn of a refused caller; null if its refusal has another cause. */
  turnMs(ask: SlotAsk, reason: SlotRefusal, slotsPerS: number): number | null;
}

/** The schedule needs no jitter, as it spaces the callers. */
const NO_RANDOM = { nextInt: () => 0, nextFloat: () => 0 };

function toCaller(ask: SlotAsk): ReturningCaller | null {
  const { service, priority, size, isRetry, callerLeavesInMs } = ask;
  if (callerLeavesInMs === undefined) return null;
  return { service, priority, size, isRetry, leavesInMs: callerLeavesInMs };
}

export function createRefusedCallers({ clock }: { readonly clock: Clock }): RefusedCallers {
  const turns = createRetryTurns({ clock });
  const overloads = new Map<string, RetryDelays>();

  function overloadOf(service: string): RetryDelays {
    const known = overloads.get(service);
    if (known) return known;
    const created = createRetryDelays({ clock, random: NO_RANDOM });
    overloads.set(service, created);
    return created;
  }

  return {
    recordFree({ service }) {
      overloads.get(service)?.recordFreeCapacity();
    },
    isEarly(ask) {
      const caller = toCaller(ask);
      return caller !== null && turns.recordReturn(caller) === 'early';
    },
    turnMs(ask, reason, slotsPerS) {
      const caller = toCaller(ask);
      if (!caller || ask.hasBegun || reason === 'turned-away') return null;
      const overload = overloadOf(ask.service);
      overload.recordOverload();
      return turns.reserveMs(caller, {
        // Every data centre that refuses the caller reserves a turn, and one of them is used.
        perS: slotsPerS * Math.max(1, ask.dataCentres ?? 1),
        earliestMs: overload.overloadLeftMs(),
      });
    },
  };
}
