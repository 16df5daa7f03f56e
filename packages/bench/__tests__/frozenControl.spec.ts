import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { delay } from '@spoolplank/node';
import { callService, findLeader, waitForBackendServers } from '..';
import type { Deployment, RunningFake } from '..';
import { KALAHARI_TOKEN, SERVICE, startReadyDeployment } from './fixtures';

const SERVICES = 2;
const INTERVAL_MS = 100;
const FROZEN_MS = 5000;
const ENTRY_VMS: readonly number[] = [3, 4, 3, 4];

interface ServiceAnswer {
  readonly error?: { readonly code: string; readonly outcome: string };
}

/** Guards against refusals with `settings-stale` while most control VMs answer. */
describe('requests while a control VM is frozen', () => {
  let deployment: Deployment;
  let services: readonly RunningFake[];

  before(async () => {
    deployment = await startReadyDeployment(3, 2);
    services = await Promise.all(
      Array.from({ length: SERVICES }, (_, index) =>
        deployment.startService({
          name: `service-${index}`,
          service: SERVICE,
          announceIntervalMs: 300,
        }),
      ),
    );
    await waitForBackendServers(deployment, SERVICES);
  });

  after(() => deployment.stop());

  async function call(key: string, vm: number): Promise<string> {
    const answer = await callService({
      address: deployment.addresses[vm] ?? '',
      token: KALAHARI_TOKEN,
      service: SERVICE,
      path: '/charge',
      headers: { 'idempotency-key': key },
    });
    const { error } = JSON.parse(answer.body.toString('utf8')) as ServiceAnswer;
    return error?.code ?? String(answer.status);
  }

  async function countRuns(key: string): Promise<number> {
    const counts = await Promise.all(services.map((service) => service.get('/-/executions')));
    return counts.reduce<number>(
      (sum, one) => sum + ((one as Readonly<Record<string, number>>)[key] ?? 0),
      0,
    );
  }

  it('are refused by no entry VM for want of confirmed settings, and each key runs once', async () => {
    const leader = await findLeader(deployment);
    deployment.vm(leader).process.signal('SIGSTOP');
    const codes = new Map<string, readonly string[]>();
    const calls: Promise<unknown>[] = [];
    for (let passedMs = 0; passedMs < FROZEN_MS; passedMs += INTERVAL_MS) {
      const key = `frozen-${passedMs}`;
      const sent = Promise.all(ENTRY_VMS.map((vm) => call(key, vm)));
      calls.push(sent.then((answers) => codes.set(key, answers)));
      await delay(INTERVAL_MS);
    }
    await Promise.all(calls);
    deployment.vm(leader).process.signal('SIGCONT');
    const stale = [...codes].filter(([, answers]) => answers.includes('settings-stale'));
    assert.deepEqual(stale, []);
    const runs = await Promise.all([...codes.keys()].map(countRuns));
    assert.ok(
      runs.every((count) => count <= 1),
      `a key ran ${Math.max(...runs)} times`,
    );
  });
});
