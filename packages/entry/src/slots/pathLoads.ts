/**
 * The load on each engine of a data centre, from the slots whose path the allocator knows and, on
 * the present path of each head, the load that is known by head only: that of VMs that list no
 * paths, and the reported load while the account is incomplete.
 */
import type { EngineLoads } from '@spoolplank/routing';
import { keyOfPath, toHeldPath } from '@spoolplank/routing';
import type { PathLayout } from '../dispatch/chainCatalog';

export interface PathLoadsOptions {
  readonly engineLoads: () => Pick<EngineLoads, 'loadOf' | 'sizeOn' | 'paths' | 'revision'>;
  /** Total size in flight on the paths of a head. */
  readonly inFlightOn: (headId: string) => number;
}

export interface PathLoads {
  /**
   * Whether the load by head determines that of each engine: chains are disjoint, and all slots
   * with a known path are on the present path of their head.
   */
  isKnownByHead(layout: PathLayout): boolean;
  /** Reads the load known by head only; called before `loadOf` whenever loads may have changed. */
  refresh(layout: PathLayout): void;
  /** Load on an engine, in requests of usual size times layers. */
  loadOf(engineId: string): number;
}

/** Loads are sums of fractions; smaller differences are rounding errors. */
const MIN_SIZE = 1e-6;

export function createPathLoads({ engineLoads, inFlightOn }: PathLoadsOptions): PathLoads {
  /** Load by engine that is known by head only; empty in the usual case. */
  const unplaced = new Map<string, number>();
  let loads = engineLoads();
  let checked: { layout: PathLayout; revision: number; isByHead: boolean } | undefined;

  function hasOnlyPresentPaths({ paths }: PathLayout): boolean {
    const present = new Set(paths.map(({ stages }) => keyOfPath(toHeldPath(stages))));
    return [...engineLoads().paths()].every(({ key }) => present.has(key));
  }

  return {
    isKnownByHead(layout) {
      if (!layout.isDisjoint) return false;
      const { revision } = engineLoads();
      if (checked?.layout !== layout || checked.revision !== revision) {
        checked = { layout, revision, isByHead: hasOnlyPresentPaths(layout) };
      }
      return checked.isByHead;
    },
    refresh({ paths }) {
      loads = engineLoads();
      unplaced.clear();
      let previousId: string | undefined;
      for (const { headId, stages } of paths) {
        const size = headId === previousId ? 0 : inFlightOn(headId) - loads.sizeOn(headId);
        previousId = headId;
        if (size > MIN_SIZE) {
          stages.forEach(({ id, firstLayer, endLayer }) =>
            unplaced.set(id, (unplaced.get(id) ?? 0) + size * (endLayer - firstLayer)),
          );
        }
      }
    },
    loadOf: (engineId) => loads.loadOf(engineId) + (unplaced.get(engineId) ?? 0),
  };
}
