/**
 * Cost of the fact exchange, of chain selection and of layer placement, by the number of entry VMs
 * and engines. Measures the processor time of one process, without a network.
 */
import { createFactTable, FACT_KEYS } from '@spoolplank/membership';
import type { BackendFact, FactTable, SystemFact } from '@spoolplank/membership';
import { SYSTEM_CLOCK } from '@spoolplank/node';
import { findStageChains, planPlacement } from '@spoolplank/routing';
import type { ModelDescription, ObservedEngine, StageEngine } from '@spoolplank/routing';
import type { Figure } from '../figures';
import { fitLine } from '../statistics';

const ENTRIES = [11, 76, 300] as const;
/** Engines of one data centre: today's sites, the grown sites, and three times the latter. */
const ENGINES = [14, 33, 100] as const;
const CONTROLS = 6;
const EXCHANGES = 30;
const ROUNDS = 5;
/** Exchanges per second when each is delayed by the maximum; see the role `entry`. */
const EXCHANGES_PER_S = 1.25;
const MS_PER_S = 1000;
const LAYERS = 80;
/** Planning for 100 engines must not block a control VM, nor chain selection an entry VM. */
const DECISION_TIME_BOUND = { atMost: 50 };
const KINDS = ['large', 'medium', 'small', 'small', 'small', 'tiny', 'tiny', 'tiny'];

const MODEL: ModelDescription = {
  layers: LAYERS,
  layerMb: 1750,
  stepMs: 0.85,
  stepPerRequestMs: 0.005,
  contextMsPerToken: 0.000007,
  stepsPerPass: 2,
  readTokensPerS: 196_000,
  tokenBytes: 845_373,
  usualPromptTokens: 772,
  usualAnswerTokens: 172,
  maxConcurrentLoads: 6,
  loadMs: 14_000,
  kinds: [
    { name: 'large', memoryMb: 72_000, stepFactor: 1.4, readFactor: 1 },
    { name: 'medium', memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2 },
    { name: 'small', memoryMb: 21_600, stepFactor: 16, readFactor: 8.2 },
    { name: 'tiny', memoryMb: 14_400, stepFactor: 15, readFactor: 15 },
  ],
};

function createBackend(index: number): BackendFact {
  return {
    kind: 'backend',
    instanceId: `i-${index.toString(16).padStart(10, '0')}`,
    service: 'engines',
    address: `10.1.64.${index % 250}:8080`,
    dataCentre: `dc${index % 3}`,
    state: 'ready',
    slots: 134,
    engine: { acceleratorKind: 'small', held: { firstLayer: 0, endLayer: 8 }, version: 1 },
  };
}

/** Publishes every fact again with a new sequence number, as happens between two exchanges. */
function putAllFacts(table: FactTable<SystemFact>, entries: number, sequence: number): void {
  for (let index = 0; index < entries; index += 1) {
    const host = `10.1.0.${index}`;
    table.put(FACT_KEYS.member(host, 'run'), sequence, {
      kind: 'member',
      vmId: `entry-${index}`,
      dataCentre: `dc${index % 3}`,
      host,
      role: 'entry',
      callerAddress: `${host}:8080`,
      state: 'ready',
    });
  }
  for (let index = 0; index < CONTROLS; index += 1) {
    table.put(FACT_KEYS.load(`10.2.0.${index}`, 'run'), sequence, {
      kind: 'load',
      inFlight: { 'i-0000000001': sequence, 'i-0000000002': 7 },
    });
  }
  for (let index = 0; index < entries + 30; index += 1) {
    const fact = createBackend(index);
    table.put(FACT_KEYS.backend(fact.instanceId), sequence, fact);
  }
}

interface ExchangeCost {
  readonly bytes: number;
  readonly processorMs: number;
}

/** Measures one exchange: the control VM serializes a delta and the entry VM merges it. */
function measureExchange(entries: number): ExchangeCost {
  const options = { clock: SYSTEM_CLOCK, isUrgent: () => false };
  const control = createFactTable<SystemFact>({ ...options, instance: 'control' });
  const entry = createFactTable<SystemFact>({ ...options, instance: 'entry' });
  let bytes = 0;
  let processorUs = 0;
  let knownRevision = 0;
  for (let exchange = 1; exchange <= EXCHANGES; exchange += 1) {
    putAllFacts(control, entries, exchange);
    const before = process.cpuUsage();
    const text = JSON.stringify(control.deltaSince('control', knownRevision));
    const { revision, updates } = JSON.parse(text) as ReturnType<typeof control.deltaSince>;
    entry.merge(updates, SYSTEM_CLOCK.nowMs());
    const { user, system } = process.cpuUsage(before);
    // The first delta is not counted: it contains all facts, unlike those of the steady state.
    if (knownRevision > 0) {
      bytes += text.length;
      processorUs += user + system;
    }
    knownRevision = revision;
  }
  const exchanges = EXCHANGES - 1;
  return { bytes: bytes / exchanges, processorMs: processorUs / exchanges / MS_PER_S };
}

function createEngines(count: number): ObservedEngine[] {
  return Array.from({ length: count }, (_unused, index) => ({
    id: `engine-${index}`,
    dataCentre: 'dc0',
    acceleratorKind: KINDS[index % KINDS.length] ?? 'tiny',
    slots: 134,
    firstLayer: null,
    endLayer: null,
    isOrderable: true,
    isReliable: true,
    isServing: true,
  }));
}

function measureMs(run: () => void): number {
  const before = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round += 1) run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / ROUNDS / MS_PER_S;
}

function toStageEngines(engines: readonly ObservedEngine[]): StageEngine[] {
  const orders = new Map(planPlacement(engines, MODEL).map((order) => [order.id, order]));
  return engines.flatMap(({ id }) => {
    const order = orders.get(id);
    return order ? [{ ...order, address: `${id}:80`, layerCostMs: 0.2 }] : [];
  });
}

function measureEngines(count: number): readonly Figure[] {
  const engines = createEngines(count);
  const placed = toStageEngines(engines);
  const chains = findStageChains(placed, { layers: LAYERS });
  const planMs = measureMs(() => planPlacement(engines, MODEL));
  const chainsMs = measureMs(() => findStageChains(placed, { layers: LAYERS }));
  return [
    { metric: `plan_${count}_engines`, value: planMs, unit: 'ms', bound: DECISION_TIME_BOUND },
    {
      metric: `find_chains_${count}_engines`,
      value: chainsMs,
      unit: 'ms',
      bound: DECISION_TIME_BOUND,
    },
    { metric: `chains_${count}_engines`, value: chains.length, unit: 'chains' },
  ];
}

export async function feedBench(): Promise<readonly Figure[]> {
  const costs = ENTRIES.map((entries) => ({ entries, cost: measureExchange(entries) }));
  const { slope } = fitLine(costs.map(({ entries, cost }) => ({ x: entries, y: cost.bytes })));
  return [
    ...costs.flatMap(({ entries, cost }): readonly Figure[] => [
      { metric: `exchange_bytes_${entries}_entries`, value: cost.bytes, unit: 'bytes' },
      { metric: `exchange_processor_${entries}_entries`, value: cost.processorMs, unit: 'ms' },
      {
        metric: `traffic_${entries}_entries`,
        value: (cost.bytes * EXCHANGES_PER_S) / MS_PER_S,
        unit: 'KB/s',
      },
    ]),
    { metric: 'exchange_bytes_per_entry', value: slope, unit: 'bytes' },
    ...ENGINES.flatMap(measureEngines),
  ];
}
