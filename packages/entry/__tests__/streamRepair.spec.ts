import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { FACT_KEYS } from '@spoolplank/membership';
import type { LossVerdict } from '@spoolplank/reach';
import type { Route } from '@spoolplank/routing';
import { createSeededRandom } from '@spoolplank/shared';
import type { BackendOperations, RepairOutcome } from '../src/dispatch/backendOperations';
import type { CallerAnswer, CallerRequest } from '../src/callerRequest';
import { createStreamRepair } from '../src/repair/streamRepair';
import { createStreamTable } from '../src/dispatch/streamTable';
import type { StreamRow } from '../src/dispatch/streamTable';
import { createContext, createEngine, createTables, MODEL, createSoleChoice } from './fixtures';

interface Setting {
  /** Addresses that accept no connection. */
  readonly unreachable?: readonly string[];
  readonly stalledAt?: string;
  readonly outcome?: RepairOutcome;
  /** Engines that the designated VM reports as lost; it does not reply when this is undefined. */
  readonly lostByProbe?: readonly string[];
  /** What other VMs say of engines that this VM does not reach. */
  readonly verdict?: LossVerdict;
}

/** Silence from which a loss that another VM reports is believed. */
const SILENT_MS = 50;

const ROUTE = { targetGapMs: 200, targetLatencyMs: 500 } as Route;

function createSetting(setting: Setting = {}) {
  const { unreachable = [], stalledAt, outcome, lostByProbe, verdict = 'lost' } = setting;
  const tables = createTables();
  const { clock, view, announce } = tables;
  announce(createEngine('a1', 0, 4));
  announce(createEngine('a2', 4, 8));
  announce(createEngine('a3', 4, 8));
  const repairs: string[][] = [];
  const cuts: string[] = [];
  const suspects: string[] = [];
  const reportedUnreachable: string[] = [];
  let connections = 0;
  let probeRequests = 0;
  let reports = 0;
  const operations: BackendOperations = {
    onNotice: () => {},
    open: () => Promise.reject(new Error('not used here')),
    report() {
      reports += 1;
      const stalled = stalledAt === undefined ? [] : [{ requestId: 'r1', address: stalledAt }];
      return Promise.resolve({ stalled });
    },
    isReachable(address) {
      connections += 1;
      return Promise.resolve(!unreachable.includes(address));
    },
    repair(_target, _id, stages) {
      repairs.push(stages.map(({ id }) => id));
      return Promise.resolve(outcome ?? { kind: 'repaired' });
    },
  };
  const context = createContext(clock, view, operations);
  const streams = createStreamTable({ clock });
  const chains = createSoleChoice({ view, random: createSeededRandom(1) });
  const repair = createStreamRepair({
    context,
    streams,
    chains,
    suspect: (instanceId) => suspects.push(instanceId),
    avoid: () => {},
    paths: {
      confirmLoss: () => Promise.resolve(verdict),
      recordUnreachable: (address) => reportedUnreachable.push(address),
      isPartitioned: false,
    },
    requestProbe() {
      probeRequests += 1;
      return Promise.resolve(lostByProbe ?? null);
    },
  });
  const row: StreamRow = {
    admitted: {
      request: { id: 'r1' } as CallerRequest,
      answer: {} as CallerAnswer,
      route: ROUTE,
      service: 'engines',
      organisation: null,
      callerAgeMs: 0,
      sentAfterMs: clock.steadyMs(),
      deadlineAtMs: clock.nowMs() + 20_000,
    },
    model: MODEL,
    ticket: 'r/0',
    dataCentre: 'a',
    headId: 'a1',
    size: 1,
    stages: [
      { id: 'a1', address: 'a1:80', firstLayer: 0, endLayer: 4 },
      { id: 'a2', address: 'a2:80', firstLayer: 4, endLayer: 8 },
    ],
    orderedStages: [],
    lostIds: new Set(),
    startedAtMs: clock.nowMs(),
    hasAnswered: true,
    isRelayed: false,
    hasBegun: true,
    lastProgressAtMs: clock.nowMs(),
    lastCheckAtMs: 0,
    checks: 0,
    isChecking: false,
    isRepairing: false,
    isHandingOver: false,
    isPaused: false,
    abortReason: null,
    abort: (reason) => cuts.push(reason),
  };
  streams.add(row);
  return {
    row,
    streams,
    clock,
    table: tables.table,
    announceEngine: (id: string) => announce(createEngine(id, 4, 8)),
    repairs,
    cuts,
    suspects,
    unreachable: reportedUnreachable,
    repair,
    counts: () => ({ connections, reports }),
    probeRequests: () => probeRequests,
    async pass(durationMs: number) {
      clock.advance(durationMs);
      repair.tick();
      for (let turn = 0; turn < 10; turn += 1) await nextTurn();
    },
  };
}

describe('a stream that fell silent', () => {
  it('is probed by a few of many entries at a time, and eventually by each of them', async () => {
    const { table, counts, pass, clock } = createSetting();
    const announceEntries = () =>
      Array.from({ length: 120 }, (_, index) =>
        table.put(FACT_KEYS.member(`h${index}`, 'run'), clock.nowMs(), {
          kind: 'member',
          vmId: `h${index}`,
          dataCentre: 'a',
          host: `h${index}`,
          role: 'entry',
          callerAddress: `h${index}:80`,
          state: 'ready',
        }),
      );
    let probes = 0;
    for (let window = 0; window < 100; window += 1) {
      announceEntries();
      const before = counts().connections;
      await pass(400);
      if (counts().connections > before) probes += 1;
    }
    assert.ok(probes > 0 && probes < 30, `${probes} of 100`);
  });

  it('causes no connections to engines while other streams of its path have events', async () => {
    const { row, streams, clock, counts, pass } = createSetting();
    clock.advance(120);
    streams.add({ ...row, lastProgressAtMs: clock.nowMs() });
    await pass(60);
    assert.equal(counts().connections, 0);
    await pass(200);
    assert.ok(counts().connections > 0);
  });

  it('is not probed while its pause is within the target', async () => {
    const setting = createSetting();
    await setting.pass(140);
    assert.deepEqual(setting.counts(), { connections: 0, reports: 0 });
  });

  it('gets a replacement for an engine that accepts no connection', async () => {
    const setting = createSetting({ unreachable: ['a2:80'] });
    await setting.pass(160);
    assert.deepEqual(setting.suspects, ['a2']);
    assert.deepEqual(setting.repairs, [['a1', 'a3']]);
    assert.deepEqual(
      setting.row.stages.map(({ id }) => id),
      ['a1', 'a3'],
    );
    assert.deepEqual(setting.cuts, []);
  });

  it('is aborted, to be resumed elsewhere, when its first engine is lost', async () => {
    const setting = createSetting({ unreachable: ['a1:80'] });
    await setting.pass(160);
    assert.deepEqual(setting.cuts, ['head-lost']);
    assert.deepEqual(setting.repairs, []);
  });

  it('reads the report of the first engine only when all engines accept connections', async () => {
    const setting = createSetting({ stalledAt: 'a2:80' });
    await setting.pass(160);
    assert.equal(setting.counts().reports, 0);
    await setting.pass(400);
    assert.equal(setting.counts().reports, 1);
    assert.deepEqual(setting.repairs, [['a1', 'a3']]);
  });

  it('is aborted when the first engine does not know the request', async () => {
    const setting = createSetting({
      unreachable: ['a2:80'],
      outcome: { kind: 'unknown-request' },
    });
    await setting.pass(160);
    assert.deepEqual(setting.cuts, ['no-repair']);
  });

  it('is probed at increasing intervals when nothing is wrong', async () => {
    const setting = createSetting();
    for (let passed = 0; passed < 5000; passed += 100) await setting.pass(100);
    assert.ok(setting.counts().reports <= 6, `${setting.counts().reports} reports`);
  });

  it('is not probed while the caller does not read', async () => {
    const setting = createSetting();
    setting.row.isPaused = true;
    await setting.pass(5000);
    assert.deepEqual(setting.counts(), { connections: 0, reports: 0 });
  });

  it('is repaired before its pause exceeds the target when the designated VM finds a lost engine', async () => {
    const setting = createSetting({ lostByProbe: ['a2'] });
    await setting.pass(110);
    assert.deepEqual(setting.repairs, [['a1', 'a3']]);
    assert.deepEqual(setting.suspects, ['a2']);
    assert.equal(setting.counts().connections, 0);
  });

  it('causes one probe request until an event arrives over its path again', async () => {
    const setting = createSetting({ lostByProbe: [] });
    for (let passed = 0; passed < 180; passed += 40) await setting.pass(40);
    assert.equal(setting.probeRequests(), 1);
    setting.row.lastProgressAtMs = setting.clock.nowMs();
    await setting.pass(90);
    assert.equal(setting.probeRequests(), 2);
  });

  it('causes no probe request while other streams have events over an equal path', async () => {
    const setting = createSetting();
    const { row, streams, clock } = setting;
    clock.advance(100);
    const stages = row.stages.map((stage) => ({ ...stage }));
    streams.add({ ...row, stages, lastProgressAtMs: clock.nowMs() });
    await setting.pass(60);
    assert.equal(setting.probeRequests(), 0);
  });

  it('is repaired at once when another entry has found the engine lost', async () => {
    const setting = createSetting();
    setting.clock.advance(SILENT_MS);
    setting.repair.repairLost((instanceId) => instanceId === 'a2');
    await setting.pass(0);
    assert.deepEqual(setting.repairs, [['a1', 'a3']]);
  });

  it('is not repaired for a reported loss while it has events, but once it falls silent', async () => {
    const setting = createSetting();
    setting.repair.repairLost((instanceId) => instanceId === 'a2');
    for (let event = 0; event < 10; event += 1) {
      await setting.pass(20);
      setting.row.lastProgressAtMs = setting.clock.nowMs();
    }
    assert.deepEqual(setting.repairs, []);
    await setting.pass(SILENT_MS);
    assert.deepEqual(setting.repairs, [['a1', 'a3']]);
  });

  it('is resumed, and no engine is reported as lost, when only this VM does not reach them', async () => {
    const setting = createSetting({
      unreachable: ['a1:80', 'a2:80'],
      verdict: 'unreachable',
    });
    await setting.pass(160);
    assert.deepEqual(setting.cuts, ['link-lost']);
    assert.deepEqual(setting.suspects, []);
    assert.deepEqual(setting.unreachable, ['a1:80', 'a2:80']);
  });

  it('is not cut when only a later engine is out of the reach of this VM', async () => {
    const setting = createSetting({ unreachable: ['a2:80'], verdict: 'unreachable' });
    await setting.pass(160);
    assert.deepEqual(setting.cuts, []);
    assert.deepEqual(setting.suspects, []);
  });

  it('gets no second order when it ends during the first one', async () => {
    const setting = createSetting({ outcome: { kind: 'unfit', address: 'a3:80' } });
    setting.announceEngine('a4');
    setting.clock.advance(SILENT_MS);
    setting.repair.repairLost((instanceId) => instanceId === 'a2');
    setting.streams.remove(setting.row);
    await setting.pass(0);
    assert.equal(setting.repairs.length, 1);
    assert.deepEqual(setting.cuts, []);
  });

  // An engine on the paths of both runs could not tell them apart, as they have one request id.
  it('is not repaired over an engine of the other run of its request', async () => {
    const stagesOf = (id: string) => [{ id, address: `${id}:80`, firstLayer: 4, endLayer: 8 }];
    const cases: readonly [Partial<StreamRow>, readonly string[][], readonly string[]][] = [
      [{ stages: stagesOf('a3') }, [], ['no-repair']],
      [{ stages: stagesOf('a4'), orderedStages: stagesOf('a3') }, [], ['no-repair']],
      [{ stages: stagesOf('a4') }, [['a1', 'a3']], []],
    ];
    for (const [other, repairs, cuts] of cases) {
      const setting = createSetting();
      setting.streams.add({ ...setting.row, ticket: 'r/0/moved', lostIds: new Set(), ...other });
      setting.clock.advance(SILENT_MS);
      setting.repair.repairLost((instanceId) => instanceId === 'a2');
      await setting.pass(0);
      assert.deepEqual(setting.repairs, repairs);
      assert.deepEqual(setting.cuts, cuts);
    }
  });

  it('keeps the engines of an order without an answer, as it may have been executed', async () => {
    const orderedBy = async (outcome: RepairOutcome) => {
      const setting = createSetting({ outcome });
      setting.clock.advance(SILENT_MS);
      setting.repair.repairLost((instanceId) => instanceId === 'a2');
      const inFlight = setting.row.orderedStages.map(({ id }) => id);
      assert.deepEqual(inFlight, ['a1', 'a3']);
      await setting.pass(0);
      return setting.row.orderedStages.map(({ id }) => id);
    };
    assert.deepEqual(await orderedBy({ kind: 'repaired' }), []);
    assert.deepEqual(await orderedBy({ kind: 'unknown-request' }), []);
    assert.deepEqual(await orderedBy({ kind: 'failed', problem: 'timeout' }), ['a1', 'a3']);
  });
});
