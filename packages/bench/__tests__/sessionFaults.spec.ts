import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { expectedAnswer } from '@spoolplank/fakes';
import { chatPrompt, streamCompletion, waitForBackendServers, waitUntil } from '..';
import type { Deployment, RunningFake, StreamedAnswer } from '..';
import { KALAHARI_TOKEN, LAYERS, MODEL, startEngines, startReadyDeployment } from './fixtures';

const PROMPT = 'summarise the permit of the quarry';
const TOKENS = 60;
const EXPECTED = expectedAnswer(chatPrompt(PROMPT), LAYERS, TOKENS);

interface LayerRun {
  readonly session: string;
}

describe('a session', () => {
  let deployment: Deployment;
  let engines: RunningFake[];

  before(async () => {
    deployment = await startReadyDeployment(3, 2);
    engines = [...(await startEngines(deployment, 2))];
    await waitForBackendServers(deployment, 6);
  });

  after(() => deployment.stop());

  function stream(onToken: (position: number) => void = () => {}, vm = 3): Promise<StreamedAnswer> {
    return streamCompletion({
      address: deployment.addresses[vm] ?? '',
      token: KALAHARI_TOKEN,
      model: MODEL,
      prompt: PROMPT,
      maxTokens: TOKENS,
      onToken,
    });
  }

  /** The engine of a layer part with the most sessions, which runs the stream under test. */
  async function findBusiestEngine(part: number): Promise<RunningFake> {
    const candidates = engines.filter(
      ({ name, process }) => name.startsWith(`engine-${part}`) && process.isRunning,
    );
    const counts = await Promise.all(
      candidates.map(
        async (engine) => ((await engine.get('/totals')) as { sessions: number }).sessions,
      ),
    );
    return candidates[counts.indexOf(Math.max(...counts))] ?? (candidates[0] as RunningFake);
  }

  /** Number of times that sessions on the called VM moved to another chain. */
  async function readMoveCount(): Promise<number> {
    const text = await deployment.operatorText('vm4', '/metrics');
    return Number(/^spoolplank_session_moves_total (\d+)$/m.exec(text)?.[1] ?? 0);
  }

  async function restartEngine(engine: RunningFake): Promise<void> {
    const part = Number(engine.name.split('-')[1]);
    const started = await deployment.startEngine({
      name: engine.name,
      firstLayer: part * 4,
      lastLayer: part * 4 + 3,
      model: MODEL,
      layers: LAYERS,
      announceIntervalMs: 300,
    });
    engines = engines.map((other) => (other.name === engine.name ? started : other));
  }

  /** Restarts all killed engines before waiting, because the wait expects the full number. */
  async function restartAll(...killed: readonly RunningFake[]): Promise<void> {
    for (const engine of killed) await restartEngine(engine);
    await waitForBackendServers(deployment, 6);
  }

  for (const part of [0, 1, 2]) {
    for (const at of [0, 25, TOKENS - 2]) {
      it(`gives its whole answer when the engine of part ${part} is killed after token ${at}`, async () => {
        let killed: RunningFake | undefined;
        let killing: Promise<unknown> = Promise.resolve();
        const answer = await stream((position) => {
          if (position !== at) return;
          killing = findBusiestEngine(part).then((engine) => {
            killed = engine;
            return engine.process.end('SIGKILL');
          });
        });
        await killing;
        if (killed) await restartAll(killed);
        assert.equal(answer.text, EXPECTED);
        assert.equal(answer.isWhole, true);
      });
    }
  }

  it('gives its whole answer when two engines are killed, one after the other', async () => {
    const killed: RunningFake[] = [];
    const kills: Promise<unknown>[] = [];
    const kill = async (part: number) => {
      const engine = await findBusiestEngine(part);
      killed.push(engine);
      await engine.process.end('SIGKILL');
    };
    const answer = await stream((position) => {
      if (position === 10) kills.push(kill(0));
      if (position === 30) kills.push(kill(2));
    });
    await Promise.all(kills);
    await restartAll(...killed);
    assert.equal(answer.text, EXPECTED);
  });

  it('moves away from an engine that freezes, and is not touched by it when it wakes up', async () => {
    let frozen: RunningFake | undefined;
    const answer = await stream((position) => {
      if (position !== 20) return;
      void findBusiestEngine(1).then((engine) => {
        frozen = engine;
        engine.process.signal('SIGSTOP');
      });
    });
    assert.equal(answer.text, EXPECTED);
    frozen?.process.signal('SIGCONT');
    await waitForBackendServers(deployment, 6);
    assert.equal((await stream()).text, EXPECTED);
  });

  it('moves away from a link that has become slow, once, and gives its whole answer', async () => {
    const tokenCount = 120;
    let slowed: RunningFake | undefined;
    const movesBefore = await readMoveCount();
    const answer = await streamCompletion({
      address: deployment.addresses[3] ?? '',
      token: KALAHARI_TOKEN,
      model: MODEL,
      prompt: PROMPT,
      maxTokens: tokenCount,
      onToken(position) {
        if (position !== 30) return;
        void findBusiestEngine(1).then(async (engine) => {
          slowed = engine;
          await engine.post('/faults', { linkDelayMs: 150 });
        });
      },
    });
    assert.equal(answer.text, expectedAnswer(chatPrompt(PROMPT), LAYERS, tokenCount));
    assert.equal((await readMoveCount()) - movesBefore, 1);
    await slowed?.post('/faults', { linkDelayMs: 0.5 });
  });

  it('does not take an answer for whole that an engine ended early', async () => {
    const endingEngine = await findBusiestEngine(0);
    await endingEngine.post('/faults', { endAfter: 20 });
    const answers = [await stream(), await stream()];
    await endingEngine.post('/faults', { endAfter: null });
    answers.forEach(({ text }) => assert.equal(text, EXPECTED));
  });

  it('forwards no token of an engine that skips layers', async () => {
    const [first] = engines;
    assert.ok(first);
    const faultyEngine = await deployment.startEngine({
      name: 'faulty-engine',
      firstLayer: 0,
      lastLayer: 3,
      model: MODEL,
      layers: LAYERS,
      stepBaseMs: 0.1,
      announceIntervalMs: 300,
    });
    await faultyEngine.post('/faults', { skippedLayer: 2 });
    await waitForBackendServers(deployment, 7);
    const answer = await stream();
    assert.equal(answer.text, EXPECTED);
    const runs = (await faultyEngine.get('/record')) as unknown as readonly LayerRun[];
    assert.ok(
      runs.some(({ session }) => session === answer.sessionId),
      'the faulty engine ran the session first',
    );
    await faultyEngine.process.end('SIGTERM');
    await waitForBackendServers(deployment, 6);
  });

  it('is resumed at another entry VM when its own crashes, without gap or repeat', async () => {
    let text = '';
    const first = await stream((position) => {
      if (position === 30) void deployment.vm('vm5').process.end('SIGKILL');
    }, 4);
    text += first.text;
    assert.equal(first.isWhole, false);
    const rest = await streamCompletion({
      address: deployment.addresses[3] ?? '',
      token: KALAHARI_TOKEN,
      model: MODEL,
      prompt: '',
      maxTokens: 1,
      lastEventId: first.lastEventId,
    });
    text += rest.text;
    assert.equal(text, EXPECTED);
    assert.equal(rest.isWhole, true);
    deployment.restart('vm5');
    await waitUntil(
      'vm5 is back',
      async () =>
        ((await deployment.operatorGet('vm5', '/v1/status')) as { isTaking: boolean }).isTaking,
    );
  });

  it('ends with an error that allows resuming when no engine is left, and is resumed', async () => {
    const part = engines.filter(({ name }) => name.startsWith('engine-1'));
    const broken = await stream((position) => {
      if (position === 15) part.forEach((engine) => engine.process.signal('SIGKILL'));
    });
    assert.equal(broken.isWhole, false);
    const error = broken.error as { code: string; retryAfterMs: number };
    assert.equal(error.code, 'no-backend-server');
    assert.ok(error.retryAfterMs > 0);
    for (const engine of part) await restartEngine(engine);
    await waitForBackendServers(deployment, 6);
    const rest = await streamCompletion({
      address: deployment.addresses[0] ?? '',
      token: KALAHARI_TOKEN,
      model: MODEL,
      prompt: '',
      maxTokens: 1,
      lastEventId: broken.lastEventId,
    });
    assert.equal(broken.text + rest.text, EXPECTED);
  });
});
