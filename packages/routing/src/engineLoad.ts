/**
 * Tracks the load on each engine as a running total over the paths of the slots in use.
 *
 * Chains that share engines, and streams that keep their path when chains are formed anew, put load
 * on engines that the head of a chain does not name. Accounting by head alone overfills such an
 * engine, which then preempts its newest request in the middle of its stream.
 *
 * Slots with equal paths share one record, so a change of a slot costs one addition for each stage
 * and creates no objects.
 */
import type { PathStage } from './stagePath';

/** The engines of a path in order, each with the number of layers that it runs. */
export type HeldPath = readonly (readonly [engineId: string, layers: number])[];

/** The load of all slots with the same path. */
export interface LoadedPath {
  /** Equal for equal paths. */
  readonly key: string;
  readonly headId: string;
}

export interface EngineLoads {
  /** The record of a path; only records that carry slots are kept. */
  recordOf(path: HeldPath): LoadedPath;
  add(path: LoadedPath, size: number): void;
  remove(path: LoadedPath, size: number): void;
  /** Sum of size times layers over the slots on an engine. */
  loadOf(engineId: string): number;
  /** Total size of the slots whose path begins with an engine. */
  sizeOn(headId: string): number;
  /** The paths that carry slots. */
  paths(): Iterable<LoadedPath>;
  /** Increases when a path receives its first slot or loses its last one. */
  readonly revision: number;
}

/** A running total. Its count of slots makes the total exactly zero with the last one removed. */
export interface Total {
  value: number;
  slots: number;
}

interface PathRecord extends LoadedPath {
  readonly path: HeldPath;
  slots: number;
}

const keys = new WeakMap<HeldPath, string>();
const heldPaths = new WeakMap<readonly PathStage[], HeldPath>();

/** Kept with the path, as the paths of a layout and of a stream are used many times. */
export function keyOfPath(path: HeldPath): string {
  const known = keys.get(path);
  if (known !== undefined) return known;
  const key = path.map(([id, layers]) => `${id}=${layers}`).join(' ');
  keys.set(path, key);
  return key;
}

export function toHeldPath(stages: readonly PathStage[]): HeldPath {
  const known = heldPaths.get(stages);
  if (known) return known;
  const path: HeldPath = stages.map(({ id, firstLayer, endLayer }) => [id, endLayer - firstLayer]);
  heldPaths.set(stages, path);
  return path;
}

/** Changes the total of a key, which is removed with its last slot. */
export function adjustTotal(
  totals: Map<string, Total>,
  id: string,
  { value, slots }: Readonly<Total>,
): void {
  const total = totals.get(id);
  if (!total) {
    totals.set(id, { value, slots });
    return;
  }
  total.slots += slots;
  total.value += value;
  if (total.slots <= 0) totals.delete(id);
}

export function createEngineLoads(): EngineLoads {
  const records = new Map<string, PathRecord>();
  const engines = new Map<string, Total>();
  const heads = new Map<string, Total>();
  let revision = 0;

  function change(record: PathRecord, size: number, slots: number): void {
    const { path, headId } = record;
    adjustTotal(heads, headId, { value: size, slots });
    path.forEach(([id, layers]) => adjustTotal(engines, id, { value: size * layers, slots }));
    record.slots += slots;
  }

  const sum = (total: Total | undefined): number => Math.max(0, total?.value ?? 0);

  return {
    recordOf(path) {
      const key = keyOfPath(path);
      const known = records.get(key);
      if (known) return known;
      const created: PathRecord = { key, headId: path[0]?.[0] ?? '', path, slots: 0 };
      return created;
    },
    add(path, size) {
      const record = records.get(path.key) ?? (path as PathRecord);
      if (record.slots === 0) {
        records.set(record.key, record);
        revision += 1;
      }
      change(record, size, 1);
    },
    remove(path, size) {
      const record = records.get(path.key);
      if (!record) return;
      change(record, -size, -1);
      if (record.slots > 0) return;
      records.delete(record.key);
      revision += 1;
    },
    loadOf: (engineId) => sum(engines.get(engineId)),
    sizeOn: (headId) => sum(heads.get(headId)),
    paths: () => records.values(),
    get revision() {
      return revision;
    },
  };
}
