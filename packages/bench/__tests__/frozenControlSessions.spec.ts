import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { expectedAnswer } from '@spoolplank/fakes';
import { delay } from '@spoolplank/node';
import { toSpoolplankError } from '@spoolplank/shared';
import { chatPrompt, findLeader, streamCompletion, waitForBackendServers } from '..';
import type { Deployment } from '..';
import { KALAHARI_TOKEN, LAYERS, MODEL, startEngines, startReadyDeployment } from './fixtures';

const PROMPT = 'list the gates of the quarry';
const TOKENS = 12;
const EXPECTED = expectedAnswer(chatPrompt(PROMPT), LAYERS, TOKENS);
const INTERVAL_MS = 100;
const FROZEN_MS = 5000;
const ENTRY_VMS: readonly number[] = [3, 4];

/** Guards against sessions that are refused with `settings-stale` while most control VMs answer. */
describe('sessions while a control VM is frozen', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await startReadyDeployment(3, 2);
    await startEngines(deployment, 2);
    await waitForBackendServers(deployment, 6);
  });

  after(() => deployment.stop());

  /** Streams a session; resolves with `served`, or with what its caller got instead. */
  async function stream(vm: number): Promise<string> {
    try {
      const { text, error } = await streamCompletion({
        address: deployment.addresses[vm] ?? '',
        token: KALAHARI_TOKEN,
        model: MODEL,
        prompt: PROMPT,
        maxTokens: TOKENS,
      });
      return text === EXPECTED ? 'served' : JSON.stringify({ text, error });
    } catch (thrown) {
      return toSpoolplankError(thrown).code;
    }
  }

  it('give their whole answer through each entry VM', async () => {
    const leader = await findLeader(deployment);
    deployment.vm(leader).process.signal('SIGSTOP');
    const calls: Promise<string>[] = [];
    for (let passedMs = 0; passedMs < FROZEN_MS; passedMs += INTERVAL_MS) {
      calls.push(...ENTRY_VMS.map(stream));
      await delay(INTERVAL_MS);
    }
    const results = await Promise.all(calls);
    deployment.vm(leader).process.signal('SIGCONT');
    assert.deepEqual(
      results.filter((result) => result !== 'served'),
      [],
    );
  });
});
