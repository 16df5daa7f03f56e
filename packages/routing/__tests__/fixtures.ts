/** A model of production size, and engines for it. */
import type { ObservedEngine } from '../src/placement';
import type { ModelDescription } from '../src/routingDocument';
import type { StageEngine } from '../src/stagePath';

export function createModel(overrides: Partial<ModelDescription> = {}): ModelDescription {
  return {
    layers: 80,
    layerMb: 1750,
    stepMs: 0.85,
    stepPerRequestMs: 0.005,
    contextMsPerToken: 0.000007,
    stepsPerPass: 2,
    readTokensPerS: 196_000,
    tokenBytes: 845_373,
    usualPromptTokens: 772,
    usualAnswerTokens: 172,
    maxConcurrentLoads: 6,
    loadMs: 14_000,
    kinds: [
      { name: 'large', memoryMb: 72_000, stepFactor: 1.4, readFactor: 1 },
      { name: 'medium', memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2 },
      { name: 'small', memoryMb: 21_600, stepFactor: 16, readFactor: 8.2 },
      { name: 'tiny', memoryMb: 14_400, stepFactor: 15, readFactor: 15 },
    ],
    ...overrides,
  };
}

export function createEngines(kinds: readonly string[], dataCentre = 'lafrenz'): ObservedEngine[] {
  return kinds.map((acceleratorKind, index) => ({
    id: `${dataCentre}-${index}`,
    dataCentre,
    acceleratorKind,
    slots: 134,
    firstLayer: null,
    endLayer: null,
    isOrderable: true,
    isReliable: true,
    isServing: true,
  }));
}

export const repeat = (kind: string, count: number): string[] =>
  new Array<string>(count).fill(kind);

export function createStageEngine(
  id: string,
  firstLayer: number,
  endLayer: number,
  layerCostMs = 1,
): StageEngine {
  return { id, address: `10.0.0.${id}:80`, firstLayer, endLayer, layerCostMs };
}
