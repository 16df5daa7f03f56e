import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JsonValue } from '@spoolplank/shared';
import { createManualClock } from '@spoolplank/shared';
import { createFactTable, createSiblingBackoffs, FACT_KEYS } from '..';
import type { MemberFact, BackoffDirective, SiblingTarget, SystemFact } from '..';

const DIRECTIVE: BackoffDirective = { instanceId: 'e1', backoffMs: 3000 };

function createMember(host: string, role: MemberFact['role'], peerPort: number): MemberFact {
  return { kind: 'member', vmId: host, dataCentre: 'a', host, role, peerPort, state: 'ready' };
}

function createFixture({ isReachable = true }: { readonly isReachable?: boolean } = {}) {
  const clock = createManualClock();
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const calls: { readonly port: number; readonly method: string; readonly params: JsonValue }[] =
    [];
  const received: BackoffDirective[] = [];
  const undelivered: BackoffDirective[] = [];
  const backoffs = createSiblingBackoffs({
    table,
    host: 'vm1',
    role: 'entry',
    call({ port }: SiblingTarget, method, params) {
      calls.push({ port, method, params });
      return isReachable ? Promise.resolve(true) : Promise.reject(new Error('nobody listens'));
    },
    onUndelivered: (_problem, directive) => undelivered.push(directive),
  });
  backoffs.onDirective((directive) => received.push(directive));
  return {
    backoffs,
    calls,
    received,
    undelivered,
    join(member: MemberFact, run = 'run'): void {
      clock.advance(1);
      table.put(FACT_KEYS.member(member.host, run), 1, member);
    },
  };
}

describe('a backoff that a server requests from one process of a VM', () => {
  it('is forwarded only to the latest incarnation of the other process of that VM', () => {
    const { backoffs, calls, join } = createFixture();
    join(createMember('vm1', 'entry', 1), 'self');
    join(createMember('vm1', 'control', 2), 'earlier');
    join(createMember('vm1', 'control', 3), 'later');
    join(createMember('vm2', 'control', 4));
    backoffs.send(DIRECTIVE);
    assert.deepEqual(
      calls.map(({ port, params }) => ({ port, params })),
      [{ port: 3, params: DIRECTIVE }],
    );
  });

  it('is not forwarded when the VM has no other process', () => {
    const { backoffs, calls, join } = createFixture();
    join(createMember('vm1', 'entry', 1));
    join(createMember('vm2', 'control', 4));
    backoffs.send(DIRECTIVE);
    assert.deepEqual(calls, []);
  });

  it('is applied by the other process through the method that is called', () => {
    const { backoffs, calls, received, join } = createFixture();
    join(createMember('vm1', 'control', 2));
    backoffs.send(DIRECTIVE);
    const [call] = calls;
    backoffs.methods[call?.method ?? '']?.(call?.params ?? null);
    assert.deepEqual(received, [DIRECTIVE]);
  });

  it('is reported as undelivered when the other process does not answer', async () => {
    const { backoffs, undelivered, join } = createFixture({ isReachable: false });
    join(createMember('vm1', 'control', 2));
    backoffs.send(DIRECTIVE);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    assert.deepEqual(undelivered, [DIRECTIVE]);
  });
});
