/** The role `entry` with everything it needs injected. */
import type { StoredDocument } from '@spoolplank/control';
import {
  createDocumentCache,
  createFactTable,
  createSiblingRests,
  isRestart,
  retentionOf,
} from '@spoolplank/membership';
import type { FactUpdate, LoadFact, SystemFact, SystemFactKind } from '@spoolplank/membership';
import { scheduleTimer } from '@spoolplank/node';
import type { EventLog, Metrics, PeerClient, PeerMethod } from '@spoolplank/node';
import { createBackendLoadTable } from '@spoolplank/routing';
import type { RoutingDocument } from '@spoolplank/routing';
import { toSpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { createAddressBook } from './addressBook';
import type { AddressBook } from './addressBook';
import type { BackendOperations } from './backendOperations';
import type { CallerAnswer, CallerRequest } from './callerRequest';
import { createCrashGuard, isGuardFact } from './crashGuard';
import type { GuardFact } from './crashGuard';
import { createEngineHealth } from './engineHealth';
import type { AdmittedRequest, EntryContext, RequestEnd } from './entryContext';
import { createEntryFeed } from './entryFeed';
import { createEntryStatements } from './entryStatements';
import { createPlainDispatch } from './plainDispatch';
import { createReadiness } from './readiness';
import { createRequestAdmission } from './requestAdmission';
import { contentOf } from './requestContent';
import { createRequestReport, toRequestEnd } from './requestReport';
import { createRetryBudgets } from './retryBudgets';
import type { RetryLimits } from './retryBudgets';
import { createRoutingView } from './routingView';
import { guardOperations } from './guardedOperations';
import { createServerNotices } from './serverNotices';
import { createStreamPath } from './streamPath';
import { createStreamTable } from './streamTable';
import type { StreamRow } from './streamTable';

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
  /** Where other entries call this one. */
  readonly peerPort: number;
  readonly operations: BackendOperations;
  readonly readDocument: (document: StoredDocument) => RoutingDocument;
  readonly announcementMs: number;
  readonly retryLimits: RetryLimits;
  /** How long a key may still be served after it was taken away. */
  readonly revocationMs: number;
  readonly onDocument: (document: RoutingDocument) => void;
  /** Whether new connections of callers can be accepted; a VM that cannot is not ready. */
  readonly canAccept?: () => boolean;
}

export interface EntryNode {
  readonly addresses: AddressBook;
  /** What other VMs call here. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  start(): void;
  /** Serves one request to its end. */
  handle(request: CallerRequest, answer: CallerAnswer): Promise<void>;
  isReady(): boolean;
  /** Lets a content be run again that is in quarantine; false when nothing is held against it. */
  releaseContent(digest: string): boolean;
  /** Leaves the addresses; requests that still come are served. */
  beginLeaving(): void;
  /** From now on new requests are refused as not run. */
  refuseNew(): void;
  readonly inFlight: number;
  stop(): void;
  describe(): JsonValue;
}

const TICK_MS = 40;
const SWEEP_TICKS = 250;
/** Facts that this VM acts on as soon as it hears of them. */
const URGENT_FACTS: ReadonlySet<SystemFactKind> = new Set<SystemFactKind>([
  'suspicion',
  'crash',
  'acquittal',
  'open-run',
]);

export function createEntryNode(options: EntryNodeOptions): EntryNode {
  const { clock, random, log, metrics, peers, run, host, dataCentre, readDocument } = options;
  const documents = createDocumentCache<StoredDocument>(clock);
  let placeStatements = (): readonly FactUpdate<SystemFact>[] => [];
  let onStreamEnd = (_row: StreamRow): void => {};
  const streams = createStreamTable({ clock, onEnd: (row) => onStreamEnd(row) });
  const openRequests = new Set<CallerRequest>();
  let statedLoad = (): LoadFact['inFlight'] => ({});
  let ticks = 0;
  let firstSyncedAtMs = Number.POSITIVE_INFINITY;
  let isStopped = false;

  let onEngineLoss = () => {};
  let onGuardFact = (_body: GuardFact): void => {};
  let crashStatements = (): readonly FactUpdate<SystemFact>[] => [];
  let syncedAtMs = () => Number.NEGATIVE_INFINITY;
  const table = createFactTable<SystemFact>({
    clock,
    instance: run,
    isUrgent: (body, before) => URGENT_FACTS.has(body.kind) || isRestart(body, before),
    onUrgent(body) {
      if (isGuardFact(body)) onGuardFact(body);
      else onEngineLoss();
    },
  });
  const view = createRoutingView({
    clock,
    table,
    documents,
    readDocument,
    syncedAtMs: () => syncedAtMs(),
    announcementMs: options.announcementMs,
    ownStatedLoad: () => statedLoad(),
  });

  let spread = () => {};
  const health = createEngineHealth({
    clock,
    log,
    metrics,
    table,
    dataCentre,
    spread: () => spread(),
  });

  const siblingRests = createSiblingRests({
    table,
    host,
    role: 'entry',
    call: peers.call,
    onUntold: (problem, word) => log.info('rest-untold', { ...word, problem }),
  });
  const notices = createServerNotices({
    clock,
    log,
    metrics,
    table,
    findByAddress: view.findByAddress,
    spread: () => spread(),
    onRest: siblingRests.tell,
  });
  options.operations.onNotice(notices.take);
  siblingRests.onWord(notices.noteRest);

  const readiness = createReadiness({
    documents,
    revocationMs: options.revocationMs,
    canAccept: options.canAccept,
  });

  const statements = createEntryStatements({
    table,
    run,
    vmId: options.vmId,
    host,
    dataCentre,
    callerAddress: options.callerAddress,
    peerPort: options.peerPort,
    state: readiness.memberState,
    inFlight: () => streams.counts(),
    listSuspicions: () => health.listStatements(),
  });
  statedLoad = () => statements.statedLoad;

  const feed = createEntryFeed({
    clock,
    log,
    peers,
    host,
    dataCentre,
    table,
    documents,
    statements: () => [
      ...statements.list(),
      ...placeStatements(),
      ...crashStatements(),
      ...notices.listStatements(),
    ],
    listControlMembers: () => view.listMembers('control'),
    seeds: options.seeds,
    controlPeerPort: options.controlPeerPort,
    onDocument({ version }) {
      const routes = view.routes();
      log.info('document-in-force', { version, routes: routes?.document.routes.length });
      if (routes) options.onDocument(routes.document);
    },
  });

  syncedAtMs = () => feed.syncedAtMs;
  spread = () => {
    void feed.push();
  };

  let isThere = (_address: string): Promise<boolean> => Promise.resolve(true);
  const guard = createCrashGuard({
    clock,
    random,
    log,
    metrics,
    host,
    table,
    view,
    streams,
    health,
    isThere: (address) => isThere(address),
    spread: () => spread(),
  });
  const { quarantine, crashes } = guard;
  onGuardFact = guard.onFact;
  crashStatements = quarantine.listStatements;

  const countEntries = () => view.listMembers('entry').length;
  const context: EntryContext = {
    clock,
    random,
    log,
    metrics,
    dataCentre,
    view,
    operations: guardOperations(options.operations, notices),
    loads: createBackendLoadTable(),
    budgetOf: createRetryBudgets({
      clock,
      limits: options.retryLimits,
      entries: countEntries,
      firstSyncedAtMs: () => firstSyncedAtMs,
    }),
    quarantine,
    crashes,
    notices,
    factsAgeMs: () => clock.nowMs() - feed.syncedAtMs,
  };
  const plain = createPlainDispatch(context);
  const stream = createStreamPath({
    context,
    streams,
    health,
    guard,
    peers,
    run,
    host,
    countEntries,
  });
  const { places, repair } = stream;
  onStreamEnd = (row) => places.noteReturn(row.dataCentre, row.ticket);
  placeStatements = () => places.listStatements();
  ({ isThere } = repair);
  onEngineLoss = () => repair.repairLost(health.isLost);

  const admission = createRequestAdmission({ clock, random, view, ...readiness });

  function dispatch(admitted: AdmittedRequest): Promise<RequestEnd> {
    const { service, route } = admitted;
    const model = view.routes()?.document.services.find(({ name }) => name === service)?.model;
    return model && route.kind === 'stream'
      ? stream.dispatch.run(admitted, model)
      : plain.run(admitted);
  }

  const report = createRequestReport({
    clock,
    log,
    metrics,
    documentVersion: () => documents.current?.version ?? null,
    confirmedAgeMs: () => documents.confirmedAgeMs(),
    factsAgeMs: context.factsAgeMs,
  });

  function tick(): void {
    if (isStopped) return;
    ticks += 1;
    const isSynced = Number.isFinite(feed.syncedAtMs);
    if (isSynced) firstSyncedAtMs = Math.min(firstSyncedAtMs, clock.steadyMs());
    repair.tick();
    places.tick();
    crashes.tick();
    if (ticks % SWEEP_TICKS === 0) {
      table.sweep(retentionOf);
      guard.sweep();
      notices.sweep();
    }
    scheduleTimer(tick, TICK_MS);
  }

  return {
    addresses: createAddressBook({
      view,
      selfAddress: options.callerAddress,
      ownAddress: () => (readiness.isReady() ? options.callerAddress : null),
    }),
    methods: { ...stream.methods, ...siblingRests.methods },
    start() {
      tick();
      void feed.run();
    },
    async handle(request, answer) {
      let route = '';
      let service = '';
      openRequests.add(request);
      try {
        const admitted = await admission.admit(request, answer);
        route = admitted.route.name;
        service = admitted.service;
        // A repetition has a new id, and may come to any VM: what it carries is what counts.
        quarantine.check(contentOf(admitted));
        report(request, await dispatch(admitted), { route, service });
      } catch (error) {
        const known = toSpoolplankError(error);
        answer.refuse(known);
        const fields = { route, service, code: known.code, problem: known.message };
        report(request, toRequestEnd(known), fields);
      } finally {
        openRequests.delete(request);
      }
    },
    isReady: readiness.isReady,
    releaseContent: (digest) => quarantine.release(digest),
    beginLeaving() {
      readiness.beginLeaving();
      log.info('leaving');
      void feed.push();
    },
    refuseNew: () => admission.refuseNew(),
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
        places: places.describe(),
        quarantine: quarantine.describe(),
        rests: notices.describe(),
        facts: table.list(),
      }) as unknown as JsonValue,
  };
}
