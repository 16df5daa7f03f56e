/** The process of one VM: starts and stops its roles and its servers. */
import type { Server } from 'node:http';
import { closeServer, listenForPeers } from '@spoolplank/node';
import type { PeerMethod } from '@spoolplank/node';
import type { VmSettings } from '@spoolplank/settings';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { createControlRole } from '@spoolplank/controller';
import type { ControlRole } from '@spoolplank/controller';
import { createEntryRole } from '@spoolplank/entry';
import { createVmContext } from '@spoolplank/vm';

export interface Vm {
  /** Version of the settings in force on this VM. */
  settingsVersion(): number;
  /** Shuts down gracefully: waits until all requests have ended, then stops the VM. */
  shutDown(): Promise<void>;
  /** Stops at once; resolves with the number of requests that were aborted. */
  stopNow(): Promise<number>;
}

const GAUGE_PREFIX = 'spoolplank';
const US_PER_S = 1_000_000;

/**
 * Starts a VM.
 *
 * @throws SpoolplankError `storage-damaged` when a file in its data folder is damaged.
 */
export async function startVm(
  settings: VmSettings,
  onFatal: (error: SpoolplankError) => void,
): Promise<Vm> {
  const context = createVmContext(settings);
  const { vm, dataFolder, deployment, sharedKey } = settings;
  const { logger, metrics } = context;
  let control: ControlRole | undefined;
  if (vm.roles.includes('control')) {
    if (dataFolder === undefined)
      throw new SpoolplankError('invalid-settings', { detail: '/dataFolder is missing.' });
    control = await createControlRole({ context, dataFolder, onFatal });
  }
  const describeControl = (): JsonValue => control?.describe() ?? null;
  const entry = createEntryRole({
    context,
    controlMethods: control?.methods ?? {},
    describeControl,
    recovery: control ?? null,
  });
  const methods: Readonly<Record<string, PeerMethod>> = { ...control?.methods, ...entry.methods };

  metrics.gauge(`${GAUGE_PREFIX}_resident_bytes`, () => process.memoryUsage.rss());
  metrics.gauge(`${GAUGE_PREFIX}_processor_seconds`, () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_S;
  });

  const peerServer: Server = await listenForPeers({
    deployment,
    sharedKey,
    vmId: vm.vmId,
    host: vm.host,
    port: vm.peerPort,
    methods,
    onRefused: (reason) => metrics.count('spoolplank_peer_refusals_total', { reason }),
    onTraffic(receivedBytes, sentBytes) {
      metrics.count('spoolplank_control_received_bytes_total', {}, receivedBytes);
      metrics.count('spoolplank_control_sent_bytes_total', {}, sentBytes);
    },
  });
  await entry.start();
  logger.info('vm-started', {
    roles: vm.roles.join(','),
    callerPort: vm.callerPort,
    peerPort: vm.peerPort,
  });
  // Joining the control group may take long. It is not awaited, so that the VM answers requests.
  control?.start().catch((error: unknown) => onFatal(error as SpoolplankError));

  async function stopNow(): Promise<number> {
    const cutRequestCount = await entry.stop();
    await control?.stop();
    await closeServer(peerServer, true);
    context.peers.close();
    logger.info('vm-stopped', { cutRequests: cutRequestCount });
    return cutRequestCount;
  }

  return {
    settingsVersion: () => entry.settingsVersion(),
    async shutDown() {
      logger.info('vm-shutting-down');
      await entry.drain();
      await stopNow();
    },
    stopNow,
  };
}
