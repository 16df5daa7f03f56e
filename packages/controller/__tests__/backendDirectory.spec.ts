import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FACT_KEYS, formatInstanceId } from '@spoolplank/membership';
import type { BackendFact, Fact, SystemFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import { createManualClock, createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import { findAnnouncementProblem } from '../src/announcementCheck';
import { createControlNode } from '../src/controlNode';
import { DOCUMENT } from './placementFixtures';

function createEngine(overrides: Partial<BackendFact> = {}): BackendFact {
  return {
    kind: 'backend',
    instanceId: 'e1',
    service: 'engines',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    state: 'ready',
    slots: 10,
    engine: { acceleratorKind: 'big', held: { firstLayer: 0, endLayer: 4 }, version: 1 },
    ...overrides,
  };
}

/** A control VM without a disk and without any facts. */
async function createNode() {
  const clock = createManualClock(100_000);
  const node = await createControlNode({
    clock,
    random: createSeededRandom(1),
    log: createEventLog({ vmId: 'vm', clock, writeChunk: () => {} }),
    peers: { call: () => Promise.reject(new SpoolplankError('unreachable')), close() {} },
    run: 'run',
    host: 'vm',
    peerPort: 1,
    dataCentre: 'a',
    bootstrapVmIds: [],
    seeds: () => [],
    isFirstStart: true,
    dataFolder: null,
    engineOrders: {
      place: () => Promise.resolve('begun'),
      inspect: () => Promise.resolve({ held: null, slowdown: 1 }),
      isReachable: () => Promise.resolve(true),
      onNotice: () => {},
    },
    readDocument: () => DOCUMENT,
    announcementMs: 1200,
    onFatal(error) {
      throw error;
    },
  });
  const instanceIdOf = (incarnation: number) => formatInstanceId({ serverId: 'e1', incarnation });
  return {
    node,
    instanceIdOf,
    known(): BackendFact {
      const { facts } = node.describe() as unknown as { facts: readonly Fact<SystemFact>[] };
      const body = facts.find(({ key }) => key === FACT_KEYS.backend('e1'))?.body;
      assert.ok(body?.kind === 'backend');
      return body;
    },
  };
}

describe('a control VM', () => {
  it('keeps the later incarnation of a backend server, whatever the earlier one still sends', async () => {
    const { node, instanceIdOf, known } = await createNode();
    node.announce(createEngine({ instanceId: instanceIdOf(1) }), 900);
    node.announce(createEngine({ instanceId: instanceIdOf(2) }), 1);
    node.announce(createEngine({ instanceId: instanceIdOf(1) }), 901);
    assert.equal(known().instanceId, instanceIdOf(2));
    node.withdraw({ serverId: 'e1', incarnation: 1 });
    assert.deepEqual([known().instanceId, known().state], [instanceIdOf(2), 'ready']);
  });

  it('ignores a withdrawal without an incarnation during the first three announcements', async () => {
    const { node, instanceIdOf, known } = await createNode();
    node.announce(createEngine({ instanceId: instanceIdOf(2) }), 3);
    node.withdraw({ serverId: 'e1', incarnation: null });
    assert.equal(known().state, 'ready');
    node.announce(createEngine({ instanceId: instanceIdOf(2) }), 4);
    node.withdraw({ serverId: 'e1', incarnation: null });
    assert.equal(known().state, 'gone');
  });

  it('ends a backend server without incarnations permanently with the first withdrawal', async () => {
    const { node, known } = await createNode();
    node.announce(createEngine(), 1);
    node.withdraw({ serverId: 'e1', incarnation: null });
    node.announce(createEngine(), 2);
    assert.equal(known().state, 'gone');
  });
});

describe('the check of announcements', () => {
  const known = createEngine();
  const problemOf = (stated: BackendFact, before: BackendFact | null = known) =>
    findAnnouncementProblem({ stated, known: before ?? undefined, document: DOCUMENT });
  const engine = (held: { firstLayer: number; endLayer: number }, acceleratorKind = 'big') => ({
    engine: { acceleratorKind, held, version: 1 },
  });

  it('rejects layers, a kind or a memory size that contradict the document', () => {
    assert.notEqual(problemOf(createEngine(engine({ firstLayer: 5, endLayer: 9 }))), null);
    assert.notEqual(problemOf(createEngine(engine({ firstLayer: 0, endLayer: 4 }, 'x'))), null);
    assert.notEqual(problemOf(createEngine({ engine: undefined })), null);
    assert.equal(problemOf(createEngine(engine({ firstLayer: 0, endLayer: 8 }))), null);
  });

  it('rejects a contradiction to an earlier announcement of the same incarnation', () => {
    const others: readonly Partial<BackendFact>[] = [
      { service: 'nobody' },
      { address: '10.0.0.2:80' },
      { dataCentre: 'b' },
    ];
    others.forEach((overrides) => assert.notEqual(problemOf(createEngine(overrides)), null));
    assert.equal(problemOf(createEngine({ state: 'draining' })), null);
  });

  it('accepts an announcement after an invalid one, or when there is nothing to compare with', () => {
    const misfit = createEngine({ service: 'nobody' });
    assert.equal(problemOf(createEngine(), misfit), null);
    assert.equal(problemOf(misfit, null), null);
    const stated = createEngine({ address: '10.0.0.2:80' });
    assert.equal(findAnnouncementProblem({ stated, known, document: null }), null);
  });
});
