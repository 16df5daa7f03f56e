import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import { EMPTY_STORED_STATE, createReplica, majorityOf } from '..';
import type {
  Configuration,
  ConfigurationChange,
  LogEntry,
  Message,
  MessageOf,
  Ready,
  Replica,
  StoredState,
} from '..';

const VOTERS = ['a', 'b', 'c'];
const INITIAL_STATE: StoredState = {
  ...EMPTY_STORED_STATE,
  snapshot: { index: 1, term: 0, configuration: { voters: VOTERS, learners: [] } },
  base: { index: 1, term: 0 },
};

interface Fixture {
  readonly clock: ManualClock;
  readonly replica: Replica;
  /** Takes the replica's output and confirms that it is on disk. */
  save(): Ready;
}

function createFixture(
  stored: StoredState = INITIAL_STATE,
  clock = createManualClock(10_000),
): Fixture {
  const replica = createReplica({
    id: 'a',
    group: 'g',
    clock,
    random: createSeededRandom(1),
    stored,
  });
  return {
    clock,
    replica,
    save() {
      const ready = replica.takeReady();
      replica.onSaved(ready);
      return ready;
    },
  };
}

function createEntry(index: number, term: number): LogEntry {
  return { index, term, payload: { kind: 'command', command: `${index}.${term}` } };
}

function createMessage(sender: string, body: object): Message {
  return { group: 'g', from: sender, to: 'a', ...body } as Message;
}

function createAppend(
  sender: string,
  term: number,
  prev: readonly [number, number],
  entries: readonly LogEntry[],
  commitIndex = 0,
): Message {
  return createMessage(sender, {
    kind: 'append',
    term,
    prevIndex: prev[0],
    prevTerm: prev[1],
    entries,
    commitIndex,
    sentAtMs: 1,
  });
}

function createVote(
  sender: string,
  term: number,
  lastIndex = 1,
  lastTerm = 0,
  isTransfer = false,
): Message {
  return createMessage(sender, { kind: 'vote', term, lastIndex, lastTerm, isTransfer });
}

function findSent<Kind extends Message['kind']>(ready: Ready, kind: Kind): MessageOf<Kind>[] {
  const all = [...ready.earlyMessages, ...ready.messages];
  return all.filter((message): message is MessageOf<Kind> => message.kind === kind);
}

/** Makes `a` the leader of a new term by the votes of `a` and `b`; returns the term. */
function elect(fixture: Fixture): number {
  const { replica, clock } = fixture;
  clock.advance(2100);
  replica.tick();
  fixture.save();
  const term = replica.status().term + 1;
  replica.receive(createMessage('b', { kind: 'pre-vote-reply', term, isGranted: true }));
  fixture.save();
  replica.receive(createMessage('b', { kind: 'vote-reply', term, isGranted: true }));
  assert.equal(replica.status().role, 'leader');
  return term;
}

function acknowledge(
  { replica, clock }: Fixture,
  follower: string,
  term: number,
  matchIndex: number,
): void {
  replica.receive(
    createMessage(follower, {
      kind: 'append-reply',
      term,
      isAccepted: true,
      matchIndex,
      sentAtMs: clock.nowMs(),
    }),
  );
}

describe('replica', () => {
  it('does not vote twice in a term, also after a restart', () => {
    const first = createFixture();
    first.clock.advance(1500);
    // The term is saved before the vote request, so that the save after it contains only the vote.
    first.replica.receive(createAppend('b', 5, [1, 0], []));
    const stored = first.save().hardState;
    first.clock.advance(1500);
    first.replica.receive(createVote('b', 5));
    const ready = first.save();
    assert.equal(findSent(ready, 'vote-reply')[0]?.isGranted, true);
    const hardState = ready.hardState ?? stored ?? EMPTY_STORED_STATE.hardState;
    const second = createFixture({ ...INITIAL_STATE, hardState });
    second.clock.advance(1500);
    second.replica.receive(createVote('c', 5));
    assert.equal(findSent(second.save(), 'vote-reply')[0]?.isGranted, false);
  });

  it('ignores vote requests while its leader is active, and right after a restart', () => {
    const { replica, clock, save } = createFixture();
    replica.receive(createVote('b', 7));
    assert.deepEqual(
      findSent(save(), 'vote-reply'),
      [],
      'a leader contact before the restart is not known',
    );
    clock.advance(1500);
    replica.receive(createAppend('c', 3, [1, 0], []));
    clock.advance(500);
    replica.receive(createVote('b', 7));
    assert.equal(replica.status().term, 3);
    clock.advance(600);
    replica.receive(createVote('b', 7));
    assert.equal(findSent(save(), 'vote-reply')[0]?.isGranted, true);
  });

  it('ignores vote requests when only a clock that may run ahead shows the leader as silent', () => {
    const { replica, clock, save } = createFixture();
    clock.advance(1500);
    replica.receive(createAppend('c', 3, [1, 0], []));
    clock.suspend(5000);
    replica.receive(createVote('b', 7));
    assert.equal(
      replica.status().term,
      3,
      "the leader's lease may last until the vote restriction ends",
    );
    clock.advance(1100);
    replica.receive(createVote('b', 7));
    assert.equal(findSent(save(), 'vote-reply')[0]?.isGranted, true);
  });

  it('refuses its vote to a candidate whose log is behind', () => {
    const { replica, clock, save } = createFixture();
    replica.receive(createAppend('b', 2, [1, 0], [createEntry(2, 2), createEntry(3, 2)]));
    save();
    clock.advance(1500);
    replica.receive(createVote('c', 4, 2, 2));
    assert.equal(findSent(save(), 'vote-reply')[0]?.isGranted, false);
  });

  it('does not commit an entry of an earlier term because a majority holds it', () => {
    const fixture = createFixture({
      ...INITIAL_STATE,
      entries: [createEntry(2, 1)],
      hardState: { term: 2, votedFor: null },
    });
    const term = elect(fixture);
    fixture.save();
    acknowledge(fixture, 'b', term, 2);
    assert.equal(fixture.replica.status().commitIndex, 1);
    acknowledge(fixture, 'b', term, 3);
    assert.equal(fixture.replica.status().commitIndex, 3);
  });

  it('counts its own copy of an entry only once it is on disk', () => {
    const fixture = createFixture();
    const term = elect(fixture);
    const ready = fixture.replica.takeReady();
    assert.equal(ready.entries.length, 1);
    acknowledge(fixture, 'b', term, 2);
    assert.equal(fixture.replica.status().commitIndex, 1);
    fixture.replica.onSaved(ready);
    assert.equal(fixture.replica.status().commitIndex, 2);
  });

  it('keeps entries after a snapshot that its log already covers', () => {
    const { replica, save } = createFixture();
    replica.receive(
      createAppend('b', 2, [1, 0], [createEntry(2, 2), createEntry(3, 2), createEntry(4, 2)], 2),
    );
    save();
    const meta = { index: 3, term: 2, configuration: { voters: VOTERS, learners: [] } };
    replica.receive(
      createMessage('b', {
        kind: 'snapshot',
        term: 2,
        meta,
        offset: 0,
        data: '',
        isLast: true,
        sentAtMs: 1,
      }),
    );
    assert.equal(
      replica.status().lastIndex,
      4,
      'entry 4 was acknowledged and may therefore be committed',
    );
    assert.equal(replica.status().commitIndex, 3);
  });

  it('does not truncate its log for a delayed message with fewer entries', () => {
    const { replica, save } = createFixture();
    replica.receive(createAppend('b', 2, [1, 0], [createEntry(2, 2), createEntry(3, 2)]));
    save();
    replica.receive(createAppend('b', 2, [1, 0], [createEntry(2, 2)]));
    assert.equal(replica.status().lastIndex, 3);
  });

  it('commits no further than the index known to match', () => {
    const { replica, save } = createFixture();
    replica.receive(createAppend('b', 2, [1, 0], [createEntry(2, 2), createEntry(3, 2)]));
    save();
    replica.receive(createAppend('c', 3, [1, 0], [], 3));
    assert.equal(replica.status().commitIndex, 1);
  });

  it('loses its lease permanently if a leadership transfer does not complete', () => {
    const fixture = createFixture();
    const term = elect(fixture);
    fixture.save();
    acknowledge(fixture, 'b', term, 2);
    acknowledge(fixture, 'c', term, 2);
    assert.equal(fixture.replica.canRead(), true);
    assert.equal(fixture.replica.transferLeadership(), true);
    assert.equal(fixture.replica.canRead(), false);
    for (let waitedMs = 0; waitedMs < 1200; waitedMs += 100) {
      fixture.clock.advance(100);
      acknowledge(fixture, 'b', term, 2);
      acknowledge(fixture, 'c', term, 2);
      fixture.replica.tick();
      assert.equal(fixture.replica.canRead(), false, 'the timeout-now message may still arrive');
    }
  });

  it('does not read under a lease that no quorum renewed', () => {
    const fixture = createFixture();
    const term = elect(fixture);
    fixture.save();
    acknowledge(fixture, 'b', term, 2);
    assert.equal(fixture.replica.canRead(), true);
    fixture.clock.advance(950);
    assert.equal(fixture.replica.canRead(), false);
  });

  it('does not read under a lease that ended while its VM was suspended', () => {
    const fixture = createFixture();
    const term = elect(fixture);
    fixture.save();
    acknowledge(fixture, 'b', term, 2);
    const sentAtMs = fixture.clock.nowMs();
    fixture.clock.suspend(1000);
    assert.equal(fixture.replica.canRead(), false);
    // A reply to a message sent before the suspension does not renew the lease after it.
    fixture.replica.receive(
      createMessage('b', { kind: 'append-reply', term, isAccepted: true, matchIndex: 2, sentAtMs }),
    );
    assert.equal(fixture.replica.canRead(), false);
  });

  it('requires more than half of the voters, also for an even number', () => {
    const sizes = [1, 2, 3, 4, 5].map((count) =>
      majorityOf(VOTERS.concat('d', 'e').slice(0, count)),
    );
    assert.deepEqual(sizes, [1, 2, 2, 3, 3]);
  });

  it('allows one membership change at a time', () => {
    const fixture = createFixture();
    const term = elect(fixture);
    fixture.save();
    acknowledge(fixture, 'b', term, 2);
    assert.ok(fixture.replica.proposeConfiguration({ kind: 'remove', replicaId: 'c' }));
    assert.equal(
      fixture.replica.proposeConfiguration({ kind: 'add-learner', replicaId: 'd' }),
      null,
    );
    fixture.save();
    acknowledge(fixture, 'b', term, 3);
    assert.ok(fixture.replica.proposeConfiguration({ kind: 'add-learner', replicaId: 'd' }));
  });

  describe('that exchanges voters', () => {
    const WITH_LEARNERS: StoredState = {
      ...INITIAL_STATE,
      snapshot: {
        index: 1,
        term: 0,
        configuration: { voters: ['a', 'b', 'c'], learners: ['d', 'e'] },
      },
    };
    const EXCHANGE: ConfigurationChange = {
      kind: 'exchange',
      incoming: ['d', 'e'],
      outgoing: ['b', 'c'],
      kept: ['b'],
    };

    function beginExchange(): { readonly fixture: Fixture; readonly term: number } {
      const fixture = createFixture(WITH_LEARNERS);
      const term = elect(fixture);
      fixture.save();
      acknowledge(fixture, 'b', term, 2);
      assert.ok(fixture.replica.propose('a command'));
      assert.ok(fixture.replica.proposeConfiguration(EXCHANGE));
      fixture.save();
      return { fixture, term };
    }

    it('commits with a majority of the previous and of the new voters', () => {
      [
        ['b', 'c', 'd'],
        ['d', 'e', 'b'],
      ].forEach(([first = '', second = '', third = '']) => {
        const { fixture, term } = beginExchange();
        acknowledge(fixture, first, term, 4);
        acknowledge(fixture, second, term, 4);
        assert.equal(
          fixture.replica.status().commitIndex,
          2,
          `${first} and ${second} are a majority of one set only`,
        );
        acknowledge(fixture, third, term, 4);
        assert.equal(fixture.replica.status().commitIndex, 4);
      });
    });

    it('continues with only the new voters once both sets have committed, and not before', () => {
      const { fixture, term } = beginExchange();
      acknowledge(fixture, 'b', term, 3);
      acknowledge(fixture, 'd', term, 3);
      assert.equal(fixture.replica.status().commitIndex, 3);
      assert.deepEqual(fixture.replica.status().configuration.outgoing, ['a', 'b', 'c']);
      acknowledge(fixture, 'b', term, 4);
      acknowledge(fixture, 'd', term, 4);
      assert.deepEqual(fixture.replica.status().configuration, {
        voters: ['a', 'd', 'e'],
        learners: [],
        standbys: ['b'],
      });
      assert.equal(fixture.replica.proposeConfiguration({ kind: 'remove', replicaId: 'b' }), null);
      fixture.save();
      acknowledge(fixture, 'd', term, 5);
      assert.equal(fixture.replica.status().commitIndex, 5, 'a and d are a majority of a, d and e');
    });
  });

  it('finishes an exchange started by an earlier leader', () => {
    const configuration: Configuration = {
      voters: ['a', 'b', 'd'],
      learners: [],
      outgoing: ['a', 'b', 'c'],
    };
    const fixture = createFixture({
      ...INITIAL_STATE,
      entries: [{ index: 2, term: 1, payload: { kind: 'configuration', configuration } }],
      hardState: { term: 1, votedFor: null },
    });
    const term = elect(fixture);
    fixture.save();
    acknowledge(fixture, 'b', term, 3);
    assert.deepEqual(fixture.replica.status().configuration, {
      voters: ['a', 'b', 'd'],
      learners: [],
    });
  });

  it('is not elected by only one of two voter sets', () => {
    const configuration: Configuration = {
      voters: ['a', 'd', 'e'],
      learners: [],
      outgoing: ['a', 'b', 'c'],
    };
    const { replica, clock, save } = createFixture({
      ...INITIAL_STATE,
      snapshot: { index: 1, term: 0, configuration },
    });
    clock.advance(2100);
    replica.tick();
    save();
    replica.receive(createMessage('b', { kind: 'pre-vote-reply', term: 1, isGranted: true }));
    replica.receive(createMessage('c', { kind: 'pre-vote-reply', term: 1, isGranted: true }));
    assert.equal(replica.status().role, 'pre-candidate');
    replica.receive(createMessage('e', { kind: 'pre-vote-reply', term: 1, isGranted: true }));
    assert.equal(replica.status().role, 'candidate');
  });

  it('starts an election while the entry that removes its vote may be uncommitted', () => {
    const configuration: Configuration = { voters: ['b', 'c', 'd'], learners: [] };
    const { replica, clock, save } = createFixture({
      ...INITIAL_STATE,
      entries: [{ index: 2, term: 1, payload: { kind: 'configuration', configuration } }],
      hardState: { term: 1, votedFor: null },
    });
    clock.advance(2100);
    replica.tick();
    assert.equal(
      findSent(save(), 'pre-vote').length,
      3,
      'no other replica may have stored that entry',
    );
    replica.receive(createAppend('b', 2, [2, 1], [], 2));
    save();
    clock.advance(2100);
    replica.tick();
    assert.deepEqual(
      findSent(save(), 'pre-vote'),
      [],
      'the removal is committed, so this replica is not a voter',
    );
  });

  it('continues with entries after a follower has installed its snapshot', () => {
    const fixture = createFixture();
    const term = elect(fixture);
    fixture.save();
    fixture.replica.receive(
      createMessage('b', {
        kind: 'append-reply',
        term,
        isAccepted: false,
        matchIndex: 0,
        sentAtMs: 1,
      }),
    );
    assert.equal(findSent(fixture.save(), 'snapshot').length, 1);
    acknowledge(fixture, 'b', term, 1);
    const sent = findSent(fixture.save(), 'append').find(({ to }) => to === 'b');
    assert.deepEqual(
      sent?.entries.map(({ index }) => index),
      [2],
    );
  });

  it('does not disrupt the group with a higher term when it returns from isolation', () => {
    const { replica, clock, save } = createFixture();
    for (let hours = 0; hours < 100; hours += 1) {
      clock.advance(36_000);
      replica.tick();
      save();
    }
    assert.equal(replica.status().term, 0, 'only pre-votes were requested');
  });

  it('discards a leader that has become silent, also as a non-voter', () => {
    const configuration = { voters: ['b', 'c'], learners: ['a'] };
    const snapshot = { index: 1, term: 0, configuration };
    const { replica, clock } = createFixture({ ...INITIAL_STATE, snapshot });
    replica.receive(createAppend('b', 3, [1, 0], []));
    assert.equal(replica.status().leaderId, 'b');
    clock.advance(2100);
    replica.tick();
    assert.equal(replica.status().leaderId, null);
    assert.equal(replica.status().role, 'follower', 'a non-voter starts no election');
  });
});
