import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberFact } from '@spoolplank/membership';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { createRelayChoice } from '../src/relayChoice';

const MAX_IMBALANCE = 1.5;

function createMembers(count: number, dataCentres = 3): readonly MemberFact[] {
  return Array.from({ length: count }, (_, index) => ({
    kind: 'member',
    vmId: `h${index}`,
    host: `h${index}`,
    role: 'entry',
    peerPort: 1,
    dataCentre: `dc${index % dataCentres}`,
    state: 'ready',
  }));
}

function createChoice(members: readonly MemberFact[], index = 0, seed = 1) {
  const clock = createManualClock(1000);
  const choice = createRelayChoice({
    clock,
    random: createSeededRandom(seed),
    host: `h${index}`,
    dataCentre: `dc${index % 3}`,
    listEntries: () => members,
    dataCentreOf: () => 'dc1',
  });
  return { clock, choice };
}

describe('the choice of a relay', () => {
  it('never returns this VM, one that was tried, or one that is not ready', () => {
    const [first, second, third] = createMembers(3) as [MemberFact, MemberFact, MemberFact];
    const { choice } = createChoice([first, second, { ...third, state: 'leaving' }]);
    assert.equal(choice.choose('s:80', new Set())?.host, 'h1');
    assert.equal(choice.choose('s:80', new Set(['h1'])), undefined);
  });

  it('prefers the data centres of this VM and of the server, and uses others without them', () => {
    const { choice } = createChoice(createMembers(9));
    for (let times = 0; times < 50; times += 1) {
      assert.notEqual(choice.choose('s:80', new Set())?.dataCentre, 'dc2');
    }
    const near = new Set(['h1', 'h3', 'h4', 'h6', 'h7']);
    assert.equal(choice.choose('s:80', near)?.dataCentre, 'dc2');
  });

  it('excludes a VM that opened no tunnel for a second', () => {
    const { choice, clock } = createChoice(createMembers(2));
    choice.recordUnavailable('h1');
    assert.equal(choice.choose('s:80', new Set()), undefined);
    clock.advance(1000);
    assert.equal(choice.choose('s:80', new Set())?.host, 'h1');
  });

  it('excludes a VM for a server that it does not reach either, and for no other one', () => {
    const { choice } = createChoice(createMembers(2));
    choice.recordUnreachable('h1', 's:80');
    assert.equal(choice.choose('s:80', new Set()), undefined);
    assert.equal(choice.choose('t:80', new Set())?.host, 'h1');
  });

  [11, 78, 300].forEach((count) => {
    it(`spreads tunnels evenly over the reachable relays among ${count} VMs`, () => {
      const members = createMembers(count, 1);
      const loads = new Map<string, number>();
      const cut = Math.floor(count / 3);
      for (let index = 0; index < cut; index += 1) {
        const { choice } = createChoice(members, index, index + 1);
        members.slice(0, cut).forEach(({ host }) => choice.recordUnavailable(host));
        for (let tunnel = 0; tunnel < 60; tunnel += 1) {
          const host = choice.choose('s:80', new Set())?.host ?? '';
          choice.recordOpened(host);
          loads.set(host, (loads.get(host) ?? 0) + 1);
        }
      }
      const mean = (cut * 60) / (count - cut);
      const busiest = Math.max(...loads.values());
      assert.equal(loads.size, count - cut);
      assert.ok(busiest <= MAX_IMBALANCE * mean, `${busiest} at most, ${mean} on average`);
    });
  });
});
