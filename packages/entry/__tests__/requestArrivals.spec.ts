import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import type { BackendCall } from '../src/dispatch/backendOperations';
import { createRequestArrivals } from '../src/dispatch/requestArrivals';
import { createTestSendings } from './fixtures';

function createSetting() {
  const arrivals = createRequestArrivals(createTestSendings(createManualClock(100_000)));
  const request = { id: 'r1' } as BackendCall['request'];
  const ends: string[] = [];
  /** Sends the request to a server; a retry has a name. */
  function send(instanceId: string, retry: string | null = null) {
    const target = { instanceId, address: `${instanceId}:80` };
    const permit =
      retry === null
        ? null
        : {
            settle: () => ends.push(`${retry} settled`),
            cancel: () => ends.push(`${retry} cancelled`),
          };
    return arrivals.add({ request, target, service: 'app' } as BackendCall, permit);
  }
  return { ends, send };
}

describe('the retries of a request', () => {
  it('have arrived when all its sendings were answered', () => {
    const { ends, send } = createSetting();
    send('s1').recordAnswer();
    assert.deepEqual(ends, []);
    send('s2', 'a').recordAnswer();
    assert.deepEqual(ends, ['a settled']);
  });

  it('may still arrive while the first sending may, although they were answered', () => {
    const { ends, send } = createSetting();
    const first = send('s1');
    first.giveUp();
    send('s2', 'a').recordAnswer();
    assert.deepEqual(ends, []);
    send('s3', 'b').recordAnswer();
    assert.deepEqual(ends, ['a settled'], 'one arrival is left');
    first.cancel();
    assert.deepEqual(ends, ['a settled', 'b settled']);
  });

  it('are returned if nothing was sent, and the others are not', () => {
    const { ends, send } = createSetting();
    const first = send('s1');
    first.giveUp();
    send('s2', 'a').giveUp();
    send('s3', 'b').cancel();
    assert.deepEqual(ends, ['b cancelled']);
    first.recordAnswer();
    assert.deepEqual(ends, ['b cancelled']);
  });
});
