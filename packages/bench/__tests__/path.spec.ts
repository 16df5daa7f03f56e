import assert from 'node:assert/strict';
import { readdirSync, readlinkSync } from 'node:fs';
import { after, before, describe, it } from 'node:test';
import { expectedAnswer } from '@spoolplank/fakes';
import { callHttp, callJson, sendHttpRequest, parseAddress } from '@spoolplank/node';
import {
  fetchAddresses,
  callService,
  chatPrompt,
  streamCompletion,
  waitForBackendServers,
  waitUntil,
} from '..';
import type { Deployment, RunningFake } from '..';
import {
  KALAHARI_TOKEN,
  LAYERS,
  MODEL,
  QUEBEC_TOKEN,
  SERVICE,
  startEngines,
  startReadyDeployment,
} from './fixtures';

const PROMPT = 'draft a quotation for two skips';
const TOKENS = 12;

describe('the whole path', () => {
  let deployment: Deployment;
  let service: RunningFake;
  let engines: readonly RunningFake[];

  before(async () => {
    deployment = await startReadyDeployment(3, 1);
    engines = await startEngines(deployment, 1);
    service = await deployment.startService({
      name: 'service-1',
      service: SERVICE,
      announceIntervalMs: 300,
    });
    await waitForBackendServers(deployment, 4);
  });

  after(() => deployment.stop());

  const address = () => deployment.addresses[0] ?? '';

  function stream(at = address(), token = KALAHARI_TOKEN) {
    return streamCompletion({
      address: at,
      token,
      model: MODEL,
      prompt: PROMPT,
      maxTokens: TOKENS,
    });
  }

  async function executions(): Promise<number> {
    const counts = (await service.get('/-/executions')) as Readonly<Record<string, number>>;
    return Object.values(counts).reduce((sum, count) => sum + count, 0);
  }

  async function post(path: string, body: string, headers: Readonly<Record<string, string>> = {}) {
    const answer = await callHttp({
      endpoint: parseAddress(address()),
      method: 'POST',
      path,
      body,
      headers: {
        authorization: `Bearer ${KALAHARI_TOKEN}`,
        'content-type': 'application/json',
        ...headers,
      },
    });
    const json = JSON.parse(answer.body.toString('utf8')) as {
      error?: { code: string; outcome: string; message: string };
    };
    return { status: answer.status, ...json.error };
  }

  it('streams the right answer, byte for byte, through each entry VM', async () => {
    for (const entry of deployment.addresses) {
      const answer = await stream(entry);
      assert.equal(answer.text, expectedAnswer(chatPrompt(PROMPT), LAYERS, TOKENS));
      assert.equal(answer.isWhole, true);
    }
  });

  it('returns the same answer in one response when it is not streamed', async () => {
    const body = { model: MODEL, prompt: PROMPT, max_tokens: TOKENS };
    const { status, json } = await callJson({
      endpoint: parseAddress(address()),
      method: 'POST',
      path: '/v1/completions',
      json: body,
      headers: { authorization: `Bearer ${KALAHARI_TOKEN}` },
    });
    assert.equal(status, 200);
    const { choices } = json as unknown as { choices: readonly { text: string }[] };
    assert.equal(choices[0]?.text, expectedAnswer(PROMPT, LAYERS, TOKENS));
  });

  it('calls a plain service through each entry VM, once for each key', async () => {
    for (const [index, entry] of deployment.addresses.entries()) {
      const headers = { 'idempotency-key': `path-${index}` };
      const answer = await callService({
        address: entry,
        token: KALAHARI_TOKEN,
        service: SERVICE,
        path: '/charge?x=1',
        body: '{"a":1}',
        headers,
      });
      assert.equal(answer.status, 200);
      const seen = JSON.parse(answer.body.toString('utf8')) as {
        path: string;
        body: string;
        organisation: string;
      };
      assert.deepEqual(
        [seen.path, seen.body, seen.organisation],
        ['/charge?x=1', '{"a":1}', 'kalahari'],
      );
    }
    const counts = (await service.get('/-/executions')) as Readonly<Record<string, number>>;
    assert.deepEqual(
      deployment.addresses.map((_address, index) => counts[`path-${index}`]),
      [1, 1, 1, 1],
    );
  });

  it('lists every entry VM that accepts requests', async () => {
    const { addresses, keepMs } = await fetchAddresses(address());
    assert.deepEqual(addresses.map((one) => one.address).sort(), [...deployment.addresses].sort());
    assert.ok(keepMs > 0);
  });

  it('rejects invalid requests as not run, each with its error code', async () => {
    const countBefore = await executions();
    const chat = '/v1/chat/completions';
    const messages = [{ role: 'user', content: 'x' }];
    const cases: readonly [
      Promise<{ status: number; code?: string; outcome?: string }>,
      number,
      string,
    ][] = [
      [post(chat, '{"model":', {}), 400, 'bad-request'],
      [post(chat, JSON.stringify({ model: 'nothing', messages })), 404, 'unknown-model'],
      [post(chat, JSON.stringify({ model: '__proto__', messages })), 404, 'unknown-model'],
      [post(chat, JSON.stringify({ model: MODEL, messages, max_tokens: -1 })), 400, 'bad-request'],
      [post(chat, JSON.stringify({ model: MODEL, messages: 'x' })), 400, 'bad-request'],
      [post(chat, 'x'.repeat(1_100_000)), 413, 'body-too-large'],
      [post(chat, '{}', { authorization: 'Bearer wrong' }), 401, 'unauthorized'],
      [
        post(`/v1/services/${SERVICE}/x`, '{}', { authorization: 'Bearer wrong' }),
        401,
        'unauthorized',
      ],
      [post('/v1/services/nothing/x', '{}'), 404, 'unknown-service'],
      [
        post(`/v1/services/${SERVICE}/x`, '{}', { 'spoolplank-repeatable': 'perhaps' }),
        400,
        'invalid-header',
      ],
      [
        post(`/v1/services/${SERVICE}/x`, '{}', { 'spoolplank-deadline-ms': '-5' }),
        400,
        'invalid-header',
      ],
      [post('/nowhere', '{}'), 404, 'not-found'],
      [post('/v1/addresses', '{}'), 405, 'method-not-allowed'],
    ];
    for (const [answer, status, code] of cases) {
      const { status: gotStatus, code: gotCode, outcome } = await answer;
      assert.deepEqual([gotStatus, gotCode, outcome], [status, code, 'not-run']);
    }
    assert.equal(await executions(), countBefore, 'no rejected request reached the service');
  });

  it('resumes a session at another entry VM, without gap or repeat', async () => {
    const whole = await stream();
    const [first = '', second = ''] = deployment.addresses;
    const begun = await streamCompletion({
      address: first,
      token: KALAHARI_TOKEN,
      model: MODEL,
      prompt: PROMPT,
      maxTokens: TOKENS,
    });
    const position = 4;
    const digest = begun.lastEventId.split(':')[0] ?? '';
    const ids: string[] = [];
    // The id of an earlier event, as known to a caller whose connection broke at that event.
    const replay = await callHttp({
      endpoint: parseAddress(second),
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { authorization: `Bearer ${KALAHARI_TOKEN}`, 'spoolplank-session': digest },
    });
    replay.body
      .toString('utf8')
      .split('\n')
      .forEach((line) => {
        if (line.startsWith('id: ')) ids.push(line.slice(4));
      });
    assert.equal(ids.length, TOKENS);
    const rest = await streamCompletion({
      address: second,
      token: KALAHARI_TOKEN,
      model: MODEL,
      prompt: '',
      maxTokens: 1,
      lastEventId: ids[position],
    });
    assert.equal(rest.tokens, TOKENS - position - 1);
    assert.ok(whole.text.endsWith(rest.text));
  });

  it("answers another organisation's session like one that does not exist", async () => {
    const { lastEventId } = await stream();
    const resume = streamCompletion({
      address: address(),
      token: QUEBEC_TOKEN,
      model: MODEL,
      prompt: '',
      maxTokens: 1,
      lastEventId,
    });
    await assert.rejects(resume, { code: 'unknown-session', outcome: 'not-run' });
  });

  it('refuses to resume after an event that the session did not have', async () => {
    const { lastEventId } = await stream();
    const forged = lastEventId.replace(/:[0-9a-f]{8}$/, ':00000000');
    await assert.rejects(
      streamCompletion({
        address: address(),
        token: KALAHARI_TOKEN,
        model: MODEL,
        prompt: '',
        maxTokens: 1,
        lastEventId: forged,
      }),
      { code: 'answer-invalid' },
    );
  });

  it('releases every stage when the caller disconnects during a stream', async () => {
    const body = JSON.stringify({
      model: MODEL,
      stream: true,
      max_tokens: 2000,
      messages: [{ role: 'user', content: PROMPT }],
    });
    const response = await sendHttpRequest({
      endpoint: parseAddress(address()),
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { authorization: `Bearer ${KALAHARI_TOKEN}`, 'content-type': 'application/json' },
      body,
    });
    await new Promise((resolve) => {
      response.once('data', resolve);
    });
    const countSessions = async () => {
      const totals = await Promise.all(engines.map((engine) => engine.get('/totals')));
      return totals.map((one) => (one as { sessions: number }).sessions);
    };
    await waitUntil('each engine holds the session, and no other', async () =>
      (await countSessions()).every((count) => count === 1),
    );
    response.destroy();
    await waitUntil('no engine holds the session', async () =>
      (await countSessions()).every((count) => count === 0),
    );
    assert.equal((await stream()).isWhole, true);
  });

  it('reports its state over HTTP and by command, to operators only', async () => {
    const { code, output } = await deployment.command(['dump'], 'vm4');
    assert.equal(code, 0);
    const dump = JSON.parse(output) as { vm: { vmId: string }; directory: readonly unknown[] };
    assert.equal(dump.vm.vmId, 'vm4');
    assert.ok(dump.directory.length >= 4);
    const { status } = await callJson({
      endpoint: parseAddress(address()),
      method: 'GET',
      path: '/v1/dump',
    });
    assert.equal(status, 401);
  });

  it('keeps tokens, keys and prompts out of its logs', () => {
    const logs = deployment.vms.map(({ process }) => process.readLog()).join('');
    assert.ok(logs.includes('vm-started'));
    logs
      .split('\n')
      .filter((line) => line !== '')
      .forEach((line) => JSON.parse(line) as unknown);
    [KALAHARI_TOKEN, PROMPT, 'shared-key-of-this-run', 'operator-token'].forEach((secret) =>
      assert.ok(!logs.includes(secret)),
    );
  });

  it('uses no io_uring', () => {
    deployment.vms.forEach(({ process: { pid } }) => {
      const targets = readdirSync(`/proc/${pid}/fd`).map((name) => {
        try {
          return readlinkSync(`/proc/${pid}/fd/${name}`);
        } catch {
          return '';
        }
      });
      assert.ok(targets.length > 0);
      assert.deepEqual(
        targets.filter((target) => target.includes('io_uring')),
        [],
      );
    });
  });

  it('runs every layer once for each token, by the record of the engines', async () => {
    const { sessionId } = await stream();
    const positions = chatPrompt(PROMPT).split(/\s+/).length + TOKENS - 1;
    for (const engine of engines) {
      const runs = (await engine.get('/record')) as unknown as readonly {
        session: string;
        fromPosition: number;
        toPosition: number;
      }[];
      const ofSession = runs.filter(({ session }) => session === sessionId);
      let next = 0;
      ofSession.forEach(({ fromPosition, toPosition }) => {
        assert.equal(fromPosition, next);
        next = toPosition + 1;
      });
      assert.equal(next, positions);
    }
  });
});
