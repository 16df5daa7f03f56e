import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Message } from '@spoolplank/consensus';
import type { PeerClient } from '@spoolplank/node';
import { createRaftTransport } from '../src/group/raftTransport';

const OVERDUE_MS = 200;

function createMessage(term: number): Message {
  return { kind: 'timeout-now', group: 'g', from: 'vm1#a', to: 'vm2#a', term };
}

describe('the transport of Raft messages', () => {
  beforeEach(() => mock.timers.enable({ apis: ['setTimeout'] }));
  afterEach(() => mock.timers.reset());

  it('does not hold messages back behind a request on a connection that fell silent', async () => {
    const sent: (readonly number[])[] = [];
    const peers = {
      call(_target: unknown, _method: string, params: { readonly messages: readonly Message[] }) {
        sent.push(params.messages.map(({ term }) => term));
        return new Promise(() => {});
      },
    } as unknown as PeerClient;
    const transport = createRaftTransport({
      peers,
      findTarget: (vmId) => ({ vmId, host: vmId, port: 1 }),
      overdueMs: OVERDUE_MS,
    });
    transport.send(createMessage(1));
    await nextTurn();
    transport.send(createMessage(2));
    transport.send(createMessage(3));
    await nextTurn();
    assert.deepEqual(sent, [[1]]);
    mock.timers.tick(OVERDUE_MS);
    assert.deepEqual(sent, [[1], [2, 3]]);
  });
});
