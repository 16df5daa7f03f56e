/** Guards the predicted timing, by which slots on slow and shared engines are bounded. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { estimateChainSpeed } from '../src/chainSpeed';
import { predictTiming } from '../src/pathTiming';
import type { EnginePace } from '../src/pathTiming';
import type { PathStage } from '../src/stagePath';
import { createModel } from './fixtures';

const MODEL = createModel();
const STAGES: readonly PathStage[] = Array.from({ length: 8 }, (_, index) => ({
  id: `e${index}`,
  address: `e${index}:80`,
  firstLayer: index * 10,
  endLayer: index * 10 + 10,
}));
const SMALL: EnginePace = { stepFactor: 16, readFactor: 8.2, isSlow: false };

function predict(requests: number, slowdown = 1, loads: Readonly<Record<string, number>> = {}) {
  const slow = { stepFactor: 16 * slowdown, readFactor: 8.2 * slowdown, isSlow: true };
  const paces = new Map(STAGES.map(({ id }) => [id, id === 'e3' ? slow : SMALL]));
  const loadOf = (id: string) => (loads[id] ?? requests) * 10;
  return predictTiming(STAGES, { model: MODEL, paces, loadOf });
}

describe('the predicted timing of a path', () => {
  it('agrees with the speed of a chain when all engines have the same load', () => {
    const parts = STAGES.map(() => ({ layers: 10, stepFactor: 16, readFactor: 8.2 }));
    [1, 40, 120].forEach((requests) => {
      const { cycleMs } = estimateChainSpeed(parts, requests, MODEL);
      const { pauseMs } = predict(requests);
      assert.ok(Math.abs(pauseMs - cycleMs) < cycleMs * 0.12, `${pauseMs} and ${cycleMs}`);
    });
  });

  it('grows with the slowdown and with the load of a single engine', () => {
    const usual = predict(60);
    const slow = predict(60, 12);
    const loaded = predict(60, 12, { e3: 120 });
    assert.ok(slow.pauseMs > usual.pauseMs * 2 && loaded.pauseMs > slow.pauseMs);
    assert.ok(slow.firstEventMs > usual.firstEventMs * 2);
  });

  it('stays finite under any load', () => {
    const { pauseMs, firstEventMs } = predict(100_000, 40);
    assert.ok(Number.isFinite(pauseMs) && Number.isFinite(firstEventMs));
  });
});
