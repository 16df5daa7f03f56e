/** An entry's tables, filled by hand. */
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createDocumentCache, createFactTable, FACT_KEYS } from '@spoolplank/membership';
import type { BackendFact, SystemFact } from '@spoolplank/membership';
import { createBackendLoadTable, createWindowBudget } from '@spoolplank/routing';
import type { ModelDescription, RoutingDocument } from '@spoolplank/routing';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import type { BackendOperations } from '../src/backendOperations';
import type { EntryContext } from '../src/entryContext';
import { createQuarantine } from '../src/quarantine';
import { createRoutingView } from '../src/routingView';
import { createServerNotices } from '../src/serverNotices';
import type { RoutingView } from '../src/routingView';

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

export function createTables(announcementMs = 1000) {
  const clock = createManualClock(100_000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  let syncedAtMs = clock.nowMs();
  const view = createRoutingView<RoutingDocument>({
    clock,
    table,
    documents: createDocumentCache<RoutingDocument>(clock),
    readDocument: (document) => document,
    syncedAtMs: () => syncedAtMs,
    announcementMs,
    ownStatedLoad: () => ({}),
  });
  return {
    clock,
    table,
    view,
    announce(fact: BackendFact, sequence = 1): void {
      table.put(FACT_KEYS.backend(fact.instanceId), sequence, fact);
    },
    /** Notes that a source answered just now. */
    sync(): void {
      syncedAtMs = clock.nowMs();
    },
  };
}

/** What the parts of an entry are given, with room for ten retries. */
export function createContext(
  clock: ManualClock,
  view: RoutingView,
  operations: BackendOperations,
): EntryContext {
  const log = createEventLog({ vmId: 'vm', clock, writeChunk: () => {} });
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const quarantine = createQuarantine({
    clock,
    random: createSeededRandom(1),
    log,
    metrics: createMetrics(),
    table,
    spread: () => {},
  });
  const notices = createServerNotices({
    clock,
    log,
    metrics: createMetrics(),
    table,
    findByAddress: view.findByAddress,
    spread: () => {},
  });
  return {
    clock,
    random: createSeededRandom(1),
    log,
    metrics: createMetrics(),
    dataCentre: 'a',
    view,
    operations,
    loads: createBackendLoadTable(),
    budgetOf: () => createWindowBudget({ clock, windowMs: 1000, ratio: 0, allowance: () => 10 }),
    quarantine,
    crashes: { note: () => Promise.resolve(), tick: () => {} },
    notices,
    factsAgeMs: () => 0,
  };
}
