/** Simulates the entry VMs of one data centre in front of engine chains, in virtual time. */
import type { MemberFact } from '@spoolplank/membership';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { DecisionSettings, HeldSlot, ModelDescription, PathStage } from '@spoolplank/routing';
import { createMetrics } from '@spoolplank/node';
import type { LogFields, Metrics } from '@spoolplank/node';
import { createSeededRandom } from '@spoolplank/shared';
import type { PathLayout, RatedChain } from '../src/dispatch/chainCatalog';
import { createAllocatorRank } from '../src/slots/allocatorRank';
import { createSlotAllocator } from '../src/slots/slotAllocator';
import type { SlotAllocator } from '../src/slots/slotAllocator';
import { createSlotClient } from '../src/slots/slotClient';
import type { SlotClient, SlotOutcome, SlotRequest } from '../src/slots/slotClient';
import type { SlotAsk, SlotCall, SlotReply } from '../src/slots/slotMessages';
import { createLimitAccount } from '../src/limits/limitAccount';
import { createServerLimits } from '../src/limits/serverLimits';
import type { ServerLimits } from '../src/limits/serverLimits';
import { MODEL } from './fixtures';
import { createVirtualTime } from './virtualTime';

/** Network delay between two VMs of a data centre, one way. */
const ONE_WAY_DELAY_MS = 0.5;
const EXCHANGE_INTERVAL_MS = 1000;
const TICK_MS = 40;
/** Time after which a starting VM knows all other VMs. */
const SETTLED_AFTER_MS = 2600;
export const CAPACITY = 100;
/** Part of the capacity that new streams may take. */
export const ADMITTED = 94;

export interface Vm {
  readonly host: string;
  readonly client: SlotClient;
  readonly allocator: SlotAllocator;
  readonly held: Map<string, HeldSlot>;
  /** The path of each held slot; the VM lists it unless it is of an older version. */
  readonly paths: Map<string, readonly PathStage[]>;
  /** Engines that rejected a request of this VM. */
  readonly avoided: Set<string>;
  /** Engines that asked this VM for a backoff. */
  readonly backingOff: Set<string>;
  /** Rate limits that servers set in their answers to this VM. */
  readonly limits: ServerLimits;
  readonly metrics: Metrics;
  isUp: boolean;
  /** Whether the VM is partitioned from all others. */
  isPartitioned: boolean;
  /** Whether its answers are lost, though it receives all calls. */
  losesAnswers: boolean;
  /** Whether the VM has a configuration; a restarted VM has none for a short time. */
  isConfigured: boolean;
}

/** An ask for a slot on any chain, as another VM sends it. */
export function createAsk(overrides: Partial<SlotAsk> = {}): SlotAsk {
  return {
    ticket: 't1',
    service: 'engines',
    size: 1,
    priority: 1,
    hasBegun: false,
    isRetry: false,
    waitedMs: 0,
    inTimeForMs: 400,
    leavesInMs: 1200,
    excludedHeads: [],
    avoidedIds: [],
    mayWait: true,
    holdMs: 1,
    ...overrides,
  };
}

const chainOf = (headId: string): RatedChain => ({
  headId,
  stages: [{ id: headId, address: `${headId}:1`, firstLayer: 0, endLayer: 8 }],
  capacity: CAPACITY,
});

export interface DataCentreOptions {
  readonly decisions?: DecisionSettings;
  readonly model?: ModelDescription;
  /** The paths of the data centre; without them slots are granted by the load of each head. */
  readonly layoutOf?: () => PathLayout;
  /** The chains; by default those set by `setChains`. */
  readonly listOf?: () => readonly RatedChain[];
  /** Whether a VM is of an older version, which neither lists nor reads paths. */
  readonly isOlder?: (host: string) => boolean;
  /** Whether a call is lost on its way to the allocator. */
  readonly isCallLost?: (from: string, call: SlotCall) => boolean;
}

/** Creates the entries of one data centre, in front of chains with a capacity of 100 each. */
export function createDataCentre(
  count: number,
  heads: readonly string[],
  {
    decisions = DEFAULT_DECISIONS,
    model = MODEL,
    layoutOf,
    listOf,
    isOlder = () => false,
    isCallLost,
  }: DataCentreOptions = {},
) {
  let chains = heads.map(chainOf);
  const time = createVirtualTime();
  const { clock, schedule, delay } = time;
  const vms: Vm[] = [];
  const metrics = createMetrics();
  const lines: { readonly event: string; readonly fields: LogFields }[] = [];
  const random = createSeededRandom(1);
  let reportedLoads = new Map<string, number>();

  function inFlight(headId: string): number {
    return vms
      .filter(({ isUp }) => isUp)
      .flatMap(({ held }) => [...held.values()])
      .filter((slot) => slot.headId === headId)
      .reduce((sum, { size }) => sum + size, 0);
  }

  const toMember = ({ host, isUp }: Vm): MemberFact => ({
    kind: 'member',
    vmId: host,
    dataCentre: 'a',
    host,
    role: 'entry',
    peerPort: 1,
    state: isUp ? 'ready' : 'leaving',
  });
  /** Members known to all VMs; a failed one is removed with the next exchange. */
  let knownMembers: readonly MemberFact[] = [];

  async function call(
    from: string,
    target: MemberFact,
    params: SlotCall,
    timeoutMs: number,
  ): Promise<SlotReply> {
    const answer = (vm: Vm) => vm.allocator.answer(params);
    const vm = vms.find(({ host }) => host === target.host);
    const isOther = from !== target.host;
    const isLinkCut = vms.some(
      ({ host, isPartitioned }) => isPartitioned && (host === from || host === target.host),
    );
    if ((isOther && isLinkCut) || isCallLost?.(from, params)) {
      await delay(timeoutMs);
      throw new Error('no answer');
    }
    await delay(ONE_WAY_DELAY_MS);
    if (!vm?.isUp) throw new Error('connection refused');
    const reply = await Promise.race([answer(vm), delay(timeoutMs - ONE_WAY_DELAY_MS)]);
    if (!reply || vm.losesAnswers) {
      await delay(timeoutMs - 2 * ONE_WAY_DELAY_MS);
      throw new Error('no answer');
    }
    await delay(ONE_WAY_DELAY_MS);
    return reply;
  }

  /** Creates a VM that holds nothing. A restarted one knows all others from `settledAtMs`. */
  function createVm(host: string, settledAtMs = clock.nowMs()): Vm {
    const held = new Map<string, HeldSlot>();
    const paths = new Map<string, readonly PathStage[]>();
    const readsPaths = layoutOf !== undefined && !isOlder(host);
    const avoided = new Set<string>();
    const backingOff = new Set<string>();
    const rank = createAllocatorRank({ clock, listEntries: () => knownMembers });
    const telemetry = {
      log: {
        info(event: string, fields: LogFields = {}) {
          lines.push({ event, fields });
        },
      },
      metrics,
    };
    const countEntries = () => Math.max(1, knownMembers.length);
    const limits = createServerLimits({
      clock,
      random,
      ...telemetry,
      countEntries,
    });
    const isAllocator = () => rank.find('a')?.host === host;
    const isConfigured = () => vms.find((vm) => vm.host === host)?.isConfigured ?? true;
    const allocator = createSlotAllocator({
      clock,
      delay,
      host,
      dataCentre: 'a',
      chains: {
        listOf: () => (isConfigured() ? (listOf?.() ?? chains) : []),
        ...(readsPaths ? { layoutOf } : {}),
      },
      modelOf: () => (isConfigured() ? model : undefined),
      isConfigured,
      listServers: () => [],
      limits: createLimitAccount({
        clock,
        ...telemetry,
        isOwner: () => rank.findOwner('a') === host && clock.nowMs() >= settledAtMs,
        countEntries,
      }),
      reportedInFlight: (headId) => reportedLoads.get(headId) ?? 0,
      firstEventMs: () => 0,
      isAllocator,
      decisions,
      ...telemetry,
    });
    const client = createSlotClient({
      clock,
      holder: host,
      dataCentre: 'a',
      rank,
      call: (target, params, timeoutMs) => call(host, target, params, timeoutMs),
      listHeld: () => [...held.values()],
      ...(readsPaths ? { pathOf: (ticket: string) => paths.get(ticket) } : {}),
      listAvoided: () => [...avoided],
      listClosed: () => [...backingOff],
      listLimits: limits.list,
      onUnlimited: limits.recordUnlimited,
      schedule,
      onFailure: () => {},
    });
    limits.onReport((report) => client.reportLimit('a', report));
    const state = { isUp: true, isPartitioned: false, losesAnswers: false, isConfigured: true };
    return { host, client, allocator, held, paths, avoided, backingOff, limits, metrics, ...state };
  }

  for (let index = 0; index < count; index += 1) vms.push(createVm(`vm${index}`));

  function exchangeFacts(): void {
    reportedLoads = new Map(heads.map((headId) => [headId, inFlight(headId)]));
    knownMembers = vms.filter(({ isUp }) => isUp).map(toMember);
    schedule(exchangeFacts, EXCHANGE_INTERVAL_MS);
  }
  function tick(): void {
    vms.filter(({ isUp }) => isUp).forEach(({ client }) => client.tick());
    schedule(tick, TICK_MS);
  }
  exchangeFacts();
  tick();

  function toRequest(vm: Vm, ticket: string, overrides: Partial<SlotRequest>): SlotRequest {
    const arrivedAtMs = clock.nowMs();
    const queueDeadlineAtMs = arrivedAtMs + 1200;
    return {
      ticket,
      service: 'engines',
      size: 1,
      priority: 1,
      hasBegun: false,
      isRetry: false,
      arrivedAtMs,
      latestStartAtMs: arrivedAtMs + 400,
      queueDeadlineAtMs,
      excludedHeads: new Set(),
      rankDataCentres: () => (chains.length > 0 ? [{ dataCentre: 'a', hasCapacity: true }] : []),
      isAbandoned: () => !vm.isUp || clock.nowMs() >= queueDeadlineAtMs,
      ...overrides,
    };
  }

  /** Holds a slot for `lastsMs`. */
  function hold(
    vm: Vm,
    ticket: string,
    headId: string,
    lastsMs: number,
    stages?: readonly PathStage[],
  ): void {
    vm.held.set(ticket, { ticket, headId, size: 1 });
    if (stages) vm.paths.set(ticket, stages);
    schedule(() => {
      vm.held.delete(ticket);
      vm.paths.delete(ticket);
      vm.client.recordReleased('a', ticket);
    }, lastsMs);
  }

  /** Sends one request, which holds its slot for `lastsMs` once it is granted one. */
  function send(
    vm: Vm,
    ticket: string,
    overrides: Partial<SlotRequest> = {},
    lastsMs = 2000,
    onEnd: (outcome: SlotOutcome) => void = () => {},
  ) {
    const outcomes: SlotOutcome[] = [];
    void vm.client.find(toRequest(vm, ticket, overrides)).then((outcome) => {
      outcomes.push(outcome);
      onEnd(outcome);
      if (outcome.kind !== 'granted' || !vm.isUp) return;
      const { headId, stages } = outcome.chain;
      hold(vm, ticket, headId, lastsMs, stages);
    });
    return outcomes;
  }

  return {
    ...time,
    vms,
    /** Metrics and log lines of all VMs. */
    metrics,
    linesOf: (name: string) =>
      lines.filter(({ event }) => event === name).map(({ fields }) => fields),
    inFlight,
    send,
    hold,
    find: (vm: Vm, ticket: string, overrides: Partial<SlotRequest> = {}) =>
      vm.client.find(toRequest(vm, ticket, overrides)),
    /** Restarts a VM under its address; it has a configuration after `configuredAfterMs`. */
    restart(host: string, configuredAfterMs = 0) {
      const index = vms.findIndex((vm) => vm.host === host);
      if (index < 0) return;
      const vm = createVm(host, clock.nowMs() + SETTLED_AFTER_MS);
      vms[index] = vm;
      if (configuredAfterMs === 0) return;
      vm.isConfigured = false;
      schedule(() => {
        vm.isConfigured = true;
      }, configuredAfterMs);
    },
    setChains(next: readonly string[]) {
      chains = next.map(chainOf);
    },
    allocator() {
      const rank = createAllocatorRank({ clock, listEntries: () => knownMembers });
      return vms.find(({ host }) => host === rank.find('a')?.host) as Vm;
    },
  };
}

export type DataCentre = ReturnType<typeof createDataCentre>;

/** Lets the account recover: until then it counts all slots that it granted as held. */
export async function completeAccount(site: DataCentre): Promise<void> {
  await site.pass(1500);
  site.send(site.vms[0] as Vm, 'first', {}, 10);
  await site.pass(1400);
}

/** Sends requests at a rate, from each VM in turn; returns the peak load of each chain. */
export async function runLoad(
  site: DataCentre,
  requestsPerS: number,
  durationMs: number,
  lastsMs = 2000,
  settleMs = 1300,
) {
  const results: SlotOutcome[][] = [];
  const peaks = new Map<string, number>();
  const gapMs = 1000 / requestsPerS;
  for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
    const up = site.vms.filter(({ isUp }) => isUp);
    const vm = up[results.length % up.length];
    // Durations vary from 0.5 to 1.5 times, so that slots are not released in bursts.
    const share = 0.5 + ((results.length * 37) % 100) / 100;
    const ticket = `r${site.clock.nowMs()}`;
    if (vm) results.push(site.send(vm, ticket, {}, lastsMs * share));
    await site.pass(gapMs);
    ['c1', 'c2'].forEach((headId) =>
      peaks.set(headId, Math.max(peaks.get(headId) ?? 0, site.inFlight(headId))),
    );
  }
  // All requests have an outcome by then.
  await site.pass(settleMs);
  const count = (kind: SlotOutcome['kind']) =>
    results.flat().filter((outcome) => outcome.kind === kind).length;
  return { peaks, sent: results.length, count };
}
