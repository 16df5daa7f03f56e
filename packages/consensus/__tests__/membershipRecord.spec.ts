import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import { createGroupMembership, deriveMembershipLimits } from '..';
import type { Configuration, GroupMembership, MembershipAction, ReplicaStatus } from '..';

const SELF = 'vm1#a';
const LIMITS = deriveMembershipLimits({ lossesBorne: 1, catchUpMs: 4000 });
const LOOK_MS = 100;
const THREE: Configuration = { voters: [SELF, 'vm2#b', 'vm3#c'], learners: [] };
const LEARNING: Configuration = { ...THREE, learners: ['vm4#d'] };
const STANDING_BY: Configuration = { ...THREE, standbys: ['vm4#d'] };
const ALL_ANSWER = { 'vm2#b': 50, 'vm3#c': 50, 'vm4#d': 50 };
const ALL_HOLD = { 'vm2#b': 100, 'vm3#c': 100, 'vm4#d': 100 };

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
    configuration: THREE,
    configurationIndex: 1,
    isLeaseValid: true,
    matchIndexes: ALL_HOLD,
    answerAgesMs: ALL_ANSWER,
    contactAgesMs: {},
    lastDenial: null,
    ...overrides,
  };
}

interface Fixture {
  readonly clock: ManualClock;
  readonly membership: GroupMembership;
  /** Looks every so often for a while; returns what was decided, without what came of nothing. */
  look(status: ReplicaStatus, durationMs: number): readonly MembershipAction[];
}

function createFixture(): Fixture {
  const clock = createManualClock(50_000);
  const membership = createGroupMembership({ clock, replicaId: SELF, limits: LIMITS });
  return {
    clock,
    membership,
    look(status, durationMs) {
      const actions: MembershipAction[] = [];
      for (let passedMs = 0; passedMs < durationMs; passedMs += LOOK_MS) {
        const action = membership.next(status);
        if (action) actions.push(action);
        clock.advance(LOOK_MS);
      }
      return actions;
    },
  };
}

const changes = (actions: readonly MembershipAction[]) =>
  actions.flatMap((action) => (action.kind === 'change' ? [action.change.kind] : []));

describe('a leader that has a learner', () => {
  it('gives it a vote once it has answered for a while and holds all that is committed', () => {
    const { look } = createFixture();
    const status = createStatus({ configuration: LEARNING });
    assert.deepEqual(look(status, LIMITS.stableForMs), []);
    assert.equal(changes(look(status, LOOK_MS))[0], 'keep-standby', 'no data centre is known');
  });

  it('gives none to one that has never answered, however little there is to hold', () => {
    const { look } = createFixture();
    const status = createStatus({
      configuration: LEARNING,
      commitIndex: 8,
      matchIndexes: { 'vm2#b': 8, 'vm3#c': 8 },
      answerAgesMs: { 'vm2#b': 50, 'vm3#c': 50 },
    });
    assert.deepEqual(look(status, LIMITS.removeAfterMs), []);
    assert.deepEqual(changes(look(status, 2 * LOOK_MS)), ['remove']);
  });

  it('gives none to one that lacks an entry that is committed', () => {
    const { look } = createFixture();
    const matchIndexes = { ...ALL_HOLD, 'vm4#d': 99 };
    const status = createStatus({ configuration: LEARNING, matchIndexes });
    assert.deepEqual(look(status, 10 * LIMITS.stableForMs), []);
  });

  it('waits where an entry was committed since the last look that the learner lacks', () => {
    const { look } = createFixture();
    const status = createStatus({ configuration: LEARNING });
    look(status, LIMITS.stableForMs);
    const matchIndexes = { 'vm2#b': 101, 'vm3#c': 101, 'vm4#d': 100 };
    assert.deepEqual(look({ ...status, commitIndex: 101, matchIndexes }, LOOK_MS), []);
  });

  it('begins to count anew when it has not answered for a moment', () => {
    const { look } = createFixture();
    const status = createStatus({ configuration: LEARNING });
    const answerAgesMs = { ...ALL_ANSWER, 'vm4#d': LIMITS.maxContactAgeMs + 1 };
    assert.deepEqual(look(status, LIMITS.stableForMs), []);
    assert.deepEqual(look({ ...status, answerAgesMs }, LOOK_MS), []);
    assert.deepEqual(look(status, LIMITS.stableForMs), []);
    assert.equal(look(status, LOOK_MS).length, 1);
  });

  it('decides nothing while a change is under way', () => {
    const { look } = createFixture();
    const exchanging = { ...LEARNING, outgoing: THREE.voters };
    const open = createStatus({ configuration: LEARNING, configurationIndex: 101 });
    const joint = createStatus({ configuration: exchanging });
    assert.deepEqual(look(open, 10 * LIMITS.stableForMs), []);
    assert.deepEqual(look(joint, 10 * LIMITS.stableForMs), []);
  });
});

describe('a leader that does not hear a voter', () => {
  it('counts the silence of each from the beginning of its lead', () => {
    const { look } = createFixture();
    const answerAgesMs = { 'vm2#b': 50, 'vm4#d': 50 };
    const status = createStatus({ configuration: STANDING_BY, answerAgesMs });
    assert.deepEqual(look(status, LIMITS.silentAfterMs + LOOK_MS), []);
    assert.deepEqual(changes(look(status, LOOK_MS)), ['exchange']);
  });

  it('counts that of the leader before from when it was heard last', () => {
    const { look } = createFixture();
    const following = createStatus({ role: 'follower', leaderId: 'vm3#c' });
    look(following, LOOK_MS);
    const status = createStatus({
      configuration: STANDING_BY,
      answerAgesMs: { 'vm2#b': 50, 'vm4#d': 50 },
      contactAgesMs: { 'vm3#c': LIMITS.silentAfterMs + 1 },
    });
    look(status, LIMITS.stableForMs);
    assert.deepEqual(changes(look(status, LOOK_MS)), ['exchange']);
  });

  it('counts that of a member from when it was taken in, however long it has led itself', () => {
    const { look } = createFixture();
    look(createStatus(), 2 * LIMITS.removeAfterMs);
    const answerAgesMs = { 'vm2#b': 50, 'vm3#c': 50 };
    const unheard = createStatus({ configuration: LEARNING, answerAgesMs });
    assert.deepEqual(changes(look(unheard, LIMITS.removeAfterMs)), []);
    assert.deepEqual(changes(look(unheard, 2 * LOOK_MS)), ['remove']);
  });

  it('takes no answer of a new identity of its VM for one of the old', () => {
    const { look } = createFixture();
    const status = createStatus({
      configuration: STANDING_BY,
      answerAgesMs: { 'vm2#b': 50, 'vm3#new': 50, 'vm4#d': 50 },
    });
    look(status, LIMITS.silentAfterMs + LOOK_MS);
    assert.deepEqual(changes(look(status, LOOK_MS)), ['exchange']);
  });
});

describe('a leader with nothing to do', () => {
  it('finds out once where its members are, however often it looks', () => {
    const clock = createManualClock(50_000);
    const asked: string[] = [];
    const dataCentreOf = (id: string) => {
      asked.push(id);
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
      clock.advance(LOOK_MS);
    }
    assert.deepEqual(asked.sort(), [...THREE.voters]);
  });
});

describe('a leader that is asked', () => {
  it('takes in who asks now, and nobody who has stopped asking', () => {
    const { membership, clock, look } = createFixture();
    membership.recordJoin({ replicaId: 'vm4#d' });
    assert.deepEqual(changes(look(createStatus(), LOOK_MS)), ['add-learner']);
    clock.advance(LIMITS.maxContactAgeMs);
    assert.deepEqual(look(createStatus(), LOOK_MS), []);
  });

  it('hears only the newest identity of a VM', () => {
    const { membership, look } = createFixture();
    membership.recordJoin({ replicaId: 'vm4#old' });
    membership.recordJoin({ replicaId: 'vm4#new' });
    const [step] = look(createStatus(), LOOK_MS);
    assert.deepEqual(step, {
      kind: 'change',
      change: { kind: 'add-learner', replicaId: 'vm4#new' },
      reason: 'requests to join',
    });
  });
});

describe('a replica that does not lead', () => {
  const following = createStatus({ role: 'follower', leaderId: 'vm2#b' });
  const alone = createStatus({ role: 'pre-candidate', leaderId: null });

  it('asks to be taken in while it is no member', () => {
    const { look } = createFixture();
    const configuration = { voters: [], learners: [] };
    const [action] = look({ ...following, configuration }, LOOK_MS);
    assert.deepEqual(action, { kind: 'ask-to-join' });
  });

  it('asks when it has heard no leader for long: it may have been removed meanwhile', () => {
    const { look } = createFixture();
    assert.deepEqual(look(following, 1000), []);
    assert.deepEqual(look(alone, LIMITS.silentAfterMs), []);
    assert.deepEqual(look(alone, LOOK_MS), [{ kind: 'ask-to-join' }]);
  });

  it('asks to have its vote taken over when its process is about to end', () => {
    const { membership, look } = createFixture();
    membership.beginLeaving();
    assert.deepEqual(look(following, LOOK_MS), [{ kind: 'ask-to-leave' }]);
  });
});

describe('a replica whose process is about to end', () => {
  const follower = createStatus({ role: 'follower', leaderId: 'vm2#b' });

  it('hands over a vote that somebody can take', () => {
    const { membership } = createFixture();
    membership.beginLeaving();
    assert.equal(membership.hasToHandOver(follower), false);
    assert.equal(membership.hasToHandOver({ ...follower, configuration: STANDING_BY }), true);
  });

  it('tells the leader of it where it has no vote, as it may be about to get one', () => {
    const { membership } = createFixture();
    membership.beginLeaving();
    const configuration = { voters: ['vm2#b', 'vm3#c', 'vm4#d'], learners: [], standbys: [SELF] };
    assert.equal(membership.hasToHandOver({ ...follower, configuration }), true);
    membership.confirmLeave();
    assert.equal(membership.hasToHandOver({ ...follower, configuration }), false);
  });

  it('hands over its lead, unless everyone else is about to end too', () => {
    const { membership } = createFixture();
    membership.beginLeaving();
    assert.equal(membership.hasToHandOver(createStatus()), true);
    membership.recordLeave('vm2#b');
    membership.recordLeave('vm3#c');
    assert.equal(membership.hasToHandOver(createStatus()), false);
  });
});
