import { createHash } from 'node:crypto';
import { applyEdits, EMPTY_SETTINGS_TREE } from '@spoolplank/settings';
import type { Edit, SettingsTree } from '@spoolplank/settings';
import { canonicalJson } from '@spoolplank/shared';
import type { ChangeResult, ChangeSettings } from './commands';

export interface AcceptedChange {
  readonly version: number;
  readonly changeId: string;
  readonly edits: readonly Edit[];
  readonly author: string;
  readonly wallMs: number;
  readonly note?: string;
}

/** What a reader needs to update from its version to the newest one. */
export type SettingsDelta =
  | { readonly kind: 'changes'; readonly changes: readonly AcceptedChange[] }
  | { readonly kind: 'tree'; readonly version: number; readonly tree: SettingsTree };

interface StoredResult {
  readonly changeId: string;
  /** Distinguishes a retry from a different change with the same id. */
  readonly digest: string;
  readonly result: ChangeResult;
}

export interface SettingsSnapshot {
  readonly version: number;
  readonly tree: SettingsTree;
  readonly history: readonly AcceptedChange[];
  readonly results: readonly StoredResult[];
}

export interface SettingsStateOptions {
  /** Maximum number of accepted changes kept for history and deltas. */
  readonly maxHistory?: number;
  /** Maximum number of results kept for answering retries. */
  readonly maxResults?: number;
}

export interface SettingsState {
  readonly version: number;
  readonly tree: SettingsTree;
  apply(command: ChangeSettings): ChangeResult;
  deltaSince(version: number): SettingsDelta;
  /** The newest accepted changes, newest first. */
  history(limit: number): readonly AcceptedChange[];
  snapshot(): SettingsSnapshot;
  restore(snapshot: SettingsSnapshot): void;
}

const DEFAULT_MAX_HISTORY = 10_000;
const DEFAULT_MAX_RESULTS = 20_000;

function digestChange({ baseVersion, edits }: ChangeSettings): string {
  return createHash('sha256')
    .update(canonicalJson({ baseVersion, edits }))
    .digest('base64url')
    .slice(0, 16);
}

/** Drops the oldest entries once the limit is exceeded by 10 %, so that the cost is amortised. */
function dropOldest(list: unknown[], limit: number): void {
  if (list.length > limit * 1.1) list.splice(0, list.length - limit);
}

/** The settings in force, and the results needed to answer a retried change identically. */
export function createSettingsState(options: SettingsStateOptions = {}): SettingsState {
  const maxHistory = options.maxHistory ?? DEFAULT_MAX_HISTORY;
  const maxResults = options.maxResults ?? DEFAULT_MAX_RESULTS;
  let version = 0;
  let tree: SettingsTree = EMPTY_SETTINGS_TREE;
  let history: AcceptedChange[] = [];
  let results = new Map<string, StoredResult>();

  function storeResult(command: ChangeSettings, result: ChangeResult): ChangeResult {
    const { changeId } = command;
    results.set(changeId, { changeId, digest: digestChange(command), result });
    if (results.size > maxResults) {
      const [oldest] = results.keys();
      if (oldest !== undefined) results.delete(oldest);
    }
    return result;
  }

  function accept({ changeId, edits, author, wallMs, note }: ChangeSettings): ChangeResult {
    tree = applyEdits(tree, edits);
    version += 1;
    history.push({
      version,
      changeId,
      edits,
      author,
      wallMs,
      ...(note ? { note } : {}),
    });
    dropOldest(history, maxHistory);
    return { status: 'accepted', version };
  }

  return {
    get version() {
      return version;
    },
    get tree() {
      return tree;
    },
    apply(command) {
      const known = results.get(command.changeId);
      if (known) {
        return known.digest === digestChange(command)
          ? known.result
          : { status: 'reused', version };
      }
      if (command.baseVersion !== version)
        return storeResult(command, { status: 'conflict', version });
      return storeResult(command, accept(command));
    },
    deltaSince(since) {
      const changes = history.slice(Math.max(0, history.length - (version - since)));
      const coversGap = since <= version && changes.length === version - since;
      return coversGap ? { kind: 'changes', changes } : { kind: 'tree', version, tree };
    },
    history: (limit) => history.slice(-limit).reverse(),
    snapshot: () => ({
      version,
      tree,
      history,
      results: [...results.values()],
    }),
    restore(snapshot) {
      ({ version, tree } = snapshot);
      history = [...snapshot.history];
      results = new Map(snapshot.results.map((result) => [result.changeId, result]));
    },
  };
}
