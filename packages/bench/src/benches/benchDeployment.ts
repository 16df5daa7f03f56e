/** The deployment that the benchmarks share: its settings, its engines and its metrics. */
import type { FakeEngineOptions } from '@spoolplank/fakes';
import { digestToken } from '@spoolplank/node';
import type { SettingsTree } from '@spoolplank/settings';
import { planVms, startDeployment } from '../deployment';
import type { Deployment, DeploymentOptions } from '../deployment';

export const BENCH_MODEL = 'drafts';
export const BENCH_SERVICE = 'bookings';
export const BENCH_LAYERS = 12;
export const BENCH_TOKEN = 'token-of-the-bench';

const TREE: SettingsTree = {
  policy: { maxInFlight: 5000, maxQueueLength: 5000 },
  services: {
    [BENCH_MODEL]: { kind: 'model', layers: BENCH_LAYERS },
    [BENCH_SERVICE]: { kind: 'plain' },
  },
  organisations: {
    bench: {
      tokenDigests: [digestToken(BENCH_TOKEN)],
      services: { [BENCH_MODEL]: {}, [BENCH_SERVICE]: {} },
    },
  },
};

/** Runs a function with a deployment that accepts requests, and stops the deployment afterwards. */
export async function withDeployment<Result>(
  controls: number,
  entries: number,
  run: (deployment: Deployment) => Promise<Result>,
  options: Partial<DeploymentOptions> = {},
): Promise<Result> {
  const deployment = await startDeployment({
    vms: planVms(controls, entries, ['dc1']),
    ...options,
  });
  try {
    await deployment.waitUntilReady();
    await deployment.setTree(TREE);
    return await run(deployment);
  } finally {
    await deployment.stop();
  }
}

/** Plans engines that split the model's layers into equal parts, with `copies` engines per part. */
export function planEngines(
  parts: number,
  copies: number,
  options: Partial<FakeEngineOptions> = {},
): readonly (Partial<FakeEngineOptions> & { readonly name: string })[] {
  const size = BENCH_LAYERS / parts;
  return Array.from({ length: parts * copies }, (_unused, index) => {
    const part = index % parts;
    return {
      name: `engine-${part}-${Math.floor(index / parts)}`,
      model: BENCH_MODEL,
      layers: BENCH_LAYERS,
      firstLayer: part * size,
      lastLayer: (part + 1) * size - 1,
      ...options,
    };
  });
}

/** Reads a metric of a VM; 0 if the VM does not export it. */
export async function readMetric(
  deployment: Deployment,
  vmId: string,
  name: string,
): Promise<number> {
  const text = await deployment.operatorText(vmId, '/metrics');
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
  return Number(line?.split(' ')[1] ?? 0);
}
