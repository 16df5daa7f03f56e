/**
 * Messages between VMs and the allocator of a data centre's slots. A slot is the permission to put
 * the load of one request on a chain of engines, or to send one request to a plain server; in each
 * data centre one VM grants all slots.
 */
import type { HoldingsReport, AdvertisedLimit, PathStage, SlotClaim } from '@spoolplank/routing';
import type { LimitReport } from '../limits/limitAccount';

/** One request that needs a slot. Times are durations relative to the moment of sending. */
export interface SlotAsk {
  /** Unique among the asks of a VM; unchanged when the ask is repeated. */
  readonly ticket: string;
  readonly service: string;
  /** Memory that the request needs, relative to a request of typical size. */
  readonly size: number;
  /** Priority of the organisation, or of the route if there is none; 0 is the highest. */
  readonly priority: number;
  /** Priority of the route, which is the class of the request; equal to `priority` by default. */
  readonly classPriority?: number;
  /** Cost of the slot, relative to a request of usual size; equal to `size` by default. */
  readonly cost?: number;
  /** Organisation of the caller; those without one share as one organisation. */
  readonly organisation?: string;
  /** Configured weight of the organisation in its class; its usual demand by default. */
  readonly weight?: number;
  /** Whether the caller has already received a part of the stream. */
  readonly hasBegun: boolean;
  /** Whether the caller has tried before. */
  readonly isRetry: boolean;
  /** Time since the request arrived at the asking VM. */
  readonly waitedMs: number;
  /** Time left in which a slot still meets the latency target; negative if it is too late. */
  readonly inTimeForMs: number;
  /** Target for the longest pause between events of a stream; older VMs state none. */
  readonly targetGapMs?: number;
  /** Target time to the first event of a stream; older VMs state none. */
  readonly targetFirstEventMs?: number;
  /** Time left until the request gives up waiting. */
  readonly leavesInMs: number;
  /** Time left until the caller gives up all attempts. */
  readonly callerLeavesInMs?: number;
  /** Number of data centres that may serve the request; 1 by default. */
  readonly dataCentres?: number;
  /** Plain servers that may serve the request; undefined for a stream, which needs a chain. */
  readonly heads?: readonly string[];
  /** First engines of the chains that were already tried. */
  readonly excludedHeads: readonly string[];
  /** Engines that rejected a request of the asking VM recently. */
  readonly avoidedIds: readonly string[];
  /**
   * Engines that the asking VM must not send to: they asked it for a backoff or announced to it
   * that they leave. Excluded for this VM only.
   */
  readonly closedIds?: readonly string[];
  /** Rate limits that servers set in their answers to the asking VM. */
  readonly limits?: readonly AdvertisedLimit[];
  /** Whether the request is queued if there is no free slot. */
  readonly mayWait: boolean;
  /** How long the allocator may hold back its answer until there is a slot. */
  readonly holdMs: number;
}

/** Cost of the slots that a VM holds for one organisation and class of a service. */
export interface HeldCost extends SlotClaim {
  readonly service: string;
}

/**
 * Lists all slots that a VM holds in a data centre, which renews their leases; may contain an ask.
 * An allocator of an older version ignores the paths; a VM of an older version lists none.
 */
export interface SlotCall extends HoldingsReport {
  /** Identifies the calling VM and the incarnation of its process. */
  readonly holder: string;
  /** The data centre of the calling VM. */
  readonly dataCentre: string;
  /** Cancelled tickets, whose requests were not sent. */
  readonly givenUp: readonly string[];
  /** Tickets of requests that were sent and ended before any call listed their slots. */
  readonly ended?: readonly string[];
  /** Reports of the data centre's servers about their limits since the last call. */
  readonly limitReports?: readonly LimitReport[];
  /**
   * Costs of the listed slots, for an allocator that did not grant them. Sent once a second, and to
   * each allocator that is called for the first time.
   */
  readonly heldCosts?: readonly HeldCost[];
  readonly ask?: SlotAsk;
}

export interface GrantedSlot {
  /** The VM that granted the slot. */
  readonly grantedBy: string;
  readonly headId: string;
  readonly stages: readonly PathStage[];
  readonly capacity: number;
  /** Total size in flight on the chain, including this slot. */
  readonly inFlight: number;
  /** The rate limit of the first server, under which the slot is a permit; null if it has none. */
  readonly limitPerS: number | null;
}

/** Why a request was refused a slot. */
export type SlotRefusal =
  /** At the rate at which slots are released, the request would wait longer than it can. */
  | 'hopeless'
  /** No chain of the data centre has all layers. */
  | 'no-chain'
  /** Each chain has rejected the request, or backs off for the asking VM. */
  | 'turned-away'
  /** The request has waited for as long as it can. */
  | 'time-over';

export type SlotReply =
  /** The call contained no ask; its lists were recorded. */
  | { readonly kind: 'noted' }
  /**
   * The request has the slot; its VM holds it until it reports that the request has ended, or the
   * lease of the slot expires.
   */
  | { readonly kind: 'granted'; readonly slot: GrantedSlot }
  /**
   * No slot is free. The request is queued if it may wait; the caller repeats the ask. `ahead` is
   * the length of the queue.
   */
  | { readonly kind: 'waiting'; readonly ahead: number }
  | {
      readonly kind: 'refused';
      readonly reason: SlotRefusal;
      readonly ahead: number;
      /** Recent rate at which slots are granted, or the rate that limits allow. */
      readonly slotsPerS: number;
      /** When the caller should retry; set only if rate limits are all that delays the request. */
      readonly retryInMs?: number;
      /** Turn of the caller in the retry schedule of the service at this allocator. */
      readonly turnInMs?: number;
    };

export const SLOTS_METHOD = 'slots.ask';
