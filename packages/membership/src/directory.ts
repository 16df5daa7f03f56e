import type { Clock } from '@spoolplank/shared';
import { isNewer } from './announcement';
import type { Announcement, ReportedLoad } from './announcement';

/**
 * A backend server in the directory of this VM. The body of a row is its announcement without the
 * load and the sequence, which change with every announcement.
 */
export interface DirectoryRow {
  readonly announcement: Announcement;
  /** Time on this VM's clock at which the row expires unless it is renewed. */
  readonly deadlineMs: number;
  /** Revision of this directory at which the row last changed. */
  readonly revision: number;
  /** Revision of this directory at which the body of the row last changed. */
  readonly bodyRevision: number;
}

/** A row as it is sent to another VM; the body is omitted when that VM already has it. */
export interface DirectoryUpdate {
  readonly name: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly load: ReportedLoad;
  readonly remainingMs: number;
  readonly body?: Announcement;
}

export interface DirectoryDelta {
  /**
   * Instance of the directory that created the delta; its revisions start anew with each instance.
   */
  readonly instance: string;
  readonly revision: number;
  readonly updates: readonly DirectoryUpdate[];
}

export interface DirectoryOptions {
  readonly clock: Clock;
  /** Identifies this directory; unique to this incarnation of the process. */
  readonly instance: string;
  readonly ttlMs: number;
  /** Time to live of a row, where it differs from `ttlMs`. */
  readonly ttlMsOf?: (announcement: Announcement) => number;
  /** Called with the name of a row that was added or whose body changed. */
  readonly onChange?: (name: string) => void;
}

export interface Directory {
  readonly revision: number;
  /** Revision of the last change of a body; such a change is propagated immediately. */
  readonly bodyRevision: number;
  /** Stores an announcement that a backend server sent to this VM. */
  announce(announcement: Announcement): void;
  /** The rows that changed after `sinceRevision`, for another VM. */
  deltaSince(instance: string, sinceRevision: number): DirectoryDelta;
  /**
   * Merges the delta of another VM. Deadlines are computed from `asOfMs`, the earliest time at
   * which the delta can have been created, so a delayed response cannot extend the life of a row.
   * A row expires no later than on the VM that received the announcement, regardless of how many
   * VMs forward it.
   */
  merge(delta: DirectoryDelta, asOfMs: number): void;
  /** A row that accepts new work; undefined when it is leaving, expired or unknown. */
  findAvailable(name: string): DirectoryRow | undefined;
  listAvailable(): readonly DirectoryRow[];
  listAll(): readonly DirectoryRow[];
  /** Removes rows that expired long ago. */
  sweep(): void;
}

/** How long an expired row is retained, so that a delayed update cannot revive it. */
const TOMBSTONE_MS = 60_000;
const NO_BODY_CHANGE: ReadonlySet<string> = new Set(['sequence', 'load']);

function hasSameBody(a: Announcement, b: Announcement): boolean {
  const strip = (announcement: Announcement) =>
    JSON.stringify(announcement, (key, value: unknown) =>
      NO_BODY_CHANGE.has(key) ? undefined : value,
    );
  return strip(a) === strip(b);
}

/** Creates the directory of backend servers of one VM. */
export function createDirectory(options: DirectoryOptions): Directory {
  const { clock, instance, ttlMs, onChange } = options;
  const ttlMsOf = options.ttlMsOf ?? (() => ttlMs);
  const rows = new Map<string, DirectoryRow>();
  let revision = 0;
  let newestBodyRevision = 0;

  function put(announcement: Announcement, deadlineMs: number): void {
    const known = rows.get(announcement.name);
    revision += 1;
    const isSame = known !== undefined && hasSameBody(known.announcement, announcement);
    const bodyRevision = isSame ? known.bodyRevision : revision;
    rows.set(announcement.name, {
      announcement,
      deadlineMs,
      revision,
      bodyRevision,
    });
    if (isSame) return;
    newestBodyRevision = revision;
    onChange?.(announcement.name);
  }

  function isAvailable({ announcement, deadlineMs }: DirectoryRow): boolean {
    return announcement.state === 'ready' && clock.nowMs() < deadlineMs;
  }

  function mergeUpdate(update: DirectoryUpdate, asOfMs: number): void {
    const known = rows.get(update.name);
    const isSameIncarnation = known?.announcement.incarnation === update.incarnation;
    const base = update.body ?? (isSameIncarnation ? known?.announcement : undefined);
    if (!base) return;
    const deadlineMs = asOfMs + Math.min(update.remainingMs, ttlMsOf(base));
    const announcement: Announcement = { ...base, sequence: update.sequence, load: update.load };
    if (!known || isNewer(announcement, known.announcement)) {
      put(announcement, deadlineMs);
    } else if (
      isSameIncarnation &&
      update.sequence === known.announcement.sequence &&
      deadlineMs > known.deadlineMs
    ) {
      rows.set(update.name, { ...known, deadlineMs });
    }
  }

  return {
    get revision() {
      return revision;
    },
    get bodyRevision() {
      return newestBodyRevision;
    },
    announce(announcement) {
      const known = rows.get(announcement.name);
      if (known && !isNewer(announcement, known.announcement)) return;
      put(announcement, clock.nowMs() + ttlMsOf(announcement));
    },
    deltaSince(requestedInstance, sinceRevision) {
      const since = requestedInstance === instance ? sinceRevision : 0;
      const nowMs = clock.nowMs();
      const updates = [...rows.values()]
        .filter((row) => row.revision > since)
        .map(({ announcement, deadlineMs, bodyRevision }) => ({
          name: announcement.name,
          incarnation: announcement.incarnation,
          sequence: announcement.sequence,
          load: announcement.load,
          remainingMs: Math.max(0, Math.floor(deadlineMs - nowMs)),
          ...(bodyRevision > since ? { body: announcement } : {}),
        }));
      return { instance, revision, updates };
    },
    merge(delta, asOfMs) {
      delta.updates.forEach((update) => mergeUpdate(update, asOfMs));
    },
    findAvailable(name) {
      const row = rows.get(name);
      return row && isAvailable(row) ? row : undefined;
    },
    listAvailable: () => [...rows.values()].filter(isAvailable),
    listAll: () => [...rows.values()],
    sweep() {
      const oldestMs = clock.nowMs() - TOMBSTONE_MS;
      rows.forEach(({ deadlineMs }, name) => {
        if (deadlineMs < oldestMs) rows.delete(name);
      });
    },
  };
}
