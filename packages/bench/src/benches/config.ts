/** How long an accepted change takes to be in force on every entry VM, against their number. */
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
/** So that each change finds the VMs waiting, as at 10,000 a day. */
const PAUSE_MS = 150;
const ENTRIES_PER_HOST = 25;
const HOST_PROGRAM = join('packages', 'bench', 'src', 'benches', 'entryHost.ts');
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

/** Entry VMs in processes of their own, several in each; resolves when all have a version. */
interface EntryHosts {
  waitForVersion(version: number): Promise<void>;
  stop(): Promise<void>;
}

function startHosts(folder: string, settings: readonly VmSettings[]): EntryHosts {
  const count = Math.ceil(settings.length / ENTRIES_PER_HOST);
  const reached = new Array<number>(count).fill(0);
  const hosts = reached.map((_version, host) => {
    const file = join(folder, `host-${host}.json`);
    const own = settings.filter((_one, index) => index % count === host);
    writeFileSync(file, JSON.stringify(own));
    return startProcess({
      command: process.execPath,
      args: ['--import', 'tsx', HOST_PROGRAM, file],
      logFile: join(folder, `host-${host}.log`),
      onLine(line) {
        reached[host] = Number(line);
      },
    });
  });
  return {
    waitForVersion: (version) =>
      waitUntil(`version ${version} is in force`, () => reached.every((one) => one >= version), {
        everyMs: POLL_MS,
        withinMs: 60_000,
      }),
    async stop() {
      await Promise.all(hosts.map((host) => host.end('SIGKILL')));
    },
  };
}

/** Control VMs and hosts of entry VMs, all as processes of their own. */
async function measureReach(count: number): Promise<Reach> {
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
  const hosts = startHosts(deployment.folder, settings);
  try {
    await deployment.waitUntilReady();
    const durationsMs: number[] = [];
    for (let version = 0; version <= CHANGES; version += 1) {
      const edits = [{ pointer: '/policy/maxInFlight', value: 100 + version }];
      const change = { baseVersion: version, edits };
      const { json } = await deployment.operatorPost('vm1', '/v1/config/changes', change);
      const acceptedMs = performance.now();
      const { status } = json as { status: string };
      if (status !== 'accepted') throw new Error(`not accepted: ${JSON.stringify(json)}`);
      await hosts.waitForVersion(version + 1);
      // The first change waits for the entry VMs to start.
      if (version > 0) durationsMs.push(performance.now() - acceptedMs);
      await delay(PAUSE_MS);
    }
    return { entries: count, durationsMs };
  } finally {
    await hosts.stop();
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
