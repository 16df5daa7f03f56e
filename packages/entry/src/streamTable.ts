/** The streams that run through this entry. */
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import type { AdmittedRequest } from './entryContext';

/** Why an attempt was ended here. */
export type StreamCut = 'caller-left' | 'head-lost' | 'no-repair' | 'deadline';

export interface StreamRow {
  readonly admitted: AdmittedRequest;
  readonly model: ModelDescription;
  readonly dataCentre: string;
  stages: readonly PathStage[];
  /** Engines that were found lost while this attempt ran. */
  readonly lostIds: Set<string>;
  hasBegun: boolean;
  lastProgressAtMs: number;
  lastCheckAtMs: number;
  isChecking: boolean;
  isRepairing: boolean;
  /** The caller reads too slowly; silence is then no sign of a fault. */
  isPaused: boolean;
  cutReason: StreamCut | null;
  readonly cut: (reason: StreamCut) => void;
}

export interface StreamTable {
  add(row: StreamRow): void;
  remove(row: StreamRow): void;
  list(): Iterable<StreamRow>;
  countIn(dataCentre: string): number;
  /** Streams in flight by data centre. */
  counts(): Readonly<Record<string, number>>;
}

export function createStreamTable(): StreamTable {
  const rows = new Set<StreamRow>();
  const countByDataCentre = new Map<string, number>();

  function addTo(dataCentre: string, by: number): void {
    countByDataCentre.set(dataCentre, (countByDataCentre.get(dataCentre) ?? 0) + by);
  }

  return {
    add(row) {
      rows.add(row);
      addTo(row.dataCentre, 1);
    },
    remove(row) {
      if (rows.delete(row)) addTo(row.dataCentre, -1);
    },
    list: () => rows,
    countIn: (dataCentre) => countByDataCentre.get(dataCentre) ?? 0,
    counts: () => Object.fromEntries(countByDataCentre),
  };
}
