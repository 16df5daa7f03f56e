/** The demo: a small deployment, one streamed answer, one service call, one settings change. */
import { expectedAnswer } from '@spoolplank/fakes';
import { digestToken } from '@spoolplank/node';
import type { SettingsTree } from '@spoolplank/settings';
import { fetchAddresses, callService, chatPrompt, streamCompletion } from './caller';
import { waitUntil } from './childProcess';
import { planVms, startDeployment } from './deployment';
import type { Deployment } from './deployment';

const LAYERS = 12;
const MODEL = 'drafts';
const SERVICE = 'bookings';
const CALLER_TOKEN = 'token-of-kalahari';
const PROMPT = 'Write a collection note for the skip at the north yard gate';
const MAX_TOKENS = 40;

const TREE: SettingsTree = {
  policy: { deadlineMs: 20_000 },
  services: {
    [MODEL]: { kind: 'model', layers: LAYERS },
    [SERVICE]: { kind: 'plain', policy: { isRepeatable: false } },
  },
  organisations: {
    kalahari: {
      tokenDigests: [digestToken(CALLER_TOKEN)],
      services: { [MODEL]: {}, [SERVICE]: {} },
    },
  },
};

/** Three engines of different speeds that each hold a part of the model's layers. */
const ENGINES = [
  {
    name: 'engine-a',
    firstLayer: 0,
    lastLayer: 5,
    stepBaseMs: 4,
    acceleratorKind: 'fast',
  },
  {
    name: 'engine-b',
    firstLayer: 6,
    lastLayer: 8,
    stepBaseMs: 6,
    acceleratorKind: 'middling',
  },
  {
    name: 'engine-c',
    firstLayer: 9,
    lastLayer: 11,
    stepBaseMs: 9,
    acceleratorKind: 'slow',
  },
] as const;

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function check(holds: boolean, what: string): void {
  if (!holds) throw new Error(`the demo failed: ${what}`);
  printLine(`  ok: ${what}`);
}

async function startBackends(deployment: Deployment): Promise<void> {
  await deployment.waitUntilReady();
  await deployment.setTree(TREE);
  await Promise.all(
    ENGINES.map((engine) =>
      deployment.startEngine({
        ...engine,
        model: MODEL,
        layers: LAYERS,
        dataCentre: 'north',
      }),
    ),
  );
  await deployment.startService({ name: 'service-1', service: SERVICE, dataCentre: 'south' });
}

async function startDemoDeployment(): Promise<Deployment> {
  printLine(
    'Starting 3 control VMs and 2 entry VMs, 3 engines of different speeds, and 1 service ...',
  );
  const deployment = await startDeployment({ vms: planVms(3, 2, ['north', 'south']) });
  await startBackends(deployment).catch(async (error: unknown) => {
    await deployment.stop();
    throw error;
  });
  return deployment;
}

async function demonstrateStream(address: string): Promise<void> {
  printLine(`\nStreaming an answer through ${address}:`);
  process.stdout.write('  ');
  const answer = await streamCompletion({
    address,
    token: CALLER_TOKEN,
    model: MODEL,
    prompt: PROMPT,
    maxTokens: MAX_TOKENS,
  });
  printLine(answer.text.trim());
  const expected = expectedAnswer(chatPrompt(PROMPT), LAYERS, MAX_TOKENS);
  check(
    answer.isWhole && answer.text === expected,
    `the answer is complete and correct, all ${MAX_TOKENS} tokens through ${LAYERS} layers`,
  );
  printLine(
    `  first token after ${answer.firstTokenMs.toFixed(0)} ms, complete after ${answer.durationMs.toFixed(0)} ms`,
  );
}

async function demonstrateIdempotentCall(deployment: Deployment, address: string): Promise<void> {
  printLine(
    '\nCalling a non-repeatable service twice with the same idempotency key, through two VMs:',
  );
  const call = {
    token: CALLER_TOKEN,
    service: SERVICE,
    path: '/charge',
    headers: { 'idempotency-key': 'charge-1' },
    body: '{"amount":40}',
  };
  const first = await callService({ ...call, address });
  const other = deployment.addresses.find((candidate) => candidate !== address) ?? address;
  const second = await callService({ ...call, address: other });
  check(first.status === 200, 'the first call was answered');
  check(second.body.equals(first.body), 'the second call got the same answer');
  check(
    second.headers['spoolplank-replayed'] === 'true',
    'the second call was replayed, not executed',
  );
}

async function demonstrateSettingsChange(deployment: Deployment): Promise<void> {
  printLine('\nChanging a limit as an operator:');
  const args = [
    'config',
    'set',
    '--pointer',
    '/organisations/kalahari/policy',
    '--value',
    '{"maxInFlight":7}',
    '--wait',
  ];
  const { code, output } = await deployment.command(args);
  printLine(output.replaceAll(/^/gm, '  '));
  check(code === 0, 'the change was accepted and is in force on every VM');
  for (const { vmId } of deployment.vms) {
    const reply = await deployment.operatorGet(
      vmId,
      '/v1/config?pointer=/organisations/kalahari&effective=true',
    );
    const { maxInFlight } = (reply as { value: { maxInFlight: number } }).value;
    check(maxInFlight === 7, `${vmId} has maxInFlight ${maxInFlight}`);
  }
}

async function main(): Promise<void> {
  const deployment = await startDemoDeployment();
  try {
    const [first = ''] = deployment.addresses;
    await waitUntil('every VM knows the engines and the service', async () => {
      const answers = await Promise.all(
        deployment.vms.map(({ vmId }) => deployment.operatorGet(vmId, '/v1/status')),
      );
      return answers.every(
        (status) =>
          (status as { backendServers: readonly unknown[] }).backendServers.length ===
          ENGINES.length + 1,
      );
    });
    const { addresses, keepMs } = await fetchAddresses(first);
    printLine(`\nAddresses from ${first}, which a caller may cache for ${keepMs} ms:`);
    addresses.forEach(({ address, weight }) => printLine(`  ${address}  weight ${weight}`));
    const chosen = addresses[0]?.address ?? first;
    await demonstrateStream(chosen);
    await demonstrateIdempotentCall(deployment, chosen);
    await demonstrateSettingsChange(deployment);
    const { output } = await deployment.command(['status'], 'vm5');
    printLine(`\nspoolplank status:\n${output.replaceAll(/^/gm, '  ')}`);
    printLine('\nThe demo completed successfully.');
  } finally {
    await deployment.stop();
  }
}

main()
  .then(() => process.exit(0))
  .catch((error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(1);
  });
