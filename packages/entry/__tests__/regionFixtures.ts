/** Simulates three data centres with one entry VM and three chains each, in virtual time. */
import type { CapacityFact, Fact, MemberFact } from '@spoolplank/membership';
import { createMetrics } from '@spoolplank/node';
import type { DecisionSettings, HeldSlot } from '@spoolplank/routing';
import { createLimitAccount } from '../src/limits/limitAccount';
import { createAllocatorRank } from '../src/slots/allocatorRank';
import { rankDataCentres } from '../src/slots/dataCentreRank';
import { createSlotAllocator } from '../src/slots/slotAllocator';
import type { SlotAllocator } from '../src/slots/slotAllocator';
import { createSlotClient } from '../src/slots/slotClient';
import type { SlotOutcome } from '../src/slots/slotClient';
import { MODEL } from './fixtures';
import { CAPACITY } from './slotFixtures';
import { createVirtualTime } from './virtualTime';

const ONE_WAY_DELAY_MS = 0.5;
const PUBLISH_MS = 800;
const FACT_LIFETIME_MS = 3500;
const TICK_MS = 40;
const WAIT_MS = 1200;
export const DATA_CENTRES: readonly string[] = ['a', 'b', 'c'];

/** A request and how it ended. */
export interface RegionRequest {
  readonly from: string;
  readonly sentAtMs: number;
  endedAtMs: number;
  outcome: SlotOutcome | null;
}

export function createRegion(decisions: DecisionSettings) {
  const time = createVirtualTime();
  const { clock, delay, schedule } = time;
  const facts = new Map<string, Fact<CapacityFact>>();
  const withoutChains = new Set<string>();
  const cutOff = new Set<string>();
  const returnsAtMs = new Map<string, number>();
  const allocators = new Map<string, SlotAllocator>();
  const members = DATA_CENTRES.map((dataCentre): MemberFact => ({
    kind: 'member',
    vmId: dataCentre,
    dataCentre,
    host: dataCentre,
    role: 'entry',
    peerPort: 1,
    state: 'ready',
  }));

  function createEntry(dataCentre: string) {
    const held = new Map<string, HeldSlot & { readonly dataCentre: string }>();
    const telemetry = { log: { info: () => {} }, metrics: createMetrics() };
    const limits = createLimitAccount({
      clock,
      ...telemetry,
      isOwner: () => true,
      countEntries: () => 1,
    });
    const chains = ['1', '2', '3'].map((name) => ({
      headId: `${dataCentre}${name}`,
      stages: [],
      capacity: CAPACITY,
    }));
    const allocator = createSlotAllocator({
      clock,
      delay,
      host: dataCentre,
      dataCentre,
      chains: { listOf: () => (withoutChains.has(dataCentre) ? [] : chains) },
      modelOf: () => MODEL,
      isConfigured: () => true,
      listServers: () => [],
      limits,
      reportedInFlight: () => 0,
      firstEventMs: () => 0,
      isAllocator: () => true,
      decisions,
      chainReturnsInMs() {
        const atMs = returnsAtMs.get(dataCentre);
        return atMs === undefined ? null : atMs - clock.nowMs();
      },
    });
    allocators.set(dataCentre, allocator);
    const client = createSlotClient({
      clock,
      holder: dataCentre,
      dataCentre,
      rank: createAllocatorRank({ clock, listEntries: () => members }),
      async call(target, params, timeoutMs) {
        const isCut =
          target.host !== dataCentre && (cutOff.has(target.host) || cutOff.has(dataCentre));
        if (isCut) {
          await delay(timeoutMs);
          throw new Error('no answer');
        }
        await delay(2 * ONE_WAY_DELAY_MS);
        const asked = allocators.get(target.host);
        if (!asked) throw new Error('connection refused');
        return asked.answer(params);
      },
      listHeld: (name) => [...held.values()].filter((slot) => slot.dataCentre === name),
      listAvoided: () => [],
      listClosed: () => [],
      listLimits: () => [],
      onUnlimited: () => {},
      schedule,
      onFailure: () => {},
    });
    return { client, held };
  }

  const entries = new Map(DATA_CENTRES.map((dataCentre) => [dataCentre, createEntry(dataCentre)]));

  function publish(): void {
    allocators.forEach((allocator, dataCentre) => {
      const nowMs = clock.nowMs();
      const body: CapacityFact = {
        kind: 'capacity',
        dataCentre,
        services: { engines: allocator.capacityOf('engines') },
      };
      facts.set(dataCentre, { body, receivedAtMs: nowMs } as Fact<CapacityFact>);
    });
    schedule(publish, PUBLISH_MS);
  }
  function tick(): void {
    entries.forEach(({ client }) => client.tick());
    schedule(tick, TICK_MS);
  }
  publish();
  tick();

  /** Sends a request from a data centre, which holds its slot for `lastsMs`. */
  function send(from: string, ticket: string, lastsMs: number): RegionRequest {
    const sentAtMs = clock.nowMs();
    const sent: RegionRequest = { from, sentAtMs, endedAtMs: Number.NaN, outcome: null };
    const entry = entries.get(from);
    if (!entry) throw new Error(`no data centre ${from}`);
    const { client, held } = entry;
    void client
      .find({
        ticket,
        service: 'engines',
        size: 1,
        priority: 1,
        hasBegun: false,
        isRetry: false,
        arrivedAtMs: sentAtMs,
        latestStartAtMs: sentAtMs + 400,
        queueDeadlineAtMs: sentAtMs + WAIT_MS,
        excludedHeads: new Set(),
        rankDataCentres: () =>
          rankDataCentres({
            own: from,
            capacities: [...facts.values()],
            service: 'engines',
            oldestMs: clock.nowMs() - FACT_LIFETIME_MS,
          }),
        isAbandoned: () => clock.nowMs() >= sentAtMs + WAIT_MS,
      })
      .then((outcome) => {
        sent.endedAtMs = clock.nowMs();
        sent.outcome = outcome;
        if (outcome.kind !== 'granted') return;
        const { dataCentre, headId } = outcome.chain;
        held.set(ticket, { ticket, headId, size: 1, dataCentre });
        schedule(() => {
          held.delete(ticket);
          client.recordReleased(dataCentre, ticket);
        }, lastsMs);
      });
    return sent;
  }

  return {
    ...time,
    withoutChains,
    cutOff,
    returnsAtMs,
    /** Sends requests evenly from all data centres, with slots held for 2 s on average. */
    async sendFor(perS: number, durationMs: number): Promise<readonly RegionRequest[]> {
      const all: RegionRequest[] = [];
      const gapMs = 1000 / perS;
      for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
        const index = all.length;
        const lastsMs = 2000 * (0.5 + ((index * 37) % 100) / 100);
        const from = DATA_CENTRES[index % DATA_CENTRES.length] ?? 'a';
        all.push(send(from, `r${clock.nowMs()}-${index}`, lastsMs));
        await time.pass(gapMs);
      }
      return all;
    },
  };
}

export type Region = ReturnType<typeof createRegion>;
