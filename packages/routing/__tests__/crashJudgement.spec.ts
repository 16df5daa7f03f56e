import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import { judgeCrashes, PART_SETTLE_MS } from '../src/crashJudgement';
import type { CrashInvolvement } from '../src/crashJudgement';

const findPoisonContents = (involvements: readonly CrashInvolvement[]) =>
  judgeCrashes(involvements, 0).contents;

function createEnd(content: string, instanceId: string, ranMs = 100): CrashInvolvement {
  return { content, instanceId, ranMs, evidence: 'run' };
}

function createAttempts(
  content: string,
  instanceIds: readonly string[],
): readonly CrashInvolvement[] {
  return instanceIds.map((instanceId) => ({ content, instanceId, ranMs: 0, evidence: 'attempt' }));
}

/** Crashes of the given servers with one content. */
function createEnds(content: string, instanceIds: readonly string[], ranMs = 100) {
  return instanceIds.map((instanceId) => createEnd(content, instanceId, ranMs));
}

describe('a content that servers crash with', () => {
  it('is quarantined after three crashes, but not after two', () => {
    assert.deepEqual([...findPoisonContents(createEnds('a', ['s1', 's2']))], []);
    assert.deepEqual([...findPoisonContents(createEnds('a', ['s1', 's2', 's3']))], ['a']);
  });

  it('counts the crash of one incarnation once, even with several copies on it', () => {
    assert.deepEqual([...findPoisonContents(createEnds('a', ['s1', 's1', 's2', 's2']))], []);
  });

  it('clears other contents on the same servers, even with three crashes', () => {
    const ends = [
      ...createEnds('deadly', ['s1', 's2', 's3', 's4', 's5']),
      ...createEnds('unlucky', ['s1', 's3', 's5']),
    ];
    assert.deepEqual([...findPoisonContents(ends)], ['deadly']);
  });

  it('is identified by the shorter run time among contents with the same crashes', () => {
    const ids = ['s1', 's2', 's3'];
    const ends = [...createEnds('unlucky', ids, 900), ...createEnds('deadly', ids, 80)];
    assert.deepEqual([...findPoisonContents(ends)], ['deadly']);
  });

  it('is identified independently of another content that crashes other servers', () => {
    const ends = [
      ...createEnds('a', ['s1', 's2', 's3']),
      ...createEnds('b', ['s3', 's4', 's5', 's6']),
    ];
    assert.deepEqual([...findPoisonContents(ends)], ['b']);
    const more = [...ends, createEnd('a', 's7')];
    assert.deepEqual([...findPoisonContents(more)].sort(), ['a', 'b']);
  });

  it('is quarantined after two crashes while running and one during an attempt', () => {
    const ends = createEnds('a', ['s1', 's2']);
    assert.deepEqual([...findPoisonContents([...ends, ...createAttempts('a', ['s2'])])], []);
    assert.deepEqual([...findPoisonContents([...ends, ...createAttempts('a', ['s3'])])], ['a']);
  });

  it('is not quarantined because of attempts alone', () => {
    const attempts = createAttempts('a', ['s1', 's2', 's3', 's4', 's5']);
    assert.deepEqual([...findPoisonContents(attempts)], []);
    assert.deepEqual([...findPoisonContents([...attempts, createEnd('a', 's1')])], []);
  });

  it('ranks before a content with more crashes, most of them during attempts', () => {
    const ends = [
      ...createEnds('deadly', ['s1', 's2', 's3']),
      ...createEnds('unlucky', ['s1', 's2']),
      ...createAttempts('unlucky', ['s3', 's4']),
    ];
    assert.deepEqual([...findPoisonContents(ends)], ['deadly']);
  });

  it('is identified regardless of the order in which crashes are received', () => {
    const ends = [
      ...createEnds('deadly', ['s1', 's2', 's3', 's4']),
      ...createEnds('unlucky', ['s1', 's2', 's3']),
      ...createEnds('other', ['s4', 's9']),
    ];
    const random = createSeededRandom(7);
    for (let round = 0; round < 50; round += 1) {
      const shuffled = ends
        .map((end) => ({ end, at: random.nextFloat() }))
        .sort((a, b) => a.at - b.at)
        .map(({ end }) => end);
      assert.deepEqual([...findPoisonContents(shuffled)], ['deadly']);
    }
  });

  it('is not quarantined when servers are lost for other reasons', () => {
    // Of about 300 requests that started while 15 engines were lost within 13 s, two were on a lost
    // engine before their first event. Such a request runs four times at most, as each of the two
    // attempts of its caller is retried once. The test simulates 1,000 days with 300 starts each.
    const random = createSeededRandom(11);
    const oneInChance = 150;
    const maxRuns = 4;
    let refused = 0;
    for (let day = 0; day < 1000; day += 1) {
      const ends: CrashInvolvement[] = [];
      for (let request = 0; request < 300; request += 1) {
        for (let run = 0; run < maxRuns && random.nextInt(oneInChance) === 0; run += 1) {
          ends.push(createEnd(`r${request}`, `s${random.nextInt(1000)}`, random.nextInt(120)));
        }
      }
      refused += findPoisonContents(ends).size;
    }
    assert.equal(refused, 0);
  });
});

describe('a part of prompts that servers crash with', () => {
  const GAP_MS = 1000;
  const RAN_MS = 50;

  /** One crash a second, each of another content with the given parts. */
  function createPartEnds(
    partsOfEnds: readonly (readonly string[])[],
    servedParts: readonly string[] = [],
    gapMs = GAP_MS,
  ): readonly CrashInvolvement[] {
    return partsOfEnds.map((parts, index) => ({
      content: `c${index}`,
      instanceId: `s${index}`,
      ranMs: RAN_MS,
      evidence: 'run',
      endedAtMs: index * gapMs,
      parts,
      servedParts: servedParts.filter((part) => parts.includes(part)),
    }));
  }

  const combinationsAt = (ends: readonly CrashInvolvement[], nowMs: number) =>
    judgeCrashes(ends, nowMs).combinations;
  const LATER_MS = 60_000;

  it('is quarantined after three crashes of different contents, and some time to be cleared', () => {
    const ends = createPartEnds([['a', 'dead'], ['b', 'dead'], ['dead']]);
    assert.deepEqual(combinationsAt(ends.slice(0, 2), LATER_MS), []);
    const lastEndedAtMs = 2 * GAP_MS;
    assert.deepEqual(combinationsAt(ends, lastEndedAtMs + PART_SETTLE_MS - 1), []);
    assert.equal(judgeCrashes(ends, lastEndedAtMs).dueAtMs, lastEndedAtMs + PART_SETTLE_MS);
    assert.deepEqual(combinationsAt(ends, lastEndedAtMs + PART_SETTLE_MS), [['dead']]);
  });

  it('is quarantined together with the parts that all crashed runs share', () => {
    const ends = createPartEnds([
      ['a', 'dead'],
      ['a', 'dead'],
      ['a', 'dead'],
    ]);
    assert.deepEqual(combinationsAt(ends, LATER_MS), [['a', 'dead']]);
    const more = createPartEnds([['a', 'dead'], ['a', 'dead'], ['a', 'dead'], ['dead']]);
    assert.deepEqual(combinationsAt(more, LATER_MS), [['dead']]);
  });

  it('is preferred over a part that was served before, even one with more crashes', () => {
    const ends = createPartEnds(
      [
        ['shared', 'dead1'],
        ['shared', 'dead2'],
        ['shared', 'dead1'],
        ['shared', 'dead1'],
        ['shared', 'dead2'],
      ],
      ['shared'],
    );
    assert.deepEqual(combinationsAt(ends, LATER_MS), [['dead1', 'shared']]);
  });

  it('is quarantined although it was served before, if nothing else explains the crashes', () => {
    const ends = createPartEnds([['dead'], ['dead'], ['dead']], ['dead']);
    assert.deepEqual(combinationsAt(ends, LATER_MS), [['dead']]);
  });

  it('is not quarantined if the servers ended at the same moment', () => {
    const ends = createPartEnds([['a'], ['a'], ['a'], ['a'], ['a']], [], 0);
    assert.deepEqual(combinationsAt(ends, LATER_MS), []);
  });

  it('is not quarantined if one content that is repeated explains the crashes', () => {
    const ends = createPartEnds([['a'], ['a'], ['a']]).map((end) => ({ ...end, content: 'c' }));
    const { contents, combinations } = judgeCrashes(ends, LATER_MS);
    assert.deepEqual([[...contents], combinations], [['c'], []]);
  });

  it('is found although each of its contents is repeated until that is quarantined', () => {
    const ends = [0, 1, 2].flatMap((index) =>
      createPartEnds([['dead'], ['dead'], ['dead']]).map((end, turn) => ({
        ...end,
        content: `c${index}`,
        instanceId: `s${index}/${turn}`,
        endedAtMs: (3 * index + turn) * GAP_MS,
      })),
    );
    const { contents, combinations } = judgeCrashes(ends, LATER_MS);
    assert.deepEqual([[...contents].sort(), combinations], [['c0', 'c1', 'c2'], [['dead']]]);
  });

  it('does not clear a content that crashed the same servers', () => {
    const ends = createPartEnds([['dead'], ['dead'], ['dead'], ['dead']]);
    const repeated = ends
      .slice(1)
      .map((end) => ({ ...end, content: 'repeated', parts: [], servedParts: [] }));
    assert.deepEqual([...judgeCrashes([...ends, ...repeated], LATER_MS).contents], ['repeated']);
  });

  it('is found beside a part that makes other servers crash', () => {
    const ends = createPartEnds([['x'], ['y'], ['x'], ['y'], ['x'], ['y']]);
    assert.deepEqual(combinationsAt(ends, LATER_MS), [['x'], ['y']]);
  });
});
