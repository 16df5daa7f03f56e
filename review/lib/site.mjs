/**
 * Stand-ins of the users' platform for the review: machines that run the project's own programs
 * with the commands of the deploy file, an operator, and the records of a case.
 */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { request as startRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export const HEARTBEAT_MS = 1200;
export const HOST = 'review.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';
export const GRACE_S = 8;
export const MEMORY_MB = 350;
/** Zones of the machines, in turn; workers are in the first one. */
export const ZONES = ['hall-a', 'hall-b', 'hall-c'];

const PORTS = { front: 8227, readiness: 8220, control: 8229, directory: 8224 };
const PORT_RANGE = [7340, 7355];
const MAX_SEEDS = 3;
const ALL_PORTS = [...Object.values(PORTS), 7340, 7341];

/** The bounds of the first site of the users' pages. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: GRACE_S,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  unsettled_grace_ms: 5000,
  strict_revoke: true,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 206,
  recovery_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  stall_ms: 2000,
  fencing_enabled: false,
  ttl_max_s: 5,
};

export const delay = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Opens `record.txt` of a case; each line has the time since the start in milliseconds. */
export function openRecord(folder) {
  const file = join(folder, 'record.txt');
  writeFileSync(file, '');
  const startedAtMs = performance.now();
  return (text) => {
    const line = `${(performance.now() - startedAtMs).toFixed(0).padStart(7)} ms  ${text}\n`;
    appendFileSync(file, line);
    process.stdout.write(line);
  };
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Draws loopback addresses on which all ports of a machine are free. */
export async function drawHosts(count) {
  for (;;) {
    const network = `127.${1 + randomInt(250)}.${1 + randomInt(250)}`;
    const hosts = Array.from({ length: count }, (_, index) => `${network}.${index + 1}`);
    const checks = hosts.flatMap((host) => ALL_PORTS.map((port) => isFree(host, port)));
    if ((await Promise.all(checks)).every(Boolean)) return hosts;
  }
}

/** What the deploy file says of a role. */
function readRole(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(`[roles.${role}]`)[1]?.split('[roles.')[0] ?? '';
  const [, run = ''] = /^run = "([^"]+)"/m.exec(section) ?? [];
  const [, count = 'Infinity'] = /^count = (\d+)/m.exec(section) ?? [];
  return { words: run.split(' '), count: Number(count) };
}

/** Sends one request and resolves with its answer. */
export function send({ address, path, method = 'GET', headers = {}, body, timeoutMs = 1000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const call = startRequest({ host, port, path, method, headers, agent: false });
    const timer = setTimeout(() => call.destroy(new Error('no answer')), timeoutMs);
    call.on('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
    call.on('response', (response) => {
      const pieces = [];
      response.on('data', (piece) => pieces.push(piece));
      response.on('error', () => {});
      response.on('close', () => {
        clearTimeout(timer);
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(pieces).toString('utf8'),
          isWhole: response.complete,
        });
      });
    });
    call.end(body);
  });
}

export async function until(what, condition, limitMs = 20_000) {
  const endsAtMs = performance.now() + limitMs;
  while (performance.now() < endsAtMs) {
    if (await condition()) return;
    await delay(50);
  }
  throw new Error(`timed out: ${what}`);
}

/**
 * Starts machines, all with a disk, in the zones in turn. Each runs the roles that the deploy file
 * gives it: entry on all, control on the first ones of each zone.
 */
export async function startSite(count, record, { staggerMs = 0, zones = ZONES } = {}) {
  const hosts = await drawHosts(count);
  const folder = mkdtempSync(join(tmpdir(), 'spoolplank-review-'));
  const running = new Set();

  const zoneOf = (index) => zones[index % zones.length];
  const { count: controlCount } = readRole('control');
  /** The role runs on the first machines of each zone. */
  const runsControl = (index) =>
    hosts.slice(0, index).filter((_, other) => zoneOf(other) === zoneOf(index)).length <
    controlCount;
  const seeds = hosts
    .filter((_, index) => runsControl(index))
    .slice(0, MAX_SEEDS)
    .map((seed) => `${seed}:${PORTS.control}`);

  function startProcess(host, index, role, bootstrap) {
    const settings = {
      node: `front-${zoneOf(index)}-${index + 1}`,
      role,
      machine_class: 'front',
      serves: role === 'control' ? ['control'] : ['front', 'directory'],
      ip: host,
      zone: zoneOf(index),
      region: 'region-a',
      zones: Object.fromEntries(zones.map((zone) => [zone, 'region-a'])),
      listen:
        role === 'control'
          ? { control: `${host}:${PORTS.control}` }
          : {
              front: `${host}:${PORTS.front}`,
              readiness: `${host}:${PORTS.readiness}`,
              directory: `${host}:${PORTS.directory}`,
            },
      port_range: PORT_RANGE,
      seeds,
      bootstrap,
      loss_counted: true,
      limits: {
        cpu_share: 0.608,
        cpus: 2,
        memory_mb: MEMORY_MB,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 64,
      },
      ...(role === 'control' ? { data_dir: join(folder, `data-${index + 1}`) } : {}),
      discovery: 'registry',
      entry: 'directory',
      heartbeat_ms: HEARTBEAT_MS,
      contracts: [
        'base',
        'drain',
        'config',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'layers',
      ],
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      config_mode: 'highest',
    };
    if (settings.data_dir) mkdirSync(settings.data_dir, { recursive: true });
    const file = join(folder, `${role}-${index + 1}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = readRole(role).words;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      env: { PATH: process.env.PATH ?? '', SPOOLPLANK_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = join(folder, `${role}-${index + 1}.log`);
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (bytes) => appendFileSync(log, bytes)),
    );
    running.add(child);
    child.once('exit', () => running.delete(child));
    return child;
  }

  let reportStarted = () => {};
  const started = new Promise((resolve) => {
    reportStarted = resolve;
  });
  const machines = hosts.map((host, index) => {
    const machine = {
      name: `machine ${index + 1}`,
      host,
      front: `${host}:${PORTS.front}`,
      control: `${host}:${PORTS.control}`,
      readiness: `${host}:${PORTS.readiness}`,
      processes: {},
      dataFolder: join(folder, `data-${index + 1}`),
      /** Starts a role again with the settings in effect; the first start of the whole is over. */
      restart(role) {
        machine.processes[role] = startProcess(host, index, role, false);
        return machine.processes[role];
      },
      readLog: (role) => readFileSync(join(folder, `${role}-${index + 1}.log`), 'utf8'),
    };
    const begin = () => {
      if (runsControl(index)) {
        machine.processes.control = startProcess(host, index, 'control', true);
      }
      machine.processes.entry = startProcess(host, index, 'entry', true);
      if (index === count - 1) reportStarted();
    };
    if (index === 0) begin();
    // All machines start within `staggerMs`, in order.
    else setTimeout(begin, (staggerMs * index) / (count - 1));
    return machine;
  });
  const listed = hosts.map(
    (host, index) => `${host} (${zoneOf(index)}, ${runsControl(index) ? 'control, ' : ''}entry)`,
  );
  record(`starts machines on ${listed.join('; ')}`);

  return {
    machines,
    /** Resolves when all processes were started. */
    started,
    async configure(configuration) {
      const body = JSON.stringify(configuration);
      await until('the first configuration is accepted', async () => {
        const call = {
          address: machines[0].control,
          path: '/config/replace',
          method: 'POST',
          body,
        };
        const answer = await send(call).catch(() => null);
        return answer?.status === 200;
      });
      record(`operator: version ${configuration.version} was acknowledged`);
    },
    async untilReady() {
      await until('all machines are ready', async () => {
        const answers = await Promise.all(
          machines.map(({ readiness }) =>
            send({ address: readiness, path: '/ready' }).catch(() => null),
          ),
        );
        return answers.every((answer) => answer?.status === 200);
      });
      record('platform: all machines are ready');
    },
    async stop() {
      const ends = [...running].map(
        (child) =>
          new Promise((resolve) => {
            child.once('exit', resolve);
            child.kill('SIGKILL');
          }),
      );
      await Promise.all(ends);
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** A route as in the example of the users' pages. */
export function createRoute(name, kind, service, extra = {}) {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 20_000,
    target_latency_ms: 500,
    priority: 1,
    service,
    max_attempts: kind === 'unsafe' ? 1 : 2,
    allow_anonymous: false,
    ...extra,
  };
}

export function createConfiguration({ routes, services }) {
  return {
    version: 7,
    routes,
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1 }],
  };
}

/** Headers of a client attempt. */
export function clientHeaders(id, extra = {}) {
  return {
    Host: HOST,
    'Request-Id': id,
    'Request-Deadline': '20000',
    'X-Api-Key': KEY,
    ...extra,
  };
}

/**
 * Runs a case and ends with its result: 1 when the rule was broken, 0 when it held, 2 when the case
 * could not run.
 */
export async function runCase(folder, limitMs, play) {
  const record = openRecord(folder);
  const isTroubled = process.env.TROUBLE !== '0';
  record(`TROUBLE=${isTroubled ? 1 : 0}`);
  const stops = [];
  function giveUp(problem) {
    record(`could not run: ${problem}`);
    Promise.all(stops.map((stop) => stop())).finally(() => process.exit(2));
  }
  const timer = setTimeout(() => giveUp('the time is over'), limitMs);
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => giveUp(signal)));
  let result = 2;
  try {
    const isBroken = await play({ record, isTroubled, onStop: (stop) => stops.push(stop) });
    result = isBroken ? 1 : 0;
  } catch (error) {
    record(`could not run: ${error.stack ?? error}`);
  }
  clearTimeout(timer);
  await Promise.all(stops.map((stop) => stop()));
  record(`result ${result}`);
  process.exit(result);
}
