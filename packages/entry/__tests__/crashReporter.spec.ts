import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable } from '@spoolplank/membership';
import type { FactUpdate, SystemFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createCrashReporter } from '../src/quarantine/crashReporter';
import { createFactPublisher } from '../src/gossip/factPublisher';
import { contentOf, digestContent } from '../src/quarantine/requestContent';
import { createAdmitted, createRoute } from './fixtures';

const RUN = { content: 'c', instanceId: 's1', address: 's1:80', ranMs: 50 };

interface Setting {
  readonly isReachable?: boolean;
  readonly isSuspected?: boolean;
  /** Number of VMs that report another VM's open run before this one. */
  readonly rank?: number;
}

function createSetting({ isReachable = true, isSuspected = false, rank = 0 }: Setting = {}) {
  const clock = createManualClock();
  const ended = new Set<string>();
  let rankingCount = 0;
  /** The next incarnation of a server, and when it announced itself. */
  const next = new Map<string, { readonly instanceId: string; readonly atMs: number }>();
  const seen: string[] = [];
  let onFact = (_body: SystemFact): void => {};
  const table = createFactTable<SystemFact>({
    clock,
    instance: 'vm',
    isUrgent: () => true,
    onUrgent: (body) => onFact(body),
  });
  const statements = createFactPublisher({ clock, table, exchangeNow: () => {} });
  const reporter = createCrashReporter({
    clock,
    table,
    publish: statements.publish,
    isSuspected: () => isSuspected,
    isReachable: () => Promise.resolve(isReachable),
    findReceiver({ instanceId }, sentAtMs) {
      const after = next.get(instanceId);
      return after && after.atMs < sentAtMs ? after.instanceId : instanceId;
    },
    isLostOrReplaced: ({ instanceId }) => ended.has(instanceId) || next.has(instanceId),
    rankOf() {
      rankingCount += 1;
      return rank;
    },
    onCrash({ instanceId, turn, evidence }) {
      const name = turn === 0 ? instanceId : `${instanceId}#${turn}`;
      seen.push(evidence === 'run' ? name : `${evidence} ${name}`);
    },
  });
  onFact = (body) => {
    if (body.kind === 'open-run') reporter.onFact(body);
  };
  return {
    clock,
    ended,
    /** Receives the next incarnation of a server, which first announced itself `ageMs` ago. */
    restart(instanceId: string, nextId: string, ageMs: number) {
      next.set(instanceId, { instanceId: nextId, atMs: clock.nowMs() - ageMs });
    },
    seen,
    countRankings: () => rankingCount,
    reporter,
    listUpdates: () => statements.list(),
    mergeFacts: (updates: readonly FactUpdate<SystemFact>[]) =>
      table.merge(updates, clock.nowMs(), 'c'),
  };
}

const createContent = () =>
  contentOf(createAdmitted(createManualClock(100_000), createRoute('stream')));

describe('a run whose connection broke', () => {
  it('counts as a crash when its server accepts no more connections', async () => {
    const { reporter, seen } = createSetting({ isReachable: false });
    await reporter.record(RUN);
    assert.deepEqual(seen, ['s1']);
  });

  it('is not counted while its server lives, as after a reset of the connection', async () => {
    const { reporter, seen, clock } = createSetting();
    await reporter.record(RUN);
    for (let passedMs = 0; passedMs < 20_000; passedMs += 500) {
      clock.advance(500);
      reporter.tick();
    }
    assert.deepEqual(seen, []);
  });

  it('counts as a crash later if its server had restarted before it was checked', async () => {
    const { reporter, seen, clock, ended } = createSetting();
    await reporter.record(RUN);
    clock.advance(2000);
    reporter.tick();
    ended.add('s1');
    reporter.tick();
    reporter.tick();
    assert.deepEqual(seen, ['s1']);
  });

  it('is not counted when its server ends much later', async () => {
    const { reporter, seen, clock, ended } = createSetting();
    await reporter.record(RUN);
    clock.advance(8000);
    reporter.tick();
    ended.add('s1');
    reporter.tick();
    assert.deepEqual(seen, []);
  });

  it('counts as a crash at once when another VM has found its server lost', async () => {
    const { reporter, seen, ended } = createSetting();
    ended.add('s1');
    await reporter.record(RUN);
    assert.deepEqual(seen, ['s1']);
  });
});

describe('an open run of another VM', () => {
  it('is reported once the server has ended, after the VMs ranked before this one', async () => {
    const [stater, other] = [createSetting(), createSetting({ rank: 2 })];
    await stater.reporter.record(RUN);
    other.mergeFacts(stater.listUpdates());
    other.reporter.tick();
    other.ended.add('s1');
    const seen = [0, 299, 1].map((passedMs) => {
      other.clock.advance(passedMs);
      other.reporter.tick();
      return other.seen.length;
    });
    assert.deepEqual(seen, [0, 0, 1]);
  });

  it('causes no ranking of all VMs until the server has ended, and a single one then', async () => {
    const [stater, other] = [createSetting(), createSetting({ rank: 2 })];
    await stater.reporter.record(RUN);
    other.mergeFacts(stater.listUpdates());
    const counts = [false, true].map((hasEnded) => {
      if (hasEnded) other.ended.add('s1');
      for (let tick = 0; tick < 5; tick += 1) {
        other.clock.advance(40);
        other.reporter.tick();
      }
      return other.countRankings();
    });
    assert.deepEqual(counts, [0, 1]);
  });

  it('is not counted when the server ends much later', async () => {
    const [stater, other] = [createSetting(), createSetting()];
    await stater.reporter.record(RUN);
    other.mergeFacts(stater.listUpdates());
    other.clock.advance(8000);
    other.ended.add('s1');
    other.reporter.tick();
    assert.deepEqual(other.seen, []);
  });

  it('is limited in number; the oldest are dropped first', async () => {
    const { reporter, ended, seen } = createSetting();
    for (let count = 0; count <= 512; count += 1) {
      await reporter.record({ ...RUN, instanceId: `s${count}` });
      ended.add(`s${count}`);
    }
    reporter.tick();
    assert.deepEqual([seen.length, seen[0]], [512, 's1']);
  });
});

describe('runs of one content under one instance id', () => {
  it('are distinguished if one was sent after another had broken off', async () => {
    const { reporter, clock, ended, seen } = createSetting();
    await reporter.record(RUN);
    clock.advance(500);
    await reporter.record(RUN);
    ended.add('s1');
    reporter.tick();
    assert.deepEqual(seen, ['s1', 's1#1']);
  });

  it('count as one if the second was already in flight', async () => {
    const { reporter, clock, ended, seen } = createSetting();
    await reporter.record(RUN);
    clock.advance(RUN.ranMs);
    await reporter.record(RUN);
    ended.add('s1');
    reporter.tick();
    assert.deepEqual(seen, ['s1']);
  });

  it('are not distinguished by attempts, which may have reached no server after the crash', async () => {
    const { reporter, clock, ended, seen } = createSetting({ isSuspected: true });
    const content = createContent();
    await reporter.record({ ...RUN, content: digestContent(content) });
    clock.advance(500);
    reporter.recordSend(content, RUN);
    ended.add('s1');
    reporter.tick();
    assert.deepEqual(seen, ['s1', 'attempt s1']);
  });

  it('are distinguished if the second reached the next incarnation, which was not known yet', async () => {
    const { reporter, clock, seen, restart } = createSetting({ isSuspected: true });
    const content = createContent();
    await reporter.record({ ...RUN, content: digestContent(content) });
    clock.advance(500);
    reporter.recordSend(content, RUN);
    clock.advance(8);
    restart('s1', 's1/2', 50);
    reporter.tick();
    assert.deepEqual(seen, ['s1'], 'the next incarnation may still be alive');
    clock.advance(500);
    restart('s1/2', 's1/3', 10);
    reporter.tick();
    assert.deepEqual(seen, ['s1', 'attempt s1/2']);
  });

  it('count for one incarnation if the next one announced itself after both were sent', async () => {
    const { reporter, clock, seen, restart } = createSetting({ isSuspected: true });
    const content = createContent();
    await reporter.record({ ...RUN, content: digestContent(content) });
    clock.advance(500);
    reporter.recordSend(content, RUN);
    clock.advance(100);
    restart('s1', 's1/2', 50);
    reporter.tick();
    assert.deepEqual(seen, ['s1', 'attempt s1']);
  });

  it('are no crash while the server lives, however often its connections break', async () => {
    const { reporter, clock, seen } = createSetting();
    for (let count = 0; count < 5; count += 1) {
      await reporter.record(RUN);
      clock.advance(500);
      reporter.tick();
    }
    assert.deepEqual(seen, []);
  });
});

describe('an attempt that is about to be sent', () => {
  it('is published only if servers have ended under its content', () => {
    const published = [true, false].map((isSuspected) => {
      const { reporter, listUpdates } = createSetting({ isSuspected });
      reporter.recordSend(createContent(), RUN);
      return listUpdates().map(({ body }) => body);
    });
    const [stated] = published[0] ?? [];
    assert.ok(stated?.kind === 'open-run');
    assert.deepEqual(
      [stated.content, stated.evidence],
      [digestContent(createContent()), 'attempt'],
    );
    assert.deepEqual(published[1], []);
  });

  it('counts as one attempt when its server ends, also with a second attempt in flight', () => {
    const { reporter, clock, ended, seen } = createSetting({ isSuspected: true });
    reporter.recordSend(createContent(), RUN);
    clock.advance(9000);
    reporter.tick();
    reporter.recordSend(createContent(), RUN);
    ended.add('s1');
    reporter.tick();
    assert.deepEqual(seen, ['attempt s1']);
  });
});
