import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { callService, waitForBackendServers } from '..';
import type { Deployment, RunningFake } from '..';
import { KALAHARI_TOKEN, SERVICE, startReadyDeployment } from './fixtures';

const BACKOFF_S = 60;
const CALLS = 12;
/** Index of the VM that is called. */
const VM = 3;

describe('a plain service whose servers ask for a backoff', () => {
  let deployment: Deployment;
  let services: readonly RunningFake[];

  before(async () => {
    deployment = await startReadyDeployment(3, 1);
    services = await Promise.all(
      ['service-1', 'service-2'].map((name) =>
        deployment.startService({ name, service: SERVICE, announceIntervalMs: 300 }),
      ),
    );
    await waitForBackendServers(deployment, 2);
  });

  after(() => deployment.stop());

  function call(key: string) {
    return callService({
      address: deployment.addresses[VM] ?? '',
      token: KALAHARI_TOKEN,
      service: SERVICE,
      path: '/charge',
      headers: { 'idempotency-key': key },
    });
  }

  async function countRefusals(): Promise<readonly number[]> {
    const totals = await Promise.all(services.map((service) => service.get('/-/totals')));
    return totals.map((total) => (total as { readonly refusals: number }).refusals);
  }

  it('sends nothing to a server that asked for a backoff, and uses the other one', async () => {
    await services[0]?.post('/-/faults', { failure: 'before', retryAfterS: BACKOFF_S });
    for (let count = 0; count < CALLS; count += 1) {
      assert.equal((await call(`one-${count}`)).status, 200);
    }
    assert.deepEqual(await countRefusals(), [1, 0]);
  });

  it('tells callers when the first backoff ends if all servers back off', async () => {
    await services[1]?.post('/-/faults', { failure: 'before', retryAfterS: BACKOFF_S });
    await call('last');
    const answer = await call('refused');
    const retryAfterS = Number(answer.headers['retry-after']);
    assert.equal(answer.status, 503);
    assert.ok(retryAfterS > BACKOFF_S / 2 && retryAfterS <= BACKOFF_S, String(retryAfterS));
    assert.deepEqual(await countRefusals(), [1, 1]);
  });
});
