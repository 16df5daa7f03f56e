/** The role `control` with injected dependencies: log, directory, feed and placement. */
import {
  DEFAULT_FAULT_TOLERANCE,
  deriveElectionLimitMs,
  deriveElectionTimings,
} from '@spoolplank/consensus';
import type { GroupDescription, FaultTolerance } from '@spoolplank/consensus';
import type { ReplaceResult, StoredDocument } from '@spoolplank/control';
import { createGroupState } from '@spoolplank/control';
import {
  CONFIRM_METHOD,
  createDocumentCache,
  createFactTable,
  createFeedServer,
  createSiblingBackoffs,
  DEFAULT_CHANGE_BOUNDS,
  deriveConfirmationTimings,
  FACT_KEYS,
  findChangeBoundProblem,
  retentionMsOf,
} from '@spoolplank/membership';
import type {
  ChangeBounds,
  ConfirmationRequest,
  FactTable,
  FactUpdate,
  FeedRequest,
  MemberFact,
  SystemFact,
  SystemFactKind,
} from '@spoolplank/membership';
import { createMetrics, scheduleTimer } from '@spoolplank/node';
import type {
  EventLog,
  Metrics,
  PeerClient,
  PeerMethod,
  PeerTarget,
  ServerLinks,
} from '@spoolplank/node';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { DecisionSettings, RoutingDocument } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import { createBackendDirectory } from './backendDirectory';
import type { BackendDirectory } from './backendDirectory';
import { createControlConfirmation } from './controlConfirmation';
import { createControlFeeds } from './controlFeeds';
import { createDocumentCalls } from './documentCalls';
import { createEngineNotices } from './engineNotices';
import { createEnginePaths } from './enginePaths';
import type { EngineOrders } from './engineOperations';
import { createGroupMember } from './group/groupMember';
import type { GroupMember } from './group/groupMember';
import { registerGroupMetrics } from './group/groupMetrics';
import type { RecoveryReport } from './group/groupRecovery';
import type { GroupSummary } from './group/groupWatch';
import { createLeaderCalls } from './leaderCalls';
import { createRetryLoans, DEFAULT_RETRY_LOAN_LIMITS } from './retryLoans';
import type { RetryLoanLimits } from './retryLoans';
import { createFeedSources } from './feedSources';
import { guardOrders } from './guardedOrders';
import { createLoadSums } from './loadSums';
import { createControlVms } from './controlVms';
import { createStragglerWatch } from './stragglerWatch';
import { createPlacementLoop } from './placementLoop';

export interface ControlNodeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly peers: PeerClient;
  /** Unique to this incarnation of the process. */
  readonly run: string;
  readonly host: string;
  readonly peerPort: number;
  readonly dataCentre: string;
  /** Hosts of the control VMs that bootstrap the group at the first start. */
  readonly bootstrapVmIds: readonly string[];
  /** Hosts of control VMs in the current settings. */
  readonly seeds: () => readonly string[];
  readonly isFirstStart: boolean;
  /** Losses that the group must tolerate; one at a time by default. */
  readonly faultTolerance?: FaultTolerance;
  /** How soon a change of the document is in force. */
  readonly changeBounds?: ChangeBounds;
  /** Null on a VM without a disk, which has no replica and only forwards facts and calls. */
  readonly dataFolder: string | null;
  readonly engineOrders: EngineOrders;
  /** Connections to engines; without them, no entry is used to reach an engine. */
  readonly links?: ServerLinks;
  readonly metrics?: Metrics;
  /** Decodes a stored document, which was validated before it was stored. */
  readonly readDocument: (document: StoredDocument) => RoutingDocument;
  readonly announcementMs: number;
  /** Window of the retry budget, and the retries lent within it; none by default. */
  readonly retryLoanLimits?: RetryLoanLimits;
  /** Switches of the decisions under load. */
  readonly decisions?: DecisionSettings;
  readonly onFatal: (error: SpoolplankError) => void;
}

export interface ControlNode extends BackendDirectory {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  start(): Promise<void>;
  stop(): Promise<void>;
  /**
   * Commits a validated document to the log, locally or through the leader.
   *
   * @throws SpoolplankError when the outcome is unknown or there is no leader.
   */
  replaceDocument(document: StoredDocument): Promise<ReplaceResult>;
  /**
   * The document in force, confirmed by a quorum; null before the first document.
   *
   * @throws SpoolplankError `not-leader` when no quorum confirms it.
   */
  readDocument(): Promise<StoredDocument | null>;
  /** The group as seen by this VM's replica; null without a replica. */
  groupSummary(): GroupSummary | null;
  /**
   * The copies of the log, and the one from which the group can be recovered after the permanent
   * loss of a majority.
   *
   * @throws SpoolplankError `not-found` on a VM without a replica.
   */
  reportRecovery(): Promise<RecoveryReport>;
  /** @throws SpoolplankError `not-found`, `recovery-refused`. */
  recover(replicaId: string): Promise<RecoveryReport>;
  /** Registers the counter of layer moves and, with a replica, the gauges of the group. */
  registerMetrics(metrics: Metrics): void;
  describe(): JsonValue;
}

/** Response of a VM without a replica to a VM that searches for its group. */
const NO_REPLICA: GroupDescription = { replicaId: null, configuration: null };

const GROUP = 'documents';
const GROUP_RUNNER_OPTIONS = {
  /** A quarter of the heartbeat interval; shorter ticks only cost wake-ups. */
  tickIntervalMs: 50,
  /** A document of 100 KB is 10 KB compressed: 64 entries and their snapshot stay below 2 MB. */
  snapshotEveryEntries: 64,
  keepEntries: 16,
  /** Operators give up after one second without a response. */
  proposalTimeoutMs: 2000,
};
/** Facts that change with every update; they are sent with the next periodic exchange. */
const ROUTINE_FACTS: ReadonlySet<SystemFactKind> = new Set<SystemFactKind>(['load', 'capacity']);
/** Long enough to distinguish incarnations of a VM, and short as it is sent with each fact. */
const RUN_PREFIX_LENGTH = 6;
const TICK_MS = 200;
/** Ticks between two updates of the member fact of this process. */
const SELF_PUBLISH_TICKS = 3;
/** Ticks between two updates of the load fact: half the interval at which entries report. */
const LOAD_PUBLISH_TICKS = 2;
/** Entries report their load every 800 ms; one that is silent for this long counts as lost. */
const LOAD_RETENTION_MS = 2600;

export async function createControlNode(options: ControlNodeOptions): Promise<ControlNode> {
  const { clock, log, peers, host, peerPort, dataCentre, run } = options;
  const { faultTolerance = DEFAULT_FAULT_TOLERANCE } = options;
  const { changeBounds = DEFAULT_CHANGE_BOUNDS } = options;
  const timings = deriveConfirmationTimings(changeBounds);
  const electionTimings = deriveElectionTimings(faultTolerance);
  const groupState = createGroupState(clock);
  const { documents: state, retries } = groupState;
  const documents = createDocumentCache<StoredDocument>(clock);
  let group: GroupMember | null = null;
  let isStopped = false;
  let sequence = 0;
  let ticks = 0;
  let metrics: Metrics | null = null;

  let wakeFeed = () => {};
  const table: FactTable<SystemFact> = createFactTable<SystemFact>({
    clock,
    instance: `${host}/${run.slice(0, RUN_PREFIX_LENGTH)}`,
    isUrgent: ({ kind }) => !ROUTINE_FACTS.has(kind),
    onUrgent: () => wakeFeed(),
  });
  const controlVms = createControlVms({
    clock,
    table,
    host,
    dataCentre,
    seeds: options.seeds,
    replicas: () => group?.summary()?.voters ?? [],
  });
  const selectFeedSources = createFeedSources({
    host,
    sourcesPerRelay: faultTolerance.lossesBorne + 1,
  });
  const findTarget = (vmId: string): PeerTarget => ({ vmId, host: vmId, port: peerPort });

  const confirmation = createControlConfirmation({
    clock,
    log,
    peers,
    host,
    documents,
    state,
    bounds: changeBounds,
    timings,
    canRead: () => group?.canRead() ?? false,
    leaderVm: () => group?.leaderVm(),
    findTarget,
    listOthers: controlVms.listOthers,
    onDocument: () => wakeFeed(),
  });

  const feed = createFeedServer<SystemFact, StoredDocument>({
    clock,
    table,
    documents,
    schedule: scheduleTimer,
    maxWaitMs: timings.holdMs,
    refreshConfirmation: confirmation.refresh,
  });

  wakeFeed = () => feed.wake();
  const loads = createLoadSums({
    clock,
    retentionMs: LOAD_RETENTION_MS,
    reportsElsewhere: (key) => {
      const member = table.find(FACT_KEYS.memberOfLoad(key));
      return member !== undefined && member.origin !== '';
    },
  });

  let decodedDocument: RoutingDocument | null = null;
  function currentDocument(): RoutingDocument | null {
    const { current } = documents;
    if (!current) return null;
    if (decodedDocument?.version !== current.version)
      decodedDocument = options.readDocument(current);
    return decodedDocument;
  }

  const backends = createBackendDirectory({ log, table, currentDocument });
  const siblingBackoffs = createSiblingBackoffs({
    table,
    host,
    role: 'control',
    call: peers.call,
    onUndelivered: (problem, directive) =>
      log.info('backoff-undelivered', { ...directive, problem }),
  });
  const notices = createEngineNotices({ clock, log, table, onBackoff: siblingBackoffs.send });
  options.engineOrders.onNotice(notices.handle);
  siblingBackoffs.onDirective(notices.recordBackoff);
  const engineOrders = guardOrders(options.engineOrders, notices);
  const { links, random, metrics: pathMetrics = createMetrics() } = options;
  const paths =
    links &&
    createEnginePaths({
      clock,
      random,
      log,
      metrics: pathMetrics,
      peers,
      host,
      dataCentre,
      table,
      orders: engineOrders,
      links,
    });
  const placement = createPlacementLoop({
    clock,
    log,
    table,
    orders: engineOrders,
    mayOrder: () => group?.canRead() ?? false,
    currentDocument,
    isBackingOff: notices.isBackingOff,
    announcementMs: options.announcementMs,
    decisions: options.decisions ?? DEFAULT_DECISIONS,
    countMove: (cause) => metrics?.count('spoolplank_layer_moves_total', { cause }),
  });

  const stragglerWatch = createStragglerWatch({
    clock,
    log,
    table,
    orders: engineOrders,
    dataCentre,
    isDesignated: controlVms.isDesignated,
  });

  function describeSelf(): FactUpdate<SystemFact> {
    const body: MemberFact = {
      kind: 'member',
      vmId: host,
      dataCentre,
      host,
      role: 'control',
      peerPort,
      ...(group ? { replicaId: group.replicaId } : {}),
      state: isStopped ? 'leaving' : 'ready',
    };
    return { key: FACT_KEYS.member(host, run), sequence, ageMs: 0, body };
  }

  const feeds = createControlFeeds({
    clock,
    log,
    peers,
    table,
    documents,
    timings,
    findTarget,
    outgoingFacts: () => [describeSelf()],
    onDocument: () => feed.wake(),
  });
  const leader = createLeaderCalls({
    clock,
    peers,
    host,
    group: () => group,
    findTarget,
    listOthers: controlVms.listOthers,
  });
  const documentCalls = createDocumentCalls({ state, group: () => group, leader });
  const retryLoans = createRetryLoans({
    clock,
    log,
    metrics: pathMetrics,
    limits: options.retryLoanLimits ?? DEFAULT_RETRY_LOAN_LIMITS,
    group: () => group,
    reservations: retries,
    leader,
  });

  function publishSelf(): void {
    sequence += 1;
    const { key, body } = describeSelf();
    if (body) table.put(key, sequence, body);
  }

  function publishLoads(): void {
    table.put(FACT_KEYS.load(host, run), clock.nowMs(), loads.sum());
  }

  function tick(): void {
    if (isStopped) return;
    ticks += 1;
    if (ticks % SELF_PUBLISH_TICKS === 1) {
      publishSelf();
      feeds.follow(
        selectFeedSources({
          members: controlVms.listLiveMembers(),
          others: controlVms.listOthers(),
        }),
      );
      table.sweep(retentionMsOf);
      notices.sweep();
      paths?.sweep();
    }
    if (ticks % LOAD_PUBLISH_TICKS === 0) publishLoads();
    confirmation.tick();
    paths?.tick();
    placement.tick();
    retryLoans.tick();
    stragglerWatch.tick();
    scheduleTimer(tick, TICK_MS);
  }

  const methods: Readonly<Record<string, PeerMethod>> = {
    'feed.exchange': (params) => {
      const request = params as unknown as FeedRequest<SystemFact>;
      const updates = loads.recordLoads(request.updates);
      return feed.answer({ ...request, updates }) as unknown as Promise<JsonValue>;
    },
    [CONFIRM_METHOD]: (params) =>
      feed.confirm(params as unknown as ConfirmationRequest) as unknown as JsonValue,
    ...documentCalls.methods,
    ...retryLoans.methods,
    ...siblingBackoffs.methods,
    'group.describe': () => NO_REPLICA as unknown as JsonValue,
  };

  if (options.dataFolder !== null) {
    group = await createGroupMember({
      clock,
      random: options.random,
      log,
      peers,
      group: GROUP,
      vmId: host,
      dataCentre,
      dataFolder: options.dataFolder,
      bootstrapVmIds: options.isFirstStart ? options.bootstrapVmIds : [],
      isFirstStart: options.isFirstStart,
      faultTolerance,
      timings: electionTimings,
      running: GROUP_RUNNER_OPTIONS,
      listOthers: controlVms.listOthers,
      findTarget,
      dataCentreOf: controlVms.dataCentreOf,
      stateMachine: groupState,
      describeState: () => `document version ${state.current?.version ?? 'none'}`,
      onApplied() {
        if (!state.current || !documents.offer(state.current)) return;
        log.info('document-in-force', { version: state.current.version });
        feed.wake();
      },
      onFatal: options.onFatal,
    });
  }

  function requireGroup(): GroupMember {
    if (!group) throw new SpoolplankError('not-found', { detail: 'This VM holds no replica.' });
    return group;
  }

  return {
    methods: { ...methods, ...group?.methods },
    async start() {
      const problem = findChangeBoundProblem(changeBounds, deriveElectionLimitMs(electionTimings));
      if (problem !== null) log.warn('promise-not-kept', { problem });
      tick();
      confirmation.start();
      await group?.start();
    },
    async stop() {
      isStopped = true;
      publishSelf();
      feeds.stop();
      confirmation.stop();
      await group?.stop();
    },
    announce: backends.announce,
    withdraw: backends.withdraw,
    replaceDocument: documentCalls.replace,
    readDocument: documentCalls.read,
    groupSummary: () => group?.summary() ?? null,
    reportRecovery: async () => requireGroup().report(),
    recover: async (replicaId) => requireGroup().recover(replicaId),
    registerMetrics(registry) {
      metrics = registry;
      if (group) registerGroupMetrics(registry, group);
    },
    describe: () =>
      ({
        replica: group?.status() ?? null,
        group: group?.summary() ?? null,
        documentVersion: documents.current?.version ?? null,
        confirmedAgeMs: documents.confirmedAgeMs(),
        backoffs: notices.describe(),
        paths: paths?.describe() ?? null,
        retriesLent: retryLoans.describe(),
        facts: table.list(),
      }) as unknown as JsonValue,
  };
}
