/**
 * Selects a chain for a stream among the chains of all data centres, by load. A chain is a sequence
 * of engines that together hold all layers of a model, identified by its first engine.
 */
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import type { Random } from '@spoolplank/shared';
import { createChainCatalog } from './chainCatalog';
import type { PathLayout, RatedChain } from './chainCatalog';
import { createPathRepair } from '../repair/pathRepair';
import type { EntryPosition, PathRepair } from '../repair/pathRepair';
import type { RoutingView } from '../gossip/routingView';

export interface ChainChoiceOptions {
  readonly view: RoutingView;
  readonly random: Random;
  readonly dataCentre: string;
  /** Requests that this entry has in flight on the chain with the given first engine. */
  readonly ownInFlight: (headId: string) => number;
  /** Number of entries that share the chains, including this one. */
  readonly countEntries: () => number;
  /**
   * Estimate of the requests that other entries have started on that chain but not reported yet.
   */
  readonly unreportedInFlight: (headId: string) => number;
  /** Recent time to first event on the chain with the given first engine, in milliseconds. */
  readonly firstEventMs: (headId: string) => number;
  /** Whether an engine is excluded for now, by instance id. */
  readonly isAvoided: (instanceId: string) => boolean;
  /** Remaining backoff of an engine towards this VM, in milliseconds; 0 when there is none. */
  readonly backoffMsOf: (instanceId: string) => number;
  /** Whether this VM may send to a first engine without a permit from the allocator. */
  readonly maySendWithoutPermit: (headId: string) => boolean;
  /** Position of this VM among the entries; by default it counts as the only one. */
  readonly position?: () => EntryPosition;
}

export interface ChosenChain {
  readonly dataCentre: string;
  /** First engine of the chain, which identifies the chain. */
  readonly headId: string;
  readonly stages: readonly PathStage[];
  /** Requests of usual size that fit into the chain's memory and the slots of its first engine. */
  readonly capacity: number;
  /** Requests in flight on the chain, as far as this entry knows. */
  readonly inFlight: number;
  /** VM that granted the slot; null when this VM selected the chain itself. */
  readonly grantedBy: string | null;
  /** Whether the slot includes a permit under the rate limit that the first engine named. */
  readonly hasPermit: boolean;
  /**
   * Whether the chain has capacity for a new stream, without the share reserved for resumed ones.
   */
  readonly hasCapacity: boolean;
  /**
   * Whether the chain can take a resumed stream; resumed streams may also use the reserved share.
   */
  readonly hasCapacityForResumed: boolean;
}

export interface ChainChoice {
  /**
   * Selects a chain for a new stream, by default in any data centre; undefined when no chain covers
   * all layers.
   */
  choose(
    service: string,
    model: ModelDescription,
    excludedHeads: ReadonlySet<string>,
    acceptsDataCentre?: (dataCentre: string) => boolean,
  ): ChosenChain | undefined;
  /**
   * Time until the first chain of a service is out of backoff, in milliseconds; 0 when some chain
   * is out of backoff now, or when there is no chain.
   */
  backoffEndsInMs(
    service: string,
    model: ModelDescription,
    excludedHeads: ReadonlySet<string>,
  ): number;
  /** All chains of a data centre, including those that are full or have an engine in backoff. */
  listOf(service: string, model: ModelDescription, dataCentre: string): readonly RatedChain[];
  /** All paths on which the allocator of a data centre may grant slots. */
  layoutOf(service: string, model: ModelDescription, dataCentre: string): PathLayout;
  /** Finds another path for a running stream that keeps its first stage. */
  readonly repair: PathRepair;
}

/** A chain and the data centre of its engines. */
interface LocatedChain {
  readonly dataCentre: string;
  readonly chain: RatedChain;
}

interface Candidate {
  readonly chain: ChosenChain;
  /** Load, distance and latency combined; a full chain of this data centre costs 1. */
  readonly cost: number;
  readonly isLocal: boolean;
}

/** Cost of sending to another data centre; a full chain costs 1. */
const REMOTE_PENALTY = 0.25;
/** Share of a chain that new streams may occupy; the rest is reserved for resumed streams. */
const NEW_STREAM_SHARE = 0.92;
/**
 * Share of a chain's capacity up to which an entry may exceed its own quota. The load of the other
 * entries is known with a delay of up to two seconds, so a margin is left: an overfilled chain
 * preempts requests and repeats their prefill.
 */
const BORROWING_SHARE = 0.8;
/** A time to first event of this length costs as much as a full chain. */
const SLOW_FIRST_EVENT_MS = 500;

/**
 * Draws two candidates at random instead of comparing all of them. Entries learn of each other's
 * load with a delay, so otherwise all of them would choose, and overfill, the same emptiest chain.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
function pickTwo<Item>(items: readonly Item[], random: Random): readonly Item[] {
  if (items.length <= 2) return items;
  const first = random.nextInt(items.length);
  const second = (first + 1 + random.nextInt(items.length - 1)) % items.length;
  return [items[first], items[second]].flatMap((item) => item ?? []);
}

function findCheapest(candidates: readonly Candidate[]): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (best, candidate) => (best && best.cost <= candidate.cost ? best : candidate),
    undefined,
  );
}

export function createChainChoice(options: ChainChoiceOptions): ChainChoice {
  const { view, random, isAvoided, ownInFlight, backoffMsOf } = options;
  const catalog = createChainCatalog({ view, isAvoided });
  const repair = createPathRepair({
    random,
    catalog,
    backoffMsOf,
    position: options.position,
  });

  function toCandidate(chain: RatedChain, dataCentre: string): Candidate {
    const { headId, stages, capacity } = chain;
    const own = ownInFlight(headId);
    const reported = own + view.othersInFlight(headId);
    const inFlight = reported + options.unreportedInFlight(headId);
    const isLocal = dataCentre === options.dataCentre;
    const latencyCost = options.firstEventMs(headId) / SLOW_FIRST_EVENT_MS;
    const cost = inFlight / Math.max(1, capacity) + (isLocal ? 0 : REMOTE_PENALTY) + latencyCost;
    const newStreamCapacity = capacity * NEW_STREAM_SHARE;
    // An entry may always use its own quota of a chain, because the quotas of all entries add up to
    // no more than its capacity. Beyond the quota, it uses what the others appear to leave free.
    const ownQuota = newStreamCapacity / Math.max(1, options.countEntries());
    const hasCapacity = own < ownQuota || inFlight < capacity * BORROWING_SHARE;
    const hasCapacityForResumed = hasCapacity || inFlight < capacity;
    const chosen = {
      dataCentre,
      headId,
      stages,
      capacity,
      inFlight,
      grantedBy: null,
      hasPermit: false,
      hasCapacity,
      hasCapacityForResumed,
    };
    return { chain: chosen, cost, isLocal };
  }

  function listChains(
    service: string,
    model: ModelDescription,
    excludedHeads: ReadonlySet<string>,
  ): readonly LocatedChain[] {
    return catalog.listDataCentres(service).flatMap((dataCentre) =>
      catalog
        .listOf(service, model, dataCentre)
        .filter(({ headId }) => !excludedHeads.has(headId))
        .map((chain) => ({ dataCentre, chain })),
    );
  }

  /** Time until no engine of a chain is in backoff. */
  function chainBackoffMs({ stages }: RatedChain): number {
    return stages.reduce((longestMs, { id }) => Math.max(longestMs, backoffMsOf(id)), 0);
  }

  function listCandidates(
    service: string,
    model: ModelDescription,
    excludedHeads: ReadonlySet<string>,
  ): readonly Candidate[] {
    // The catalog ignores backoffs, because its chains are also allocated to other VMs, whereas a
    // backoff applies to this VM only.
    return listChains(service, model, excludedHeads)
      .filter(
        ({ chain }) => chainBackoffMs(chain) === 0 && options.maySendWithoutPermit(chain.headId),
      )
      .map(({ chain, dataCentre }) => toCandidate(chain, dataCentre));
  }

  return {
    listOf: catalog.listOf,
    layoutOf: catalog.layoutOf,
    backoffEndsInMs(service, model, excludedHeads) {
      const backoffsMs = listChains(service, model, excludedHeads).map(({ chain }) =>
        chainBackoffMs(chain),
      );
      return backoffsMs.length === 0 ? 0 : Math.min(...backoffsMs);
    },
    choose(service, model, excludedHeads, isWanted = () => true) {
      const candidates = listCandidates(service, model, excludedHeads).filter(({ chain }) =>
        isWanted(chain.dataCentre),
      );
      const local = candidates.filter(({ isLocal }) => isLocal);
      const remote = candidates.filter(({ isLocal }) => !isLocal);
      const sampled = findCheapest([...pickTwo(local, random), ...pickTwo(remote, random)]);
      // No stream is refused while any chain has capacity left.
      if (sampled?.chain.hasCapacity) return sampled.chain;
      const withCapacity = candidates.filter(({ chain }) => chain.hasCapacity);
      return (findCheapest(withCapacity) ?? findCheapest(candidates))?.chain;
    },
    repair,
  };
}
