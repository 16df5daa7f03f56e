/** Creates the tables, context and requests of an entry for tests. */
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createDocumentCache, createFactTable, FACT_KEYS } from '@spoolplank/membership';
import type { BackendFact, FactTable, SystemFact } from '@spoolplank/membership';
import { createBackendLoadTable, createRetryAccount, DEFAULT_DECISIONS } from '@spoolplank/routing';
import type {
  RetryAccount,
  RetryAccountOptions,
  ModelDescription,
  Route,
  RouteKind,
  RoutingDocument,
} from '@spoolplank/routing';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { Clock, ManualClock } from '@spoolplank/shared';
import { createOpenRetries } from '../src/admission/openRetries';
import { createRetryBudgets } from '../src/admission/retryBudgets';
import type { RetryBudgets } from '../src/admission/retryBudgets';
import { createCreditRequests } from '../src/admission/creditRequests';
import { createRetryLoans } from '../src/admission/retryLoans';
import { createEndCheck } from '../src/dispatch/answerCompletion';
import { createAnswerMemory } from '../src/dispatch/answerMemory';
import type { BackendOperations } from '../src/dispatch/backendOperations';
import type { CallerAnswer, CallerRequest } from '../src/callerRequest';
import type { ChosenChain, ChainChoice, ChainChoiceOptions } from '../src/dispatch/chainChoice';
import type { AdmittedRequest, EntryContext } from '../src/entryContext';
import type { PermitFinder } from '../src/limits/permitFinder';
import { createServerLimits } from '../src/limits/serverLimits';
import { createChainChoice } from '../src/dispatch/chainChoice';
import { createFactPublisher } from '../src/gossip/factPublisher';
import { createQuarantine } from '../src/quarantine/quarantine';
import { createRoutingView } from '../src/gossip/routingView';
import { guardOperations } from '../src/dispatch/guardedOperations';
import { createServerNotices } from '../src/dispatch/serverNotices';
import { createUnreadSendings } from '../src/dispatch/unreadSendings';
import type { UnreadSendings } from '../src/dispatch/unreadSendings';
import type { RoutingView } from '../src/gossip/routingView';

export const MODEL: ModelDescription = {
  layers: 8,
  layerMb: 1000,
  stepMs: 1,
  stepPerRequestMs: 0.01,
  contextMsPerToken: 0.000007,
  stepsPerPass: 2,
  readTokensPerS: 100_000,
  tokenBytes: 1_000_000,
  usualPromptTokens: 700,
  usualAnswerTokens: 200,
  maxConcurrentLoads: 6,
  loadMs: 1000,
  kinds: [{ name: 'big', memoryMb: 6000, stepFactor: 1, readFactor: 1 }],
};

export function createEngine(
  instanceId: string,
  firstLayer: number,
  endLayer: number,
  overrides: Partial<BackendFact> = {},
): BackendFact {
  return {
    kind: 'backend',
    instanceId,
    service: 'engines',
    address: `${instanceId}:80`,
    dataCentre: 'a',
    state: 'ready',
    slots: 10,
    engine: { acceleratorKind: 'big', held: { firstLayer, endLayer }, version: 1 },
    ...overrides,
  };
}

interface TablesOptions {
  readonly announcementMs?: number;
  readonly clock?: ManualClock;
  readonly table?: FactTable<SystemFact>;
}

export function createTables({
  announcementMs = 1000,
  clock = createManualClock(100_000),
  table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false }),
}: TablesOptions = {}) {
  let syncedAtMs = clock.nowMs();
  const view = createRoutingView<RoutingDocument>({
    clock,
    table,
    documents: createDocumentCache<RoutingDocument>(clock),
    readDocument: (document) => document,
    syncedAtMs: () => syncedAtMs,
    announcementMs,
    ownPublishedLoad: () => ({}),
  });
  return {
    clock,
    table,
    view,
    announce(fact: BackendFact, sequence = 1): void {
      table.put(FACT_KEYS.backend(fact.instanceId), sequence, fact);
    },
    /** Records that a source answered just now. */
    sync(): void {
      syncedAtMs = clock.nowMs();
    },
  };
}

/** Creates an account of retries that reserves what it lends just before. */
export function createTestAccount(options: RetryAccountOptions): RetryAccount {
  const account = createRetryAccount(options);
  return {
    ...account,
    lend(request) {
      const missing = account.missingFor(request);
      if (missing > 0) account.setReserved(request.service, missing, options.clock.nowMs());
      return account.lend(request);
    },
  };
}

/** Creates retry budgets whose retries are all lent, by an account of this process. */
export function createTestBudgets(clock: ManualClock, allowance: number): RetryBudgets {
  const limits = { windowMs: 1000, ratio: 0, allowance };
  const account = createTestAccount({ clock, ...limits });
  const log = { info: () => {} };
  const loans = createRetryLoans({
    clock,
    log,
    metrics: createMetrics(),
    delay: () => Promise.resolve(),
    borrower: 'entry',
    ask(request) {
      const loan = account.lend(request);
      const held = { confirmedToMs: clock.nowMs(), countsInMs: [] };
      account.lend({ ...request, wanted: 0, held });
      return Promise.resolve(loan);
    },
  });
  return createRetryBudgets({
    clock,
    log,
    metrics: createMetrics(),
    limits,
    loans,
    open: createOpenRetries({ clock, windowMs: limits.windowMs }),
    credits: createCreditRequests({ clock, windowMs: limits.windowMs }),
    runningStreams: () => 0,
  });
}

/** Creates the sendings of an entry whose servers never restart. */
export function createTestSendings(clock: Clock): UnreadSendings {
  const metrics = createMetrics();
  return createUnreadSendings({
    clock,
    log: { info: () => {} },
    metrics,
    hasRestarted: () => false,
  });
}

/** Creates the context of an entry's components, with a retry budget for all services. */
export function createContext(
  clock: ManualClock,
  view: RoutingView,
  operations: BackendOperations,
  retries = 10,
): EntryContext {
  const metrics = createMetrics();
  const budgetOf = createTestBudgets(clock, retries);
  const log = createEventLog({ vmId: 'vm', clock, writeChunk: () => {} });
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const quarantine = createQuarantine({
    clock,
    random: createSeededRandom(1),
    log,
    metrics: createMetrics(),
    table,
    publisher: createFactPublisher({ clock, table, exchangeNow: () => {} }),
  });
  const notices = createServerNotices({
    clock,
    log,
    metrics: createMetrics(),
    table,
    findByAddress: view.findByAddress,
    exchangeNow: () => {},
  });
  const limits = createServerLimits({
    clock,
    random: createSeededRandom(1),
    log,
    metrics,
    countEntries: () => 1,
  });
  return {
    clock,
    random: createSeededRandom(1),
    log,
    metrics,
    dataCentre: 'a',
    view,
    operations: guardOperations(operations, {
      clock,
      metrics,
      notices,
      budgetOf,
      limits,
      unread: createTestSendings(clock),
    }),
    loads: createBackendLoadTable(),
    budgetOf,
    quarantine,
    checkEnd: createEndCheck({
      isServerLost: () => Promise.resolve(false),
      isLeaving: () => false,
    }),
    crashes: {
      recordSend: () => {},
      record: () => Promise.resolve(),
      onFact: () => {},
      tick: () => {},
      isFollowing: false,
    },
    notices,
    answerMemory: createAnswerMemory({ maxBytes: Number.POSITIVE_INFINITY }),
    limits,
    decisions: DEFAULT_DECISIONS,
    factsAgeMs: () => 0,
  };
}

export function createRoute(kind: RouteKind, overrides: Partial<Route> = {}): Route {
  return {
    name: 'draft',
    host: 'users',
    pathPrefix: '/draft/',
    kind,
    isResumable: true,
    timeoutMs: 3000,
    targetLatencyMs: 500,
    targetGapMs: 200,
    priority: 1,
    targets: [{ service: 'engines', weight: 1 }],
    maxAttempts: 2,
    isAnonymousAllowed: false,
    ...overrides,
  };
}

/** Creates the answer of a caller that stays connected; records the statuses that are sent. */
export function createAnswer(sent: number[] = []): CallerAnswer {
  return {
    isClosed: false,
    onClosed: () => {},
    begin: () => {},
    write: () => true,
    cut: () => {},
    end: () => {},
    send: (status: number) => sent.push(status),
  } as unknown as CallerAnswer;
}

/** Creates an admitted request that has just arrived, with the full time of its route left. */
export function createAdmitted(
  clock: ManualClock,
  route: Route,
  answer: CallerAnswer = createAnswer(),
): AdmittedRequest {
  return {
    request: {
      id: 'r1',
      host: 'users',
      method: 'POST',
      url: '/draft/1',
      body: Buffer.from('a prompt'),
      lastEventId: null,
      arrivedAtMs: clock.nowMs(),
    } as CallerRequest,
    answer,
    route,
    service: 'engines',
    organisation: null,
    callerAgeMs: 0,
    sentAfterMs: clock.steadyMs(),
    deadlineAtMs: clock.nowMs() + route.timeoutMs,
  };
}

/** Creates a permit finder that reaches no allocator. */
export function createNoPermits(): PermitFinder {
  return {
    tryAcquire: () => Promise.resolve(undefined),
    acquire: () => Promise.resolve({ kind: 'unavailable' }),
    recordEnded: () => {},
  };
}

/** Creates a chain of one engine that holds all layers. */
export function createChain(id: string): ChosenChain {
  return {
    dataCentre: 'a',
    headId: id,
    stages: [{ id, address: `${id}:80`, firstLayer: 0, endLayer: 8 }],
    capacity: 10,
    inFlight: 0,
    grantedBy: null,
    hasPermit: false,
    hasCapacity: true,
    hasCapacityForResumed: true,
  };
}

/** Creates the chain choice of a sole entry that has nothing in flight. */
export function createSoleChoice(
  options: Pick<ChainChoiceOptions, 'view' | 'random'>,
): ChainChoice {
  return createChainChoice({
    dataCentre: 'a',
    ownInFlight: () => 0,
    countEntries: () => 1,
    unreportedInFlight: () => 0,
    firstEventMs: () => 0,
    isAvoided: () => false,
    backoffMsOf: () => 0,
    maySendWithoutPermit: () => true,
    ...options,
  });
}
