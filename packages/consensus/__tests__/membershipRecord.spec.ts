import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import { createGroupMembership, deriveMembershipLimits } from '..';
import type { Configuration, GroupMembership, MembershipAction, ReplicaStatus } from '..';

const SELF = 'vm1#a';
const LIMITS = deriveMembershipLimits({ lossesBorne: 1, catchUpMs: 4000 });
const POLL_INTERVAL_MS = 100;
const THREE_VOTERS: Configuration = { voters: [SELF, 'vm2#b', 'vm3#c'], learners: [] };
const WITH_LEARNER: Configuration = { ...THREE_VOTERS, learners: ['vm4#d'] };
const WITH_STANDBY: Configuration = { ...THREE_VOTERS, standbys: ['vm4#d'] };
const RECENT_REPLY_AGES_MS = { 'vm2#b': 50, 'vm3#c': 50, 'vm4#d': 50 };
const FULL_MATCH_INDEXES = { 'vm2#b': 100, 'vm3#c': 100, 'vm4#d': 100 };

function createStatus(overrides: Partial<ReplicaStatus> = {}): ReplicaStatus {
  return {
    id: SELF,
    role: 'leader',
    term: 2,
    leaderId: SELF,
    commitIndex: 100,
    lastIndex: 100,
    lastTerm: 2,
    savedIndex: 100,
    snapshotIndex: 0,
    configuration: THREE_VOTERS,
    configurationIndex: 1,
    isLeaseValid: true,
    matchIndexes: FULL_MATCH_INDEXES,
    answerAgesMs: RECENT_REPLY_AGES_MS,
    contactAgesMs: {},
    lastDenial: null,
    ...overrides,
  };
}

interface Fixture {
  readonly clock: ManualClock;
  readonly membership: GroupMembership;
  /** Calls `next` periodically for a duration; returns the actions, without nulls. */
  poll(status: ReplicaStatus, durationMs: number): readonly MembershipAction[];
}

function createFixture(): Fixture {
  const clock = createManualClock(50_000);
  const membership = createGroupMembership({ clock, replicaId: SELF, limits: LIMITS });
  return {
    clock,
    membership,
    poll(status, durationMs) {
      const actions: MembershipAction[] = [];
      for (let passedMs = 0; passedMs < durationMs; passedMs += POLL_INTERVAL_MS) {
        const action = membership.next(status);
        if (action) actions.push(action);
        clock.advance(POLL_INTERVAL_MS);
      }
      return actions;
    },
  };
}

const changes = (actions: readonly MembershipAction[]) =>
  actions.flatMap((action) => (action.kind === 'change' ? [action.change.kind] : []));

describe('a leader with a learner', () => {
  it('decides on it once it has been stable and has stored all committed entries', () => {
    const { poll } = createFixture();
    const status = createStatus({ configuration: WITH_LEARNER });
    assert.deepEqual(poll(status, LIMITS.stableForMs), []);
    assert.equal(
      changes(poll(status, POLL_INTERVAL_MS))[0],
      'keep-standby',
      'the data centre is unknown, so it becomes a standby',
    );
  });

  it('gives no vote to a learner that has never replied, even if the log is short', () => {
    const { poll } = createFixture();
    const status = createStatus({
      configuration: WITH_LEARNER,
      commitIndex: 8,
      matchIndexes: { 'vm2#b': 8, 'vm3#c': 8 },
      answerAgesMs: { 'vm2#b': 50, 'vm3#c': 50 },
    });
    assert.deepEqual(poll(status, LIMITS.removeAfterMs), []);
    assert.deepEqual(changes(poll(status, 2 * POLL_INTERVAL_MS)), ['remove']);
  });

  it('gives no vote to a learner that lacks a committed entry', () => {
    const { poll } = createFixture();
    const matchIndexes = { ...FULL_MATCH_INDEXES, 'vm4#d': 99 };
    const status = createStatus({ configuration: WITH_LEARNER, matchIndexes });
    assert.deepEqual(poll(status, 10 * LIMITS.stableForMs), []);
  });

  it('waits if the learner lacks an entry committed since the previous call', () => {
    const { poll } = createFixture();
    const status = createStatus({ configuration: WITH_LEARNER });
    poll(status, LIMITS.stableForMs);
    const matchIndexes = { 'vm2#b': 101, 'vm3#c': 101, 'vm4#d': 100 };
    assert.deepEqual(poll({ ...status, commitIndex: 101, matchIndexes }, POLL_INTERVAL_MS), []);
  });

  it('restarts the stability period after a gap in the replies', () => {
    const { poll } = createFixture();
    const status = createStatus({ configuration: WITH_LEARNER });
    const answerAgesMs = { ...RECENT_REPLY_AGES_MS, 'vm4#d': LIMITS.maxContactAgeMs + 1 };
    assert.deepEqual(poll(status, LIMITS.stableForMs), []);
    assert.deepEqual(poll({ ...status, answerAgesMs }, POLL_INTERVAL_MS), []);
    assert.deepEqual(poll(status, LIMITS.stableForMs), []);
    assert.equal(poll(status, POLL_INTERVAL_MS).length, 1);
  });

  it('decides nothing while a change is in progress', () => {
    const { poll } = createFixture();
    const exchanging = { ...WITH_LEARNER, outgoing: THREE_VOTERS.voters };
    const open = createStatus({ configuration: WITH_LEARNER, configurationIndex: 101 });
    const joint = createStatus({ configuration: exchanging });
    assert.deepEqual(poll(open, 10 * LIMITS.stableForMs), []);
    assert.deepEqual(poll(joint, 10 * LIMITS.stableForMs), []);
  });
});

describe('a leader with a silent voter', () => {
  it('counts the silence of a voter from the start of its own leadership', () => {
    const { poll } = createFixture();
    const answerAgesMs = { 'vm2#b': 50, 'vm4#d': 50 };
    const status = createStatus({ configuration: WITH_STANDBY, answerAgesMs });
    assert.deepEqual(poll(status, LIMITS.contactTimeoutMs + POLL_INTERVAL_MS), []);
    assert.deepEqual(changes(poll(status, POLL_INTERVAL_MS)), ['exchange']);
  });

  it('counts the silence of the previous leader from its last message', () => {
    const { poll } = createFixture();
    const following = createStatus({ role: 'follower', leaderId: 'vm3#c' });
    poll(following, POLL_INTERVAL_MS);
    const status = createStatus({
      configuration: WITH_STANDBY,
      answerAgesMs: { 'vm2#b': 50, 'vm4#d': 50 },
      contactAgesMs: { 'vm3#c': LIMITS.contactTimeoutMs + 1 },
    });
    poll(status, LIMITS.stableForMs);
    assert.deepEqual(changes(poll(status, POLL_INTERVAL_MS)), ['exchange']);
  });

  it('counts the silence of a new member from when it was added', () => {
    const { poll } = createFixture();
    poll(createStatus(), 2 * LIMITS.removeAfterMs);
    const answerAgesMs = { 'vm2#b': 50, 'vm3#c': 50 };
    const unheard = createStatus({ configuration: WITH_LEARNER, answerAgesMs });
    assert.deepEqual(changes(poll(unheard, LIMITS.removeAfterMs)), []);
    assert.deepEqual(changes(poll(unheard, 2 * POLL_INTERVAL_MS)), ['remove']);
  });

  it('does not count a reply of a new identity of a VM as one of the old identity', () => {
    const { poll } = createFixture();
    const status = createStatus({
      configuration: WITH_STANDBY,
      answerAgesMs: { 'vm2#b': 50, 'vm3#new': 50, 'vm4#d': 50 },
    });
    poll(status, LIMITS.contactTimeoutMs + POLL_INTERVAL_MS);
    assert.deepEqual(changes(poll(status, POLL_INTERVAL_MS)), ['exchange']);
  });
});

describe('a leader without pending changes', () => {
  it('looks up the data centre of each member only once', () => {
    const clock = createManualClock(50_000);
    const lookups: string[] = [];
    const dataCentreOf = (id: string) => {
      lookups.push(id);
      return id;
    };
    const membership = createGroupMembership({
      clock,
      replicaId: SELF,
      limits: LIMITS,
      dataCentreOf,
    });
    for (let looks = 0; looks < 100; looks += 1) {
      assert.equal(membership.next(createStatus()), null);
      clock.advance(POLL_INTERVAL_MS);
    }
    assert.deepEqual(lookups.sort(), [...THREE_VOTERS.voters]);
  });
});

describe('a leader with join requests', () => {
  it('adds a replica with a current request, and ignores expired requests', () => {
    const { membership, clock, poll } = createFixture();
    membership.recordJoin({ replicaId: 'vm4#d' });
    assert.deepEqual(changes(poll(createStatus(), POLL_INTERVAL_MS)), ['add-learner']);
    clock.advance(LIMITS.maxContactAgeMs);
    assert.deepEqual(poll(createStatus(), POLL_INTERVAL_MS), []);
  });

  it('considers only the newest identity of a VM', () => {
    const { membership, poll } = createFixture();
    membership.recordJoin({ replicaId: 'vm4#old' });
    membership.recordJoin({ replicaId: 'vm4#new' });
    const [step] = poll(createStatus(), POLL_INTERVAL_MS);
    assert.deepEqual(step, {
      kind: 'change',
      change: { kind: 'add-learner', replicaId: 'vm4#new' },
      reason: 'requests to join',
    });
  });
});

describe('a replica that is not the leader', () => {
  const following = createStatus({ role: 'follower', leaderId: 'vm2#b' });
  const alone = createStatus({ role: 'pre-candidate', leaderId: null });

  it('asks to join while it is not a member', () => {
    const { poll } = createFixture();
    const configuration = { voters: [], learners: [] };
    const [action] = poll({ ...following, configuration }, POLL_INTERVAL_MS);
    assert.deepEqual(action, { kind: 'ask-to-join' });
  });

  it('asks to join after a long time without a leader, as it may have been removed', () => {
    const { poll } = createFixture();
    assert.deepEqual(poll(following, 1000), []);
    assert.deepEqual(poll(alone, LIMITS.contactTimeoutMs), []);
    assert.deepEqual(poll(alone, POLL_INTERVAL_MS), [{ kind: 'ask-to-join' }]);
  });

  it('asks to leave when its process is shutting down', () => {
    const { membership, poll } = createFixture();
    membership.beginLeaving();
    assert.deepEqual(poll(following, POLL_INTERVAL_MS), [{ kind: 'ask-to-leave' }]);
  });
});

describe('a replica whose process is shutting down', () => {
  const follower = createStatus({ role: 'follower', leaderId: 'vm2#b' });

  it('has to hand over its vote if another member can take it', () => {
    const { membership } = createFixture();
    membership.beginLeaving();
    assert.equal(membership.mustDelayShutdown(follower), false);
    assert.equal(membership.mustDelayShutdown({ ...follower, configuration: WITH_STANDBY }), true);
  });

  it('waits, as a non-voter, until the leader knows of the shutdown, as it may be given a vote', () => {
    const { membership } = createFixture();
    membership.beginLeaving();
    const configuration = { voters: ['vm2#b', 'vm3#c', 'vm4#d'], learners: [], standbys: [SELF] };
    assert.equal(membership.mustDelayShutdown({ ...follower, configuration }), true);
    membership.confirmLeave();
    assert.equal(membership.mustDelayShutdown({ ...follower, configuration }), false);
  });

  it('has to hand over its leadership, unless all others are shutting down too', () => {
    const { membership } = createFixture();
    membership.beginLeaving();
    assert.equal(membership.mustDelayShutdown(createStatus()), true);
    membership.recordLeave('vm2#b');
    membership.recordLeave('vm3#c');
    assert.equal(membership.mustDelayShutdown(createStatus()), false);
  });
});
