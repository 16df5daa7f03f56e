/**
 * Judges on the VM that allocates a data centre's slots which streams would wait for one in vain,
 * from forecasts for each service. Streams that have begun are never judged so, as refusing them
 * would lose what their callers have received.
 */
import { createSlotForecast } from '@spoolplank/routing';
import type { SlotForecast, SlotSupply } from '@spoolplank/routing';
import type { ServiceCapacity } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';
import type { SlotAsk, SlotCall } from './slotMessages';

export interface SlotOutlookOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly capacityOf: (service: string) => Pick<ServiceCapacity, 'capacity' | 'inFlight'>;
  /** Whether a service has a chain with this first engine. */
  readonly hasChain: (service: string, headId: string) => boolean;
  /**
   * Time until a chain of a service comes back, by the loads of weights that are under way; null
   * when none is under way. If omitted, loads are unknown, and no request is refused for want of a
   * chain: a refusal where a slot comes within the wait costs more than a wait.
   */
  readonly chainReturnsInMs?: (service: string) => number | null;
}

export interface SlotOutlook {
  /** Records the slots that a VM holds. */
  recordCall(call: SlotCall): void;
  recordGrant(holder: string, ask: SlotAsk, headId: string): void;
  /** Records that a slot was released; `wasUsed` is false if its request was not sent. */
  recordReleased(holder: string, ticket: string, wasUsed: boolean): void;
  /** Slots of a service that are released per second; null when it is unknown. */
  slotsPerS(service: string): number | null;
  /**
   * Slots per second for callers that return, as last known while the service has no chain; null
   * when it was never known.
   */
  returningPerS(service: string): number | null;
  /** The load and capacity that forecasts are made from, and the time since they were read. */
  supplyOf(service: string): SlotSupply & { readonly ageMs: number };
  /** Forecast for a request with `ahead` others before it; null when there is none. */
  waitMs(ask: SlotAsk, ahead: number): number | null;
  /**
   * Whether a request that asks now, with `ahead` others before it, is to be refused at once;
   * undefined while too little was measured to tell.
   */
  isHopeless(ask: SlotAsk, ahead: number): boolean | undefined;
  /**
   * Whether a queued request, in the state that `ask` describes now, no longer has a prospect of a
   * slot.
   */
  hasLostProspect(ask: SlotAsk): boolean;
}

interface ServiceOutlook {
  readonly forecast: SlotForecast;
  supply: SlotSupply;
  readAtMs: number;
  /** Whether the service had a chain before; not known of one that was never used. */
  hadChain: boolean;
  /** Since when the service has no chain; null while it has one. */
  withoutChainSinceMs: number | null;
  /** When a request was last refused by its forecast, and how many were before it. */
  refusedAtMs: number;
  refusedBehind: number;
  lastReturningPerS: number | null;
}

/** Equal to the interval at which the queue looks for slots. */
const SUPPLY_AGE_MS = 20;
/**
 * Time without a chain after which it counts as lost. An engine that rejected a request is excluded
 * for 300 ms, and only then is it known whether it is lost.
 */
const CHAIN_LOST_AFTER_MS = 400;
/** Requests are late for good only while others are refused, which shows that demand persists. */
const REFUSING_FOR_MS = 200;

export function createSlotOutlook(options: SlotOutlookOptions): SlotOutlook {
  const { clock, capacityOf, hasChain, chainReturnsInMs } = options;
  const services = new Map<string, ServiceOutlook>();

  function findOrCreate(service: string): ServiceOutlook {
    const known = services.get(service);
    if (known) return known;
    const created: ServiceOutlook = {
      forecast: createSlotForecast({ clock, hasChain: (headId) => hasChain(service, headId) }),
      supply: { capacity: 0, inUse: 0 },
      readAtMs: Number.NEGATIVE_INFINITY,
      hadChain: false,
      withoutChainSinceMs: null,
      refusedAtMs: Number.NEGATIVE_INFINITY,
      refusedBehind: 0,
      lastReturningPerS: null,
    };
    services.set(service, created);
    return created;
  }

  /** Reads the load of the chains, whose cost grows with their number, at most once a poll. */
  function outlookOf(service: string): ServiceOutlook {
    const outlook = findOrCreate(service);
    const nowMs = clock.nowMs();
    if (nowMs - outlook.readAtMs < SUPPLY_AGE_MS) return outlook;
    const { capacity, inFlight } = capacityOf(service);
    outlook.supply = { capacity, inUse: inFlight };
    outlook.readAtMs = nowMs;
    outlook.withoutChainSinceMs = capacity > 0 ? null : (outlook.withoutChainSinceMs ?? nowMs);
    return outlook;
  }

  /** Whether no chain serves the request within its wait, as all are lost. */
  function isWithoutChain({ service, leavesInMs }: SlotAsk, outlook: ServiceOutlook): boolean {
    const { hadChain, withoutChainSinceMs } = outlook;
    if (!chainReturnsInMs || !hadChain || withoutChainSinceMs === null) return false;
    if (clock.nowMs() - withoutChainSinceMs < CHAIN_LOST_AFTER_MS) return false;
    const returnsInMs = chainReturnsInMs(service);
    return returnsInMs === null || returnsInMs > leavesInMs;
  }

  function waitMs(ask: SlotAsk, ahead: number): number | null {
    const { forecast, supply } = outlookOf(ask.service);
    const { inTimeForMs, hasBegun, isRetry } = ask;
    return forecast.waitMs({ ahead, inTimeForMs, isOvertaken: !hasBegun && !isRetry }, supply);
  }

  return {
    recordCall({ holder, sequence, slots }) {
      services.forEach(({ forecast }) => forecast.recordListed(holder, { sequence, slots }));
    },
    recordGrant(holder, { service, ticket }, headId) {
      const outlook = findOrCreate(service);
      outlook.hadChain = true;
      // The load is read only while requests wait, so that a chain that came back shows here first.
      outlook.withoutChainSinceMs = null;
      outlook.forecast.recordGrant(holder, ticket, headId);
    },
    recordReleased(holder, ticket, wasUsed) {
      services.forEach(({ forecast }) => {
        if (wasUsed) forecast.recordEnded(holder, ticket);
        else forecast.recordCancelled(holder, ticket);
      });
    },
    slotsPerS(service) {
      const { forecast, supply } = outlookOf(service);
      return forecast.slotsPerS(supply);
    },
    returningPerS(service) {
      const outlook = outlookOf(service);
      const perS = outlook.forecast.returningPerS(outlook.supply);
      outlook.lastReturningPerS = perS ?? outlook.lastReturningPerS;
      return outlook.lastReturningPerS;
    },
    supplyOf(service) {
      const { supply, readAtMs } = outlookOf(service);
      return { ...supply, ageMs: clock.nowMs() - readAtMs };
    },
    waitMs,
    isHopeless(ask, ahead) {
      const outlook = outlookOf(ask.service);
      const { forecast } = outlook;
      if (ask.hasBegun) return false;
      if (isWithoutChain(ask, outlook)) return true;
      const forecastMs = waitMs(ask, ahead);
      const isRefused = forecastMs === null ? undefined : forecastMs > ask.leavesInMs;
      if (isRefused) {
        outlook.refusedAtMs = clock.nowMs();
        outlook.refusedBehind = ahead;
      } else if (ask.inTimeForMs > 0) forecast.recordInTime();
      return isRefused;
    },
    hasLostProspect(ask) {
      const outlook = outlookOf(ask.service);
      if (ask.hasBegun) return false;
      if (isWithoutChain(ask, outlook)) return true;
      if (ask.inTimeForMs > 0 || clock.nowMs() - outlook.refusedAtMs > REFUSING_FOR_MS)
        return false;
      // Requests in time go first, as many as were before the one that was refused last.
      const forecastMs = waitMs(ask, outlook.refusedBehind);
      return forecastMs !== null && forecastMs > ask.leavesInMs;
    },
  };
}
