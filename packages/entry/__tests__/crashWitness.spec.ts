import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable } from '@spoolplank/membership';
import type { FactUpdate, SystemFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createCrashWitness } from '../src/crashWitness';
import { createOwnStatements } from '../src/ownStatements';
import { contentOf, digestContent } from '../src/requestContent';
import { createAdmitted, createRoute } from './fixtures';

const RUN = { content: 'c', instanceId: 's1', address: 's1:80', ranMs: 50 };

interface Setting {
  readonly isThere?: boolean;
  readonly isSuspected?: boolean;
  /** How many VMs are to speak first of what another one stated. */
  readonly rank?: number;
}

function createSetting({ isThere = true, isSuspected = false, rank = 0 }: Setting = {}) {
  const clock = createManualClock();
  const ended = new Set<string>();
  const seen: string[] = [];
  let onFact = (_body: SystemFact): void => {};
  const table = createFactTable<SystemFact>({
    clock,
    instance: 'vm',
    isUrgent: () => true,
    onUrgent: (body) => onFact(body),
  });
  const statements = createOwnStatements({ clock, table, spread: () => {} });
  const witness = createCrashWitness({
    clock,
    table,
    state: statements.state,
    isSuspected: () => isSuspected,
    isThere: () => Promise.resolve(isThere),
    hasEnded: ({ instanceId }) => ended.has(instanceId),
    rankOf: () => rank,
    onEnd({ instanceId, turn, evidence }) {
      const name = turn === 0 ? instanceId : `${instanceId}#${turn}`;
      seen.push(evidence === 'run' ? name : `${evidence} ${name}`);
    },
  });
  onFact = (body) => {
    if (body.kind === 'open-run') witness.onFact(body);
  };
  return {
    clock,
    ended,
    seen,
    witness,
    tell: () => statements.list(),
    hear: (updates: readonly FactUpdate<SystemFact>[]) => table.merge(updates, clock.nowMs(), 'c'),
  };
}

const createContent = () =>
  contentOf(createAdmitted(createManualClock(100_000), createRoute('stream')));

describe('a run whose connection broke', () => {
  it('counts as an end when its server accepts no connection any more', async () => {
    const { witness, seen } = createSetting({ isThere: false });
    await witness.note(RUN);
    assert.deepEqual(seen, ['s1']);
  });

  it('counts for nothing while its server lives, as after a reset of the connection', async () => {
    const { witness, seen, clock } = createSetting();
    await witness.note(RUN);
    for (let passedMs = 0; passedMs < 20_000; passedMs += 500) {
      clock.advance(500);
      witness.tick();
    }
    assert.deepEqual(seen, []);
  });

  it('counts as an end when its server was back before anybody looked, and says so later', async () => {
    const { witness, seen, clock, ended } = createSetting();
    await witness.note(RUN);
    clock.advance(2000);
    witness.tick();
    ended.add('s1');
    witness.tick();
    witness.tick();
    assert.deepEqual(seen, ['s1']);
  });

  it('counts for nothing when its server ends long after', async () => {
    const { witness, seen, clock, ended } = createSetting();
    await witness.note(RUN);
    clock.advance(8000);
    witness.tick();
    ended.add('s1');
    witness.tick();
    assert.deepEqual(seen, []);
  });

  it('is not looked at again when another VM has found its server lost', async () => {
    const { witness, seen, ended } = createSetting();
    ended.add('s1');
    await witness.note(RUN);
    assert.deepEqual(seen, ['s1']);
  });
});

describe('a run that another VM has stated and left open', () => {
  it('counts as an end once the server has ended, after those who are to speak first', async () => {
    const [stater, other] = [createSetting(), createSetting({ rank: 2 })];
    await stater.witness.note(RUN);
    other.hear(stater.tell());
    other.witness.tick();
    other.ended.add('s1');
    const seen = [0, 299, 1].map((passedMs) => {
      other.clock.advance(passedMs);
      other.witness.tick();
      return other.seen.length;
    });
    assert.deepEqual(seen, [0, 0, 1]);
  });

  it('counts for nothing when the server ends long after', async () => {
    const [stater, other] = [createSetting(), createSetting()];
    await stater.witness.note(RUN);
    other.hear(stater.tell());
    other.clock.advance(8000);
    other.ended.add('s1');
    other.witness.tick();
    assert.deepEqual(other.seen, []);
  });

  it('is bounded in number: the oldest are left out first', async () => {
    const { witness, ended, seen } = createSetting();
    for (let count = 0; count <= 512; count += 1) {
      await witness.note({ ...RUN, instanceId: `s${count}` });
      ended.add(`s${count}`);
    }
    witness.tick();
    assert.deepEqual([seen.length, seen[0]], [512, 's1']);
  });
});

describe('runs that were sent to under one name', () => {
  it('are told apart when one was sent after another had broken off', async () => {
    const { witness, clock, ended, seen } = createSetting();
    await witness.note(RUN);
    clock.advance(500);
    await witness.note(RUN);
    ended.add('s1');
    witness.tick();
    assert.deepEqual(seen, ['s1', 's1#1']);
  });

  it('are one where the second was under way already', async () => {
    const { witness, clock, ended, seen } = createSetting();
    await witness.note(RUN);
    clock.advance(RUN.ranMs);
    await witness.note(RUN);
    ended.add('s1');
    witness.tick();
    assert.deepEqual(seen, ['s1']);
  });

  it('are not told apart by attempts, which may have come after the end and reached nobody', async () => {
    const { witness, clock, ended, seen } = createSetting({ isSuspected: true });
    const content = createContent();
    await witness.note({ ...RUN, content: digestContent(content) });
    clock.advance(500);
    witness.noteSend(content, RUN);
    ended.add('s1');
    witness.tick();
    assert.deepEqual(seen, ['s1', 'attempt s1']);
  });

  it('are no end while the server lives, however often its connections break', async () => {
    const { witness, clock, seen } = createSetting();
    for (let count = 0; count < 5; count += 1) {
      await witness.note(RUN);
      clock.advance(500);
      witness.tick();
    }
    assert.deepEqual(seen, []);
  });
});

describe('an attempt that is about to be sent', () => {
  it('is stated where servers have ended under its content, and only there', () => {
    const told = [true, false].map((isSuspected) => {
      const { witness, tell } = createSetting({ isSuspected });
      witness.noteSend(createContent(), RUN);
      return tell().map(({ body }) => body);
    });
    const [stated] = told[0] ?? [];
    assert.ok(stated?.kind === 'open-run');
    assert.deepEqual(
      [stated.content, stated.evidence],
      [digestContent(createContent()), 'attempt'],
    );
    assert.deepEqual(told[1], []);
  });

  it('counts as no more than that when its server ends, also the second one at a run', () => {
    const { witness, clock, ended, seen } = createSetting({ isSuspected: true });
    witness.noteSend(createContent(), RUN);
    clock.advance(9000);
    witness.tick();
    witness.noteSend(createContent(), RUN);
    ended.add('s1');
    witness.tick();
    assert.deepEqual(seen, ['attempt s1']);
  });
});
