/** A deployment on this machine, with each VM and each fake in its own process. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import type { FakeEngineOptions, FakeServiceOptions } from '@spoolplank/fakes';
import { callHttp, callJson, digestToken } from '@spoolplank/node';
import type { Role, SettingsTree, Timings, VmAddress, VmSettings } from '@spoolplank/settings';
import type { JsonValue } from '@spoolplank/shared';
import { findFreePorts, startProcess, waitUntil } from './childProcess';
import type { ManagedProcess } from './childProcess';

export const OPERATOR_TOKEN = 'operator-token-of-this-run';
export const BACKEND_SERVER_TOKEN = 'backend-server-token-of-this-run';
export const SHARED_KEY = 'shared-key-of-this-run';

export interface VmPlan {
  readonly vmId: string;
  readonly dataCentre: string;
  readonly roles: readonly Role[];
}

export interface DeploymentOptions {
  readonly vms: readonly VmPlan[];
  readonly timings?: Partial<Timings>;
  /** Adjusts the settings of each VM before it starts. */
  readonly adjust?: (settings: VmSettings) => VmSettings;
  /** Adjusts the settings of all VMs together, for example to route peers through a proxy. */
  readonly adjustAll?: (settings: readonly VmSettings[]) => Promise<readonly VmSettings[]>;
}

export interface DeployedVm {
  readonly vmId: string;
  readonly address: VmAddress;
  readonly callerAddress: string;
  readonly settingsFile: string;
  readonly dataFolder: string;
  process: ManagedProcess;
}

export interface Deployment {
  readonly folder: string;
  readonly vms: readonly DeployedVm[];
  readonly addresses: readonly string[];
  vm(vmId: string): DeployedVm;
  /** Starts a VM again whose process has ended. */
  restart(vmId: string): void;
  startEngine(
    options: Partial<FakeEngineOptions> & { readonly name: string },
  ): Promise<RunningFake>;
  startService(
    options: Partial<FakeServiceOptions> & { readonly name: string },
  ): Promise<RunningFake>;
  /** Runs the product's command line and resolves with its exit code and output. */
  command(
    args: readonly string[],
    vmId?: string,
  ): Promise<{ readonly code: number | null; readonly output: string; readonly errors: string }>;
  operatorGet(vmId: string, path: string): Promise<JsonValue>;
  /** Fetches a response that is not JSON, such as the metrics. */
  operatorText(vmId: string, path: string): Promise<string>;
  operatorPost(
    vmId: string,
    path: string,
    json: JsonValue,
  ): Promise<{ readonly status: number; readonly json: JsonValue }>;
  /** Resolves when every running VM accepts requests. */
  waitUntilReady(): Promise<void>;
  /** Replaces the settings tree; resolves with its version when every running VM has it. */
  setTree(tree: SettingsTree): Promise<number>;
  stop(): Promise<void>;
}

export interface RunningFake {
  readonly name: string;
  readonly port: number;
  readonly process: ManagedProcess;
  get(path: string): Promise<JsonValue>;
  post(path: string, json: JsonValue): Promise<JsonValue>;
}

const PROGRAM = resolve('dist/spoolplank');
const FAKES_PROGRAM = resolve('dist/fakes.cjs');
const HOST = '127.0.0.1';

function createFake(name: string, port: number, process: ManagedProcess): RunningFake {
  const call = async (method: string, path: string, json?: JsonValue) =>
    (
      await callJson({
        endpoint: { host: HOST, port },
        method,
        path,
        json,
      })
    ).json;
  return {
    name,
    port,
    process,
    get: (path) => call('GET', path),
    post: (path, json) => call('POST', path, json),
  };
}

export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
  const folder = mkdtempSync(join(tmpdir(), 'spoolplank-'));
  const ports = await findFreePorts(options.vms.length * 2);
  const addresses = options.vms.map((plan, index): VmAddress => ({
    ...plan,
    host: HOST,
    callerPort: ports[index * 2] ?? 0,
    peerPort: ports[index * 2 + 1] ?? 0,
  }));
  const fakes: RunningFake[] = [];
  let commandCount = 0;

  function createSettings(address: VmAddress): VmSettings {
    const settings: VmSettings = {
      deployment: 'local',
      vm: address,
      sharedKey: SHARED_KEY,
      operatorTokenDigest: digestToken(OPERATOR_TOKEN),
      backendServerTokenDigest: digestToken(BACKEND_SERVER_TOKEN),
      peers: addresses.filter(({ vmId }) => vmId !== address.vmId),
      ...(address.roles.includes('control') ? { dataFolder: join(folder, address.vmId) } : {}),
      ...(options.timings ? { timings: options.timings } : {}),
    };
    return options.adjust?.(settings) ?? settings;
  }

  function startVmProcess({ vmId, roles }: VmAddress, settingsFile: string): ManagedProcess {
    const role: Role = roles.includes('control') ? 'control' : 'entry';
    return startProcess({
      command: PROGRAM,
      args: [role, '--settings', settingsFile],
      logFile: join(folder, `${vmId}.log`),
    });
  }

  const planned = addresses.map(createSettings);
  const adjusted = (await options.adjustAll?.(planned)) ?? planned;
  const vms = adjusted.map((settings): DeployedVm => {
    const address = settings.vm;
    const settingsFile = join(folder, `${address.vmId}.json`);
    writeFileSync(settingsFile, JSON.stringify(settings, null, 2));
    return {
      vmId: address.vmId,
      address,
      callerAddress: `${HOST}:${address.callerPort}`,
      settingsFile,
      dataFolder: settings.dataFolder ?? join(folder, address.vmId),
      process: startVmProcess(address, settingsFile),
    };
  });

  function vm(vmId: string): DeployedVm {
    const found = vms.find((candidate) => candidate.vmId === vmId);
    if (!found) throw new Error(`the deployment has no VM ${vmId}`);
    return found;
  }

  async function callOperator(vmId: string, method: string, path: string, json?: JsonValue) {
    return callJson({
      endpoint: { host: HOST, port: vm(vmId).address.callerPort },
      method,
      path,
      json,
      timeoutMs: 15_000,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
  }

  async function startFake(
    kind: string,
    overrides: { readonly name: string },
  ): Promise<RunningFake> {
    const text = JSON.stringify({
      addresses: vms.map(({ callerAddress }) => callerAddress),
      token: BACKEND_SERVER_TOKEN,
      ...overrides,
    });
    let port = 0;
    const started = startProcess({
      command: process.execPath,
      args: [FAKES_PROGRAM, kind, text],
      logFile: join(folder, `${overrides.name}.log`),
      onLine(line) {
        ({ port } = JSON.parse(line) as { port: number });
      },
    });
    await waitUntil(`${overrides.name} has started`, () => port > 0);
    const fake = createFake(overrides.name, port, started);
    fakes.push(fake);
    return fake;
  }

  async function isReady({ address }: DeployedVm): Promise<boolean> {
    const { status } = await callJson({
      endpoint: { host: HOST, port: address.callerPort },
      method: 'GET',
      path: '/healthz',
      timeoutMs: 1000,
    });
    return status === 200;
  }

  return {
    folder,
    vms,
    addresses: vms.map(({ callerAddress }) => callerAddress),
    vm,
    restart(vmId) {
      const found = vm(vmId);
      found.process = startVmProcess(found.address, found.settingsFile);
    },
    startEngine: (overrides) => startFake('engine', overrides),
    startService: (overrides) => startFake('service', overrides),
    async command(args, vmId) {
      commandCount += 1;
      const lines: string[] = [];
      const chosen =
        vmId === undefined
          ? vms.map(({ callerAddress }) => callerAddress).join(',')
          : vm(vmId).callerAddress;
      const tokenFile = join(folder, 'operator-token');
      writeFileSync(tokenFile, OPERATOR_TOKEN);
      const started = startProcess({
        command: PROGRAM,
        args: [...args, '--address', chosen, '--token-file', tokenFile],
        logFile: join(folder, `command-${commandCount}.log`),
        onLine: (line) => lines.push(line),
      });
      const code = await started.ended;
      return { code, output: lines.join('\n'), errors: started.readLog() };
    },
    operatorGet: async (vmId, path) => (await callOperator(vmId, 'GET', path)).json,
    async operatorText(vmId, path) {
      const answer = await callHttp({
        endpoint: { host: HOST, port: vm(vmId).address.callerPort },
        method: 'GET',
        path,
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      });
      return answer.body.toString('utf8');
    },
    operatorPost: (vmId, path, json) => callOperator(vmId, 'POST', path, json),
    async waitUntilReady() {
      for (const candidate of vms.filter(({ process: { isRunning } }) => isRunning)) {
        await waitUntil(`${candidate.vmId} takes requests`, () => isReady(candidate));
      }
    },
    async setTree(tree) {
      const [first] = vms;
      if (!first) throw new Error('the deployment has no VM');
      const { version: baseVersion } = (await callOperator(first.vmId, 'GET', '/v1/config'))
        .json as { version: number };
      const edits = [{ pointer: '', value: tree as unknown as JsonValue }];
      const { status, json } = await callOperator(first.vmId, 'POST', '/v1/config/changes', {
        baseVersion,
        edits,
      });
      const { version } = json as { version: number };
      if (status !== 200) throw new Error(`the settings tree was refused: ${JSON.stringify(json)}`);
      for (const candidate of vms.filter(({ process: { isRunning } }) => isRunning)) {
        await waitUntil(`${candidate.vmId} has version ${version}`, async () => {
          const reply = (await callOperator(candidate.vmId, 'GET', '/v1/config')).json as {
            version: number;
          };
          return reply.version >= version;
        });
      }
      return version;
    },
    async stop() {
      await Promise.all([...fakes, ...vms].map((running) => running.process.end('SIGKILL')));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Plans VMs round-robin over the data centres; the first ones also have the role control. */
export function planVms(
  controls: number,
  entries: number,
  dataCentres: readonly string[],
): readonly VmPlan[] {
  return Array.from({ length: controls + entries }, (_unused, index) => ({
    vmId: `vm${index + 1}`,
    dataCentre: dataCentres[index % dataCentres.length] ?? 'dc1',
    roles: index < controls ? (['control', 'entry'] as const) : (['entry'] as const),
  }));
}
