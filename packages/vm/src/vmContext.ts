/** The dependencies that all components of a VM process share. */
import { randomUUID } from 'node:crypto';
import { createMetrics, createPeerClient, SYSTEM_CLOCK } from '@spoolplank/node';
import type { Metrics, PeerClient, PeerTarget } from '@spoolplank/node';
import { DEFAULT_TIMINGS } from '@spoolplank/settings';
import type { Role, Timings, VmAddress, VmSettings } from '@spoolplank/settings';
import { createSeededRandom } from '@spoolplank/shared';
import type { Clock, Random } from '@spoolplank/shared';
import { createVmLogger } from './logger';
import type { VmLogger } from './logger';

export interface VmContext {
  readonly settings: VmSettings;
  readonly timings: Timings;
  /** Id of the process, different after each start. */
  readonly instance: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: VmLogger;
  readonly metrics: Metrics;
  readonly peers: PeerClient;
}

export function createVmContext(settings: VmSettings): VmContext {
  const { deployment, sharedKey, vm } = settings;
  const timings = { ...DEFAULT_TIMINGS, ...settings.timings };
  const instance = randomUUID();
  const metrics = createMetrics();
  return {
    settings,
    timings,
    instance,
    clock: SYSTEM_CLOCK,
    random: createSeededRandom(Number.parseInt(instance.slice(0, 8), 16)),
    logger: createVmLogger({ vmId: vm.vmId, level: settings.logLevel }),
    metrics,
    peers: createPeerClient({
      deployment,
      sharedKey,
      vmId: vm.vmId,
      timeoutMs: timings.peerTimeoutMs,
      onTraffic(receivedBytes, sentBytes) {
        metrics.count('spoolplank_control_received_bytes_total', {}, receivedBytes);
        metrics.count('spoolplank_control_sent_bytes_total', {}, sentBytes);
      },
    }),
  };
}

/** Returns the address at which other VMs reach a VM. */
export function toPeerTarget({ vmId, host, peerPort }: VmAddress): PeerTarget {
  return { vmId, host, port: peerPort };
}

/** Returns the address at which callers reach a VM, as host:port. */
export function toCallerAddress({ host, callerPort }: VmAddress): string {
  return `${host}:${callerPort}`;
}

/** Returns the VMs of the deployment that have a role, including this one. */
export function listVmsWithRole({ vm, peers }: VmSettings, role: Role): readonly VmAddress[] {
  return [vm, ...peers].filter(({ roles }) => roles.includes(role));
}
