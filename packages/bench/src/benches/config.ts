/** How long an accepted change takes to be in force on every entry VM, against their number. */
import type { Vm } from '@spoolplank/cli';
import { startVm } from '@spoolplank/cli';
import { digestToken } from '@spoolplank/node';
import type { VmAddress, VmSettings } from '@spoolplank/settings';
import { findFreePorts, waitUntil } from '../childProcess';
import {
  BACKEND_SERVER_TOKEN,
  OPERATOR_TOKEN,
  planVms,
  SHARED_KEY,
  startDeployment,
} from '../deployment';
import type { Figure } from '../figures';
import { fitLine, percentile } from '../statistics';

const SIZES = [11, 50, 150] as const;
const CHANGES = 25;
const POLL_MS = 1;
const BUDGET_MS = 4000;
const NODES_AT_SIZE = 3600;

interface Reach {
  readonly entries: number;
  readonly durationsMs: readonly number[];
}

async function planEntries(count: number): Promise<readonly VmAddress[]> {
  const ports = await findFreePorts(count * 2);
  return Array.from({ length: count }, (_unused, index) => ({
    vmId: `entry${index + 1}`,
    dataCentre: `dc${(index % 5) + 1}`,
    host: '127.0.0.1',
    callerPort: ports[index * 2] ?? 0,
    peerPort: ports[index * 2 + 1] ?? 0,
    roles: ['entry'],
  }));
}

async function waitForVersion(vms: readonly Vm[], version: number): Promise<void> {
  await waitUntil(
    `version ${version} is in force`,
    () => vms.every((vm) => vm.settingsVersion() >= version),
    {
      everyMs: POLL_MS,
    },
  );
}

/** Control VMs as processes of their own; entry VMs together in this one. */
async function measureReach(count: number): Promise<Reach> {
  const entries = await planEntries(count);
  const deployment = await startDeployment({
    vms: planVms(3, 0, ['dc1']).map((plan) => ({ ...plan, roles: ['control', 'entry'] as const })),
    adjust: (settings) => ({ ...settings, peers: [...settings.peers, ...entries] }),
  });
  const vms: Vm[] = [];
  try {
    const controls = deployment.vms.map(({ address }) => address);
    for (const vm of entries) {
      const settings: VmSettings = {
        deployment: 'local',
        vm,
        sharedKey: SHARED_KEY,
        operatorTokenDigest: digestToken(OPERATOR_TOKEN),
        backendServerTokenDigest: digestToken(BACKEND_SERVER_TOKEN),
        peers: [...controls, ...entries.filter(({ vmId }) => vmId !== vm.vmId)],
        logLevel: 'error',
      };
      vms.push(await startVm(settings, () => {}));
    }
    await deployment.waitUntilTaking();
    const durationsMs: number[] = [];
    for (let version = 0; version < CHANGES; version += 1) {
      const edits = [{ pointer: '/policy/maxInFlight', value: 100 + version }];
      const { json } = await deployment.operatorPost('vm1', '/v1/config/changes', {
        baseVersion: version,
        edits,
      });
      const acceptedMs = performance.now();
      const { status } = json as { status: string };
      if (status !== 'accepted')
        throw new Error(`a change was not accepted: ${JSON.stringify(json)}`);
      await waitForVersion(vms, version + 1);
      durationsMs.push(performance.now() - acceptedMs);
    }
    return { entries: count, durationsMs };
  } finally {
    await Promise.all(vms.map((vm) => vm.stopNow()));
    await deployment.stop();
  }
}

export async function configBench(): Promise<readonly Figure[]> {
  const reaches: Reach[] = [];
  for (const size of SIZES) reaches.push(await measureReach(size));
  const points = reaches.map(({ entries, durationsMs }) => ({
    x: entries,
    y: percentile(durationsMs, 0.99),
  }));
  const { slope, intercept } = fitLine(points);
  return [
    ...reaches.flatMap(({ entries, durationsMs }): readonly Figure[] => [
      {
        metric: `in-force-p50-${entries}-entries`,
        value: percentile(durationsMs, 0.5),
        unit: 'ms',
      },
      {
        metric: `in-force-p99-${entries}-entries`,
        value: percentile(durationsMs, 0.99),
        unit: 'ms',
        bound: { atMost: BUDGET_MS },
      },
    ]),
    { metric: 'in-force-slope', value: slope, unit: 'ms/entry' },
    { metric: 'in-force-line-at-3600', value: intercept + slope * NODES_AT_SIZE, unit: 'ms' },
  ];
}
