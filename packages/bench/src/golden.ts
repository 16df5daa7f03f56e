/** Golden sessions: complete sessions recorded as text and compared with files. */
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { digestToken } from '@spoolplank/node';
import type { SettingsTree } from '@spoolplank/settings';
import { callService, streamCompletion } from './caller';
import { waitUntil } from './childProcess';
import { planVms, startDeployment } from './deployment';
import type { Deployment, RunningFake } from './deployment';

const LAYERS = 12;
const PARTS = 3;
const COPIES = 2;
const FAULT_POSITION = 12;
const TOKEN = 'token-of-the-golden-sessions';
const FOLDER = join('packages', 'bench', '__tests__', 'golden');

/** Fault that is injected while a session runs. */
export type GoldenFault = 'none' | 'engine-killed';

interface StreamScenario {
  readonly kind: 'stream';
  readonly prompt: string;
  readonly maxTokens: number;
}

interface CallScenario {
  readonly kind: 'call';
  readonly path: string;
  readonly body: string;
  readonly key: string;
}

export type GoldenScenario = StreamScenario | CallScenario;

/** One session for each workload that the users named. */
export const GOLDEN_SCENARIOS: Readonly<Record<string, GoldenScenario>> = {
  quotation: {
    kind: 'stream',
    prompt: 'Draft a hire quotation for two 8 cubic metre skips at the mine for six weeks',
    maxTokens: 60,
  },
  'permit-summary': {
    kind: 'stream',
    prompt: 'Summarise the site permit: access by the north gate only, no lorries after six',
    maxTokens: 45,
  },
  'refund-reply': {
    kind: 'stream',
    prompt: 'Reply to the traveller who missed the shuttle and asks for a refund of the space',
    maxTokens: 50,
  },
  'barrier-confirmation': {
    kind: 'call',
    path: '/barriers/7/confirm',
    body: '{"booking":"AB12","direction":"exit"}',
    key: 'confirm-AB12-exit',
  },
};

const TREE: SettingsTree = {
  services: {
    drafts: { kind: 'model', layers: LAYERS },
    barriers: { kind: 'plain', policy: { isRepeatable: false } },
  },
  organisations: {
    consortium: { tokenDigests: [digestToken(TOKEN)], services: { drafts: {}, barriers: {} } },
  },
};

export interface GoldenEnvironment {
  readonly deployment: Deployment;
  record(name: string, fault: GoldenFault): Promise<string>;
  stop(): Promise<void>;
}

export function goldenFile(name: string): string {
  return join(FOLDER, `${name}.txt`);
}

/** Reads a recorded session; returns an empty text if there is none. */
export function readGolden(name: string): string {
  const file = goldenFile(name);
  return existsSync(file) ? readFileSync(file, 'utf8') : '';
}

async function startEngines(deployment: Deployment): Promise<RunningFake[]> {
  const size = LAYERS / PARTS;
  const plans = Array.from({ length: PARTS * COPIES }, (_unused, index) => ({
    name: `engine-${index % PARTS}-${Math.floor(index / PARTS)}`,
    model: 'drafts',
    layers: LAYERS,
    firstLayer: (index % PARTS) * size,
    lastLayer: ((index % PARTS) + 1) * size - 1,
    announceIntervalMs: 300,
  }));
  return Promise.all(plans.map((plan) => deployment.startEngine(plan)));
}

async function killBusiestEngine(engines: readonly RunningFake[]): Promise<void> {
  const partOf = ({ name }: RunningFake) => name.split('-')[1];
  const alive = engines.filter(({ process }) => process.isRunning);
  // The last engine that holds a range of layers is never killed.
  const candidates = alive.filter(
    (engine) => alive.filter((other) => partOf(other) === partOf(engine)).length > 1,
  );
  const sessions = await Promise.all(
    candidates.map(
      async (engine) => ((await engine.get('/totals')) as { sessions: number }).sessions,
    ),
  );
  candidates[sessions.indexOf(Math.max(...sessions))]?.process.signal('SIGKILL');
}

/** Records a stream as text; the session id differs between runs and is replaced. */
async function recordStream(
  address: string,
  { prompt, maxTokens }: StreamScenario,
  onToken: (position: number) => void,
): Promise<string> {
  const lines: string[] = [];
  const answer = await streamCompletion({
    address,
    token: TOKEN,
    model: 'drafts',
    prompt,
    maxTokens,
    onToken,
  });
  lines.push(`prompt: ${prompt}`, `answer:${answer.text}`);
  lines.push(
    `tokens: ${answer.tokens}`,
    `last event: ${answer.lastEventId.replace(/^[^:]*/, 'session')}`,
  );
  lines.push(`whole: ${answer.isWhole}`);
  return `${lines.join('\n')}\n`;
}

async function recordCall(
  addresses: readonly string[],
  { path, body, key }: CallScenario,
): Promise<string> {
  const call = (address: string) =>
    callService({
      address,
      token: TOKEN,
      service: 'barriers',
      path,
      body,
      headers: { 'idempotency-key': key },
    });
  const first = await call(addresses[0] ?? '');
  const again = await call(addresses[1] ?? '');
  const describe = ({ status, body: answer, headers }: typeof first) =>
    `${status} ${answer.toString('utf8')}${headers['spoolplank-replayed'] ? ' (not run again)' : ''}`;
  return `request: POST ${path} ${body}\nanswer: ${describe(first)}\nsent again: ${describe(again)}\n`;
}

/** Starts the deployment for golden sessions: 3 VMs, two engines per layer range, a service. */
export async function startGoldenEnvironment(): Promise<GoldenEnvironment> {
  const deployment = await startDeployment({ vms: planVms(1, 2, ['dc1']) });
  await deployment.waitUntilReady();
  await deployment.setTree(TREE);
  const engines = await startEngines(deployment);
  await deployment.startService({
    name: 'barrier-service',
    service: 'barriers',
    announceIntervalMs: 300,
  });
  await waitUntil('the engines are known', async () => {
    const status = (await deployment.operatorGet('vm2', '/v1/status')) as {
      backendServers: readonly unknown[];
    };
    return status.backendServers.length === engines.length + 1;
  });
  return {
    deployment,
    async record(name, fault) {
      const scenario = GOLDEN_SCENARIOS[name];
      if (!scenario) throw new Error(`unknown golden scenario ${name}`);
      if (scenario.kind === 'call') return recordCall(deployment.addresses.slice(1), scenario);
      return recordStream(deployment.addresses[1] ?? '', scenario, (position) => {
        if (fault === 'engine-killed' && position === FAULT_POSITION)
          void killBusiestEngine(engines);
      });
    },
    stop: () => deployment.stop(),
  };
}
