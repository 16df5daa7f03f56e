/**
 * Indexes the configuration document and the facts for the routing of requests. Facts are records
 * that all VMs replicate by gossip, such as the announcements of backend servers.
 */
import { FACT_KEYS, isLeaving, announcementTimeoutMs, readSlowdown } from '@spoolplank/membership';
import type {
  BackendFact,
  DocumentCache,
  Fact,
  FactTable,
  LoadFact,
  MemberFact,
  CapacityFact,
  SystemFact,
} from '@spoolplank/membership';
import { createRouteTable, findDocumentConflict } from '@spoolplank/routing';
import type { RouteTable, RoutingDocument } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface RoutingViewOptions<Document extends { readonly version: number }> {
  readonly clock: Clock;
  readonly table: FactTable<SystemFact>;
  readonly documents: DocumentCache<Document>;
  readonly readDocument: (document: Document) => RoutingDocument;
  /**
   * Time of the last reply of this entry's control VM. Ages are measured up to this time, so that
   * facts do not expire while no control VM replies.
   */
  readonly syncedAtMs: () => number;
  readonly announcementMs: number;
  /**
   * The load that this entry published last. The sums over all entries include it; it is
   * subtracted.
   */
  readonly ownPublishedLoad: () => LoadFact['inFlight'];
}

export interface RoutingView {
  /** Null before the first document. */
  routes(): RouteTable | null;
  /** Backend servers of a service that accept requests. */
  listBackends(service: string): readonly BackendFact[];
  /** Members of a role; the same list until facts or ages are evaluated again. */
  listMembers(role: MemberFact['role']): readonly MemberFact[];
  /** Requests that other entries have in flight on the chain with the given first engine. */
  othersInFlight(headId: string): number;
  /** The capacities that the allocators of the data centres published; some may be outdated. */
  listCapacities(): readonly Fact<CapacityFact>[];
  /** The rate limit of a server as published by any allocator; null when there is none. */
  limitPerSOf(instanceId: string): number | null;
  /** Time up to which ages are measured, on this VM's clock: the last reply of a control VM. */
  referenceMs(): number;
  /** Factor by which an engine is slower than others of its kind. */
  slowdownOf(instanceId: string): number;
  /** The backend server that last announced itself at an address. */
  findByAddress(address: string): Fact<SystemFact> | undefined;
  /** Increases with every change that affects where requests are sent. */
  readonly revision: number;
}

/**
 * Age from which a member counts as lost: two exchanges with the full wait, and one that was lost.
 */
const MEMBER_LOST_MS = 2600;
/** Interval at which ages are evaluated when no fact changes. */
const REFRESH_MS = 200;

export function createRoutingView<Document extends { readonly version: number }>(
  options: RoutingViewOptions<Document>,
): RoutingView {
  const { clock, table, documents, readDocument, syncedAtMs, announcementMs } = options;
  let routes: RouteTable | null = null;
  let refreshedAtMs = Number.NEGATIVE_INFINITY;
  let lastTableRevision = -1;
  let revision = 0;
  /** Everything that affects where requests are sent, in a stable order. */
  let signature: (BackendFact | number)[] = [];
  let backends = new Map<string, BackendFact[]>();
  let members: MemberFact[] = [];
  /** Lists of members by role, built on demand. */
  let membersByRole = new Map<MemberFact['role'], readonly MemberFact[]>();
  let byAddress = new Map<string, Fact<SystemFact>>();
  let inFlight = new Map<string, number>();
  let capacities: Fact<CapacityFact>[] = [];
  let limitsPerS = new Map<string, number>();

  function isSuspected(instanceId: string, sequence: number): boolean {
    const suspicion = table.find(FACT_KEYS.suspicion(instanceId));
    // Fractional sequence numbers come from the control plane, not from the engine itself.
    return suspicion !== undefined && suspicion.sequence >= Math.floor(sequence);
  }

  function currentRoutes(): RouteTable | null {
    const { current } = documents;
    if (current && routes?.document.version !== current.version) {
      routes = createRouteTable(readDocument(current));
    }
    return routes;
  }

  function addBackend(fact: Fact<SystemFact>, body: BackendFact, nowMs: number): void {
    // A departure notice in a response overrides announcements that were made before it.
    if (body.state !== 'ready' || isLeaving(table, body.instanceId)) return;
    const isLost = nowMs - fact.receivedAtMs > announcementTimeoutMs(announcementMs);
    if (isLost || isSuspected(body.instanceId, fact.sequence)) return;
    const document = currentRoutes()?.document;
    if (document && findDocumentConflict(body, document) !== null) return;
    const known = backends.get(body.service);
    if (known) known.push(body);
    else backends.set(body.service, [body]);
    signature.push(body, Math.round(readSlowdown(table, body.instanceId, clock.nowMs())));
  }

  function addLoad({ inFlight: loads }: LoadFact): void {
    Object.entries(loads).forEach(([headId, count]) => {
      inFlight.set(headId, (inFlight.get(headId) ?? 0) + count);
    });
  }

  function addCapacity(fact: Fact<CapacityFact>, ageMs: number): void {
    capacities.push(fact);
    if (ageMs >= MEMBER_LOST_MS) return;
    Object.entries(fact.body.limitsPerS ?? {}).forEach(([instanceId, perS]) =>
      limitsPerS.set(instanceId, Math.min(perS, limitsPerS.get(instanceId) ?? perS)),
    );
  }

  function findReferenceMs(): number {
    return Math.min(clock.nowMs(), syncedAtMs());
  }

  function refresh(): void {
    const nowMs = clock.nowMs();
    if (table.revision === lastTableRevision && nowMs - refreshedAtMs < REFRESH_MS) return;
    lastTableRevision = table.revision;
    refreshedAtMs = nowMs;
    backends = new Map();
    members = [];
    membersByRole = new Map();
    byAddress = new Map();
    inFlight = new Map();
    capacities = [];
    limitsPerS = new Map();
    const previousSignature = signature;
    signature = [];
    const facts = table.list();
    const referenceMs = findReferenceMs();
    // An address may have been taken over: the backend server that announced it last owns it.
    facts.forEach((fact) => {
      if (fact.body.kind !== 'backend') return;
      const known = byAddress.get(fact.body.address);
      if (!known || known.receivedAtMs < fact.receivedAtMs) byAddress.set(fact.body.address, fact);
    });
    facts.forEach((fact) => {
      const { body, receivedAtMs } = fact;
      const ageMs = referenceMs - receivedAtMs;
      if (body.kind === 'backend') {
        if (byAddress.get(body.address) === fact) addBackend(fact, body, referenceMs);
      } else if (body.kind === 'member' && ageMs < MEMBER_LOST_MS) members.push(body);
      else if (body.kind === 'load' && ageMs < MEMBER_LOST_MS) addLoad(body);
      else if (body.kind === 'capacity') addCapacity({ ...fact, body }, ageMs);
    });
    const isSame =
      signature.length === previousSignature.length &&
      signature.every((part, index) => part === previousSignature[index]);
    if (!isSame) revision += 1;
  }

  return {
    routes: currentRoutes,
    listBackends(service) {
      refresh();
      return backends.get(service) ?? [];
    },
    listMembers(role) {
      refresh();
      const known = membersByRole.get(role);
      if (known) return known;
      const list = members.filter((member) => member.role === role);
      membersByRole.set(role, list);
      return list;
    },
    othersInFlight(headId) {
      refresh();
      const own = options.ownPublishedLoad()[headId] ?? 0;
      return Math.max(0, (inFlight.get(headId) ?? 0) - own);
    },
    listCapacities() {
      refresh();
      return capacities;
    },
    limitPerSOf(instanceId) {
      refresh();
      return limitsPerS.get(instanceId) ?? null;
    },
    referenceMs: findReferenceMs,
    slowdownOf: (instanceId) => readSlowdown(table, instanceId, clock.nowMs()),
    findByAddress(address) {
      refresh();
      return byAddress.get(address);
    },
    get revision() {
      refresh();
      return revision;
    },
  };
}
