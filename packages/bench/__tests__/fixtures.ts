import { digestToken } from '@spoolplank/node';
import type { SettingsTree } from '@spoolplank/settings';
import { planVms, startDeployment } from '..';
import type { Deployment, DeploymentOptions, RunningFake } from '..';

export const LAYERS = 12;
export const MODEL = 'drafts';
export const SERVICE = 'bookings';
export const KALAHARI_TOKEN = 'token-of-kalahari';
export const QUEBEC_TOKEN = 'token-of-quebec';

/** Two organisations, one model, and one service whose calls are not repeatable by default. */
export function createTree(): SettingsTree {
  const services = { [MODEL]: {}, [SERVICE]: {} };
  return {
    services: {
      [MODEL]: { kind: 'model', layers: LAYERS },
      [SERVICE]: { kind: 'plain', policy: { isRepeatable: false } },
    },
    organisations: {
      kalahari: { tokenDigests: [digestToken(KALAHARI_TOKEN)], services },
      quebec: { tokenDigests: [digestToken(QUEBEC_TOKEN)], services },
    },
  };
}

/** Short timings, to keep the tests of elections fast. */
export const TEST_TIMINGS = { electionTimeoutMs: 500, heartbeatIntervalMs: 60 };

/** Starts a deployment; resolves when it accepts requests with the settings tree in force. */
export async function startReadyDeployment(
  controls: number,
  entries: number,
  options: Partial<DeploymentOptions> = {},
): Promise<Deployment> {
  const deployment = await startDeployment({
    vms: planVms(controls, entries, ['dc1']),
    timings: TEST_TIMINGS,
    ...options,
  });
  try {
    await deployment.waitUntilReady();
    await deployment.setTree(createTree());
    return deployment;
  } catch (error) {
    await deployment.stop();
    throw error;
  }
}

/** Starts engines that split the layers into three parts, with `copies` engines per part. */
export async function startEngines(
  deployment: Deployment,
  copies: number,
): Promise<readonly RunningFake[]> {
  const ranges = [
    [0, 3],
    [4, 7],
    [8, 11],
  ] as const;
  const names = ranges.flatMap(([firstLayer, lastLayer], part) =>
    Array.from({ length: copies }, (_unused, copy) => ({
      name: `engine-${part}-${copy}`,
      firstLayer,
      lastLayer,
    })),
  );
  return Promise.all(
    names.map((engine) =>
      deployment.startEngine({ ...engine, model: MODEL, layers: LAYERS, announceIntervalMs: 300 }),
    ),
  );
}
