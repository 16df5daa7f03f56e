import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { expectedAnswer } from '@spoolplank/fakes';
import { chatPrompt, streamCompletion, waitForBackendServers, waitUntil } from '..';
import type { Deployment, RunningFake } from '..';
import { KALAHARI_TOKEN, LAYERS, MODEL, startReadyDeployment } from './fixtures';

const PROMPT = 'write a collection note for the quarry';
const TOKENS = 80;
const FREEZE_POSITION = 25;

interface LayerRun {
  readonly handle: string;
  readonly fromPosition: number;
  readonly toPosition: number;
}

describe('an entry VM that continues a session after another VM has taken it over', () => {
  let deployment: Deployment;
  let engines: readonly RunningFake[];

  before(async () => {
    deployment = await startReadyDeployment(1, 2);
    engines = await Promise.all(
      [0, 1].map((part) =>
        deployment.startEngine({
          name: `engine-${part}`,
          model: MODEL,
          layers: LAYERS,
          firstLayer: part * 6,
          lastLayer: part * 6 + 5,
          announceIntervalMs: 300,
          // The worst case: the engine also accepts orders with stale fencing numbers.
          isFencingChecked: false,
        }),
      ),
    );
    await waitForBackendServers(deployment, 2);
  });

  after(() => deployment.stop());

  it('harms neither the answer nor the state at engines that ignore fencing numbers', async () => {
    const frozen = deployment.vm('vm2').process;
    let lastEventId = '';
    let text = '';
    const streamFrom = (vmId: string, resumeAfter?: string) =>
      streamCompletion({
        address: deployment.vm(vmId).callerAddress,
        token: KALAHARI_TOKEN,
        model: MODEL,
        prompt: PROMPT,
        maxTokens: TOKENS,
        lastEventId: resumeAfter,
        onEvent(event) {
          if (lastEventId !== '' || resumeAfter !== undefined) return;
          if (event.position === FREEZE_POSITION) {
            frozen.signal('SIGSTOP');
            lastEventId = event.id;
          }
          text += event.text;
        },
      });
    const first = streamFrom('vm2');
    await waitUntil('the first entry VM is frozen', () => lastEventId !== '');
    const rest = await streamFrom('vm3', lastEventId);
    assert.equal(rest.isWhole, true);
    assert.equal(text + rest.text, expectedAnswer(chatPrompt(PROMPT), LAYERS, TOKENS));
    // The frozen VM continues its attempt after the other VM has completed the session.
    frozen.signal('SIGCONT');
    await first;
    const again = await streamFrom('vm3', lastEventId);
    assert.equal(again.text, rest.text);
    for (const engine of engines) {
      const runs = (await engine.get('/record')) as unknown as readonly LayerRun[];
      const handles = [...new Set(runs.map(({ handle }) => handle))];
      assert.ok(handles.length >= 2, 'each attempt has its own handle');
      handles.forEach((handle) => {
        let next = 0;
        runs
          .filter((run) => run.handle === handle)
          .forEach(({ fromPosition, toPosition }) => {
            assert.equal(fromPosition, next, `${engine.name} ran ${handle} in order, once`);
            next = toPosition + 1;
          });
      });
    }
  });
});
