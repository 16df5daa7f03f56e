/**
 * CONFIG: a deployment with three disks in one zone runs two replicas of the configuration, too few
 * for the loss of one that the settings demand. One machine loses its disk right after a change was
 * acknowledged, and the configuration can never be read or changed again.
 */
import { mkdirSync, rmSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { dirname } from 'node:path';
import { fileURLToPath, URL } from 'node:url';

const { createConfiguration, createRoute, clientHeaders, delay, runCase, send, startSite, until } =
  await import(new URL('../lib/site.mjs', import.meta.url).href);
const { signedHeaders, startWorker } = await import(
  new URL('../lib/worker.mjs', import.meta.url).href
);

const LIMIT_MS = 115_000;
/** `catch_up_s` of the settings: a new machine counts as lost before. */
const CATCH_UP_MS = 4000;
const DOWN_MS = 500;
/** `recovery_s` of the settings: service may be suspended so long after all machines are back. */
const RECOVERY_MS = 12_000;
/** `contact_ms`: the operator asks again and again at least so long. */
const CONTACT_MS = 3000;
/** How long the operator and a client go on after that, to tell a late recovery from none. */
const OBSERVE_MS = 30_000;
const PAUSE_MS = 250;
const CALM_VERSION = 7;
const LAST_VERSION = 9;

async function play({ record, isTroubled, onStop }) {
  const site = await startSite(3, record, { zones: ['hall-a'] });
  onStop(() => site.stop());
  const configuration = createConfiguration({
    routes: [createRoute('look', 'safe', 'app')],
    services: [
      { name: 'app', health_path: '/health', max_connections: 130, protocol: 'h1', tls: false },
    ],
  });
  await site.configure(configuration);
  const controls = site.machines.flatMap(({ processes, control }) =>
    processes.control ? [control] : [],
  );
  const worker = await startWorker({
    service: 'app',
    controls,
    serve(request, response, { id }) {
      request.resume();
      response.writeHead(200, { ...signedHeaders(request, id), 'Content-Length': 2 });
      response.end('ok');
    },
  });
  onStop(() => worker.stop());
  await site.untilReady();
  let looks = 0;
  async function look() {
    looks += 1;
    const { front } = site.machines[looks % site.machines.length];
    const call = { address: front, path: '/look/x', headers: clientHeaders(`look-${looks}`) };
    const answer = await send({ ...call, timeoutMs: 5000 }).catch(({ message }) => ({
      status: message,
    }));
    return answer.status;
  }
  await until('a request is served', async () => (await look()) === 200);
  await delay(2 * CATCH_UP_MS);

  /** Sends a change to the machines in turn until one acknowledges it; resolves with that one. */
  async function change(version) {
    const body = JSON.stringify({ ...configuration, version });
    for (let turn = 0; ; turn += 1) {
      const machine = site.machines.filter(({ processes }) => processes.control)[turn % 2];
      const call = { address: machine.control, path: '/config/replace', method: 'POST', body };
      const answer = await send(call).catch(() => null);
      if (answer?.status === 200) {
        record(`operator: version ${version} was acknowledged by ${machine.name}`);
        return machine;
      }
      await delay(PAUSE_MS);
    }
  }

  await change(CALM_VERSION + 1);
  const acknowledging = await change(LAST_VERSION);
  if (isTroubled) {
    record(`platform: ${acknowledging.name} loses power and its disk`);
    Object.values(acknowledging.processes).forEach((child) => child.kill('SIGKILL'));
    rmSync(acknowledging.dataFolder, { recursive: true, force: true });
    mkdirSync(acknowledging.dataFolder, { recursive: true });
    await delay(DOWN_MS);
    Object.keys(acknowledging.processes).forEach((role) => acknowledging.restart(role));
    record('platform: it is back at its address with an empty disk, bootstrap = false');
  }
  const backAtMs = performance.now();
  await delay(isTroubled ? RECOVERY_MS : CONTACT_MS);
  const reads = {};
  const served = {};
  let isRead = false;
  let isAllRight = false;
  const endsAtMs = performance.now() + CONTACT_MS + (isTroubled ? OBSERVE_MS : 0);
  for (let turn = 0; performance.now() < endsAtMs && !isAllRight; turn += 1) {
    const address = controls[turn % controls.length];
    const answer = await send({ address, path: '/config/get' }).catch(({ message }) => ({
      status: message,
    }));
    const { version } = answer.status === 200 ? JSON.parse(answer.body) : {};
    const read = version === undefined ? answer.status : `200, version ${version}`;
    reads[read] = (reads[read] ?? 0) + 1;
    isRead = isRead || version === LAST_VERSION;
    const status = await look();
    served[status] = (served[status] ?? 0) + 1;
    isAllRight = isRead && status === 200;
    await delay(PAUSE_MS);
  }
  const afterS = Math.round((performance.now() - backAtMs) / 1000);
  record(`operator: reads from ${RECOVERY_MS} ms to ${afterS} s after: ${JSON.stringify(reads)}`);
  record(`clients: requests meanwhile: ${JSON.stringify(served)}`);
  site.machines.forEach((machine) => {
    if (!machine.processes.control) return;
    const lines = machine.readLog('control').split('\n');
    const last = lines.filter((line) => /"event":"(group|quorum)-/.test(line)).at(-1);
    record(`log of control of ${machine.name}: ${last ?? 'nothing on its group'}`);
  });
  return !isRead;
}

await runCase(dirname(fileURLToPath(import.meta.url)), LIMIT_MS, play);
