import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideMembershipStep, deriveMembershipLimits } from '..';
import type { Configuration, GroupView, JoinRequest, MemberView, ReplicaId } from '..';

const LIMITS = deriveMembershipLimits({ lossesBorne: 1, catchUpMs: 4000 });
const FIVE_VOTER_LIMITS = deriveMembershipLimits({ lossesBorne: 2, catchUpMs: 4000 });
const HEALTHY: MemberView = { silentForMs: 100, stableForMs: 10_000, isCaughtUp: true };
const UNREACHABLE: MemberView = { silentForMs: 60_000, stableForMs: null, isCaughtUp: false };
const THREE_VOTERS: Configuration = { voters: ['vm1#a', 'vm2#b', 'vm3#c'], learners: [] };
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
    viewOf: (id) => members[id] ?? HEALTHY,
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
  it('are derived from the required fault tolerance', () => {
    assert.equal(LIMITS.votersWanted, 3);
    assert.equal(FIVE_VOTER_LIMITS.votersWanted, 5);
    const half = deriveMembershipLimits({ lossesBorne: 1, catchUpMs: 2000 });
    assert.equal(half.contactTimeoutMs, LIMITS.contactTimeoutMs / 2);
    assert.equal(half.stableForMs, LIMITS.stableForMs / 2);
    const none = deriveMembershipLimits({ lossesBorne: 0, catchUpMs: 4000 });
    assert.equal(none.votersWanted, 3, 'a single voter could lose acknowledged entries');
  });
});

describe('a group that needs no change', () => {
  it('is not changed', () => {
    assert.equal(decide(THREE_VOTERS), null);
    assert.equal(decide({ ...THREE_VOTERS, standbys: ['vm4#d'] }), null);
  });

  it('keeps a silent voter without a replacement, so that it can return', () => {
    assert.equal(decide(THREE_VOTERS, { members: { 'vm3#c': UNREACHABLE } }), null);
    const two = { voters: ['vm1#a', 'vm2#b'], learners: [] };
    assert.equal(decide(two, { members: { 'vm1#a': UNREACHABLE } }), null);
  });
});

describe('a joining replica', () => {
  const WITH_LEARNER: Configuration = { ...THREE_VOTERS, learners: ['vm4#d'] };

  it('is added as a learner on request, and only once', () => {
    const joining = [{ replicaId: 'vm4#d' }];
    assert.deepEqual(changeOf(decide(THREE_VOTERS, { joining })), {
      kind: 'add-learner',
      replicaId: 'vm4#d',
    });
    assert.equal(
      decide(WITH_LEARNER, { joining, members: { 'vm4#d': { ...HEALTHY, stableForMs: 0 } } }),
      null,
    );
  });

  it('gets no vote before it is caught up and stable', () => {
    const tooYoung = { ...HEALTHY, stableForMs: LIMITS.stableForMs - 1 };
    const behind = { ...HEALTHY, isCaughtUp: false };
    [tooYoung, behind].forEach((view) =>
      assert.equal(decide(WITH_LEARNER, { members: { 'vm4#d': view } }), null),
    );
  });

  it('replaces a voter instead of increasing their number', () => {
    const change = changeOf(decide(WITH_LEARNER));
    assert.deepEqual(change, exchange(['vm4#d'], ['vm1#a']), 'the voter of its data centre');
  });

  it('replaces a silent voter in any data centre', () => {
    const change = changeOf(decide(WITH_LEARNER, { members: { 'vm3#c': UNREACHABLE } }));
    assert.deepEqual(change, exchange(['vm4#d'], ['vm3#c']));
  });

  it('replaces a leaving voter', () => {
    const change = changeOf(decide(WITH_LEARNER, { leaving: ['vm3#c'] }));
    assert.deepEqual(change, exchange(['vm4#d'], ['vm3#c']));
  });

  it('replaces the leader only after a leadership transfer', () => {
    const step = decide(WITH_LEARNER, { leader: 'vm1#a', members: { 'vm2#b': UNREACHABLE } });
    assert.deepEqual(changeOf(step), exchange(['vm4#d'], ['vm2#b']));
    const calm = decide(WITH_LEARNER, {
      leader: 'vm1#a',
      members: { 'vm2#b': { ...HEALTHY, silentForMs: 300 } },
    });
    assert.deepEqual(calm, {
      kind: 'hand-over',
      successor: 'vm3#c',
      reason: 'replacement in the data centre',
    });
  });

  it('in a data centre without a voter becomes a standby', () => {
    const learning = { ...THREE_VOTERS, learners: ['vm6#f'] };
    assert.deepEqual(changeOf(decide(learning)), { kind: 'keep-standby', replicaId: 'vm6#f' });
  });

  it('in a data centre with several voters becomes a standby', () => {
    const learning = { voters: ['vm1#a', 'vm2#b', 'vm4#d'], learners: ['vm7#g'] };
    const view = { ...createView(learning), dataCentreOf: () => 'east' };
    assert.deepEqual(changeOf(decideMembershipStep(view, LIMITS)), {
      kind: 'keep-standby',
      replicaId: 'vm7#g',
    });
  });

  it('that starts with the system replaces no voter', () => {
    const joining = [{ replicaId: 'vm4#d', isFounding: true }];
    assert.deepEqual(changeOf(decide(THREE_VOTERS, { joining })), {
      kind: 'keep-standby',
      replicaId: 'vm4#d',
    });
  });

  it('that became silent while joining is removed, and is not added again without a request', () => {
    const members = { 'vm4#d': UNREACHABLE };
    assert.deepEqual(changeOf(decide(WITH_LEARNER, { members })), {
      kind: 'remove',
      replicaId: 'vm4#d',
    });
    assert.equal(decide(THREE_VOTERS, { members }), null);
  });
});

describe('a VM that lost its disk', () => {
  it('gets its vote back in one step, and its old identity is removed', () => {
    const learning = { ...THREE_VOTERS, learners: ['vm1#new'] };
    const change = changeOf(decide(learning, { members: { 'vm1#a': UNREACHABLE } }));
    assert.deepEqual(change, exchange(['vm1#new'], ['vm1#a'], []));
  });

  it('replaces its own old identity even if another voter has been silent for longer', () => {
    const learning = { ...THREE_VOTERS, learners: ['vm1#new'] };
    const members = { 'vm1#a': { ...UNREACHABLE, silentForMs: 900 }, 'vm3#c': UNREACHABLE };
    const change = changeOf(decide(learning, { members }));
    assert.deepEqual(change, exchange(['vm1#new'], ['vm1#a'], []));
  });

  it('has its old non-voting identity removed', () => {
    const joining = [{ replicaId: 'vm4#new' }];
    const change = changeOf(decide({ ...THREE_VOTERS, standbys: ['vm4#old'] }, { joining }));
    assert.deepEqual(change, { kind: 'remove', replicaId: 'vm4#old' });
  });
});

describe('a standby', () => {
  const WITH_STANDBYS: Configuration = { ...THREE_VOTERS, standbys: ['vm5#e', 'vm4#d'] };

  it('replaces a silent voter, preferably in its own data centre', () => {
    const members = { 'vm1#a': { ...UNREACHABLE, silentForMs: LIMITS.contactTimeoutMs + 1 } };
    assert.deepEqual(changeOf(decide(WITH_STANDBYS, { members })), exchange(['vm4#d'], ['vm1#a']));
    const notYet = { 'vm1#a': { ...UNREACHABLE, silentForMs: LIMITS.contactTimeoutMs } };
    assert.equal(decide(WITH_STANDBYS, { members: notYet }), null);
  });

  it('replaces a leaving voter before it stops', () => {
    assert.deepEqual(
      changeOf(decide(WITH_STANDBYS, { leaving: ['vm1#a'] })),
      exchange(['vm4#d'], ['vm1#a']),
    );
  });

  it('that is leaving itself is skipped', () => {
    assert.deepEqual(
      changeOf(decide(WITH_STANDBYS, { leaving: ['vm1#a', 'vm4#d'] })),
      exchange(['vm5#e'], ['vm1#a']),
    );
  });

  it('that has been silent for long is removed', () => {
    const change = changeOf(decide(WITH_STANDBYS, { members: { 'vm5#e': UNREACHABLE } }));
    assert.deepEqual(change, { kind: 'remove', replicaId: 'vm5#e' });
  });

  it('in a data centre without a voter replaces a voter of one with several', () => {
    const configuration = {
      voters: ['vm1#a', 'vm2#b', 'vm4#d'],
      learners: [],
      standbys: ['vm3#c'],
    };
    assert.deepEqual(changeOf(decide(configuration)), exchange(['vm3#c'], ['vm1#a']));
    const members = { 'vm4#d': { ...HEALTHY, silentForMs: LIMITS.maxContactAgeMs + 1 } };
    assert.equal(decide(configuration, { members }), null, 'not while a voter is silent');
  });
});

describe('a leaving leader', () => {
  it('transfers leadership to a voter that is not leaving', () => {
    const step = decide(THREE_VOTERS, { leaving: ['vm2#b', 'vm1#a'] });
    assert.deepEqual(step, { kind: 'hand-over', successor: 'vm3#c', reason: 'leaving leader' });
  });

  it('continues if all voters are leaving', () => {
    assert.equal(decide(THREE_VOTERS, { leaving: THREE_VOTERS.voters }), null);
  });
});

describe('the number of voters', () => {
  it('grows to an odd number', () => {
    const one = { ...THREE_VOTERS, standbys: ['vm4#d'] };
    assert.equal(decide(one, {}, FIVE_VOTER_LIMITS), null);
    const two = { ...THREE_VOTERS, standbys: ['vm4#d', 'vm6#f'] };
    assert.deepEqual(
      changeOf(decide(two, {}, FIVE_VOTER_LIMITS)),
      exchange(['vm6#f', 'vm4#d'], []),
      'members in data centres with the fewest voters first',
    );
    const pair = { voters: ['vm1#a', 'vm2#b'], learners: ['vm3#c'] };
    assert.deepEqual(changeOf(decide(pair)), exchange(['vm3#c'], []));
  });

  it('grows from one to two, so that acknowledged entries are on two disks', () => {
    const alone = { voters: ['vm2#b'], learners: ['vm1#a'] };
    assert.deepEqual(changeOf(decide(alone)), exchange(['vm1#a'], []));
  });

  it('shrinks to an odd number, removing silent voters first', () => {
    const four = { voters: ['vm1#a', 'vm2#b', 'vm3#c', 'vm4#d'], learners: [] };
    assert.deepEqual(
      changeOf(decide(four, { members: { 'vm3#c': UNREACHABLE } }, FIVE_VOTER_LIMITS)),
      exchange([], ['vm3#c']),
    );
    assert.deepEqual(changeOf(decide(four, {}, FIVE_VOTER_LIMITS)), exchange([], ['vm4#d']));
  });

  it('shrinks to the wanted number', () => {
    const five = { voters: ['vm1#a', 'vm2#b', 'vm3#c', 'vm4#d', 'vm6#f'], learners: [] };
    const members = { 'vm3#c': UNREACHABLE, 'vm6#f': UNREACHABLE };
    assert.deepEqual(changeOf(decide(five, { members })), exchange([], ['vm6#f', 'vm3#c']));
  });
});
