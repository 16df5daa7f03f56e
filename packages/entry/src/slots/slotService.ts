/**
 * Slot allocation on one entry: the allocator that grants slots to the VMs that ask this VM, and
 * the client that requests slots for this VM's own requests. A slot is the permission to put the
 * load of one request on a chain of engines.
 */
import { FACT_KEYS } from '@spoolplank/membership';
import type { FactUpdate, MemberFact, CapacityFact, SystemFact } from '@spoolplank/membership';
import { delay, scheduleTimer } from '@spoolplank/node';
import type { EventLog, Metrics, PeerClient, PeerMethod } from '@spoolplank/node';
import type {
  ModelDescription,
  BackoffTable,
  DecisionSettings,
  PathStage,
} from '@spoolplank/routing';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import type { ChainChoice } from '../dispatch/chainChoice';
import { createLimitAccount } from '../limits/limitAccount';
import { createPermitFinder } from '../limits/permitFinder';
import type { PermitFinder } from '../limits/permitFinder';
import type { ServerLimits } from '../limits/serverLimits';
import type { RoutingView } from '../gossip/routingView';
import type { StreamTable } from '../dispatch/streamTable';
import { createAllocatorRank } from './allocatorRank';
import { rankDataCentres } from './dataCentreRank';
import { createSlotAllocator } from './slotAllocator';
import { createSlotClient } from './slotClient';
import { createSlotFinder } from './slotFinder';
import type { SlotFinder } from './slotFinder';
import { createTargetMisses } from './targetMisses';
import { SLOTS_METHOD } from './slotMessages';
import type { SlotCall, SlotReply } from './slotMessages';

export interface SlotServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: PeerClient;
  /** Unique to this incarnation of the process. */
  readonly run: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly view: RoutingView;
  readonly streams: StreamTable;
  readonly chains: ChainChoice;
  /** Whether slots are granted by the load of each engine of a path. */
  readonly isSharingEngines: boolean;
  /** Engines that this entry avoids for now, as they rejected a request. */
  readonly listAvoided: () => readonly string[];
  /** Engines that this entry must not send to: they asked it for a backoff, or are leaving. */
  readonly listClosed: () => readonly string[];
  readonly backoffs: BackoffTable;
  /** Rate limits that servers set in their answers to this VM. */
  readonly limits: ServerLimits;
  /** Number of known entries, including this one. */
  readonly countEntries: () => number;
  /** The data centre of a server; undefined if unknown. */
  readonly dataCentreOf: (instanceId: string) => string | undefined;
  /** Whether this VM has recently exchanged facts with all others. */
  readonly isMembershipComplete: () => boolean;
  readonly decisions: DecisionSettings;
}

export interface SlotService {
  readonly finder: SlotFinder;
  /** Permits for requests to plain servers. */
  readonly permits: PermitFinder;
  /** The VM that allocates the slots of a data centre; undefined if there is none. */
  findAllocator(dataCentre: string): MemberFact | undefined;
  /** Methods that other entries call on this VM. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Records that a stream on a chain of a data centre ended, which releases its slot. */
  recordReleased(dataCentre: string, ticket: string): void;
  /** Renews the leases that are due, and returns the time until the next one is. */
  tick(): number;
  /** Removes expired limits. */
  sweep(): void;
  /** The capacity of this data centre to publish; empty unless this VM is its allocator. */
  listOutgoingFacts(): readonly FactUpdate<SystemFact>[];
  describe(): JsonValue;
}

/**
 * Age from which a published capacity is ignored. Capacities are published every 800 ms and pass
 * through two control VMs, one of which may be lost.
 */
const CAPACITY_LIFETIME_MS = 3500;

export function createSlotService(options: SlotServiceOptions): SlotService {
  const { clock, log, metrics, peers, host, run, dataCentre, view, streams, chains } = options;
  const { limits, decisions, isSharingEngines } = options;

  // Starts from the wall clock, so that it grows over restarts and a late statement of an earlier
  // incarnation never counts as newer.
  let statementSequence = Math.floor(clock.wallMs());

  const rank = createAllocatorRank({ clock, listEntries: () => view.listMembers('entry') });

  function modelOf(service: string): ModelDescription | undefined {
    return view.routes()?.document.services.find(({ name }) => name === service)?.model;
  }

  function prefillFactorOf({ id, address }: PathStage, service: string): number {
    const body = view.findByAddress(address)?.body;
    const kindName = body?.kind === 'backend' ? body.engine?.acceleratorKind : undefined;
    const kind = modelOf(service)?.kinds.find(({ name }) => name === kindName);
    return (kind?.readFactor ?? 1) * view.slowdownOf(id);
  }

  /** The longest target to a first event of the routes of a service, if their targets differ. */
  function longestTargetMs(service: string): number | undefined {
    const routes = view.routes()?.document.routes ?? [];
    let shortestMs = Number.POSITIVE_INFINITY;
    let longestMs = 0;
    routes.forEach(({ kind, targets, targetLatencyMs }) => {
      if (kind !== 'stream' || !targets.some((target) => target.service === service)) return;
      shortestMs = Math.min(shortestMs, targetLatencyMs);
      longestMs = Math.max(longestMs, targetLatencyMs);
    });
    return longestMs > shortestMs ? longestMs : undefined;
  }

  const isAllocator = () => rank.find(dataCentre)?.host === host;
  const account = createLimitAccount({
    clock,
    log,
    metrics,
    isOwner: () => options.isMembershipComplete() && rank.findOwner(dataCentre) === host,
    countEntries: options.countEntries,
  });

  const allocator = createSlotAllocator({
    clock,
    delay,
    host,
    dataCentre,
    chains: isSharingEngines ? chains : { listOf: chains.listOf },
    modelOf,
    listServers: (service) =>
      view.listBackends(service).filter((fact) => fact.dataCentre === dataCentre),
    limits: account,
    reportedInFlight: (headId) => view.othersInFlight(headId) + streams.countOn(headId),
    firstEventMs: (headId) => streams.firstEventMs(headId),
    isAllocator,
    isConfigured: () => view.routes() !== null,
    prefillFactorOf,
    log,
    metrics,
    decisions,
    longestTargetMs,
    onGranted: createTargetMisses({ clock, log, metrics }),
  });

  async function call(target: MemberFact, params: SlotCall, timeoutMs: number): Promise<SlotReply> {
    if (target.host === host) return allocator.answer(params);
    const peer = { vmId: target.host, host: target.host, port: target.peerPort ?? 0 };
    return peers.call<SlotReply>(peer, SLOTS_METHOD, params, { timeoutMs });
  }

  function listServices(): readonly string[] {
    const services = view.routes()?.document.services ?? [];
    return services.filter(({ model }) => model).map(({ name }) => name);
  }

  const client = createSlotClient({
    clock,
    holder: `${host}/${run}`,
    dataCentre,
    rank,
    call,
    listHeld: (name) => streams.listHeld(name),
    ...(isSharingEngines ? { pathOf: streams.pathOf } : {}),
    listAvoided: options.listAvoided,
    listClosed: options.listClosed,
    listLimits: (name) =>
      limits.list().filter(({ instanceId }) => options.dataCentreOf(instanceId) === name),
    onUnlimited: limits.recordUnlimited,
    schedule: scheduleTimer,
    onFailure: (target, problem) =>
      log.info('allocator-silent', {
        allocator: target.host,
        dataCentre: target.dataCentre,
        problem,
      }),
  });

  limits.onReport((report) => {
    const home = options.dataCentreOf(report.instanceId);
    if (home !== undefined) client.reportLimit(home, report);
  });

  /** Rate limits in this data centre, published for VMs that have had no answer from the server. */
  function listLimitsPerS(): CapacityFact['limitsPerS'] {
    const inForce = account.list().flatMap(({ instanceId, perS }) => {
      const entry: readonly [string, number][] = perS === null ? [] : [[instanceId, perS]];
      return entry;
    });
    return inForce.length > 0 ? Object.fromEntries(inForce) : undefined;
  }

  return {
    permits: createPermitFinder({ clock, slots: client }),
    sweep: account.sweep,
    finder: createSlotFinder({
      clock,
      random: options.random,
      delay,
      streams,
      chains,
      slots: client,
      backoffs: options.backoffs,
      decisions: options.decisions,
      hasAllocator: (name) => rank.findOwner(name) !== undefined,
      rankDataCentres: (service) =>
        rankDataCentres({
          own: dataCentre,
          capacities: view.listCapacities(),
          service,
          oldestMs: view.referenceMs() - CAPACITY_LIFETIME_MS,
        }),
    }),
    methods: {
      [SLOTS_METHOD]: async (params) =>
        (await allocator.answer(params as unknown as SlotCall)) as unknown as JsonValue,
    },
    findAllocator: (name) => rank.find(name),
    recordReleased: (name, ticket) => client.recordReleased(name, ticket),
    tick: () => client.tick(),
    listOutgoingFacts() {
      if (!isAllocator()) return [];
      statementSequence += 1;
      const services = listServices().map((name) => [name, allocator.capacityOf(name)] as const);
      const limitsPerS = listLimitsPerS();
      const body: CapacityFact = {
        kind: 'capacity',
        dataCentre,
        services: Object.fromEntries(services),
        ...(limitsPerS ? { limitsPerS } : {}),
      };
      return [
        { key: FACT_KEYS.capacity(dataCentre, host), sequence: statementSequence, ageMs: 0, body },
      ];
    },
    describe: () => ({
      waiting: allocator.waiting,
      holders: allocator.holders,
      shares: allocator.describeShares(),
      limits: account.list().map((limit) => ({ ...limit })),
    }),
  };
}
