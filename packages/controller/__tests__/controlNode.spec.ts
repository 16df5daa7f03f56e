import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import type { BackendFact, LayerRange } from '@spoolplank/membership';
import { createEventLog, delay, SYSTEM_CLOCK } from '@spoolplank/node';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import type { ModelDescription, RoutingDocument } from '@spoolplank/routing';
import { createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import type { EngineOrders } from '../src/engineOperations';
import { createControlNode } from '../src/controlNode';
import type { ControlNode } from '../src/controlNode';

const ANNOUNCEMENT_MS = 800;
const WAIT_MS = 30_000;
const POLL_MS = 100;
const DATA_CENTRES = ['a', 'b', 'c', 'd', 'e'];
const CONTROL_VMS = 15;
const ENGINES = 216;

const MODEL: ModelDescription = {
  layers: 80,
  layerMb: 1750,
  stepMs: 0.85,
  stepPerRequestMs: 0.0055,
  contextMsPerToken: 0.0000073,
  stepsPerPass: 2,
  readTokensPerS: 236_000,
  tokenBytes: 845_373,
  usualPromptTokens: 772,
  usualAnswerTokens: 141,
  maxConcurrentLoads: 30,
  loadMs: 14_000,
  kinds: [{ name: 'small', memoryMb: 22_000, stepFactor: 16, readFactor: 8.2 }],
};

const DOCUMENT: RoutingDocument = {
  version: 1,
  routes: [],
  services: [{ name: 'engines', maxConnections: 100, model: MODEL }],
  organisations: [],
  isKeyRequired: false,
  limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** Control VMs of one deployment; the first three are seeds, and the first five have disks. */
async function createDeployment(folder: string) {
  const nodes = new Map<string, ControlNode>();
  const held = new Map<string, LayerRange>();
  const hosts = Array.from({ length: CONTROL_VMS }, (_, index) => `vm${index}`);
  const seeds = hosts.slice(0, 3);
  const peersOf = (sender: string): PeerClient => ({
    async call<Result>({ vmId }: PeerTarget, method: string, params: unknown): Promise<Result> {
      const answer = nodes.get(vmId)?.methods[method];
      if (!answer) throw new SpoolplankError('unreachable');
      return (await answer(structuredClone(params) as JsonValue, sender)) as Result;
    },
    close() {},
  });
  const engineOrders: EngineOrders = {
    place({ instanceId }, { firstLayer, endLayer }) {
      held.set(instanceId, { firstLayer, endLayer });
      return Promise.resolve('begun');
    },
    inspect: ({ instanceId }) =>
      Promise.resolve({ held: held.get(instanceId) ?? null, slowdown: 1 }),
    isReachable: () => Promise.resolve(true),
    onNotice: () => {},
  };
  for (const [index, host] of hosts.entries()) {
    const node = await createControlNode({
      clock: SYSTEM_CLOCK,
      random: createSeededRandom(index + 1),
      log: createEventLog({ vmId: host, clock: SYSTEM_CLOCK, writeChunk: () => {} }),
      peers: peersOf(host),
      run: `run-${host}`,
      host,
      peerPort: 1,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
      bootstrapVmIds: seeds,
      seeds: () => seeds,
      isFirstStart: true,
      dataFolder: index < 5 ? join(folder, host) : null,
      engineOrders,
      readDocument: () => DOCUMENT,
      announcementMs: ANNOUNCEMENT_MS,
      onFatal(error) {
        throw error;
      },
    });
    nodes.set(host, node);
  }
  return { nodes, hosts, held };
}

function describeEngine(index: number, held: LayerRange | null): BackendFact {
  return {
    kind: 'backend',
    instanceId: `e${index}`,
    service: 'engines',
    address: `10.0.0.${index}:80`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
    state: 'ready',
    slots: 134,
    engine: { acceleratorKind: 'small', held, version: 1 },
  };
}

/** Retries, as changes are refused until a leader is elected, which takes about a second. */
async function storeDocument(node: ControlNode | undefined): Promise<void> {
  for (let tries = 0; tries < 10; tries += 1) {
    const result = await node?.replaceDocument({ version: 1, data: 'x' }).catch(() => null);
    if (result) return;
  }
  assert.fail('no leader accepted the document');
}

describe('fifteen control VMs, three of them seeds in the settings', () => {
  it('order layers for every engine, whichever of them it announces itself to', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'spoolplank-control-'));
    const { nodes, hosts, held } = await createDeployment(folder);
    try {
      await Promise.all([...nodes.values()].map((node) => node.start()));
      await storeDocument(nodes.get('vm14'));
      const endsAtMs = SYSTEM_CLOCK.nowMs() + WAIT_MS;
      for (let sequence = 1; held.size < ENGINES && SYSTEM_CLOCK.nowMs() < endsAtMs;) {
        for (let index = 0; index < ENGINES; index += 1) {
          const node = nodes.get(hosts[index % CONTROL_VMS] ?? '');
          node?.announce(describeEngine(index, held.get(`e${index}`) ?? null), sequence);
        }
        sequence += 1;
        for (let waitedMs = 0; waitedMs < ANNOUNCEMENT_MS; waitedMs += POLL_MS) {
          if (held.size < ENGINES) await delay(POLL_MS);
        }
      }
      assert.equal(held.size, ENGINES);
    } finally {
      await Promise.all([...nodes.values()].map((node) => node.stop()));
      await rm(folder, { recursive: true, force: true });
    }
  });
});
