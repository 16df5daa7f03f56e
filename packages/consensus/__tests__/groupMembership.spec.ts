import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideMembershipStep, deriveMembershipLimits } from '..';
import type { Configuration, GroupView, JoinRequest, MemberView, ReplicaId } from '..';

const LIMITS = deriveMembershipLimits({ lossesBorne: 1, catchUpMs: 4000 });
const FIVE = deriveMembershipLimits({ lossesBorne: 2, catchUpMs: 4000 });
const WELL: MemberView = { silentForMs: 100, stableForMs: 10_000, isCaughtUp: true };
const GONE: MemberView = { silentForMs: 60_000, stableForMs: null, isCaughtUp: false };
const THREE: Configuration = { voters: ['vm1#a', 'vm2#b', 'vm3#c'], learners: [] };
const DATA_CENTRES: Readonly<Record<string, string>> = {
  vm1: 'east',
  vm2: 'west',
  vm3: 'north',
  vm4: 'east',
  vm5: 'west',
  vm6: 'south',
};

interface ViewOptions {
  readonly leader?: ReplicaId;
  readonly members?: Readonly<Record<ReplicaId, MemberView>>;
  readonly joining?: readonly JoinRequest[];
  readonly leaving?: readonly ReplicaId[];
}

function createView(configuration: Configuration, options: ViewOptions = {}): GroupView {
  const { leader = 'vm2#b', members = {}, joining = [], leaving = [] } = options;
  return {
    leader,
    configuration,
    viewOf: (id) => members[id] ?? WELL,
    dataCentreOf: (id) => DATA_CENTRES[id.split('#')[0] ?? ''],
    joining,
    leaving,
  };
}

function decide(configuration: Configuration, options: ViewOptions = {}, limits = LIMITS) {
  return decideMembershipStep(createView(configuration, options), limits);
}

const exchange = (
  incoming: readonly ReplicaId[],
  outgoing: readonly ReplicaId[],
  kept: readonly ReplicaId[] = outgoing,
) => ({
  kind: 'exchange',
  incoming,
  outgoing,
  kept,
});

function changeOf(step: ReturnType<typeof decide>) {
  return step?.kind === 'change' ? step.change : null;
}

describe('the limits of a group', () => {
  it('follow from what its settings promise', () => {
    assert.equal(LIMITS.votersWanted, 3);
    assert.equal(FIVE.votersWanted, 5);
    const half = deriveMembershipLimits({ lossesBorne: 1, catchUpMs: 2000 });
    assert.equal(half.silentAfterMs, LIMITS.silentAfterMs / 2);
    assert.equal(half.stableForMs, LIMITS.stableForMs / 2);
    const none = deriveMembershipLimits({ lossesBorne: 0, catchUpMs: 4000 });
    assert.equal(none.votersWanted, 3, 'one voter alone would lose what was acknowledged');
  });
});

describe('a group that is as it should be', () => {
  it('is left alone', () => {
    assert.equal(decide(THREE), null);
    assert.equal(decide({ ...THREE, standbys: ['vm4#d'] }), null);
  });

  it('keeps a silent voter that nobody can take the place of, so that it can come back', () => {
    assert.equal(decide(THREE, { members: { 'vm3#c': GONE } }), null);
    const two = { voters: ['vm1#a', 'vm2#b'], learners: [] };
    assert.equal(decide(two, { members: { 'vm1#a': GONE } }), null);
  });
});

describe('a newcomer', () => {
  const LEARNING: Configuration = { ...THREE, learners: ['vm4#d'] };

  it('is taken in as a learner when it asks, and not before', () => {
    const joining = [{ replicaId: 'vm4#d' }];
    assert.deepEqual(changeOf(decide(THREE, { joining })), {
      kind: 'add-learner',
      replicaId: 'vm4#d',
    });
    assert.equal(
      decide(LEARNING, { joining, members: { 'vm4#d': { ...WELL, stableForMs: 0 } } }),
      null,
    );
  });

  it('is given no vote before it holds what is committed and has answered for a while', () => {
    const tooYoung = { ...WELL, stableForMs: LIMITS.stableForMs - 1 };
    const behind = { ...WELL, isCaughtUp: false };
    [tooYoung, behind].forEach((view) =>
      assert.equal(decide(LEARNING, { members: { 'vm4#d': view } }), null),
    );
  });

  it('is never one voter more than the losses to be borne need', () => {
    const change = changeOf(decide(LEARNING));
    assert.deepEqual(change, exchange(['vm4#d'], ['vm1#a']), 'the one of its data centre');
  });

  it('takes the vote of a silent voter wherever that is', () => {
    const change = changeOf(decide(LEARNING, { members: { 'vm3#c': GONE } }));
    assert.deepEqual(change, exchange(['vm4#d'], ['vm3#c']));
  });

  it('takes the vote of one that is leaving', () => {
    const change = changeOf(decide(LEARNING, { leaving: ['vm3#c'] }));
    assert.deepEqual(change, exchange(['vm4#d'], ['vm3#c']));
  });

  it('takes the vote of the leader only after another one leads', () => {
    const step = decide(LEARNING, { leader: 'vm1#a', members: { 'vm2#b': GONE } });
    assert.deepEqual(changeOf(step), exchange(['vm4#d'], ['vm2#b']));
    const calm = decide(LEARNING, {
      leader: 'vm1#a',
      members: { 'vm2#b': { ...WELL, silentForMs: 300 } },
    });
    assert.deepEqual(calm, {
      kind: 'hand-over',
      successor: 'vm3#c',
      reason: 'replacement in the data centre',
    });
  });

  it('of a data centre without a voter stands by', () => {
    const learning = { ...THREE, learners: ['vm6#f'] };
    assert.deepEqual(changeOf(decide(learning)), { kind: 'keep-standby', replicaId: 'vm6#f' });
  });

  it('of a data centre with several voters stands by', () => {
    const learning = { voters: ['vm1#a', 'vm2#b', 'vm4#d'], learners: ['vm7#g'] };
    const view = { ...createView(learning), dataCentreOf: () => 'east' };
    assert.deepEqual(changeOf(decideMembershipStep(view, LIMITS)), {
      kind: 'keep-standby',
      replicaId: 'vm7#g',
    });
  });

  it('that starts with the system takes nobody’s place', () => {
    const joining = [{ replicaId: 'vm4#d', isFounding: true }];
    assert.deepEqual(changeOf(decide(THREE, { joining })), {
      kind: 'keep-standby',
      replicaId: 'vm4#d',
    });
  });

  it('that fell silent while it joined is removed, and not asked in again', () => {
    const members = { 'vm4#d': GONE };
    assert.deepEqual(changeOf(decide(LEARNING, { members })), {
      kind: 'remove',
      replicaId: 'vm4#d',
    });
    assert.equal(decide(THREE, { members }), null);
  });
});

describe('a VM that lost its disk', () => {
  it('is given its vote back in one step, and its old identity is not kept', () => {
    const learning = { ...THREE, learners: ['vm1#new'] };
    const change = changeOf(decide(learning, { members: { 'vm1#a': GONE } }));
    assert.deepEqual(change, exchange(['vm1#new'], ['vm1#a'], []));
  });

  it('takes the place of its own old identity, though another voter is silent for longer', () => {
    const learning = { ...THREE, learners: ['vm1#new'] };
    const members = { 'vm1#a': { ...GONE, silentForMs: 900 }, 'vm3#c': GONE };
    const change = changeOf(decide(learning, { members }));
    assert.deepEqual(change, exchange(['vm1#new'], ['vm1#a'], []));
  });

  it('has its old identity removed where that had no vote', () => {
    const joining = [{ replicaId: 'vm4#new' }];
    const change = changeOf(decide({ ...THREE, standbys: ['vm4#old'] }, { joining }));
    assert.deepEqual(change, { kind: 'remove', replicaId: 'vm4#old' });
  });
});

describe('a standby', () => {
  const STANDING_BY: Configuration = { ...THREE, standbys: ['vm5#e', 'vm4#d'] };

  it('takes the vote of a silent voter, the one of its data centre first', () => {
    const members = { 'vm1#a': { ...GONE, silentForMs: LIMITS.silentAfterMs + 1 } };
    assert.deepEqual(changeOf(decide(STANDING_BY, { members })), exchange(['vm4#d'], ['vm1#a']));
    const notYet = { 'vm1#a': { ...GONE, silentForMs: LIMITS.silentAfterMs } };
    assert.equal(decide(STANDING_BY, { members: notYet }), null);
  });

  it('takes the vote of a voter that is about to leave, before it does', () => {
    assert.deepEqual(
      changeOf(decide(STANDING_BY, { leaving: ['vm1#a'] })),
      exchange(['vm4#d'], ['vm1#a']),
    );
  });

  it('that is leaving itself is passed over', () => {
    assert.deepEqual(
      changeOf(decide(STANDING_BY, { leaving: ['vm1#a', 'vm4#d'] })),
      exchange(['vm5#e'], ['vm1#a']),
    );
  });

  it('that has not answered for long is removed', () => {
    const change = changeOf(decide(STANDING_BY, { members: { 'vm5#e': GONE } }));
    assert.deepEqual(change, { kind: 'remove', replicaId: 'vm5#e' });
  });

  it('of a data centre without a voter takes a vote from one that has several', () => {
    const configuration = {
      voters: ['vm1#a', 'vm2#b', 'vm4#d'],
      learners: [],
      standbys: ['vm3#c'],
    };
    assert.deepEqual(changeOf(decide(configuration)), exchange(['vm3#c'], ['vm1#a']));
    const members = { 'vm4#d': { ...WELL, silentForMs: LIMITS.maxContactAgeMs + 1 } };
    assert.equal(decide(configuration, { members }), null, 'not while anyone is silent');
  });
});

describe('a leader that is about to leave', () => {
  it('hands over to one that is not', () => {
    const step = decide(THREE, { leaving: ['vm2#b', 'vm1#a'] });
    assert.deepEqual(step, { kind: 'hand-over', successor: 'vm3#c', reason: 'leaving leader' });
  });

  it('goes on where everyone is', () => {
    assert.equal(decide(THREE, { leaving: THREE.voters }), null);
  });
});

describe('the number of voters', () => {
  it('grows to an odd one', () => {
    const one = { ...THREE, standbys: ['vm4#d'] };
    assert.equal(decide(one, {}, FIVE), null);
    const two = { ...THREE, standbys: ['vm4#d', 'vm6#f'] };
    assert.deepEqual(
      changeOf(decide(two, {}, FIVE)),
      exchange(['vm6#f', 'vm4#d'], []),
      'those of data centres with the fewest voters first',
    );
    const pair = { voters: ['vm1#a', 'vm2#b'], learners: ['vm3#c'] };
    assert.deepEqual(changeOf(decide(pair)), exchange(['vm3#c'], []));
  });

  it('is two where there are two: what is acknowledged lies on two disks', () => {
    const alone = { voters: ['vm2#b'], learners: ['vm1#a'] };
    assert.deepEqual(changeOf(decide(alone)), exchange(['vm1#a'], []));
  });

  it('shrinks to an odd one, by a silent one first', () => {
    const four = { voters: ['vm1#a', 'vm2#b', 'vm3#c', 'vm4#d'], learners: [] };
    assert.deepEqual(
      changeOf(decide(four, { members: { 'vm3#c': GONE } }, FIVE)),
      exchange([], ['vm3#c']),
    );
    assert.deepEqual(changeOf(decide(four, {}, FIVE)), exchange([], ['vm4#d']));
  });

  it('shrinks to what is wanted', () => {
    const five = { voters: ['vm1#a', 'vm2#b', 'vm3#c', 'vm4#d', 'vm6#f'], learners: [] };
    const members = { 'vm3#c': GONE, 'vm6#f': GONE };
    assert.deepEqual(changeOf(decide(five, { members })), exchange([], ['vm6#f', 'vm3#c']));
  });
});
