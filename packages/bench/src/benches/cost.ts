/** Cost of the control plane for each VM, idle and at 10,000 settings changes a day. */
import { delay } from '@spoolplank/node';
import type { Deployment } from '../deployment';
import type { Figure } from '../figures';
import { mean } from '../statistics';
import { waitForBackendServers } from '../observe';
import { readMetric, withDeployment } from './benchDeployment';

const CONTROLS = 3;
const ENTRIES = 8;
const MEASURE_MS = 10_000;
const MS_PER_S = 1000;
/** 10,000 changes a day are one every 8.64 s. */
const CHANGE_INTERVAL_MS = 8640;
const BACKEND_SERVERS = 12;

interface Cost {
  readonly cpuShare: number;
  readonly bytesPerS: number;
  readonly residentBytes: number;
}

interface Sample {
  readonly cpuS: number;
  readonly bytes: number;
  readonly atMs: number;
}

async function sample(deployment: Deployment, vmId: string): Promise<Sample> {
  const cpuS = await readMetric(deployment, vmId, 'spoolplank_processor_seconds');
  const received = await readMetric(deployment, vmId, 'spoolplank_control_received_bytes_total');
  const sent = await readMetric(deployment, vmId, 'spoolplank_control_sent_bytes_total');
  return { cpuS, bytes: received + sent, atMs: performance.now() };
}

async function measureCosts(
  deployment: Deployment,
  run: () => Promise<void>,
): Promise<ReadonlyMap<string, Cost>> {
  const vmIds = deployment.vms.map(({ vmId }) => vmId);
  const before = await Promise.all(vmIds.map((vmId) => sample(deployment, vmId)));
  await run();
  const after = await Promise.all(vmIds.map((vmId) => sample(deployment, vmId)));
  const costs = new Map<string, Cost>();
  for (const [index, vmId] of vmIds.entries()) {
    const [from, to] = [before[index], after[index]];
    if (from && to) {
      const seconds = (to.atMs - from.atMs) / MS_PER_S;
      costs.set(vmId, {
        cpuShare: (to.cpuS - from.cpuS) / seconds,
        bytesPerS: (to.bytes - from.bytes) / seconds,
        residentBytes: await readMetric(deployment, vmId, 'spoolplank_resident_bytes'),
      });
    }
  }
  return costs;
}

function toFigures(name: string, costs: readonly Cost[]): readonly Figure[] {
  return [
    {
      metric: `${name}-cpu`,
      value: mean(costs.map(({ cpuShare }) => cpuShare)) * 100,
      unit: '% of a core',
    },
    {
      metric: `${name}-traffic`,
      value: mean(costs.map(({ bytesPerS }) => bytesPerS)) / 1000,
      unit: 'KB/s',
    },
    {
      metric: `${name}-resident`,
      value: mean(costs.map(({ residentBytes }) => residentBytes)) / 1e6,
      unit: 'MB',
      bound: { atMost: 130 },
    },
  ];
}

export function costBench(): Promise<readonly Figure[]> {
  return withDeployment(CONTROLS, ENTRIES, async (deployment) => {
    for (let index = 0; index < BACKEND_SERVERS; index += 1) {
      await deployment.startService({ name: `service-${index}`, service: 'bookings' });
    }
    await waitForBackendServers(deployment, BACKEND_SERVERS);
    const idle = await measureCosts(deployment, () => delay(MEASURE_MS));
    const busy = await measureCosts(deployment, async () => {
      const { version } = (await deployment.operatorGet('vm1', '/v1/config')) as {
        version: number;
      };
      for (let change = 0; change * CHANGE_INTERVAL_MS < MEASURE_MS; change += 1) {
        const edits = [{ pointer: '/policy/maxRetries', value: change }];
        await deployment.operatorPost('vm1', '/v1/config/changes', {
          baseVersion: version + change,
          edits,
        });
        await delay(CHANGE_INTERVAL_MS);
      }
    });
    const selectCosts = (costs: ReadonlyMap<string, Cost>, isControl: boolean) =>
      [...costs]
        .filter(([vmId]) => isControl === Number(vmId.slice(2)) <= CONTROLS)
        .map(([, cost]) => cost);
    return [
      ...toFigures('entry-idle', selectCosts(idle, false)),
      ...toFigures('entry-changes', selectCosts(busy, false)),
      ...toFigures('control-idle', selectCosts(idle, true)),
      ...toFigures('control-changes', selectCosts(busy, true)),
    ];
  });
}
