import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDocumentState } from '@spoolplank/control';
import type { StoredDocument } from '@spoolplank/control';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import { SYSTEM_CLOCK } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import { createDocumentCalls } from '../src/documentCalls';
import { createLeaderCalls } from '../src/leaderCalls';

const DOCUMENT: StoredDocument = { version: 7, data: 'x' };

/** A control VM without a replica that forwards calls to the VMs in `answers`. */
function createRelay(answers: Readonly<Record<string, () => unknown>>) {
  const called: string[] = [];
  const peers: PeerClient = {
    async call<Result>({ vmId }: PeerTarget): Promise<Result> {
      called.push(vmId);
      return (await answers[vmId]?.()) as Result;
    },
    close() {},
  };
  const leader = createLeaderCalls({
    clock: SYSTEM_CLOCK,
    peers,
    host: 'relay',
    group: () => null,
    findTarget: (vmId) => ({ vmId, host: vmId, port: 1 }),
    listOthers: () => Object.keys(answers),
  });
  const calls = createDocumentCalls({ state: createDocumentState(), group: () => null, leader });
  return { called, calls };
}

const redirectTo = (leaderId: string) => () => {
  throw new SpoolplankError('not-leader', { leaderId });
};

describe('a change at a control VM that holds no replica', () => {
  it('is forwarded to the leader that another VM names', async () => {
    const { called, calls } = createRelay({
      a: redirectTo('c'),
      b: redirectTo('c'),
      c: () => ({ status: 'accepted', versionInForce: 7 }),
    });
    const result = await calls.replace(DOCUMENT);
    assert.equal(result.status, 'accepted');
    assert.deepEqual(called, ['a', 'c']);
  });

  it('is forwarded to the next VM when one does not respond or names a leader that is gone', async () => {
    const unreachable = () => {
      throw new SpoolplankError('unreachable');
    };
    const { called, calls } = createRelay({
      a: unreachable,
      b: redirectTo('a'),
      c: () => ({ status: 'accepted', versionInForce: 7 }),
    });
    const result = await calls.replace(DOCUMENT);
    assert.equal(result.status, 'accepted');
    assert.equal(called.at(-1), 'c');
  });

  it('is forwarded at once to the leader that answered the change before', async () => {
    const { called, calls } = createRelay({
      a: redirectTo('b'),
      b: () => ({ status: 'accepted', versionInForce: 7 }),
    });
    await calls.replace(DOCUMENT);
    await calls.replace(DOCUMENT);
    assert.deepEqual(called, ['a', 'b', 'b']);
  });
});
