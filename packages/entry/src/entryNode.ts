/** Wires the components of the role `entry` from injected dependencies. */
import type { StoredDocument } from '@spoolplank/control';
import {
  createSiblingBackoffs,
  DEFAULT_CHANGE_BOUNDS,
  deriveConfirmationTimings,
  findBackend,
  hasRestarted,
} from '@spoolplank/membership';
import type { ChangeBounds, LoadFact } from '@spoolplank/membership';
import { delay, scheduleTimer } from '@spoolplank/node';
import type {
  ClientMemory,
  EventLog,
  Metrics,
  PeerClient,
  PeerMethod,
  ServerLinks,
  TunnelServerOptions,
} from '@spoolplank/node';
import { createServerPaths } from '@spoolplank/reach';
import { createBackendLoadTable, DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { DecisionSettings, RoutingDocument } from '@spoolplank/routing';
import { toSpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { createAddressBook } from './addressBook';
import type { AddressBook } from './addressBook';
import type { BackendOperations } from './dispatch/backendOperations';
import type { CallerAnswer, CallerRequest } from './callerRequest';
import { createCrashGuard, isGuardFact } from './quarantine/crashGuard';
import { findDeparture } from './repair/engineDepartures';
import { createEngineHealth } from './repair/engineHealth';
import type { AdmittedRequest, EntryContext, RequestEnd } from './entryContext';
import { createEntryFacts } from './gossip/entryFacts';
import { createSelfFacts } from './gossip/selfFacts';
import { createServerLimits } from './limits/serverLimits';
import { createEndCheck } from './dispatch/answerCompletion';
import type { AnswerMemory } from './dispatch/answerMemory';
import { createPlainDispatch } from './dispatch/plainDispatch';
import { createPeriodicWork } from './periodicWork';
import { createReadingGaps } from './admission/readingGaps';
import { createReadiness } from './readiness';
import { createRequestAdmission } from './admission/requestAdmission';
import { contentOf } from './quarantine/requestContent';
import { createRequestReport, toRequestEnd } from './requestReport';
import { createCreditRequests } from './admission/creditRequests';
import { createHeldReports } from './admission/heldReports';
import { createOpenRetries } from './admission/openRetries';
import { createRetryBudgets } from './admission/retryBudgets';
import { createLoanCalls, createRetryLoans } from './admission/retryLoans';
import type { RetryLimits } from './admission/retryBudgets';
import { guardOperations } from './dispatch/guardedOperations';
import { createServerNotices } from './dispatch/serverNotices';
import { createUnreadSendings } from './dispatch/unreadSendings';
import { createSyncHistory } from './gossip/syncHistory';
import { createStreamPath } from './dispatch/streamPath';
import { createStreamTable } from './dispatch/streamTable';
import type { StreamRow } from './dispatch/streamTable';

export interface EntryNodeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: PeerClient;
  /** Identifies this incarnation of the process. */
  readonly run: string;
  readonly vmId: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  /** Hosts of control VMs named in the settings. */
  readonly seeds: () => readonly string[];
  readonly controlPeerPort: number;
  /** Port on which other entries call this one. */
  readonly peerPort: number;
  readonly operations: BackendOperations;
  /** Connections to backend servers; without them, no other VM is used to reach a server. */
  readonly links?: ServerLinks;
  readonly readDocument: (document: StoredDocument) => RoutingDocument;
  readonly announcementMs: number;
  readonly retryLimits: RetryLimits;
  /** Maximum time for which a revoked key may still be served. */
  readonly revocationMs: number;
  /** How soon a change of the document is in force. */
  readonly changeBounds?: ChangeBounds;
  readonly onDocument: (document: RoutingDocument) => void;
  /** Whether the VM can accept new connections of callers; it is not ready while it cannot. */
  readonly canAccept?: () => boolean;
  /** Switches and bounds of the decisions under load. */
  readonly decisions?: DecisionSettings;
  /** Memory for answers that have not ended. */
  readonly answerMemory: AnswerMemory;
  /** Memory for requests that are not answered; only described here. */
  readonly requestMemory: Pick<ClientMemory, 'bytes' | 'maxBytes'>;
}

export interface EntryNode {
  readonly addresses: AddressBook;
  /** RPC methods that other VMs call on this one. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** How this VM connects to backend servers for other VMs; undefined without links. */
  readonly tunnels?: TunnelServerOptions;
  start(): void;
  /** Serves one request until its response has ended. */
  handle(request: CallerRequest, answer: CallerAnswer): Promise<void>;
  isReady(): boolean;
  /** Releases a content from quarantine; returns false when nothing is recorded against it. */
  releaseContent(digest: string): boolean;
  /**
   * Withdraws this entry from the address lists of callers; requests that still arrive are served.
   */
  beginDraining(): void;
  /** Refuses new requests as not run from now on. */
  refuseNewRequests(): void;
  /** Number of requests that are being served. */
  readonly inFlight: number;
  stop(): void;
  describe(): JsonValue;
}

export function createEntryNode(options: EntryNodeOptions): EntryNode {
  const { clock, random, log, metrics, peers, run, host, dataCentre } = options;
  const { changeBounds = DEFAULT_CHANGE_BOUNDS } = options;
  const { refusalLimitMs } = deriveConfirmationTimings(changeBounds);
  const openRequests = new Set<CallerRequest>();
  let onStreamEnd = (_row: StreamRow): void => {};
  let publishedLoad = (): LoadFact['inFlight'] => ({});
  const streams = createStreamTable({ clock, onEnd: (row) => onStreamEnd(row) });
  const facts = createEntryFacts({ ...options, publishedLoad: () => publishedLoad() });
  const { table, documents, view, exchangeNow } = facts;
  const health = createEngineHealth({
    clock,
    log,
    metrics,
    table,
    dataCentre,
    exchangeNow,
  });
  const siblingBackoffs = createSiblingBackoffs({
    table,
    host,
    role: 'entry',
    call: peers.call,
    onUndelivered: (problem, directive) =>
      log.info('backoff-undelivered', { ...directive, problem }),
  });
  const notices = createServerNotices({
    clock,
    log,
    metrics,
    table,
    findByAddress: view.findByAddress,
    exchangeNow,
    onBackoff: siblingBackoffs.send,
  });
  options.operations.onNotice(notices.applyNotice);
  siblingBackoffs.onDirective(notices.recordBackoff);

  const readiness = createReadiness({
    documents,
    revocationMs: options.revocationMs,
    refusalLimitMs,
    canAccept: options.canAccept,
  });

  const selfFacts = createSelfFacts({
    table,
    run,
    vmId: options.vmId,
    host,
    dataCentre,
    callerAddress: options.callerAddress,
    peerPort: options.peerPort,
    state: readiness.memberState,
    inFlight: () => streams.counts(),
    listSuspicions: () => health.listOutgoingFacts(),
  });
  publishedLoad = () => selfFacts.publishedLoad;

  let isServerLost = (_address: string): Promise<boolean> => Promise.resolve(false);
  let isServerLostNow = isServerLost;
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
    isReachable: async (address) => !(await isServerLost(address)),
    exchangeNow,
  });
  const { quarantine, crashes } = guard;

  const countEntries = () => view.listMembers('entry').length;
  const limits = createServerLimits({ clock, random, log, metrics, countEntries });
  const syncHistory = createSyncHistory({ clock, syncedAtMs: () => facts.syncedAtMs });
  const askForLoan = createLoanCalls({
    clock,
    peers,
    controlPeerPort: options.controlPeerPort,
    listSources: facts.listSources,
    delay,
  });
  const borrower = `${host}/${run}`;
  const loans = createRetryLoans({ clock, log, metrics, delay, borrower, ask: askForLoan });
  const { windowMs: retryWindowMs } = options.retryLimits;
  const openRetries = createOpenRetries({ clock, windowMs: retryWindowMs });
  const credits = createCreditRequests({ clock, windowMs: retryWindowMs });
  const heldReports = createHeldReports({
    clock,
    log,
    borrower,
    open: openRetries,
    loans,
    credits,
    ask: askForLoan,
  });
  const budgetOf = createRetryBudgets({
    clock,
    log,
    metrics,
    limits: options.retryLimits,
    loans,
    open: openRetries,
    credits,
    runningStreams(service) {
      const heads = view.listBackends(service).map(({ instanceId }) => instanceId);
      const runningOn = (headId: string) => streams.countOn(headId) + view.othersInFlight(headId);
      return heads.reduce((sum, headId) => sum + runningOn(headId), 0);
    },
  });
  const unread = createUnreadSendings({
    clock,
    log,
    metrics,
    hasRestarted: (instanceId) => hasRestarted(table, instanceId),
  });
  const context: EntryContext = {
    clock,
    random,
    log,
    metrics,
    dataCentre,
    view,
    operations: guardOperations(options.operations, {
      clock,
      metrics,
      notices,
      budgetOf,
      limits,
      unread,
    }),
    loads: createBackendLoadTable(),
    budgetOf,
    quarantine,
    crashes,
    answerMemory: options.answerMemory,
    checkEnd: createEndCheck({
      isServerLost: (address) => isServerLostNow(address),
      isLeaving({ instanceId, address }) {
        const body = view.findByAddress(address)?.body;
        const isReady = body?.kind === 'backend' && body.state === 'ready';
        return !isReady || notices.closedReason(instanceId) === 'leaves';
      },
    }),
    notices,
    limits,
    decisions: options.decisions ?? DEFAULT_DECISIONS,
    factsAgeMs: () => clock.nowMs() - facts.syncedAtMs,
  };
  const { links } = options;
  const paths =
    links &&
    createServerPaths({
      ...context,
      peers,
      host,
      links,
      listEntries: () => view.listMembers('entry'),
      listServers: () =>
        table.list().flatMap(({ body }) => (body.kind === 'backend' ? [body.address] : [])),
      findServer(address) {
        const body = view.findByAddress(address)?.body;
        return body?.kind === 'backend' ? body : undefined;
      },
      isReachable: context.operations.isReachable,
    });
  const stream = createStreamPath({
    context,
    paths,
    streams,
    health,
    guard,
    peers,
    run,
    host,
    countEntries,
    dataCentreOf: (instanceId) => findBackend(table, instanceId)?.body.dataCentre,
    departureOf: (instanceId) => findDeparture(table, instanceId),
    isMembershipComplete: syncHistory.isMembershipComplete,
  });
  const { slots, repair } = stream;
  const plain = createPlainDispatch(context, slots.permits);
  ({ isServerLost, isServerLostNow } = repair);
  onStreamEnd = (row) => slots.recordReleased(row.dataCentre, row.ticket);
  const readingGaps = createReadingGaps({ clock, log, metrics });
  const work = createPeriodicWork({
    clock,
    schedule: scheduleTimer,
    onTick() {
      readingGaps.mark();
      syncHistory.tick();
      unread.tick();
      heldReports.tick();
      facts.confirmation.tick();
      paths?.tick();
    },
    slots,
    crashes,
    sweep: () =>
      [facts, guard, notices, limits, slots, paths].forEach((component) => component?.sweep()),
  });
  facts.onUrgentFact((body) => {
    if (isGuardFact(body)) {
      guard.onFact(body);
      work.watchCrashes();
    } else repair.repairLost(health.isLost);
  });
  [
    selfFacts.list,
    slots.listOutgoingFacts,
    quarantine.listOutgoingFacts,
    notices.listOutgoingFacts,
  ].forEach(facts.addSource);

  const admission = createRequestAdmission({
    clock,
    random,
    view,
    decisions: context.decisions,
    renewConfirmation: facts.confirmation.renewNow,
    readingGaps,
    ...readiness,
  });

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
    describeConfirmation: facts.confirmation.describe,
    factsAgeMs: context.factsAgeMs,
  });

  return {
    addresses: createAddressBook({
      view,
      selfAddress: options.callerAddress,
      ownAddress: () => (readiness.isReady() ? options.callerAddress : null),
    }),
    methods: { ...stream.methods, ...siblingBackoffs.methods, ...paths?.methods },
    tunnels: paths?.tunnels,
    start() {
      work.start();
      facts.start();
    },
    async handle(request, answer) {
      readingGaps.mark();
      let route = '';
      let service = '';
      openRequests.add(request);
      try {
        const admitted = await admission.admit(request, answer);
        route = admitted.route.name;
        service = admitted.service;
        // A retry by the caller has a new id and may arrive at any VM, so a request that crashes
        // servers is recognised by its content.
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
    beginDraining() {
      readiness.beginDraining();
      log.info('leaving');
      exchangeNow();
    },
    refuseNewRequests: () => admission.refuseNewRequests(),
    get inFlight() {
      return openRequests.size;
    },
    stop() {
      work.stop();
      facts.stop();
    },
    describe: () =>
      ({
        documentVersion: documents.current?.version ?? null,
        confirmedAgeMs: documents.confirmedAgeMs(),
        inFlight: streams.counts(),
        slots: slots.describe(),
        quarantine: quarantine.describe(),
        backoffs: notices.describe(),
        limits: limits.describe(),
        unread: unread.describe(),
        answerBytes: context.answerMemory.bytes,
        requestBytes: options.requestMemory.bytes,
        maxRequestBytes: options.requestMemory.maxBytes,
        paths: paths?.describe() ?? null,
        facts: table.list(),
      }) as unknown as JsonValue,
  };
}
