import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { expectedAnswer } from '@spoolplank/fakes';
import { chatPrompt } from '..';
import { GOLDEN_SCENARIOS, readGolden, startGoldenEnvironment } from '../src/golden';
import type { GoldenEnvironment } from '../src/golden';
import { LAYERS } from './fixtures';

describe('a golden session', () => {
  let bench: GoldenEnvironment;

  before(async () => {
    bench = await startGoldenEnvironment();
  });

  after(() => bench.stop());

  Object.entries(GOLDEN_SCENARIOS).forEach(([name, scenario]) => {
    it(`matches its recording: ${name}`, async () => {
      assert.equal(await bench.record(name, 'none'), readGolden(name));
    });

    it(`has a correct recording: ${name}`, () => {
      const golden = readGolden(name);
      assert.notEqual(golden, '');
      if (scenario.kind === 'stream') {
        const { prompt, maxTokens } = scenario;
        assert.ok(
          golden.includes(`answer:${expectedAnswer(chatPrompt(prompt), LAYERS, maxTokens)}\n`),
        );
        assert.ok(golden.includes('whole: true'));
      }
    });
  });

  it('matches its recording when an engine is killed in the middle', async () => {
    assert.equal(await bench.record('quotation', 'engine-killed'), readGolden('quotation'));
    assert.equal(await bench.record('refund-reply', 'engine-killed'), readGolden('refund-reply'));
  });
});
