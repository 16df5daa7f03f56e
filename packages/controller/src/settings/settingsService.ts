/** Settings on the leader: validation of changes, and the versions that entries have in force. */
import type { ControlState, SettingsDelta } from '@spoolplank/control';
import { applyEdits, collectEditFindings, collectTreeFindings } from '@spoolplank/settings';
import type { Edit } from '@spoolplank/settings';
import type { Clock, Finding } from '@spoolplank/shared';

/** Request of an entry VM to a source of settings. */
export interface SettingsPull {
  /** Versions in force on the requester and on the VMs that pull from it. */
  readonly reports: readonly VersionReport[];
  readonly sinceVersion: number;
  /** How long the source may hold the request until there is a newer version. */
  readonly waitMs: number;
}

export interface VersionReport {
  readonly vmId: string;
  readonly version: number;
}

export interface SettingsPullReply {
  readonly version: number;
  readonly delta: SettingsDelta;
  /** How long the reply counts as confirmed, from `waitedMs` after the request was sent. */
  readonly leaseMs: number;
  /**
   * Time between the arrival of the request and this reply, on the source's clock: the version was
   * checked no earlier than this long after the request was sent.
   */
  readonly waitedMs: number;
}

/** Which VMs have a version in force. */
export interface ReachReport {
  readonly version: number;
  readonly reached: readonly string[];
  /** VMs with a recent report of an older version. */
  readonly pending: readonly string[];
  /** VMs without contact for a whole lease; as they refuse requests, none has an older version. */
  readonly silent: readonly string[];
}

export interface ReachTracker {
  record(reports: readonly VersionReport[]): void;
  reach(version: number): ReachReport;
  forget(): void;
}

/** Tracks which entry VMs reported which version, for as long as a settings lease lasts. */
export function createReachTracker(
  clock: Clock,
  leaseMs: number,
  entryVmIds: readonly string[],
): ReachTracker {
  const seen = new Map<string, { readonly version: number; readonly atMs: number }>();
  let trackingSinceMs = clock.nowMs();
  return {
    record(reports) {
      reports.forEach(({ vmId, version }) => seen.set(vmId, { version, atMs: clock.nowMs() }));
    },
    reach(version) {
      const reached: string[] = [];
      const pending: string[] = [];
      const silent: string[] = [];
      const nowMs = clock.nowMs();
      entryVmIds.forEach((vmId) => {
        const report = seen.get(vmId);
        // A VM without contact may have confirmed its version elsewhere within the last lease.
        const lastMs = report?.atMs ?? trackingSinceMs;
        if (report && report.version >= version) reached.push(vmId);
        else if (nowMs - lastMs > leaseMs) silent.push(vmId);
        else pending.push(vmId);
      });
      return {
        version,
        reached,
        pending,
        silent,
      };
    },
    forget() {
      seen.clear();
      trackingSinceMs = clock.nowMs();
    },
  };
}

/** Findings of a change, validated against the current settings tree. */
export function collectChangeFindings(
  state: ControlState,
  edits: readonly Edit[],
): readonly Finding[] {
  const formFindings = collectEditFindings(edits, 'edits');
  if (formFindings.length) return formFindings;
  return collectTreeFindings(applyEdits(state.settings.tree, edits), 'settings');
}
