import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { EMPTY_STORED_STATE, createGroupRunner } from '..';
import type {
  GroupRunner,
  LogEntry,
  ReplicaStorage,
  SaveRequest,
  SnapshotMeta,
  StoredState,
} from '..';

interface Fixture {
  readonly runner: GroupRunner;
  readonly saves: SaveRequest[];
  readonly snapshots: SnapshotMeta[];
  readonly applied: JsonValue[];
  readonly storageStates: (string | null)[];
  /** Simulates a full disk. */
  setFull(isFull: boolean): void;
  /** Advances time and runs the timers that are due. */
  advance(durationMs: number): Promise<void>;
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

interface FixtureOptions {
  readonly voters?: readonly string[];
  readonly snapshotEveryEntries?: number;
}

async function createFixture({
  voters = ['a'],
  snapshotEveryEntries = 2000,
}: FixtureOptions = {}): Promise<Fixture> {
  const clock = createManualClock();
  const saves: SaveRequest[] = [];
  const snapshots: SnapshotMeta[] = [];
  const applied: JsonValue[] = [];
  const storageStates: (string | null)[] = [];
  let timers: { readonly atMs: number; readonly run: () => void }[] = [];
  let isFull = false;
  const stored: StoredState = {
    ...EMPTY_STORED_STATE,
    snapshot: { index: 1, term: 0, configuration: { voters, learners: [] } },
    base: { index: 1, term: 0 },
  };
  const storage: ReplicaStorage = {
    load: () => Promise.resolve(stored),
    save(request) {
      if (isFull) return Promise.reject(new SpoolplankError('storage-full'));
      saves.push(request);
      return Promise.resolve();
    },
    saveSnapshot(meta) {
      snapshots.push(meta);
      return Promise.resolve();
    },
    installSnapshot: () => Promise.resolve(),
    readSnapshot: () => Promise.resolve(''),
  };
  const runner = createGroupRunner({
    id: 'a',
    group: 'g',
    clock,
    random: createSeededRandom(1),
    storage,
    send: () => {},
    snapshotEveryEntries,
    onStorageState: (error) => storageStates.push(error?.code ?? null),
    stateMachine: {
      apply: (command) => applied.push(command),
      takeSnapshot: () => '',
      restore: () => {},
    },
    schedule(run, delayMs) {
      const timer = { atMs: clock.nowMs() + delayMs, run };
      timers.push(timer);
      return () => {
        timers = timers.filter((other) => other !== timer);
      };
    },
  });
  await runner.start();
  return {
    runner,
    saves,
    snapshots,
    applied,
    storageStates,
    setFull(next) {
      isFull = next;
    },
    async advance(durationMs) {
      const untilMs = clock.nowMs() + durationMs;
      while (clock.nowMs() < untilMs) {
        clock.advance(25);
        const due = timers.filter(({ atMs }) => atMs <= clock.nowMs());
        timers = timers.filter((timer) => !due.includes(timer));
        due.forEach(({ run }) => run());
        await settle();
      }
    },
  };
}

describe('group runner', () => {
  it('writes concurrent commands with one save', async () => {
    const { runner, saves, applied, advance } = await createFixture();
    await advance(2500);
    const before = saves.length;
    const results = Promise.all(
      Array.from({ length: 50 }, (_unused, index) => runner.propose(index)),
    );
    await advance(50);
    assert.equal((await results).length, 50);
    assert.equal(applied.length, 50);
    assert.equal(saves.length - before, 1);
  });

  it('pauses on a full disk, reports it once, and resumes when there is space', async () => {
    const { runner, applied, storageStates, setFull, advance } = await createFixture();
    await advance(2500);
    setFull(true);
    const pending = runner.propose('first');
    await advance(1500);
    await assert.rejects(runner.propose('second'), { code: 'storage-full', outcome: 'not-run' });
    assert.deepEqual(storageStates, ['storage-full']);
    setFull(false);
    await advance(1100);
    await pending;
    assert.deepEqual(applied, ['first']);
    assert.deepEqual(storageStates, ['storage-full', null]);
  });

  /**
   * Guards against a snapshot with the newest configuration in the log, which may come from an
   * entry after the ones it covers and be overwritten. A replica that compacted its log there
   * continued with voters that the group never committed.
   */
  it('stores the configuration at the last covered entry in a snapshot', async () => {
    const { runner, snapshots, advance } = await createFixture({
      voters: ['a', 'b', 'c'],
      snapshotEveryEntries: 1,
    });
    const entries: LogEntry[] = [
      { index: 2, term: 1, payload: { kind: 'command', command: 'x' } },
      {
        index: 3,
        term: 1,
        payload: {
          kind: 'configuration',
          configuration: { voters: ['a', 'b', 'c', 'd'], learners: [] },
        },
      },
    ];
    runner.receive({
      group: 'g',
      from: 'b',
      to: 'a',
      kind: 'append',
      term: 1,
      prevIndex: 1,
      prevTerm: 0,
      entries,
      commitIndex: 2,
      sentAtMs: 1,
    });
    await advance(25);
    assert.deepEqual(snapshots, [
      { index: 2, term: 1, configuration: { voters: ['a', 'b', 'c'], learners: [] } },
    ]);
  });

  it('refuses commands with the outcome not-run if it is not the leader', async () => {
    const { runner } = await createFixture();
    await assert.rejects(runner.propose('early'), { code: 'not-leader', outcome: 'not-run' });
  });
});
