import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ReplicaStatus } from '@spoolplank/consensus';
import type { LogFields } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createGroupWatch, summarizeGroup } from '../src/group/groupWatch';

const ELECTION_LIMIT_MS = 2000;
const SILENT_AFTER_MS = 1500;
const FEW_VOTERS_LIMIT_MS = 10_000;
const SUMMARY_OPTIONS = { silentAfterMs: SILENT_AFTER_MS, votersWanted: 5 };

function createStatus(overrides: Partial<ReplicaStatus> = {}): ReplicaStatus {
  return {
    id: 'vm1#a',
    role: 'follower',
    term: 3,
    leaderId: null,
    commitIndex: 10,
    lastIndex: 10,
    lastTerm: 2,
    savedIndex: 10,
    snapshotIndex: 0,
    configuration: { voters: ['vm1#a', 'vm2#b', 'vm3#c'], learners: [] },
    configurationIndex: 7,
    isLeaseValid: false,
    matchIndexes: {},
    answerAgesMs: {},
    contactAgesMs: { 'vm2#b': 100, 'vm3#c': 5000 },
    lastDenial: null,
    ...overrides,
  };
}

function createFixture() {
  const clock = createManualClock(10_000);
  const lines: { readonly event: string; readonly fields: LogFields }[] = [];
  const write = (event: string, fields: LogFields = {}) => lines.push({ event, fields });
  const watch = createGroupWatch({
    clock,
    log: { info: write, warn: write },
    electionLimitMs: ELECTION_LIMIT_MS,
    silentAfterMs: SILENT_AFTER_MS,
    votersWanted: 3,
    fewVotersLimitMs: FEW_VOTERS_LIMIT_MS,
    joinReplies: () => ['vm2: not-leader', 'vm3: unreachable'],
  });
  return { clock, lines, watch };
}

describe('the group watch', () => {
  it('logs the loss of the quorum once, with the silent voters, and the duration afterwards', () => {
    const { clock, lines, watch } = createFixture();
    watch.observe(createStatus({ leaderId: 'vm2#b' }), true);
    clock.advance(ELECTION_LIMIT_MS);
    watch.observe(createStatus(), false);
    assert.equal(lines.length, 0, 'an ordinary election is not a loss');
    clock.advance(500);
    watch.observe(createStatus(), false);
    watch.observe(createStatus(), false);
    assert.equal(lines.length, 1);
    assert.equal(lines[0]?.event, 'quorum-lost');
    assert.deepEqual(lines[0].fields.silentVoters, ['vm3#c']);
    assert.equal(lines[0].fields.configurationIndex, 7);
    clock.advance(500);
    watch.observe(createStatus({ leaderId: 'vm2#b' }), true);
    assert.equal(lines[1]?.event, 'quorum-regained');
    assert.equal(lines[1].fields.lostForMs, 3000);
  });

  it('logs a denied vote with its reason, and does not repeat it', () => {
    const { lines, watch } = createFixture();
    const denial = { candidate: 'vm2#b', reason: 'log-behind', isPreVote: true } as const;
    [4, 5, 6].forEach((term) =>
      watch.observe(createStatus({ lastDenial: { ...denial, term } }), true),
    );
    assert.deepEqual(lines, [{ event: 'vote-denied', fields: { ...denial, term: 4 } }]);
  });
});

describe('the watch of a group with too few voters', () => {
  it('logs once that the promised losses are not tolerated', () => {
    const { clock, lines, watch } = createFixture();
    const configuration = { voters: ['vm1#a', 'vm2#b'], learners: [] };
    const status = createStatus({ role: 'leader', leaderId: 'vm1#a', configuration });
    watch.observe(status, true);
    clock.advance(FEW_VOTERS_LIMIT_MS);
    watch.observe(status, true);
    assert.equal(lines.length, 0, 'a joining replica needs time to catch up');
    clock.advance(100);
    watch.observe(status, true);
    watch.observe(status, true);
    assert.deepEqual(
      lines.map(({ event, fields }) => [event, fields.votersWanted, fields.lossesTolerated]),
      [['voters-missing', 3, 0]],
    );
  });
});

describe('the watch of a group that has got its voters back', () => {
  it('logs that the losses in the settings are tolerated again', () => {
    const { clock, lines, watch } = createFixture();
    const configuration = { voters: ['vm1#a', 'vm2#b'], learners: [] };
    const status = createStatus({ role: 'leader', leaderId: 'vm1#a', configuration });
    watch.observe(status, true);
    clock.advance(FEW_VOTERS_LIMIT_MS + 100);
    watch.observe(status, true);
    watch.observe(createStatus({ role: 'leader', leaderId: 'vm1#a' }), true);
    assert.deepEqual(
      lines.map(({ event }) => event),
      ['voters-missing', 'voters-complete'],
    );
  });
});

describe('the watch of a replica that is no member', () => {
  it('logs every five seconds whom it has asked to join and what they replied', () => {
    const { clock, lines, watch } = createFixture();
    const status = createStatus({ id: 'vm4#d' });
    for (let second = 0; second <= 10; second += 1) {
      watch.observe(status, false);
      clock.advance(1000);
    }
    const replies = ['vm2: not-leader', 'vm3: unreachable'];
    assert.deepEqual(lines, [
      { event: 'join-awaited', fields: { leader: null, waitedMs: 5000, replies } },
      { event: 'join-awaited', fields: { leader: null, waitedMs: 10_000, replies } },
    ]);
  });
});

describe('the summary of a group', () => {
  it('counts the voters that the losses in the settings require in addition', () => {
    assert.equal(summarizeGroup(createStatus(), SUMMARY_OPTIONS).missingVoters, 2);
  });

  it('counts how many further voters may fail', () => {
    const { silentVoters, tolerableLosses } = summarizeGroup(createStatus(), SUMMARY_OPTIONS);
    assert.deepEqual(silentVoters, ['vm3#c']);
    assert.equal(tolerableLosses, 0);
  });

  it('has neither silent voters nor a count on a follower that knows its leader', () => {
    const status = createStatus({ leaderId: 'vm2#b' });
    const { silentVoters, tolerableLosses } = summarizeGroup(status, SUMMARY_OPTIONS);
    assert.equal(silentVoters, null);
    assert.equal(tolerableLosses, null);
  });
});
