/**
 * Obtains permits for requests to rate-limited plain servers, which are servers of services without
 * a model. A permit allows one request. It is represented as a slot on a chain with the server as
 * its only stage, and granted by the allocator that also grants the slots of streams.
 */
import type { BackendFact } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';
import type { AdmittedRequest } from '../entryContext';
import type { SlotClient, SlotOutcome, SlotRequest } from '../slots/slotClient';

/** A request for which all available servers are rate-limited. */
export interface PermitSearch {
  readonly admitted: AdmittedRequest;
  /** Unique to the attempt. */
  readonly ticket: string;
  /** Servers that were already tried. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Whether the request may wait for a permit. A wait may end in a refusal as `not-run`, so a
   * request that may have run does not wait.
   */
  readonly mayWait: boolean;
}

/** Rate-limited servers, of one or several data centres. */
export type LimitedServers = readonly Pick<BackendFact, 'instanceId' | 'dataCentre'>[];

/** Permission to send one request to a server. */
export interface Permit {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly ticket: string;
}

export type PermitOutcome =
  | { readonly kind: 'permitted'; readonly permit: Permit }
  | { readonly kind: 'refused'; readonly retryInMs: number | null }
  /** No allocator answered. */
  | { readonly kind: 'unavailable' };

export interface PermitFinder {
  /** Tries once to get a permit for one of several servers of one data centre. */
  tryAcquire(search: PermitSearch, servers: LimitedServers): Promise<Permit | undefined>;
  /** Waits for a permit for one of several servers, within the time limits of the request. */
  acquire(search: PermitSearch, servers: LimitedServers): Promise<PermitOutcome>;
  /** Records that the request sent under a permit has ended. */
  recordEnded(permit: Permit): void;
}

export interface PermitFinderOptions {
  readonly clock: Clock;
  readonly slots: Pick<SlotClient, 'find' | 'tryFind' | 'recordReleased'>;
}

/** Equal to the time for which a stream waits for a slot. */
const MAX_WAIT_MS = 1200;
/**
 * Share of the remaining time for which a request waits; the rest is left for the run and for
 * another attempt on a different server.
 */
const MAX_WAIT_SHARE = 0.5;
/** A permit takes no memory of a chain, so it has no size. */
const PERMIT_SIZE = 0;

export function createPermitFinder({ clock, slots }: PermitFinderOptions): PermitFinder {
  function toRequest(search: PermitSearch, servers: LimitedServers): SlotRequest {
    const { admitted, ticket, excluded } = search;
    const { answer, request, route, organisation, callerAgeMs, service, deadlineAtMs } = admitted;
    const { arrivedAtMs } = request;
    const nowMs = clock.nowMs();
    const latestWaitMs = nowMs + (deadlineAtMs - nowMs) * MAX_WAIT_SHARE;
    const dataCentres = [...new Set(servers.map(({ dataCentre }) => dataCentre))];
    const queueDeadlineAtMs = Math.min(arrivedAtMs + MAX_WAIT_MS, latestWaitMs);
    return {
      ticket,
      service,
      size: PERMIT_SIZE,
      priority: organisation?.priority ?? route.priority,
      hasBegun: false,
      isRetry: callerAgeMs > route.targetLatencyMs,
      arrivedAtMs,
      latestStartAtMs: arrivedAtMs - callerAgeMs + route.targetLatencyMs,
      queueDeadlineAtMs,
      heads: servers.map(({ instanceId }) => instanceId),
      excludedHeads: excluded,
      rankDataCentres: () => dataCentres.map((dataCentre) => ({ dataCentre, hasCapacity: true })),
      isAbandoned: () => answer.isClosed || clock.nowMs() >= queueDeadlineAtMs,
    };
  }

  function toOutcome(outcome: SlotOutcome, ticket: string): PermitOutcome {
    if (outcome.kind === 'unavailable') return outcome;
    if (outcome.kind === 'refused') {
      return { kind: 'refused', retryInMs: outcome.retryInMs ?? null };
    }
    const { headId, dataCentre } = outcome.chain;
    return { kind: 'permitted', permit: { instanceId: headId, dataCentre, ticket } };
  }

  return {
    async tryAcquire(search, servers) {
      const { ticket } = search;
      const dataCentre = servers[0]?.dataCentre ?? '';
      const chain = await slots.tryFind(toRequest(search, servers), dataCentre);
      return chain && { instanceId: chain.headId, dataCentre, ticket };
    },
    async acquire(search, servers) {
      return toOutcome(await slots.find(toRequest(search, servers)), search.ticket);
    },
    recordEnded({ dataCentre, ticket }) {
      slots.recordReleased(dataCentre, ticket);
    },
  };
}
