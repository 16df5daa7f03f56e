import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics } from '@spoolplank/node';
import { createSeededRandom } from '@spoolplank/shared';
import type { BackendOperations, RepairOutcome } from '../src/dispatch/backendOperations';
import { createStreamTable } from '../src/dispatch/streamTable';
import type { StreamRow } from '../src/dispatch/streamTable';
import { findDeparture } from '../src/repair/engineDepartures';
import { createStreamMigration } from '../src/repair/streamMigration';
import { createStreamRepair } from '../src/repair/streamRepair';
import { createContext, createEngine, createSoleChoice, createTables } from './fixtures';
import { createRunningRow } from './streamFixtures';
import { createVirtualTime } from './virtualTime';

const VMS = 37;
const STREAMS = 60;
/** Time for which an engine that leaves serves at least. */
const SERVES_MS = 2500;
/** Twice the time in which an engine prefills 840 tokens for a quarter of the layers. */
const TURN_MS = 4.2;

interface Order {
  readonly atMs: number;
  readonly requestId: string;
  readonly path: readonly string[];
}

interface Setting {
  readonly vms?: number;
  readonly streams?: number;
  readonly isEnabled?: boolean;
  readonly hasReplacement?: boolean;
  /** Result of the n-th order, from 0; by default the stream is moved. */
  readonly outcomeOf?: (order: number) => RepairOutcome;
  readonly onOrder?: (row: StreamRow) => void;
  readonly isResumable?: boolean;
  /** Duration of restarts that fail; by default they succeed at once. */
  readonly restartMs?: number;
}

/** Makes a stream silent for longer than a report of a lost engine can be refuted by its events. */
function silence(row: StreamRow): void {
  row.lastProgressAtMs -= 60;
}

/** Streams of several VMs over one path of four engines. */
function createSetting(setting: Setting = {}) {
  const { vms: vmCount = VMS, streams: streamCount = STREAMS, isEnabled = true } = setting;
  const time = createVirtualTime();
  const { clock, schedule, delay } = time;
  const { view, table, announce } = createTables({ clock });
  const ids = ['a1', 'a2', 'a3', 'a4'];
  ids.forEach((id, index) => announce(createEngine(id, 2 * index, 2 * index + 2)));
  if (setting.hasReplacement ?? true) {
    ['b2', 'c2'].forEach((id) => announce(createEngine(id, 2, 4)));
    announce(createEngine('b3', 4, 6));
  }
  const orders: Order[] = [];
  const rows: StreamRow[] = [];
  const handedOver: string[] = [];
  const restartedAtMs: number[] = [];
  const lines: Record<string, unknown>[] = [];
  const metrics = createMetrics();
  const operations = {
    async repair(_target, requestId, stages) {
      const row = rows.find(({ admitted }) => admitted.request.id === requestId);
      const count = orders.length;
      orders.push({ atMs: clock.nowMs(), requestId, path: stages.map(({ id }) => id) });
      await delay(2);
      if (row) setting.onOrder?.(row);
      return setting.outcomeOf?.(count) ?? { kind: 'repaired' };
    },
    report: () => Promise.resolve({ stalled: [] }),
    isReachable: () => Promise.resolve(true),
  } as Partial<BackendOperations> as BackendOperations;
  const vms = Array.from({ length: vmCount }, (_, index) => {
    const streams = createStreamTable({ clock });
    const base = createContext(clock, view, operations);
    const log = {
      ...base.log,
      info: (event: string, fields: object = {}) => lines.push({ event, ...fields }),
    };
    const migration = createStreamMigration({
      clock,
      departureOf: (id) => findDeparture(table, id),
      position: () => ({ index, count: vmCount }),
    });
    const repair = createStreamRepair({
      context: { ...base, metrics, log },
      streams,
      chains: createSoleChoice({ view, random: createSeededRandom(index) }),
      suspect: () => {},
      avoid: () => {},
      requestProbe: () => Promise.resolve(null),
      migration: isEnabled ? migration : undefined,
      handOver(row) {
        handedOver.push(row.admitted.request.id);
        restartedAtMs.push(clock.nowMs());
        const { restartMs } = setting;
        if (restartMs !== undefined) {
          return delay(restartMs).then(() => ({ outcome: 'refused', path: [] }));
        }
        return Promise.resolve({ outcome: 'moved', path: ['d1=0-8'] });
      },
      schedule,
    });
    return { streams, repair };
  });
  for (let index = 0; index < streamCount; index += 1) {
    const startedAtMs = clock.nowMs() - (index % 10) * 200;
    const row = createRunningRow(clock, `r${index}`, ids, { startedAtMs });
    const { admitted } = row;
    const route = { ...admitted.route, isResumable: setting.isResumable ?? false };
    Object.assign(row, { admitted: { ...admitted, route } });
    rows.push(row);
    vms[index % vmCount]?.streams.add(row);
    const receive = (): void => {
      row.lastProgressAtMs = clock.nowMs();
      schedule(receive, 30);
    };
    receive();
  }
  vms.forEach(({ repair }) => repair.watch());
  let sequence = 1;
  return {
    ...time,
    vms,
    rows,
    orders,
    handedOver,
    restartedAtMs,
    lines,
    /** Number of moves with an outcome. */
    count: (outcome: string) => metrics.valueOf('spoolplank_stream_migrations_total', { outcome }),
    leave(id: string): number {
      sequence += 1;
      const index = ids.indexOf(id);
      announce(createEngine(id, 2 * index, 2 * index + 2, { state: 'draining' }), sequence);
      return clock.nowMs();
    },
    usersOf: (id: string) => rows.filter(({ stages }) => stages.some((stage) => stage.id === id)),
  };
}

describe('streams on a later stage that leaves', () => {
  it('are all moved before it exits, spaced over all entries', async () => {
    const setting = createSetting();
    await setting.pass(500);
    const announcedAtMs = setting.leave('a2');
    await setting.pass(SERVES_MS);
    assert.deepEqual(setting.usersOf('a2'), []);
    assert.equal(setting.count('moved'), STREAMS);
    const timesMs = setting.orders.map(({ atMs }) => atMs - announcedAtMs);
    assert.equal(timesMs.length, STREAMS);
    assert.ok(Math.min(...timesMs) >= 1200 && Math.max(...timesMs) <= 2300, timesMs.join(' '));
    // Checks run every 20 ms, so that more than one turn may fall on a check.
    for (let fromMs = 1200; fromMs < 2300; fromMs += 100) {
      const count = timesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 100).length;
      assert.ok(count <= 100 / TURN_MS + 5, `${count} moves from ${fromMs} ms`);
    }
    ['b2', 'c2'].forEach((id) => assert.ok(setting.usersOf(id).length >= STREAMS / 3, id));
  });

  it('are moved one at a time, those with most left to run first, also off two engines at once', async () => {
    const setting = createSetting({ vms: 1, streams: 8 });
    setting.leave('a2');
    setting.leave('a3');
    await setting.pass(SERVES_MS);
    assert.deepEqual(
      setting.orders.map(({ requestId }) => requestId),
      ['r0', 'r1', 'r2', 'r3', 'r4', 'r5', 'r6', 'r7'],
    );
    setting.orders.forEach(({ path }) => assert.equal(path[2], 'b3'));
    const gaps = setting.orders.slice(1).map(({ atMs }, index) => {
      const before = setting.orders[index]?.atMs ?? 0;
      return atMs - before;
    });
    gaps.forEach((gapMs) => assert.ok(gapMs >= 2, `${gapMs} ms`));
  });

  it('are not moved to an engine of the other run of the request', async () => {
    for (let free = 0; free < 2; free += 1) {
      const ids = ['b2', 'c2'];
      const setting = createSetting({ vms: 1, streams: 1 });
      const used = ids[1 - free] ?? '';
      const other = createRunningRow(setting.clock, 'r0', ['d1', used, 'd3', 'd4'], {
        ticket: 'r0/0/moved',
      });
      setting.vms[0]?.streams.add(other);
      setting.leave('a2');
      await setting.pass(SERVES_MS);
      assert.deepEqual(
        setting.orders.map(({ path }) => path),
        [['a1', ids[free], 'a3', 'a4']],
      );
    }
  });

  it('stay while migration is switched off, and while it does not leave', async () => {
    const off = createSetting({ isEnabled: false });
    off.leave('a2');
    await off.pass(SERVES_MS);
    assert.equal(off.orders.length, 0);
    const on = createSetting();
    await on.pass(SERVES_MS);
    assert.equal(on.orders.length, 0);
  });

  // A head that leaves may serve for many seconds after the later stage has exited.
  it('are moved although their head leaves too, if they are not restarted', async () => {
    for (const headFirst of [true, false]) {
      const setting = createSetting({ vms: 1, streams: 2 });
      setting.leave(headFirst ? 'a1' : 'a2');
      await setting.pass(200);
      setting.leave(headFirst ? 'a2' : 'a1');
      await setting.pass(SERVES_MS);
      assert.deepEqual(setting.handedOver, []);
      assert.deepEqual(setting.orders.map(({ requestId }) => requestId).sort(), ['r0', 'r1']);
      assert.deepEqual(setting.usersOf('a2'), []);
    }
  });

  it('wait for a restart that is due, and are moved after it when it fails', async () => {
    for (const headFirst of [true, false]) {
      const restartMs = 300;
      const setting = createSetting({ vms: 1, streams: 1, isResumable: true, restartMs });
      setting.leave(headFirst ? 'a1' : 'a2');
      await setting.pass(200);
      setting.leave(headFirst ? 'a2' : 'a1');
      await setting.pass(SERVES_MS);
      assert.deepEqual(setting.handedOver, ['r0']);
      const [order, ...rest] = setting.orders;
      assert.deepEqual(rest, []);
      assert.ok(order && order.atMs >= (setting.restartedAtMs[0] ?? Infinity) + restartMs);
      assert.deepEqual(setting.usersOf('a2'), []);
    }
  });

  it('stay when no other engine has the layers', async () => {
    const alone = createSetting({ vms: 1, streams: 2, hasReplacement: false });
    alone.leave('a2');
    await alone.pass(SERVES_MS);
    assert.equal(alone.orders.length, 0);
    assert.equal(alone.usersOf('a2').length, 2);
    assert.ok(alone.count('no-path') >= 2);
  });
});

describe('streams on a head that leaves', () => {
  it('are handed over once each, those with most left first, unless they end in time', async () => {
    const setting = createSetting({ vms: 1, streams: 10, isResumable: true });
    // Started 3 s ago: of a usual stream, less is left than the engine serves.
    const ending = createRunningRow(setting.clock, 'ending', ['a1', 'a2', 'a3', 'a4'], {
      startedAtMs: setting.clock.nowMs() - 3000,
    });
    Object.assign(ending, {
      admitted: { ...setting.rows[0]?.admitted, request: { id: 'ending' } },
    });
    setting.vms[0]?.streams.add(ending);
    setting.leave('a1');
    await setting.pass(SERVES_MS);
    assert.deepEqual(
      setting.handedOver,
      Array.from({ length: 10 }, (_, index) => `r${index}`),
    );
    assert.equal(setting.count('moved'), 10);
    assert.equal(setting.orders.length, 0);
  });

  it('stay when their route cannot be resumed, or migration is switched off', async () => {
    for (const options of [{ isResumable: false }, { isResumable: true, isEnabled: false }]) {
      const setting = createSetting({ vms: 1, streams: 2, ...options });
      setting.leave('a1');
      await setting.pass(SERVES_MS);
      assert.deepEqual(setting.handedOver, []);
    }
  });
});

describe('a move that fails', () => {
  const single = (overrides: Setting) => createSetting({ vms: 1, streams: 1, ...overrides });

  it('leaves the stream on its path when the head does not know the request, and is not repeated', async () => {
    const setting = single({ outcomeOf: () => ({ kind: 'unknown-request' }) });
    setting.leave('a2');
    await setting.pass(SERVES_MS);
    assert.equal(setting.orders.length, 1);
    assert.equal(setting.usersOf('a2').length, 1);
    assert.equal(setting.rows[0]?.abortReason, null);
    assert.equal(setting.count('refused'), 1);
  });

  it('leaves the stream on its path when a replacement has no room, and is tried once more', async () => {
    const setting = single({ outcomeOf: () => ({ kind: 'unfit', address: 'b2:80' }) });
    setting.leave('a2');
    await setting.pass(SERVES_MS);
    assert.equal(setting.orders.length, 2);
    assert.equal(setting.usersOf('a2').length, 1);
    assert.equal(setting.rows[0]?.abortReason, null);
  });

  it('is ordered again over the same path when the answer is lost, as it may have been executed', async () => {
    const setting = single({
      outcomeOf: (order) => (order === 0 ? { kind: 'failed', problem: 't' } : { kind: 'repaired' }),
    });
    setting.leave('a2');
    await setting.pass(SERVES_MS);
    assert.equal(setting.orders.length, 2);
    assert.deepEqual(setting.orders[0]?.path, setting.orders[1]?.path);
    assert.equal(setting.usersOf('a2').length, 0);
  });

  it('is followed by a repair when the engine exits during the move', async () => {
    const setting = single({
      outcomeOf: (order) =>
        order === 0 ? { kind: 'unfit', address: 'a2:80' } : { kind: 'repaired' },
      onOrder() {
        if (setting.orders.length !== 1) return;
        setting.rows.forEach(silence);
        setting.vms[0]?.repair.repairLost((id) => id === 'a2');
      },
    });
    setting.leave('a2');
    await setting.pass(1400);
    assert.equal(setting.count('lost'), 1);
    assert.equal(setting.usersOf('a2').length, 0);
    assert.equal(setting.rows[0]?.abortReason, null);
    const [line] = setting.lines.filter(({ event }) => event === 'stream-migrated');
    assert.equal(line?.outcome, 'lost');
    assert.equal(line?.leaving, 'a2');
  });

  it('is followed by no repair when the stream has ended meanwhile and its engine is lost', async () => {
    const setting = single({
      outcomeOf: () => ({ kind: 'unknown-request' }),
      onOrder(row) {
        silence(row);
        setting.vms[0]?.repair.repairLost((id) => id === 'a2');
        setting.vms[0]?.streams.remove(row);
      },
    });
    setting.leave('a2');
    await setting.pass(SERVES_MS);
    assert.equal(setting.orders.length, 1);
    assert.equal(setting.count('lost'), 0);
  });

  it('is not repeated when the caller leaves during the move', async () => {
    const setting = single({
      outcomeOf: () => ({ kind: 'failed', problem: 't' }),
      onOrder(row) {
        row.abort('caller-left');
        setting.vms[0]?.streams.remove(row);
      },
    });
    setting.leave('a2');
    await setting.pass(SERVES_MS);
    assert.equal(setting.orders.length, 1);
    assert.equal(setting.count('refused'), 0);
  });
});
