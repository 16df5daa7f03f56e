import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import { createEngine, createTables, MODEL, createSoleChoice } from './fixtures';

/** Streams in flight on a chain that loses one of its engines. */
const STREAMS = 80;

describe('the streams of a lost engine', () => {
  it('are spread over all engines that can replace it', () => {
    const { view, announce } = createTables();
    const replacements = ['a3', 'a4', 'a5'];
    announce(createEngine('a1', 0, 4));
    announce(createEngine('a2', 4, 8));
    replacements.forEach((id) => announce(createEngine(id, 4, 8)));
    const chains = createSoleChoice({ view, random: createSeededRandom(7) });
    const stages = [
      { id: 'a1', address: 'a1:80', firstLayer: 0, endLayer: 4 },
      { id: 'a2', address: 'a2:80', firstLayer: 4, endLayer: 8 },
    ];
    const counts = new Map<string, number>();
    for (let stream = 0; stream < STREAMS; stream += 1) {
      const path = chains.repair('engines', MODEL, stages, new Set(['a2'])) ?? [];
      assert.equal(path[0]?.id, 'a1');
      const id = path[1]?.id ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    replacements.forEach((id) => assert.ok((counts.get(id) ?? 0) >= STREAMS / 6, id));
  });
});
