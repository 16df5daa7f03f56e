/**
 * TWICE: a worker sends a late second answer to a rejected stream, where the next answer is due.
 * The entry takes it as the answer to its next sending of the same stream, and sends it again.
 */
import { Buffer } from 'node:buffer';
import { request as startRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { dirname } from 'node:path';
import { fileURLToPath, URL } from 'node:url';

const { clientHeaders, createConfiguration, createRoute, delay, runCase, startSite, until } =
  await import(new URL('../lib/site.mjs', import.meta.url).href);
const { signedHeaders, startWorker } = await import(
  new URL('../lib/worker.mjs', import.meta.url).href
);

const LIMIT_MS = 110_000;
/** The answers of 5 s, in which the worker spoils some: one of 36 is within its share of 0.03. */
const STREAMS = 36;
/** The stream that its worker sheds, and whose answer the worker sends a second time. */
const SHED_STREAM = 18;
/** One of seven workers sheds and spoils: within the shares of 0.15 and 0.6. */
const WORKERS = 7;
const EVENTS = 4;
const EVENT_MS = 20;
const PREFILL_MS = 10;
/** Longer than `contact_ms`: all machines are in touch from then on. */
const CALM_MS = 4000;

/** An engine holds 13 of 80 layers at most, so that the seven make one chain, with one head. */
const ENGINE = {
  slots: 134,
  kv_capacity_tokens: 69_791,
  kv_bytes: 84_537,
  link_mbps: 480_000,
  stride: 2,
  models: [{ name: 'm', pace: 1, load_s: 1, warm_s: 0.1 }],
  step_ms: 0.85,
  per_seq_ms: 0.0055,
  context_per_k: 0.0073,
  read_per_s: 196_000,
  pairs_per_m: 0.166,
  chunk: 512,
  report_lag_ms: 200,
  loads_per_s: 0,
  loads_at_once: 6,
  delays: [],
  usual: { prompt: 100, answer: 50 },
  layers: 80,
  layer_mb: 500,
  act_bytes: 42_268,
  pipe_mbps: 9000,
  kinds: [{ name: 'l4', mb: 7000, pace: 1.4, read_x: 1 }],
};

function stream(address, id) {
  const [host, port] = address.split(':');
  const headers = clientHeaders(id, {
    'Model-Name': 'm',
    'Token-Usage': '100,50',
    'Prefix-Hash': `5c1e07a2:60,${Buffer.from(id).toString('hex')}:40`,
    'Content-Length': 4,
  });
  return new Promise((resolve) => {
    const call = startRequest({
      host,
      port,
      path: '/draft/x',
      method: 'POST',
      headers,
      agent: false,
    });
    call.on('error', (error) => resolve({ status: 0, isWhole: false, problem: error.message }));
    call.on('response', (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () =>
        resolve({ status: response.statusCode, isWhole: response.complete }),
      );
    });
    call.end('text');
  });
}

function encodeHead(status, headers) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`;
}

async function play({ record, isTroubled, onStop }) {
  const site = await startSite(3, record);
  onStop(() => site.stop());
  await site.configure(
    createConfiguration({
      routes: [
        createRoute('draft', 'streaming', 'engines', {
          session_affinity: true,
          stream_resume: false,
          target_gap_ms: 200,
        }),
      ],
      services: [
        {
          name: 'engines',
          health_path: '/health',
          max_connections: 908,
          protocol: 'h1',
          tls: false,
          engine: ENGINE,
        },
      ],
    }),
  );
  /** Number of runs by request id; a run begins with its first token. */
  const runs = new Map();
  const rejected = new Set();
  /** Second answers that are sent late, by connection. */
  const lateAnswers = new Map();

  async function run(request, response, worker) {
    const id = request.headers['request-id'];
    let isClosed = false;
    response.on('close', () => {
      isClosed = true;
    });
    await delay(PREFILL_MS);
    if (isClosed) return;
    const count = (runs.get(id) ?? 0) + 1;
    runs.set(id, count);
    record(`worker ${worker.id}: run ${count} of ${id} begins with its first token`);
    response.writeHead(200, {
      ...signedHeaders(request, worker.id),
      'Content-Type': 'text/event-stream',
    });
    for (let event = 1; event <= EVENTS && !isClosed; event += 1) {
      response.write(`id: ${event}\ndata: tokens ${event}\n\n`);
      await delay(EVENT_MS);
    }
    if (isClosed) record(`worker ${worker.id}: drops ${id}, its connection was closed`);
    response.end();
  }

  function reject(request, response, worker) {
    const id = request.headers['request-id'];
    rejected.add(id);
    record(`worker ${worker.id}: sheds ${id} with 503 and Not-Executed`);
    const headers = {
      'Request-Id': id,
      'Not-Executed': '1',
      'At-Server': worker.address,
      'Content-Length': '0',
    };
    response.writeHead(503, headers).end();
    const bytes = encodeHead('503 Service Unavailable', headers);
    lateAnswers.set(request.socket, { id, bytes });
  }

  function serve(request, response, worker) {
    const id = request.headers['request-id'];
    request.resume();
    request.on('end', () => {
      const late = lateAnswers.get(request.socket);
      if (late) {
        lateAnswers.delete(request.socket);
        record(
          `worker ${worker.id}: second answer (503) to the first sending of ${late.id}, where the ` +
            `answer to ${id} is due`,
        );
        request.socket.write(late.bytes);
      }
      if (isTroubled && id.startsWith('shed-') && !rejected.has(id))
        reject(request, response, worker);
      else run(request, response, worker);
    });
  }

  const controls = site.machines.map(({ control }) => control);
  for (let index = 0; index < WORKERS; index += 1) {
    const options = { service: 'engines', kind: 'l4', slots: 134, controls, serve };
    const worker = await startWorker(options);
    onStop(() => worker.stop());
  }
  await site.untilReady();
  const [{ front }] = site.machines;
  let looks = 0;
  await until('a stream is served', async () => {
    looks += 1;
    return (await stream(front, `look-${looks}`)).status === 200;
  });
  await delay(CALM_MS);
  const startedAtMs = performance.now();
  for (let number = 1; number <= STREAMS; number += 1) {
    const id = number === SHED_STREAM ? `shed-${number}` : `draft-${number}`;
    const { status, isWhole } = await stream(front, id);
    record(`client: ${id} was answered ${status}, ${isWhole ? 'whole' : 'not whole'}`);
  }
  record(`the streams took ${Math.round(performance.now() - startedAtMs)} ms`);
  const twice = [...runs].filter(([, count]) => count > 1);
  record(`${runs.size} requests ran; more than once: ${twice.map(([id]) => id).join(', ') || '-'}`);
  return twice.length > 0;
}

await runCase(dirname(fileURLToPath(import.meta.url)), LIMIT_MS, play);
