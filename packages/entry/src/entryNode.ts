/** The role `entry` with everything it needs injected. */
import type { StoredDocument } from '@spoolplank/control';
import {
  createDocumentCache,
  createFactTable,
  createFeedClient,
  FACT_KEYS,
} from '@spoolplank/membership';
import type {
  BackendFact,
  FactUpdate,
  FeedReply,
  LoadFact,
  MemberFact,
  SystemFact,
} from '@spoolplank/membership';
import { delay, scheduleTimer } from '@spoolplank/node';
import type { EventLog, Metrics, PeerClient } from '@spoolplank/node';
import { createBackendLoadTable, createWindowBudget, drawTarget } from '@spoolplank/routing';
import type { RoutingDocument, WindowBudget } from '@spoolplank/routing';
import { rankByRendezvous, SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { createAddressBook } from './addressBook';
import type { AddressBook } from './addressBook';
import type { BackendOperations } from './backendOperations';
import type { CallerAnswer, CallerRequest } from './callerRequest';
import { createChainChoice } from './chainChoice';
import type { AdmittedRequest, EntryContext, RequestEnd } from './entryContext';
import { createPlainDispatch } from './plainDispatch';
import { createRoutingView } from './routingView';
import { createSourceChoice } from './sourceChoice';
import { createStreamDispatch } from './streamDispatch';
import { createStreamRepair } from './streamRepair';
import { createStreamTable } from './streamTable';

/** A budget of retries that all entries share. */
export interface RetryLimits {
  readonly windowMs: number;
  readonly ratio: number;
  /** Retries in a window beyond that, for the whole deployment. */
  readonly allowance: number;
}

export interface EntryNodeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: PeerClient;
  /** Unique to this run of the process. */
  readonly run: string;
  readonly vmId: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  /** Hosts of control VMs, as the settings name them. */
  readonly seeds: () => readonly string[];
  readonly controlPeerPort: number;
  readonly operations: BackendOperations;
  readonly readDocument: (document: StoredDocument) => RoutingDocument;
  readonly announcementMs: number;
  readonly retryLimits: RetryLimits;
  /** How long a key may still be served after it was taken away. */
  readonly revocationMs: number;
  readonly onDocument: (document: RoutingDocument) => void;
}

export interface EntryNode {
  readonly addresses: AddressBook;
  start(): void;
  /** Serves one request to its end. */
  handle(request: CallerRequest, answer: CallerAnswer): Promise<void>;
  isReady(): boolean;
  /** Leaves the addresses; requests that still come are served. */
  beginLeaving(): void;
  /** From now on new requests are refused as not run. */
  refuseNew(): void;
  readonly inFlight: number;
  stop(): void;
  describe(): JsonValue;
}

/** An exchange held back this long costs 1.25 exchanges a second and process. */
const FEED_WAIT_MS = 800;
const FEED_TIMEOUT_MS = 1400;
const FEED_RETRY_MS = 100;
const TICK_MS = 40;
const RETENTION_MS = 60_000;
const SWEEP_TICKS = 250;
/** Suspicions are repeated so long, for a control VM that was just exchanged for another. */
const SUSPICION_REPEAT_MS = 5000;
/** So long an engine is left out here that could not take its part: it is full, or leaving. */
const AVOID_MS = 500;
/** An engine of another data centre that did not answer: until its announcement would be missed. */
const REMOTE_AVOID_MS = 1200;
/** Share of the revocation bound at which a confirmation is too old; the rest is for the way. */
const FRESH_SHARE = 0.85;
/** Share of the deployment's allowance that is handed out; one may not know of all entries. */
const ALLOWANCE_SHARE = 0.5;
const RATIO_SHARE = 0.75;
/** A process that starts has its document after the core has elected a leader. */
const START_MS = 1800;
const START_POLL_MS = 20;
const STALE_RETRY_AFTER_MS = 1000;
const LEAVING_RETRY_AFTER_MS = 50;

export function createEntryNode(options: EntryNodeOptions): EntryNode {
  const { clock, random, log, metrics, peers, run, host, dataCentre, readDocument } = options;
  const documents = createDocumentCache<StoredDocument>(clock);
  const memberKey = FACT_KEYS.member(host, run);
  const loadKey = FACT_KEYS.load(host, run);
  const streams = createStreamTable(clock);
  const avoidedUntilMs = new Map<string, number>();
  const suspicions = new Map<string, { readonly sequence: number; readonly atMs: number }>();
  const budgets = new Map<string, WindowBudget>();
  const openRequests = new Set<CallerRequest>();
  const startedAtMs = clock.nowMs();
  let sequence = 0;
  let statedLoad: LoadFact['inFlight'] = {};
  let ticks = 0;
  let isLeaving = false;
  let isRefusing = false;
  let isStopped = false;

  let onSuspicion = () => {};
  let syncedAtMs = () => Number.NEGATIVE_INFINITY;
  const table = createFactTable<SystemFact>({
    clock,
    instance: run,
    isUrgent: ({ kind }) => kind === 'suspicion',
    onUrgent: () => onSuspicion(),
  });
  const view = createRoutingView({
    clock,
    table,
    documents,
    readDocument,
    syncedAtMs: () => syncedAtMs(),
    announcementMs: options.announcementMs,
    ownStatedLoad: () => statedLoad,
  });

  function isSuspected(instanceId: string): boolean {
    const suspicion = table.find(FACT_KEYS.suspicion(instanceId));
    const announced = table.find(FACT_KEYS.backend(instanceId));
    return suspicion !== undefined && suspicion.sequence >= Math.floor(announced?.sequence ?? 0);
  }

  function toUpdate(key: string, factSequence: number, body: SystemFact): FactUpdate<SystemFact> {
    return { key, sequence: factSequence, ageMs: 0, body };
  }

  function isFresh(): boolean {
    return documents.confirmedAgeMs() < options.revocationMs * FRESH_SHARE;
  }

  function isReadyToRoute(): boolean {
    return documents.current !== null && isFresh();
  }

  function isReady(): boolean {
    return !isLeaving && isReadyToRoute();
  }

  function memberState(): MemberFact['state'] {
    if (isLeaving) return 'leaving';
    return isReady() ? 'ready' : 'starting';
  }

  function memberFact(): MemberFact {
    return {
      kind: 'member',
      vmId: options.vmId,
      dataCentre,
      host,
      role: 'entry',
      callerAddress: options.callerAddress,
      state: memberState(),
    };
  }

  function listStatements(): readonly FactUpdate<SystemFact>[] {
    sequence += 1;
    const nowMs = clock.nowMs();
    statedLoad = streams.counts();
    const load: SystemFact = { kind: 'load', inFlight: statedLoad };
    const member = memberFact();
    table.put(memberKey, sequence, member);
    const recent = [...suspicions].filter(([, { atMs }]) => nowMs - atMs < SUSPICION_REPEAT_MS);
    return [
      toUpdate(memberKey, sequence, member),
      toUpdate(loadKey, sequence, load),
      ...recent.map(([instanceId, suspicion]) =>
        toUpdate(FACT_KEYS.suspicion(instanceId), suspicion.sequence, {
          kind: 'suspicion',
          instanceId,
        }),
      ),
    ];
  }

  /**
   * Control VMs in the order of preference: of this data centre first, and among those in an
   * order of this entry's own, so that entries spread over them.
   */
  function listSources(): readonly string[] {
    const members = view.listMembers('control');
    const local = members.filter((member) => member.dataCentre === dataCentre);
    const rank = (list: readonly MemberFact[]) =>
      rankByRendezvous(
        host,
        list.map((member) => member.host),
      );
    return [...new Set([...rank(local), ...rank(members), ...options.seeds()])];
  }

  const sources = createSourceChoice({ clock, list: listSources });
  const feed = createFeedClient<SystemFact, StoredDocument>({
    clock,
    table,
    documents,
    statements: listStatements,
    async exchange(request) {
      const source = sources.current();
      const target = { vmId: source, host: source, port: options.controlPeerPort };
      try {
        const reply = await peers.call<FeedReply<SystemFact, StoredDocument>>(
          target,
          'feed.exchange',
          request,
          FEED_TIMEOUT_MS,
        );
        sources.noteAnswer(reply.confirmedAgeMs);
        return reply;
      } catch (error) {
        sources.fail();
        throw error;
      }
    },
    delay,
    waitMs: FEED_WAIT_MS,
    retryMs: FEED_RETRY_MS,
    onDocument({ version }) {
      const routes = view.routes();
      log.info('document-in-force', { version, routes: routes?.document.routes.length });
      if (routes) options.onDocument(routes.document);
    },
    onState: (isConnected, problem) =>
      log.info(isConnected ? 'control-regained' : 'control-lost', {
        problem,
        confirmedAgeMs: Math.round(Math.min(documents.confirmedAgeMs(), RETENTION_MS)),
      }),
  });

  syncedAtMs = () => feed.syncedAtMs;

  function avoid(instanceId: string, durationMs = AVOID_MS): void {
    avoidedUntilMs.set(instanceId, clock.nowMs() + durationMs);
  }

  function isAvoided(instanceId: string): boolean {
    return (avoidedUntilMs.get(instanceId) ?? 0) > clock.nowMs();
  }

  function suspect(instanceId: string, evidence: string): void {
    const announced = table.find(FACT_KEYS.backend(instanceId));
    const factSequence = Math.floor(announced?.sequence ?? 0);
    const known = suspicions.get(instanceId);
    if (known && known.sequence >= factSequence) return;
    // From another data centre, the way there may be at fault: that is no matter for others.
    if ((announced?.body as BackendFact | undefined)?.dataCentre !== dataCentre) {
      if (isAvoided(instanceId)) return;
      avoid(instanceId, REMOTE_AVOID_MS);
      log.info('engine-avoided', { instanceId, evidence });
      return;
    }
    suspicions.set(instanceId, { sequence: factSequence, atMs: clock.nowMs() });
    log.warn('engine-suspected', {
      instanceId,
      address: (announced?.body as BackendFact | undefined)?.address,
      evidence,
      announcedAgeMs: announced ? Math.round(clock.nowMs() - announced.heardAtMs) : null,
    });
    metrics.count('spoolplank_engines_suspected_total', { evidence });
    table.put(FACT_KEYS.suspicion(instanceId), factSequence, { kind: 'suspicion', instanceId });
    void feed.push();
  }

  function budgetOf(service: string): WindowBudget {
    const known = budgets.get(service);
    if (known) return known;
    const { windowMs, ratio, allowance } = options.retryLimits;
    const budget = createWindowBudget({
      clock,
      windowMs,
      ratio: ratio * RATIO_SHARE,
      allowance: () =>
        (allowance * ALLOWANCE_SHARE) / Math.max(1, view.listMembers('entry').length),
    });
    budgets.set(service, budget);
    return budget;
  }

  const context: EntryContext = {
    clock,
    random,
    log,
    metrics,
    dataCentre,
    view,
    operations: options.operations,
    loads: createBackendLoadTable(),
    budgetOf,
    factsAgeMs: () => clock.nowMs() - feed.syncedAtMs,
  };
  const chains = createChainChoice({
    view,
    random,
    dataCentre,
    ownInFlight: (headId) => streams.countOn(headId),
    firstEventMs: (headId) => streams.firstEventMs(headId),
    isAvoided,
  });
  const repair = createStreamRepair({ context, streams, chains, suspect, avoid });
  onSuspicion = () => repair.repairSuspected(isSuspected);
  const plain = createPlainDispatch(context);
  const stream = createStreamDispatch({
    context,
    streams,
    chains,
    examine: (instanceId, address) => repair.examine(instanceId, address),
    avoid,
  });

  function staleError(): SpoolplankError {
    const startsForMs = Math.max(0, START_MS - (clock.nowMs() - startedAtMs));
    const retryAfterMs = Math.max(STALE_RETRY_AFTER_MS, startsForMs);
    return new SpoolplankError('settings-stale', { retryAfterMs });
  }

  /**
   * A process that has just started has its document within a second or two: until then requests
   * wait, for a bounded time, rather than being refused by every entry after a loss of power.
   */
  async function waitForStart(): Promise<void> {
    const endsAtMs = startedAtMs + START_MS;
    while (!isReadyToRoute() && clock.nowMs() < endsAtMs) await delay(START_POLL_MS);
  }

  /** Finds out where a request may go; throws what it is refused with. */
  function admit(request: CallerRequest, answer: CallerAnswer): AdmittedRequest {
    if (isRefusing) {
      throw new SpoolplankError('shutting-down', { retryAfterMs: LEAVING_RETRY_AFTER_MS });
    }
    const routes = view.routes();
    if (!routes) throw staleError();
    const route = routes.findRoute(request.host, request.url);
    const needsKey = routes.document.isKeyRequired && !route?.isAnonymousAllowed;
    // Without a fresh confirmation nothing is known of routes and keys that came or went lately.
    if ((needsKey || !route) && !isFresh()) throw staleError();
    if (!route) throw new SpoolplankError('not-found');
    const organisation = request.key === null ? undefined : routes.findOrganisation(request.key);
    if (needsKey && !organisation) throw new SpoolplankError('unauthorized');
    const limitMs = Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    return {
      request,
      answer,
      route,
      service: drawTarget(route.targets, random).service,
      organisation: organisation ?? null,
      endsAtMs: request.arrivedAtMs + limitMs,
    };
  }

  function dispatch(admitted: AdmittedRequest): Promise<RequestEnd> {
    const { service, route } = admitted;
    const model = view.routes()?.document.services.find(({ name }) => name === service)?.model;
    return model && route.kind === 'stream' ? stream.run(admitted, model) : plain.run(admitted);
  }

  function report(request: CallerRequest, end: RequestEnd, fields: Record<string, string>): void {
    const durationMs = clock.nowMs() - request.arrivedAtMs;
    metrics.count('spoolplank_requests_total', { outcome: end.outcome, route: fields.route ?? '' });
    metrics.observe('spoolplank_request_duration_ms', durationMs, { outcome: end.outcome });
    const isGood = end.outcome === 'served' || end.outcome === 'caller-left';
    log[isGood ? 'info' : 'warn']('request-ended', {
      requestId: request.id,
      ...fields,
      outcome: end.outcome,
      status: end.status,
      attempts: end.attempts,
      servedBy: end.servedBy,
      firstByteMs: end.firstByteMs === null ? null : Math.round(end.firstByteMs),
      durationMs: Math.round(durationMs),
      documentVersion: documents.current?.version ?? null,
      confirmedAgeMs: Math.round(Math.min(documents.confirmedAgeMs(), RETENTION_MS)),
      factsAgeMs: Math.round(Math.min(context.factsAgeMs(), RETENTION_MS)),
    });
  }

  function tick(): void {
    if (isStopped) return;
    ticks += 1;
    repair.tick();
    if (ticks % SWEEP_TICKS === 0) table.sweep(RETENTION_MS);
    scheduleTimer(tick, TICK_MS);
  }

  return {
    addresses: createAddressBook({
      view,
      random,
      selfAddress: options.callerAddress,
      ownAddress: () => (isReady() ? options.callerAddress : null),
    }),
    start() {
      tick();
      void feed.run();
    },
    async handle(request, answer) {
      let route = '';
      let service = '';
      openRequests.add(request);
      try {
        if (!isReadyToRoute()) await waitForStart();
        const admitted = admit(request, answer);
        route = admitted.route.name;
        service = admitted.service;
        report(request, await dispatch(admitted), { route, service });
      } catch (error) {
        const known = toSpoolplankError(error);
        answer.refuse(known);
        const end: RequestEnd = {
          outcome: known.outcome === 'not-run' ? 'refused' : 'failed',
          status: known.httpStatus,
          attempts: 0,
          servedBy: [],
          firstByteMs: null,
        };
        report(request, end, { route, service, code: known.code, problem: known.message });
      } finally {
        openRequests.delete(request);
      }
    },
    isReady,
    beginLeaving() {
      isLeaving = true;
      log.info('leaving');
      void feed.push();
    },
    refuseNew() {
      isRefusing = true;
    },
    get inFlight() {
      return openRequests.size;
    },
    stop() {
      isStopped = true;
      feed.stop();
    },
    describe: () =>
      ({
        documentVersion: documents.current?.version ?? null,
        confirmedAgeMs: documents.confirmedAgeMs(),
        inFlight: streams.counts(),
        facts: table.list(),
      }) as unknown as JsonValue,
  };
}
