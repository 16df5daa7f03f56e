/** Memory and processing time of the state at the sizes that determine the design. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createSessionStore } from '@spoolplank/entry';
import { createControlState, createLogClock } from '@spoolplank/control';
import { createDirectory } from '@spoolplank/membership';
import type { Announcement } from '@spoolplank/membership';
import { SYSTEM_CLOCK } from '@spoolplank/node';
import { createBackendLoadTable, selectBackendServer, selectChain } from '@spoolplank/routing';
import { applyEdits, collectTreeFindings, resolvePolicy } from '@spoolplank/settings';
import type { SettingsTree } from '@spoolplank/settings';
import { createSeededRandom } from '@spoolplank/shared';
import type { Figure } from '../figures';
import { fitLine } from '../statistics';

const ORGANISATIONS = 17_000;
const SERVICES = 8;
const CLAIMS = 100_000;
const ROWS = [100, 1000] as const;
const CHOICES = 2000;
const SESSIONS = 500;
const SESSION_TOKENS = 500;
const PROMPT_WORDS = 250;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Creates a value and measures the heap bytes that it retains. */
function measureHeap<Result>(factory: () => Result): {
  readonly bytes: number;
  readonly created: Result;
} {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const created = factory();
  collectGarbage();
  return { bytes: process.memoryUsage().heapUsed - before, created };
}

function measureUs(times: number, run: (index: number) => void): number {
  const startedMs = performance.now();
  for (let index = 0; index < times; index += 1) run(index);
  return ((performance.now() - startedMs) / times) * 1000;
}

function createTree(): SettingsTree {
  const services = Object.fromEntries(
    Array.from({ length: SERVICES }, (_unused, index) => [
      `model-${index}`,
      { kind: 'model', layers: 80 } as const,
    ]),
  );
  const organisations = Object.fromEntries(
    Array.from({ length: ORGANISATIONS }, (_unused, index) => [
      `organisation-${index}`,
      {
        tokenDigests: [index.toString(16).padStart(64, '0')],
        policy: { maxInFlight: 100 + (index % 50) },
        services: { [`model-${index % SERVICES}`]: {}, [`model-${(index + 1) % SERVICES}`]: {} },
      },
    ]),
  );
  return JSON.parse(JSON.stringify({ services, organisations })) as SettingsTree;
}

function createAnnouncement(index: number): Announcement {
  const part = index % 4;
  return {
    name: `engine-${index}`,
    dataCentre: `dc${index % 3}`,
    host: '10.0.0.1',
    port: 8000,
    incarnation: 1,
    sequence: 1,
    state: 'ready',
    services: ['bookings'],
    load: { running: index % 7, queued: 0 },
    engine: {
      model: `model-${index % 2}`,
      version: 'v1',
      adapters: [],
      acceleratorKind: 'kind-a',
      firstLayer: part * 20,
      lastLayer: part * 20 + 19,
      maxBatch: 64,
      stepBaseMs: 5,
      stepPerItemMs: 0.2,
      isFencingChecked: true,
      links: [],
    },
  };
}

function measureSettings(): readonly Figure[] {
  const { bytes, created: tree } = measureHeap(createTree);
  const text = JSON.stringify(tree);
  const changeUs = measureUs(50, (index) => {
    applyEdits(tree, [{ pointer: `/organisations/organisation-${index}/policy/weight`, value: 2 }]);
  });
  const checkUs = measureUs(3, () => collectTreeFindings(tree, 'bench'));
  const resolveUs = measureUs(20_000, (index) => {
    resolvePolicy(tree, {
      organisation: `organisation-${index % ORGANISATIONS}`,
      service: 'model-1',
    });
  });
  return [
    { metric: 'tree-17000-organisations-heap', value: bytes / 1e6, unit: 'MB' },
    { metric: 'tree-17000-organisations-text', value: text.length / 1e6, unit: 'MB' },
    { metric: 'tree-change', value: changeUs / 1000, unit: 'ms', bound: { atMost: 100 } },
    { metric: 'tree-check', value: checkUs / 1000, unit: 'ms' },
    { metric: 'policy-resolve', value: resolveUs, unit: 'us', bound: { atMost: 200 } },
  ];
}

function measureClaims(): readonly Figure[] {
  const { bytes, created: state } = measureHeap(() => {
    const control = createControlState({ logClock: createLogClock(SYSTEM_CLOCK) });
    for (let index = 0; index < CLAIMS; index += 1) {
      const command = {
        kind: 'claim.acquire',
        organisation: `organisation-${index % 100}`,
        key: `0193a5c8-1c00-7abc-8def-${index.toString(16).padStart(12, '0')}`,
        requestDigest: `digest-${index}`.padEnd(43, 'x'),
        owner: `vm1/0193a5c8/${index}`,
        retentionMs: 86_400_000,
        logTimeMs: index,
      };
      control.apply(command);
    }
    return control;
  });
  const startedMs = performance.now();
  const snapshot = state.takeSnapshot();
  return [
    { metric: 'claim-heap', value: bytes / CLAIMS, unit: 'bytes' },
    { metric: 'snapshot-100000-claims', value: performance.now() - startedMs, unit: 'ms' },
    { metric: 'snapshot-100000-claims-text', value: snapshot.length / 1e6, unit: 'MB' },
  ];
}

function measureDirectory(): readonly Figure[] {
  const random = createSeededRandom(1);
  const points = ROWS.map((count) => {
    const announcements = Array.from({ length: count }, (_unused, index) =>
      createAnnouncement(index),
    );
    const { bytes, created: directory } = measureHeap(() => {
      const table = createDirectory({ clock: SYSTEM_CLOCK, instance: 'bench', ttlMs: 1e9 });
      announcements.forEach((announcement) => table.announce(structuredClone(announcement)));
      return table;
    });
    const listed = directory.listAvailable().map(({ announcement }) => announcement);
    const loads = createBackendLoadTable();
    const excluded: ReadonlySet<string> = new Set();
    const plainUs = measureUs(CHOICES, () => {
      selectBackendServer(
        listed,
        { service: 'bookings', dataCentre: 'dc1', excluded, nowMs: 0 },
        loads,
        random,
      );
    });
    const chainUs = measureUs(CHOICES / 10, () => {
      selectChain(
        listed,
        { model: 'model-1', layers: 80, excluded, dataCentre: 'dc1', nowMs: 0 },
        loads,
      );
    });
    return { count, bytes, plainUs, chainUs };
  });
  const slopeOf = (pick: (point: (typeof points)[number]) => number) =>
    fitLine(points.map((point) => ({ x: point.count, y: pick(point) }))).slope;
  return [
    { metric: 'directory-row-heap', value: slopeOf(({ bytes }) => bytes), unit: 'bytes' },
    { metric: 'choose-plain-slope', value: slopeOf(({ plainUs }) => plainUs), unit: 'us/row' },
    { metric: 'choose-chain-slope', value: slopeOf(({ chainUs }) => chainUs), unit: 'us/row' },
    ...points.flatMap(({ count, plainUs, chainUs }): readonly Figure[] => [
      { metric: `choose-plain-${count}-rows`, value: plainUs, unit: 'us' },
      { metric: `choose-chain-${count}-rows`, value: chainUs, unit: 'us' },
    ]),
  ];
}

function measureSessions(): readonly Figure[] {
  const { bytes, created: store } = measureHeap(() => {
    const sessions = createSessionStore({ clock: SYSTEM_CLOCK });
    for (let index = 0; index < SESSIONS; index += 1) {
      const request = {
        model: 'model-1',
        prompt: `${index} `.repeat(PROMPT_WORDS),
        maxTokens: SESSION_TOKENS,
        priority: 5,
        isChat: true,
      };
      const record = sessions.create(`session-${index}`, 'organisation-1', request);
      for (let token = 0; token < SESSION_TOKENS; token += 1) {
        record.tokens.push({ tokenId: token, text: ` word${token}` });
      }
    }
    return sessions;
  });
  return [{ metric: 'session-500-tokens-heap', value: bytes / store.size / 1000, unit: 'KB' }];
}

export function stateBench(): Promise<readonly Figure[]> {
  return Promise.resolve([
    ...measureSettings(),
    ...measureClaims(),
    ...measureSessions(),
    ...measureDirectory(),
  ]);
}
