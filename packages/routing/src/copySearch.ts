/** Finds the range in which an engine reduces the lack of copies of a data centre most. */
import { countRequests } from './layerCopies';
import { GOOD_MEMORY_PER_LAYER } from './plannedEngines';
import type { PlannedEngine, Range } from './plannedEngines';
import type { ModelDescription } from './routingDocument';

/** Preference for a range that leaves no part of a low range to another engine. */
const COVER_BONUS = 1.1;

/** An engine, and the range in which it is of most use. */
export interface Candidate<Engine> {
  readonly engine: Engine;
  readonly range: Range;
  readonly relief: number;
}

export interface SearchOptions {
  /** Capacities of all layers without the engine that is placed. */
  readonly capacities: readonly number[];
  readonly lowRanges: readonly Range[];
  /** Capacity up to which a layer counts as lacking copies. */
  readonly target: number;
  /** Capacity that each layer of the range must reach. */
  readonly minAfter: number;
  readonly model: ModelDescription;
}

function isCovering(range: Range, low: Range): boolean {
  return range.first <= low.first && range.end >= low.end;
}

/** Sum of the squared deficits of all layers. */
export function findDeficit(capacities: readonly number[], target: number): number {
  return capacities.reduce((sum, requests) => sum + Math.max(0, target - requests) ** 2, 0);
}

/** Reduction of the squared deficits, so that the lowest layers count most; null if too small. */
function findRelief(
  range: Range,
  requests: number,
  { capacities, target, minAfter }: SearchOptions,
): number | null {
  let relief = 0;
  for (let layer = range.first; layer < range.end; layer += 1) {
    const before = capacities[layer] ?? 0;
    if (before + requests < minAfter) return null;
    relief += Math.max(0, target - before) ** 2 - Math.max(0, target - before - requests) ** 2;
  }
  return relief;
}

/**
 * First layers of the ranges of a length that begin or end with a low range. Other ranges would
 * leave parts of it to other engines on both sides.
 */
function listFirstLayers(low: Range, length: number, layers: number): readonly number[] {
  return [low.first, low.end - length].filter((first) => first >= 0 && first + length <= layers);
}

/**
 * Finds the range in which an engine reduces the lack of copies most; undefined when it reduces
 * none.
 */
export function findBestRange<Engine extends PlannedEngine>(
  engine: Engine,
  options: SearchOptions,
): Candidate<Engine> | undefined {
  const { lowRanges, model } = options;
  const perLayerMb = model.layerMb * GOOD_MEMORY_PER_LAYER;
  const maxLayers = Math.min(model.layers, Math.floor(engine.memoryMb / perLayerMb));
  let best: Candidate<Engine> | undefined;
  for (const low of lowRanges) {
    for (let length = 1; length <= maxLayers; length += 1) {
      for (const first of listFirstLayers(low, length, model.layers)) {
        const range = { first, end: first + length };
        const found = findRelief(range, countRequests(engine, range, model), options);
        const relief = (found ?? 0) * (isCovering(range, low) ? COVER_BONUS : 1);
        if (relief > (best?.relief ?? 0)) best = { engine, range, relief };
      }
    }
  }
  return best;
}

export function pickBest<Engine>(
  candidates: readonly (Candidate<Engine> | undefined)[],
): Candidate<Engine> | undefined {
  return candidates.reduce<Candidate<Engine> | undefined>(
    (best, candidate) =>
      candidate && (!best || candidate.relief > best.relief) ? candidate : best,
    undefined,
  );
}
