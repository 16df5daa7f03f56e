/** Time until an accepted settings change is in force on every entry VM, by the number of VMs. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { delay, digestToken } from '@spoolplank/node';
import type { VmAddress, VmSettings } from '@spoolplank/settings';
import { findFreePorts, startProcess, waitUntil } from '../childProcess';
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
/** Pause after a change, so that all VMs wait for the next one, as at 10,000 changes a day. */
const CHANGE_INTERVAL_MS = 150;
const ENTRIES_PER_HOST = 25;
const HOST_PROGRAM = join('packages', 'bench', 'src', 'benches', 'entryHost.ts');
const MAX_PROPAGATION_MS = 4000;
const TARGET_ENTRIES = 3600;

interface Propagation {
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

/** Entry VMs in child processes, several per process. */
interface EntryHosts {
  waitForVersion(version: number): Promise<void>;
  stop(): Promise<void>;
}

function startEntryHosts(folder: string, settings: readonly VmSettings[]): EntryHosts {
  const count = Math.ceil(settings.length / ENTRIES_PER_HOST);
  const versions = new Array<number>(count).fill(0);
  const hosts = versions.map((_version, host) => {
    const file = join(folder, `host-${host}.json`);
    const hostSettings = settings.filter((_one, index) => index % count === host);
    writeFileSync(file, JSON.stringify(hostSettings));
    return startProcess({
      command: process.execPath,
      args: ['--import', 'tsx', HOST_PROGRAM, file],
      logFile: join(folder, `host-${host}.log`),
      onLine(line) {
        versions[host] = Number(line);
      },
    });
  });
  return {
    waitForVersion: (version) =>
      waitUntil(`version ${version} is in force`, () => versions.every((one) => one >= version), {
        intervalMs: POLL_MS,
        withinMs: 60_000,
      }),
    async stop() {
      await Promise.all(hosts.map((host) => host.end('SIGKILL')));
    },
  };
}

/** Measures with control VMs and hosts of entry VMs in separate processes. */
async function measurePropagation(count: number): Promise<Propagation> {
  const entries = await planEntries(count);
  const deployment = await startDeployment({
    vms: planVms(3, 0, ['dc1']),
    adjust: (settings) => ({ ...settings, peers: [...settings.peers, ...entries] }),
  });
  const controls = deployment.vms.map(({ address }) => address);
  const settings = entries.map((vm): VmSettings => ({
    deployment: 'local',
    vm,
    sharedKey: SHARED_KEY,
    operatorTokenDigest: digestToken(OPERATOR_TOKEN),
    backendServerTokenDigest: digestToken(BACKEND_SERVER_TOKEN),
    peers: [...controls, ...entries.filter(({ vmId }) => vmId !== vm.vmId)],
    logLevel: 'error',
  }));
  const hosts = startEntryHosts(deployment.folder, settings);
  try {
    await deployment.waitUntilReady();
    const durationsMs: number[] = [];
    for (let version = 0; version <= CHANGES; version += 1) {
      const edits = [{ pointer: '/policy/maxInFlight', value: 100 + version }];
      const change = { baseVersion: version, edits };
      const { json } = await deployment.operatorPost('vm1', '/v1/config/changes', change);
      const acceptedMs = performance.now();
      const { status } = json as { status: string };
      if (status !== 'accepted') throw new Error(`change not accepted: ${JSON.stringify(json)}`);
      await hosts.waitForVersion(version + 1);
      // The first change is not measured, because it includes the start of the entry VMs.
      if (version > 0) durationsMs.push(performance.now() - acceptedMs);
      await delay(CHANGE_INTERVAL_MS);
    }
    return { entries: count, durationsMs };
  } finally {
    await hosts.stop();
    await deployment.stop();
  }
}

export async function configBench(): Promise<readonly Figure[]> {
  const propagations: Propagation[] = [];
  for (const size of SIZES) propagations.push(await measurePropagation(size));
  const points = propagations.map(({ entries, durationsMs }) => ({
    x: entries,
    y: percentile(durationsMs, 0.99),
  }));
  const { slope, intercept } = fitLine(points);
  return [
    ...propagations.flatMap(({ entries, durationsMs }): readonly Figure[] => [
      {
        metric: `in-force-p50-${entries}-entries`,
        value: percentile(durationsMs, 0.5),
        unit: 'ms',
      },
      {
        metric: `in-force-p99-${entries}-entries`,
        value: percentile(durationsMs, 0.99),
        unit: 'ms',
        bound: { atMost: MAX_PROPAGATION_MS },
      },
    ]),
    { metric: 'in-force-slope', value: slope, unit: 'ms/entry' },
    { metric: 'in-force-line-at-3600', value: intercept + slope * TARGET_ENTRIES, unit: 'ms' },
  ];
}
