/**
 * Determines which chains of a data centre may serve a request, and selects the best of them. A
 * chain is a sequence of engines that together hold all layers of a model. A plain server, which
 * serves requests without a model, counts as a chain with a single stage.
 *
 * If an engine asked one VM for a backoff, its chains are excluded for that VM alone, as other VMs
 * may still use them. An engine that rejected a request of a VM in this data centre is excluded for
 * all VMs for a short time; otherwise each VM would run into the same rejection.
 */
import type { ServiceCapacity } from '@spoolplank/membership';
import { createEngineLoads, freeRequests, usedShare } from '@spoolplank/routing';
import type { ModelDescription } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { BackendTarget } from '../dispatch/backendOperations';
import type { PathLayout, RatedChain } from '../dispatch/chainCatalog';
import type { ChainChoice } from '../dispatch/chainChoice';
import type { LimitAccount } from '../limits/limitAccount';
import { choosePath, createLayoutTiming } from './pathChoice';
import type { ChosenPath, LayoutTiming, PathCandidate } from './pathChoice';
import { createPathBacklogs, indexOfLeast } from './pathBacklogs';
import { createPathLoads } from './pathLoads';
import type { PathLoadsOptions } from './pathLoads';
import type { SlotAsk, SlotCall } from './slotMessages';

export interface SlotChainsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly dataCentre: string;
  /** Without `layoutOf`, slots are granted by the load of each head. */
  readonly chains: Pick<ChainChoice, 'listOf'> & Partial<Pick<ChainChoice, 'layoutOf'>>;
  readonly modelOf: (service: string) => ModelDescription | undefined;
  /** Plain servers of a service in this data centre. */
  readonly listServers: (service: string) => readonly BackendTarget[];
  /** Permits for servers of this data centre that set a rate limit. */
  readonly limits: Pick<LimitAccount, 'limitPerSOf' | 'ratePerS' | 'hasPermit'>;
  /** Total size in flight on a chain. */
  readonly inFlightOn: (headId: string) => number;
  /** Load by engine; required with `layoutOf`. */
  readonly engineLoads?: PathLoadsOptions['engineLoads'];
  /** Recent time to first event on a chain. */
  readonly firstEventMs: (headId: string) => number;
  /** The longest target to a first event of the routes of a service; undefined if all are equal. */
  readonly longestTargetMs?: (service: string) => number | undefined;
}

export interface SlotChains {
  /** Records the engines that rejected a request of the asking VM. */
  recordAvoided(call: SlotCall): void;
  /** The best chain with a free slot for a request; undefined if there is none. */
  findBest(ask: SlotAsk): ChosenPath | undefined;
  /** Counts the prefill of a granted request on the engines of its path. */
  recordGranted(ask: SlotAsk, chosen: ChosenPath): void;
  /** Whether some chain can serve the request, now or after waiting. */
  hasUsable(ask: SlotAsk): boolean;
  /**
   * Whether every chain has rejected the request or is closed to the asking VM, so that waiting
   * cannot help. For a stream that has begun, only closed chains count: the chains that failed
   * under it may be repaired while it waits.
   */
  isTurnedAway(ask: SlotAsk): boolean;
  /** Slots per second that rate limits allow; null if some usable chain has no limit. */
  limitedRate(ask: SlotAsk): number | null;
  /** Capacity and load in flight of the chains of a service with a model. */
  capacityOf(service: string): Pick<ServiceCapacity, 'capacity' | 'inFlight'>;
}

/** Stands for infinity, which JSON cannot represent. */
const UNBOUNDED = Number.MAX_SAFE_INTEGER;
/** Share of a chain for new streams; the rest is reserved for streams that have begun. */
const ADMITTED_SHARE = 0.94;
/**
 * Time for which an engine that rejected a request of one VM is excluded for all VMs. After this
 * time it is known whether the engine is lost. Without the exclusion, a request of each VM would be
 * rejected by it.
 */
const AVOID_MS = 300;
/** Typical duration of a stream, for the number of permits that count as capacity. */
const TYPICAL_STREAM_S = 3;
/** A time to first event of this length costs as much as a full chain. */
const SLOW_FIRST_EVENT_MS = 500;

/** Represents a plain server as a chain with a single stage. */
function toSingleChain({ instanceId, address }: BackendTarget): RatedChain {
  const stage = { id: instanceId, address, firstLayer: 0, endLayer: 0 };
  return { headId: instanceId, stages: [stage], capacity: UNBOUNDED };
}

/** The heads of chains. A layout may have several paths for a head. */
function headsOf(chains: readonly RatedChain[], layout: PathLayout | undefined): readonly string[] {
  const heads = chains.map(({ headId }) => headId);
  return layout ? [...new Set(heads)] : heads;
}

export function createSlotChains(options: SlotChainsOptions): SlotChains {
  const { clock, dataCentre, chains, limits, inFlightOn } = options;
  const avoidedUntilMs = new Map<string, number>();
  const { engineLoads = () => createEngineLoads() } = options;
  const loads = createPathLoads({ engineLoads, inFlightOn });
  const timings = new WeakMap<PathLayout, LayoutTiming>();
  const backlogs = createPathBacklogs({ clock });

  /**
   * Ignores calls from other data centres, as the network path from there may be at fault rather
   * than the engine.
   */
  function recordAvoided({ dataCentre: from, ask }: SlotCall): void {
    if (from !== dataCentre || !ask) return;
    const untilMs = clock.nowMs() + AVOID_MS;
    ask.avoidedIds.forEach((id) => avoidedUntilMs.set(id, untilMs));
  }

  function isAvoided(id: string, ask: SlotAsk): boolean {
    return ask.avoidedIds.includes(id) || (avoidedUntilMs.get(id) ?? 0) > clock.nowMs();
  }

  /** Whether the asking VM must not send to an engine of the chain; other VMs may still use it. */
  function isClosed({ stages }: RatedChain, { closedIds = [] }: SlotAsk): boolean {
    return closedIds.length > 0 && stages.some(({ id }) => closedIds.includes(id));
  }

  function isUsable(chain: RatedChain, ask: SlotAsk): boolean {
    if (ask.excludedHeads.includes(chain.headId) || isClosed(chain, ask)) return false;
    return !chain.stages.some(({ id }) => isAvoided(id, ask));
  }

  function hasFreeSlot({ headId, capacity }: RatedChain, { size, hasBegun }: SlotAsk): boolean {
    const inFlight = inFlightOn(headId);
    // An idle chain takes any request: one larger than its capacity fits on no other chain either.
    if (inFlight === 0) return true;
    return inFlight + size <= capacity * (hasBegun ? 1 : ADMITTED_SHARE);
  }

  /** Whether a path has room for a request on each of its engines, as `loads` has them. */
  function hasFreePath(
    { stages, headId }: RatedChain,
    { rooms }: PathLayout,
    ask: SlotAsk,
  ): boolean {
    const headSize = inFlightOn(headId);
    const isIdle = headSize === 0 && stages.every(({ id }) => loads.loadOf(id) === 0);
    const share = ask.hasBegun ? 1 : ADMITTED_SHARE;
    return (
      isIdle || freeRequests(stages, rooms, { loadOf: loads.loadOf, headSize, share }) >= ask.size
    );
  }

  /** Capacity of a chain, bounded by what its rate limit admits within the time of one stream. */
  function usableCapacity({ headId, capacity }: Omit<RatedChain, 'stages'>): number {
    if (limits.limitPerSOf(headId) === null) return capacity;
    const permittedSoon = limits.ratePerS(headId) * TYPICAL_STREAM_S;
    return Math.min(capacity, inFlightOn(headId) + permittedSoon);
  }

  /** Used share of a chain; `layout` is set where the load of each engine decides. */
  function usedShareOf(
    { headId, stages, capacity }: RatedChain,
    layout: PathLayout | undefined,
  ): number {
    const headSize = inFlightOn(headId);
    if (!layout) return headSize / Math.max(1, capacity);
    return usedShare(stages, layout.rooms, { loadOf: loads.loadOf, headSize });
  }

  /** Cost of a chain by its load and latency. */
  function costOf(chain: RatedChain, layout: PathLayout | undefined): number {
    const slowness = options.firstEventMs(chain.headId) / SLOW_FIRST_EVENT_MS;
    return usedShareOf(chain, layout) + slowness;
  }

  function layoutOf(service: string): PathLayout | undefined {
    const model = options.modelOf(service);
    return model && chains.layoutOf?.(service, model, dataCentre);
  }

  function timingOf(layout: PathLayout, model: ModelDescription): LayoutTiming {
    const known = timings.get(layout);
    if (known) return known;
    const timing = createLayoutTiming(layout, model, loads.loadOf);
    timings.set(layout, timing);
    return timing;
  }

  /** Whether an ask has the longest of the different targets of its service's routes. */
  function isPatient({ service, targetFirstEventMs }: SlotAsk): boolean {
    if (targetFirstEventMs === undefined) return false;
    return targetFirstEventMs === options.longestTargetMs?.(service);
  }

  /**
   * The ask itself says whether it is for a chain or for plain servers. This VM may have an older
   * configuration than the asking VM, or none, and must not treat an engine as a plain server.
   */
  function listChains({ service, heads }: SlotAsk): readonly RatedChain[] {
    if (heads) {
      const servers = options.listServers(service);
      return servers.filter(({ instanceId }) => heads.includes(instanceId)).map(toSingleChain);
    }
    const model = options.modelOf(service);
    if (!model) return [];
    const listed = layoutOf(service)?.paths ?? chains.listOf(service, model, dataCentre);
    return listed.filter(({ capacity }) => capacity >= 1);
  }

  function listUsable(ask: SlotAsk): readonly RatedChain[] {
    return listChains(ask).filter((chain) => isUsable(chain, ask));
  }

  function isTurnedAway(ask: SlotAsk): boolean {
    const own = listChains(ask);
    const isUnavailable = (chain: RatedChain) =>
      isClosed(chain, ask) || (!ask.hasBegun && ask.excludedHeads.includes(chain.headId));
    return own.length > 0 && own.every(isUnavailable);
  }

  function limitedRate(ask: SlotAsk): number | null {
    const usable = listUsable(ask);
    const isLimited = ({ headId }: RatedChain) => limits.limitPerSOf(headId) !== null;
    if (usable.length === 0 || !usable.every(isLimited)) return null;
    const heads = headsOf(usable, layoutOf(ask.service));
    return heads.reduce((sum, headId) => sum + limits.ratePerS(headId), 0);
  }

  return {
    recordAvoided,
    findBest(ask) {
      const model = options.modelOf(ask.service);
      const layout = ask.heads ? undefined : layoutOf(ask.service);
      const sharing = layout && !loads.isKnownByHead(layout) ? layout : undefined;
      const patient = isPatient(ask);
      const isTimed = layout && model && (sharing || layout.hasSlow || patient);
      if (isTimed) loads.refresh(layout);
      const isFree = (chain: RatedChain) =>
        sharing ? hasFreePath(chain, sharing, ask) : hasFreeSlot(chain, ask);
      const permitted = listUsable(ask).filter(({ headId }) => limits.hasPermit(headId));
      // The load of full paths matters only to requests with a long target.
      const listed = isTimed && patient ? permitted : permitted.filter(isFree);
      const loadCosts = listed.map((chain) =>
        listed !== permitted || isFree(chain) ? costOf(chain, sharing) : Number.POSITIVE_INFINITY,
      );
      if (!layout || !model) return listed[indexOfLeast(loadCosts)];
      const timing = timingOf(layout, model);
      const timed = { model, layout, timing };
      const costs = backlogs.rank(listed, loadCosts, ask, timed);
      if (!isTimed) return listed[indexOfLeast(costs)];
      const candidates = listed.map((chain, index): PathCandidate => ({
        chain,
        isFree: loadCosts[index] !== Number.POSITIVE_INFINITY,
        isBacklogged: patient && backlogs.isBacklogged(chain, ask, timed),
        cost: costs[index] ?? 0,
        usedShare: usedShareOf(chain, sharing),
      }));
      return choosePath(candidates, ask, { timing, isPatient: patient });
    },
    recordGranted(ask, { stages }) {
      const model = options.modelOf(ask.service);
      const layout = ask.heads ? undefined : layoutOf(ask.service);
      if (model && layout) backlogs.recordGranted(stages, ask, { model, paces: layout.paces });
    },
    hasUsable: (ask) => listUsable(ask).length > 0,
    isTurnedAway,
    limitedRate,
    capacityOf(service) {
      const layout = layoutOf(service);
      const model = options.modelOf(service);
      const own = layout?.paths ?? (model ? chains.listOf(service, model, dataCentre) : []);
      const headIds = headsOf(own, layout);
      const inFlight = headIds.reduce((sum, headId) => sum + inFlightOn(headId), 0);
      const bounded =
        layout && !layout.isDisjoint
          ? headIds.map((headId) => ({
              headId,
              capacity: layout.rooms.get(headId)?.slots ?? 0,
            }))
          : own;
      const usable = bounded.reduce((sum, chain) => sum + usableCapacity(chain), 0);
      const capacity = Math.min(usable, layout?.capacity ?? usable);
      return { capacity: Math.floor(capacity), inFlight: Math.ceil(inFlight) };
    },
  };
}
