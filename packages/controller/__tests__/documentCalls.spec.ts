import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDocumentState } from '@spoolplank/control';
import type { StoredDocument } from '@spoolplank/control';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import { SYSTEM_CLOCK } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import { createDocumentCalls } from '../src/documentCalls';

const DOCUMENT: StoredDocument = { version: 7, data: 'x' };

/** A control VM without a replica before three with one, of which the last one named leads. */
function createRelay(answers: Readonly<Record<string, () => unknown>>) {
  const asked: string[] = [];
  const peers: PeerClient = {
    async call<Result>({ vmId }: PeerTarget): Promise<Result> {
      asked.push(vmId);
      return (await answers[vmId]?.()) as Result;
    },
    close() {},
  };
  const calls = createDocumentCalls({
    clock: SYSTEM_CLOCK,
    peers,
    host: 'relay',
    state: createDocumentState(),
    group: () => null,
    findTarget: (vmId) => ({ vmId, host: vmId, port: 1 }),
    listOthers: () => Object.keys(answers),
  });
  return { asked, calls };
}

const namesLeader = (leaderId: string) => () => {
  throw new SpoolplankError('not-leader', { leaderId });
};

describe('a change at a control VM that holds no replica', () => {
  it('goes to the VM that is said to lead', async () => {
    const { asked, calls } = createRelay({
      a: namesLeader('c'),
      b: namesLeader('c'),
      c: () => ({ status: 'accepted', versionInForce: 7 }),
    });
    const result = await calls.replace(DOCUMENT);
    assert.equal(result.status, 'accepted');
    assert.deepEqual(asked, ['a', 'c']);
  });

  it('goes to the next one when one does not answer, or the leader it named is gone', async () => {
    const unreachable = () => {
      throw new SpoolplankError('unreachable');
    };
    const { asked, calls } = createRelay({
      a: unreachable,
      b: namesLeader('a'),
      c: () => ({ status: 'accepted', versionInForce: 7 }),
    });
    const result = await calls.replace(DOCUMENT);
    assert.equal(result.status, 'accepted');
    assert.equal(asked.at(-1), 'c');
  });
});
