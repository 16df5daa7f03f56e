/**
 * Guards against a restarted control VM that never recovers the facts its earlier incarnation had
 * received. All other VMs held such a fact, but omitted it from their replies, because its origin
 * was the host of the requester. An entry that followed the restarted VM lacked the fact for 9.5 s:
 * it counted three server crashes instead of four, and the missing one had the restarted VM as its
 * `origin` on all others.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FACT_KEYS } from '@spoolplank/membership';
import type { FactUpdate, FeedReply, SystemFact } from '@spoolplank/membership';
import { createEventLog, delay, SYSTEM_CLOCK } from '@spoolplank/node';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import { createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { createControlNode } from '../src/controlNode';
import type { ControlNode } from '../src/controlNode';

const HOSTS = ['vm0', 'vm1', 'vm2'] as const;
/** Time within which a published fact must reach every connected VM. */
const CONVERGENCE_LIMIT_MS = 3000;
const POLL_MS = 50;

function createFact(instanceId: string): FactUpdate<SystemFact> {
  const run = { content: 'c', instanceId, turn: 0, ranMs: 80 };
  const body = { kind: 'crash', ...run, evidence: 'run' } as const;
  return { key: FACT_KEYS.crash(body), sequence: 1, ageMs: 0, body };
}

/** Three control VMs without a disk that can be stopped and restarted. */
function createControls() {
  const nodes = new Map<string, ControlNode>();
  const cut = new Set<string>();
  let runs = 0;
  const peersOf = (sender: string): PeerClient => ({
    async call<Result>({ vmId }: PeerTarget, method: string, params: unknown): Promise<Result> {
      const answer = nodes.get(vmId)?.methods[method];
      const isCut = cut.has(`${sender} ${vmId}`) || cut.has(`${vmId} ${sender}`);
      if (!answer || isCut) throw new SpoolplankError('unreachable');
      return (await answer(structuredClone(params) as JsonValue, sender)) as Result;
    },
    close() {},
  });

  async function start(host: string): Promise<void> {
    runs += 1;
    const node = await createControlNode({
      clock: SYSTEM_CLOCK,
      random: createSeededRandom(runs),
      log: createEventLog({ vmId: host, clock: SYSTEM_CLOCK, writeChunk: () => {} }),
      peers: peersOf(host),
      run: `run-${runs}`,
      host,
      peerPort: 1,
      dataCentre: 'a',
      bootstrapVmIds: HOSTS,
      seeds: () => HOSTS,
      isFirstStart: true,
      dataFolder: null,
      engineOrders: {
        place: () => Promise.resolve('begun'),
        inspect: () => Promise.resolve({ held: null, slowdown: 1 }),
        isReachable: () => Promise.resolve(true),
        onNotice: () => {},
      },
      readDocument: () => assert.fail('there is no document'),
      announcementMs: 1000,
      onFatal(error) {
        throw error;
      },
    });
    nodes.set(host, node);
    await node.start();
  }

  /** One exchange of an entry with a control VM; resolves with the keys in the reply. */
  async function exchange(
    host: string,
    updates: readonly FactUpdate<SystemFact>[] = [],
  ): Promise<readonly string[]> {
    const request = { updates, instance: '', revision: 0, documentVersion: -1, waitMs: 0 };
    const answer = nodes.get(host)?.methods['feed.exchange'];
    const reply = (await answer?.(request as unknown as JsonValue, 'entry')) as unknown as
      FeedReply<SystemFact, never> | undefined;
    return reply?.delta.updates.map(({ key }) => key) ?? [];
  }

  return {
    start,
    cut,
    exchange,
    async end(host: string): Promise<void> {
      const node = nodes.get(host);
      nodes.delete(host);
      await node?.stop();
    },
    /** Whether a VM delivers a fact within the limit. */
    async servesFact(host: string, key: string): Promise<boolean> {
      const endsAtMs = SYSTEM_CLOCK.nowMs() + CONVERGENCE_LIMIT_MS;
      while (SYSTEM_CLOCK.nowMs() < endsAtMs) {
        if ((await exchange(host)).includes(key)) return true;
        await delay(POLL_MS);
      }
      return false;
    },
    async stop(): Promise<void> {
      await Promise.all([...nodes.values()].map((node) => node.stop()));
      nodes.clear();
    },
  };
}

async function withControls(
  runScenario: (controls: ReturnType<typeof createControls>) => Promise<void>,
): Promise<void> {
  const controls = createControls();
  try {
    await Promise.all(HOSTS.map((host) => controls.start(host)));
    await runScenario(controls);
  } finally {
    await controls.stop();
  }
}

describe('a fact that is published once, to one control VM', () => {
  const fact = createFact('e1');

  it('is recovered by that VM after its restart', async () => {
    await withControls(async ({ exchange, servesFact, end, start }) => {
      await exchange('vm0', [fact]);
      assert.ok(await servesFact('vm1', fact.key), 'the fact was replicated');
      await end('vm0');
      await start('vm0');
      assert.ok(await servesFact('vm0', fact.key));
    });
  });

  it('is received by a VM that starts after the restart of that VM', async () => {
    await withControls(async ({ exchange, servesFact, end, start }) => {
      await exchange('vm0', [fact]);
      assert.ok(await servesFact('vm1', fact.key), 'the fact was replicated');
      await end('vm0');
      await end('vm2');
      await start('vm0');
      await start('vm2');
      assert.ok(await servesFact('vm2', fact.key));
    });
  });

  it('is recovered by the restarted VM even if it reaches only one other VM', async () => {
    await withControls(async ({ exchange, servesFact, end, start, cut }) => {
      await exchange('vm0', [fact]);
      assert.ok(await servesFact('vm2', fact.key), 'the fact was replicated');
      await end('vm0');
      cut.add('vm0 vm1');
      await start('vm0');
      assert.ok(await servesFact('vm0', fact.key));
    });
  });
});
