import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { delay } from '@spoolplank/node';
import { callService, waitForBackendServers, waitUntil } from '..';
import type { Deployment, RunningFake } from '..';
import { KALAHARI_TOKEN, SERVICE, startReadyDeployment } from './fixtures';

interface Answer {
  readonly status: number;
  readonly code?: string;
  readonly outcome?: string;
  readonly served?: string;
}

/** Refusals that are temporary, for example under load; each has a `retryAfterMs`. */
const TEMPORARY_CODES = new Set(['claims-unavailable', 'settings-stale']);

describe('requests that must not run twice', () => {
  let deployment: Deployment;
  let services: readonly RunningFake[];

  before(async () => {
    deployment = await startReadyDeployment(3, 2);
    services = await Promise.all(
      ['service-1', 'service-2'].map((name) =>
        deployment.startService({ name, service: SERVICE, announceIntervalMs: 300 }),
      ),
    );
    await waitForBackendServers(deployment, 2);
  });

  after(() => deployment.stop());

  async function executions(key: string): Promise<number> {
    const counts = await Promise.all(services.map((service) => service.get('/-/executions')));
    return counts.reduce<number>(
      (sum, one) => sum + ((one as Readonly<Record<string, number>>)[key] ?? 0),
      0,
    );
  }

  function setFaults(faults: object): Promise<unknown> {
    return Promise.all(services.map((service) => service.post('/-/faults', faults as never)));
  }

  async function call(
    key: string,
    vm = 3,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Answer> {
    const answer = await callService({
      address: deployment.addresses[vm] ?? '',
      token: KALAHARI_TOKEN,
      service: SERVICE,
      path: '/charge',
      headers: { 'idempotency-key': key, ...headers },
    });
    const body = JSON.parse(answer.body.toString('utf8')) as {
      served?: string;
      error?: { code: string; outcome: string };
    };
    return { status: answer.status, served: body.served, ...body.error };
  }

  it('run once when they are sent through two entry VMs at once', async () => {
    await setFaults({ durationMs: 100, failure: 'none' });
    const answers = await Promise.all([
      call('twice', 3),
      call('twice', 4),
      call('twice', 3),
      call('twice', 4),
    ]);
    answers
      .filter(({ status }) => status !== 200)
      .forEach(({ code, outcome }) =>
        assert.deepEqual([code, outcome], ['already-running', 'unknown']),
      );
    assert.equal(await executions('twice'), 1);
    const later = await call('twice', 4);
    assert.equal(later.status, 200);
    assert.equal(await executions('twice'), 1);
  });

  it('are run elsewhere when a backend server says that it did not run them', async () => {
    await setFaults({ durationMs: 5, failure: 'none' });
    await services[0]?.post('/-/faults', { failure: 'before' });
    for (let index = 0; index < 6; index += 1) {
      const { status, served } = await call(`refused-${index}`);
      assert.deepEqual([status, served], [200, 'service-2']);
      assert.equal(await executions(`refused-${index}`), 1);
    }
  });

  it('are answered as not run when every backend server refused them, and can be sent again', async () => {
    await setFaults({ failure: 'before' });
    const refused = await call('later');
    assert.deepEqual([refused.status, refused.outcome], [503, 'not-run']);
    assert.equal(await executions('later'), 0);
    await setFaults({ failure: 'none' });
    await waitUntil('the key can be used again', async () => (await call('later')).status === 200);
    assert.equal(await executions('later'), 1);
  });

  for (const failure of ['during', 'after']) {
    it(`are not run again when the backend server dies ${failure} the work, and say so each time`, async () => {
      await setFaults({ failure, durationMs: 5 });
      const key = `dies-${failure}`;
      const first = await call(key);
      assert.deepEqual([first.status, first.outcome], [502, 'unknown']);
      await setFaults({ failure: 'none' });
      const second = await call(key, 4);
      assert.deepEqual([second.code, second.outcome], ['outcome-unknown', 'unknown']);
      assert.equal(await executions(key), 1);
    });
  }

  it('are run again after such a failure when they are marked as repeatable', async () => {
    await setFaults({ failure: 'during', remaining: 1 });
    const answer = await call('repeatable', 3, { 'spoolplank-repeatable': 'true' });
    assert.equal(answer.status, 200);
    await setFaults({ failure: 'none', remaining: 1e9 });
  });

  it('are rejected when their key was used for another request', async () => {
    await call('mine');
    const answer = await callService({
      address: deployment.addresses[4] ?? '',
      token: KALAHARI_TOKEN,
      service: SERVICE,
      path: '/other',
      headers: { 'idempotency-key': 'mine' },
    });
    assert.equal(answer.status, 422);
  });

  it('are rejected when their key is older than the retention of keys', async () => {
    const { code, outcome } = await call('01000000-0000-7000-8000-000000000000');
    assert.deepEqual([code, outcome], ['key-expired', 'not-run']);
  });

  it('are refused as not run while no claim can be made, and nothing is sent', async () => {
    const controls = ['vm1', 'vm2', 'vm3'];
    controls.forEach((vmId) => deployment.vm(vmId).process.signal('SIGSTOP'));
    const { status, outcome } = await call('no-quorum');
    assert.deepEqual([status, outcome], [503, 'not-run']);
    assert.equal(await executions('no-quorum'), 0);
    controls.forEach((vmId) => deployment.vm(vmId).process.signal('SIGCONT'));
    await waitUntil(
      'the key is free again, in case it had been claimed',
      async () => (await call('no-quorum', 4)).status === 200,
    );
    assert.equal(await executions('no-quorum'), 1);
  });

  it('are never run by another entry VM after theirs crashed during the call', async () => {
    await setFaults({ durationMs: 700, failure: 'none' });
    const pending = call('entry-dies', 4).catch(() => null);
    await waitUntil('the service runs it', async () => (await executions('entry-dies')) === 1);
    await deployment.vm('vm5').process.end('SIGKILL');
    await pending;
    // A VM that cannot decide a claim answers with a temporary refusal, but never says that the
    // request may run again.
    let answer = await call('entry-dies', 3);
    for (let tries = 0; tries < 50 && TEMPORARY_CODES.has(answer.code ?? ''); tries += 1) {
      await delay(100);
      answer = await call('entry-dies', 3);
    }
    assert.equal(answer.outcome, 'unknown', JSON.stringify(answer));
    assert.equal(await executions('entry-dies'), 1);
  });
});

describe('leaving', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await startReadyDeployment(1, 2);
  });

  after(() => deployment.stop());

  it('of a backend server stops new requests to it, and loses none', async () => {
    const leaving = await deployment.startService({
      name: 'leaving',
      service: SERVICE,
      announceIntervalMs: 300,
      durationMs: 20,
    });
    await deployment.startService({
      name: 'staying',
      service: SERVICE,
      announceIntervalMs: 300,
      durationMs: 20,
    });
    await waitForBackendServers(deployment, 2);
    const call = async (key: string) =>
      (
        await callService({
          address: deployment.addresses[1] ?? '',
          token: KALAHARI_TOKEN,
          service: SERVICE,
          headers: { 'idempotency-key': key },
        })
      ).status;
    const during = Promise.all(
      Array.from({ length: 20 }, (_unused, index) => call(`during-${index}`)),
    );
    await leaving.process.end('SIGTERM');
    assert.ok((await during).every((status) => status === 200 || status === 502));
    await waitForBackendServers(deployment, 1);
    const later = await Promise.all(
      Array.from({ length: 20 }, (_unused, index) => call(`after-${index}`)),
    );
    assert.ok(later.every((status) => status === 200));
  });

  it('of an entry VM interrupts no request, and refuses new ones as not run', async () => {
    const service = await deployment.startService({
      name: 'slow',
      service: SERVICE,
      announceIntervalMs: 300,
      durationMs: 1500,
    });
    await waitForBackendServers(deployment, 2);
    const address = deployment.addresses[2] ?? '';
    const call = (key: string) =>
      callService({
        address,
        token: KALAHARI_TOKEN,
        service: SERVICE,
        headers: { 'idempotency-key': key },
      });
    const running = Array.from({ length: 6 }, (_unused, index) => call(`running-${index}`));
    await waitUntil(
      'a slow call is running',
      async () => Object.keys((await service.get('/-/executions')) as object).length > 0,
    );
    const { process } = deployment.vm('vm3');
    process.signal('SIGTERM');
    // Probes are sent without waiting for the previous one: an accepted probe can run for longer
    // than the VM, which would end before the next probe could be refused.
    const probes: Promise<void>[] = [];
    let refusal: { outcome: string; addresses: readonly string[] } | undefined;
    await waitUntil('new requests are refused', () => {
      const probe = call(`new-${probes.length}`).then(({ body }) => {
        const { error } = JSON.parse(body.toString('utf8')) as {
          error?: { code: string; outcome: string; addresses: readonly string[] };
        };
        if (error?.code === 'shutting-down' && error.addresses.length === 2) refusal ??= error;
      });
      probes.push(probe.catch(() => {}));
      return Promise.resolve(refusal !== undefined);
    });
    assert.equal(refusal?.outcome, 'not-run');
    await Promise.all(probes);
    const answers = await Promise.all(running);
    assert.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
    assert.equal(await process.ended, 0);
  });
});
