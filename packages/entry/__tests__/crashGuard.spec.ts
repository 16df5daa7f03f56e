import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, FACT_KEYS, hasRestarted, parseInstanceId } from '@spoolplank/membership';
import type { FactUpdate, SystemFact } from '@spoolplank/membership';
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { createCrashGuard, isGuardFact } from '../src/quarantine/crashGuard';
import type { CrashGuard } from '../src/quarantine/crashGuard';
import { contentOf, digestContent } from '../src/quarantine/requestContent';
import type { StreamRow, StreamTable } from '../src/dispatch/streamTable';
import { createEngine, createTables } from './fixtures';

function createRow(body: string, row: Partial<StreamRow> = {}) {
  const cuts: string[] = [];
  const request = { host: 'users', method: 'POST', url: '/draft/1', body: Buffer.from(body) };
  const admitted = { request, organisation: null } as unknown as StreamRow['admitted'];
  const created = {
    admitted,
    startedAtMs: 99_900,
    hasAnswered: true,
    hasBegun: false,
    abort: (reason: string) => cuts.push(reason),
    ...row,
  } as StreamRow;
  return { row: created, cuts, digest: digestContent(contentOf(admitted)) };
}

interface Setting {
  readonly rows?: readonly StreamRow[];
  readonly isReachable?: boolean;
}

function createSetting({ rows = [], isReachable = false }: Setting = {}) {
  const clock = createManualClock(100_000);
  let guard: CrashGuard | null = null;
  const table = createFactTable<SystemFact>({
    clock,
    instance: 'run',
    isUrgent: () => true,
    onUrgent(body) {
      if (isGuardFact(body)) guard?.onFact(body);
    },
  });
  guard = createCrashGuard({
    clock,
    random: createSeededRandom(1),
    log: createEventLog({ vmId: 'vm', clock, writeChunk: () => {} }),
    metrics: createMetrics(),
    host: 'vm',
    table,
    view: createTables({ clock, table }).view,
    streams: { list: () => rows } as unknown as StreamTable,
    health: { isLost: (instanceId) => hasRestarted(table, instanceId) },
    isReachable: () => Promise.resolve(isReachable),
    exchangeNow: () => {},
  });
  return {
    guard,
    clock,
    /** Receives the announcement of a server incarnation at an address. */
    announce(instanceId: string, address: string, sequence = 1): void {
      const { incarnation } = parseInstanceId(instanceId);
      const body = createEngine(instanceId, 0, 8, { address });
      table.put(FACT_KEYS.backend(instanceId), { incarnation, sequence }, body);
    },
    mergeFacts: (updates: readonly FactUpdate<SystemFact>[]) =>
      table.merge(updates, clock.nowMs(), 'c'),
  };
}

function createCrashes(content: string, instanceIds: readonly string[], ranMs: number) {
  return instanceIds.map((instanceId): FactUpdate<SystemFact> => ({
    key: FACT_KEYS.crash({ content, instanceId, turn: 0, evidence: 'run' }),
    sequence: 1,
    ageMs: 0,
    body: { kind: 'crash', content, instanceId, turn: 0, ranMs, evidence: 'run' },
  }));
}

describe('a stream with a part of its prompt under which three servers have ended', () => {
  it('is cut while it waits for an answer, once the part can no longer be cleared', async (test) => {
    test.mock.timers.enable({ apis: ['setTimeout'] });
    const waiting = createRow('waiting');
    const other = createRow('other');
    const request = { ...waiting.row.admitted.request, promptParts: ['m/dead'] };
    const row = { ...waiting.row, admitted: { ...waiting.row.admitted, request } };
    const { clock, mergeFacts } = createSetting({ rows: [row, other.row] });
    for (const instanceId of ['s1', 's2', 's3']) {
      clock.advance(1000);
      const [update] = createCrashes(`content on ${instanceId}`, [instanceId], 60);
      assert.ok(update?.body?.kind === 'crash');
      mergeFacts([{ ...update, body: { ...update.body, parts: ['m/dead'] } }]);
      await Promise.resolve();
    }
    assert.deepEqual(waiting.cuts, []);
    clock.advance(1000);
    test.mock.timers.tick(1000);
    assert.deepEqual([waiting.cuts, other.cuts], [['quarantined'], []]);
  });
});

describe('a stream whose content three servers have ended under', () => {
  it('is cut while it waits for an answer, but not once it has events', async () => {
    const waiting = createRow('deadly');
    const begun = createRow('deadly', { hasBegun: true });
    const other = createRow('other');
    const { mergeFacts } = createSetting({ rows: [waiting.row, begun.row, other.row] });
    mergeFacts(createCrashes(waiting.digest, ['s1', 's2', 's3'], 80));
    await Promise.resolve();
    assert.deepEqual([waiting.cuts, begun.cuts, other.cuts], [['quarantined'], [], []]);
  });

  it('is not cut if another content in the same exchange explains the crashes', async () => {
    const unlucky = createRow('unlucky');
    const { mergeFacts } = createSetting({ rows: [unlucky.row] });
    mergeFacts([
      ...createCrashes(unlucky.digest, ['s1', 's2', 's3'], 70),
      ...createCrashes('deadly', ['s1', 's2', 's3', 's4'], 80),
    ]);
    await Promise.resolve();
    assert.deepEqual(unlucky.cuts, []);
  });

  it('is suspected of the loss of any engine of its path, if it had a response head but no event', () => {
    const { guard } = createSetting();
    const begun = createRow('begun', { hasBegun: true });
    const unanswered = createRow('unanswered', { hasAnswered: false });
    const started = createRow('started');
    [begun, unanswered, started].forEach(({ row }) => guard.recordLost(row, 'e2'));
    const suspected = guard.quarantine.describe() as unknown as { readonly content: string }[];
    assert.deepEqual(
      suspected.map(({ content }) => content),
      [started.digest],
    );
  });
});

function listEnds({ quarantine }: CrashGuard): readonly string[] {
  const contents = quarantine.describe() as unknown as {
    readonly ends: readonly { readonly instanceId: string }[];
  }[];
  return contents.flatMap(({ ends }) => ends.map(({ instanceId }) => instanceId));
}

describe('a run that broke off on a server that accepts connections', () => {
  const RUN = { content: 'c', instanceId: 'e1/7', address: 'e1:80', ranMs: 40 };

  it('is no crash while only an earlier incarnation, or an earlier server, is known at the address', async () => {
    for (const earlier of ['e1/6', 'e9']) {
      const { guard, clock, announce } = createSetting({ isReachable: true });
      announce(earlier, 'e1:80');
      clock.advance(2000);
      await guard.crashes.record(RUN);
      guard.crashes.tick();
      assert.deepEqual(guard.quarantine.describe(), [], earlier);
      if (earlier === 'e1/6') announce(earlier, 'e1:80', 2);
      guard.crashes.tick();
      assert.deepEqual(guard.quarantine.describe(), [], `${earlier}, late`);
    }
  });

  it('is a crash once another server has announced itself at the address', async () => {
    const { guard, clock, announce } = createSetting({ isReachable: true });
    await guard.crashes.record(RUN);
    clock.advance(500);
    announce('e9', 'e1:80');
    guard.crashes.tick();
    const [suspected] = guard.quarantine.describe() as unknown as { readonly content: string }[];
    assert.equal(suspected?.content, 'c');
  });

  it('counts for the next incarnation if that had announced itself before', async () => {
    const { guard, clock, announce } = createSetting({ isReachable: true });
    announce('e1/8', 'e1:80');
    clock.advance(100);
    await guard.crashes.record(RUN);
    guard.crashes.tick();
    assert.deepEqual(guard.quarantine.describe(), [], 'the next incarnation may live');
    clock.advance(500);
    announce('e1/9', 'e1:80');
    guard.crashes.tick();
    assert.deepEqual(listEnds(guard), ['e1/8']);
  });

  it('counts for the incarnation that it was sent to if the next one came later', async () => {
    const { guard, clock, announce } = createSetting({ isReachable: false });
    clock.advance(100);
    announce('e1/8', 'e1:80');
    await guard.crashes.record({ ...RUN, ranMs: 150 });
    assert.deepEqual(listEnds(guard), ['e1/7']);
  });
});
