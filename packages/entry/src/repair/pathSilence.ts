/** Determines when an event last arrived over each path, from the streams of this entry. */
import type { PathStage } from '@spoolplank/routing';
import type { StreamRow } from '../dispatch/streamTable';

export interface PathSilence {
  /** Key of a path: streams over the same engines and layers share it. */
  keyOf(stages: readonly PathStage[]): string;
  /** Time of the last event over each path, by key, on this VM's clock; none before an event. */
  lastEventByPath(rows: Iterable<StreamRow>): ReadonlyMap<string, number>;
}

export function createPathSilence(): PathSilence {
  // Each granted slot arrives over the network with its own stage objects, so equal paths are
  // recognised by value. The map caches the key of each object.
  const keyByStages = new WeakMap<readonly PathStage[], string>();

  function keyOf(stages: readonly PathStage[]): string {
    const known = keyByStages.get(stages);
    if (known !== undefined) return known;
    const key = stages
      .map(({ id, firstLayer, endLayer }) => `${id}=${firstLayer}-${endLayer}`)
      .join(' ');
    keyByStages.set(stages, key);
    return key;
  }

  return {
    keyOf,
    lastEventByPath(rows) {
      const newest = new Map<string, number>();
      for (const { stages, lastProgressAtMs, hasBegun } of rows) {
        const key = keyOf(stages);
        const known = newest.get(key) ?? Number.NEGATIVE_INFINITY;
        if (hasBegun) newest.set(key, Math.max(known, lastProgressAtMs));
      }
      return newest;
    },
  };
}
