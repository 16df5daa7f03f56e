/** Reads the state of a deployment and waits for expected states. */
import { waitUntil } from './childProcess';
import type { Deployment } from './deployment';

/** The control part of a VM's dump. */
export interface ControlDump {
  readonly settingsVersion: number;
  readonly replica: {
    readonly id: string;
    readonly role: string;
    readonly isLeaseValid: boolean;
    readonly configuration: { readonly voters: readonly string[] };
  } | null;
}

/** Fetches the control part of a VM's dump; null if the VM does not have the control role. */
export async function dumpControl(
  deployment: Deployment,
  vmId: string,
): Promise<ControlDump | null> {
  const dump = (await deployment.operatorGet(vmId, '/v1/dump')) as unknown as {
    readonly control: ControlDump | null;
  };
  return dump.control;
}

/** Waits for a control VM that reports itself as the leader with a valid lease. */
export async function findLeader(deployment: Deployment): Promise<string> {
  let leader = '';
  await waitUntil('there is a leader', async () => {
    for (const { vmId, process } of deployment.vms) {
      const control = process.isRunning
        ? await dumpControl(deployment, vmId).catch(() => null)
        : null;
      if (control?.replica?.role === 'leader' && control.replica.isLeaseValid) leader = vmId;
    }
    return leader !== '';
  });
  return leader;
}

/** Resolves when every running VM lists exactly `count` ready backend servers. */
export async function waitForBackendServers(deployment: Deployment, count: number): Promise<void> {
  const seesAll = async (vmId: string) => {
    const status = (await deployment.operatorGet(vmId, '/v1/status')) as {
      backendServers: readonly { state: string }[];
    };
    return status.backendServers.filter(({ state }) => state === 'ready').length === count;
  };
  const running = deployment.vms.filter(({ process }) => process.isRunning);
  await Promise.all(
    running.map(({ vmId }) =>
      waitUntil(`${vmId} knows ${count} backend servers`, () => seesAll(vmId)),
    ),
  );
}
