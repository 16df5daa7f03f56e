import type { Configuration } from './configuration';
import type { LogEntry, SnapshotMeta } from './messages';
import type { LogBase, StoredState } from './storage';

/** The log entries kept in memory, and the position up to which they are on disk. */
export interface RaftLog {
  readonly base: LogBase;
  readonly snapshot: SnapshotMeta | null;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Last index known to be on disk. */
  readonly savedIndex: number;
  /** The configuration of the newest configuration entry, committed or not. */
  readonly configuration: Configuration;
  /** Index of the newest configuration entry. */
  readonly configurationIndex: number;
  /** The configuration of the newest configuration entry up to `index`. */
  configurationAt(index: number): Configuration;
  /** The configuration at `index` and all newer ones. */
  configurationsFrom(index: number): readonly Configuration[];
  /** Term of an entry; undefined if the entry is not in memory. */
  termAt(index: number): number | undefined;
  /** Entries from `from` on, at most `limit` of them. */
  slice(from: number, limit: number): readonly LogEntry[];
  /** Appends entries, replacing existing ones from the first one's index on. */
  append(entries: readonly LogEntry[]): void;
  /** Returns the entries to write to disk next, and marks them as taken. */
  takeUnsaved(): readonly LogEntry[];
  /** Records that the log is on disk up to an entry, unless the entry has been replaced since. */
  markSaved(index: number, term: number): void;
  /** Drops entries up to `index` from memory. */
  compact(index: number, snapshot: SnapshotMeta): void;
  /** Replaces the whole log by a snapshot. */
  reset(snapshot: SnapshotMeta): void;
}

interface ConfigurationAt {
  readonly index: number;
  readonly configuration: Configuration;
}

const NO_CONFIGURATION: ConfigurationAt = { index: 0, configuration: { voters: [], learners: [] } };

function collectConfigurations(entries: readonly LogEntry[]): readonly ConfigurationAt[] {
  return entries.flatMap(({ index, payload }) =>
    payload.kind === 'configuration' ? [{ index, configuration: payload.configuration }] : [],
  );
}

/** Creates the log of a replica from its stored state. */
export function createRaftLog(stored: StoredState): RaftLog {
  let { base, snapshot } = stored;
  let entries = [...stored.entries];
  let unsavedFrom = base.index + entries.length + 1;
  let savedIndex = unsavedFrom - 1;
  let configurations: ConfigurationAt[] = [];

  const lastIndex = () => base.index + entries.length;

  function startConfigurations(): void {
    const first = snapshot
      ? { index: snapshot.index, configuration: snapshot.configuration }
      : NO_CONFIGURATION;
    configurations = [
      first,
      ...collectConfigurations(entries).filter(({ index }) => index > first.index),
    ];
  }

  function newestConfiguration(): ConfigurationAt {
    return configurations.at(-1) ?? NO_CONFIGURATION;
  }

  startConfigurations();

  return {
    get base() {
      return base;
    },
    get snapshot() {
      return snapshot;
    },
    get lastIndex() {
      return lastIndex();
    },
    get lastTerm() {
      return entries.at(-1)?.term ?? base.term;
    },
    get savedIndex() {
      return savedIndex;
    },
    get configuration() {
      return newestConfiguration().configuration;
    },
    get configurationIndex() {
      return newestConfiguration().index;
    },
    configurationAt(index) {
      const known = configurations.findLast((at) => at.index <= index);
      return (known ?? NO_CONFIGURATION).configuration;
    },
    configurationsFrom(index) {
      const newer = configurations.filter((at) => at.index > index);
      return [this.configurationAt(index), ...newer.map(({ configuration }) => configuration)];
    },
    termAt(index) {
      if (index === base.index) return base.term;
      return entries[index - base.index - 1]?.term;
    },
    slice(from, limit) {
      const start = from - base.index - 1;
      return start < 0 ? [] : entries.slice(start, start + limit);
    },
    append(added) {
      const first = added[0];
      if (!first) return;
      entries.length = first.index - base.index - 1;
      entries.push(...added);
      unsavedFrom = Math.min(unsavedFrom, first.index);
      savedIndex = Math.min(savedIndex, first.index - 1);
      configurations = configurations.filter(({ index }) => index < first.index);
      configurations.push(...collectConfigurations(added));
    },
    takeUnsaved() {
      const unsaved = entries.slice(unsavedFrom - base.index - 1);
      unsavedFrom = lastIndex() + 1;
      return unsaved;
    },
    markSaved(index, term) {
      if (index > savedIndex && this.termAt(index) === term) savedIndex = index;
    },
    compact(index, taken) {
      snapshot = taken;
      const term = this.termAt(index);
      if (term !== undefined && index > base.index) {
        entries = entries.slice(index - base.index);
        base = { index, term };
      }
      startConfigurations();
    },
    reset(received) {
      snapshot = received;
      base = { index: received.index, term: received.term };
      entries = [];
      unsavedFrom = base.index + 1;
      savedIndex = base.index;
      startConfigurations();
    },
  };
}
