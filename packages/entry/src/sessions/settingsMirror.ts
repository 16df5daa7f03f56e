/**
 * The settings in force on one entry VM. They count as confirmed for the duration of a lease that
 * the control group's leader, under its own lease, grants in reply to a pull. The lease counts from
 * when the pull was sent, plus the time for which it was held before the reply. One lease duration
 * after a change was accepted, it is therefore in force on every VM that still accepts requests.
 */
import { join } from 'node:path';
import { delay, readFileIfExists, replaceFile } from '@spoolplank/node';
import type { AcceptedChange, SettingsDelta } from '@spoolplank/control';
import { applyEdits, EMPTY_SETTINGS_TREE, resolvePolicy } from '@spoolplank/settings';
import type { BranchPath, Policy, SettingsTree } from '@spoolplank/settings';
import { rankByRendezvous, SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { SettingsPull, SettingsPullReply, VersionReport } from '@spoolplank/controller';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';
import type { ControlClient } from './controlClient';

export interface SettingsMirror {
  readonly version: number;
  readonly tree: SettingsTree;
  /** Remaining time of the lease on the settings; 0 when it has expired. */
  remainingMs(): number;
  isFresh(): boolean;
  policyOf(path: BranchPath): Policy;
  /** The organisation that a bearer token belongs to, by the token's digest. */
  findOrganisation(tokenDigest: string): string | undefined;
  /** Answers another VM's pull, with the remaining time of this VM's own lease. */
  relay(pull: SettingsPull): Promise<SettingsPullReply>;
  start(): Promise<void>;
  stop(): void;
}

const FLOOR_FILE = 'settings-floor.json';
/** Maximum long-poll wait of one pull, so that a lease is renewed well before it expires. */
const PULL_WAIT_MS = 1000;
const RETRY_DELAY_MS = 100;
/**
 * Share of the lease after which a pull without a reply is overdue. The control group tolerates the
 * loss of a VM, so the lease must last until another one has replied.
 */
const OVERDUE_LEASE_SHARE = 1 / 6;
/** With at least this many entry VMs, most of them pull from a relay in their data centre. */
const MIN_ENTRIES_FOR_RELAYS = 24;
const RELAYS_PER_DATA_CENTRE = 2;
const MAX_CACHED_POLICIES = 20_000;
/** Recent changes kept to answer VMs that pull from this one. */
const MAX_RECENT_CHANGES = 200;

export interface SettingsMirrorOptions {
  readonly context: VmContext;
  readonly control: ControlClient;
}

/**
 * Relays in the same data centre, which this VM pulls from first. Empty when it pulls from the
 * control VMs directly.
 */
export function listRelays(context: Pick<VmContext, 'settings'>): readonly string[] {
  const { vm } = context.settings;
  const entries = listVmsWithRole(context.settings, 'entry');
  if (entries.length < MIN_ENTRIES_FOR_RELAYS) return [];
  const local = entries
    .filter(({ dataCentre }) => dataCentre === vm.dataCentre)
    .map(({ vmId }) => vmId);
  const relays = rankByRendezvous(`relay ${vm.dataCentre}`, local).slice(0, RELAYS_PER_DATA_CENTRE);
  return relays.includes(vm.vmId) ? [] : relays;
}

export function createSettingsMirror({ context, control }: SettingsMirrorOptions): SettingsMirror {
  const { settings, clock, timings, metrics, logger, peers } = context;
  const floorPath =
    settings.dataFolder === undefined ? undefined : join(settings.dataFolder, FLOOR_FILE);
  const relays = listRelays(context);
  const policies = new Map<string, Policy>();
  const downstreamReports = new Map<string, { readonly version: number; readonly atMs: number }>();
  let organisationsByDigest = new Map<string, string>();
  let version = 0;
  let tree: SettingsTree = EMPTY_SETTINGS_TREE;
  let recentChanges: readonly AcceptedChange[] = [];
  let freshUntilMs = Number.NEGATIVE_INFINITY;
  /** Lowest version that may be put in force here; persisted, so it holds across restarts. */
  let floorVersion = 0;
  let isStopped = false;
  /** Whether the last pull was answered. The next one may then be held until there is a change. */
  let isRenewed = false;
  let waiters: (() => void)[] = [];

  function installTree(next: SettingsTree, nextVersion: number): void {
    const hasTokenChanges = next.organisations !== tree.organisations;
    tree = next;
    version = nextVersion;
    policies.clear();
    if (hasTokenChanges) {
      organisationsByDigest = new Map(
        Object.entries(tree.organisations ?? {}).flatMap(([name, { tokenDigests = [] }]) =>
          tokenDigests.map((digest): [string, string] => [digest, name]),
        ),
      );
    }
    const waiting = waiters;
    waiters = [];
    waiting.forEach((resolve) => resolve());
  }

  function applyDelta(delta: SettingsDelta): void {
    if (delta.kind === 'tree') {
      recentChanges = [];
      installTree(delta.tree, delta.version);
      return;
    }
    const newChanges = delta.changes.filter((change) => change.version > version);
    const last = newChanges.at(-1);
    if (!last) return;
    recentChanges = [...recentChanges, ...newChanges].slice(-MAX_RECENT_CHANGES);
    installTree(
      newChanges.reduce((current, { edits }) => applyEdits(current, edits), tree),
      last.version,
    );
  }

  /** The changes since a version if all of them are still kept, else the whole tree. */
  function deltaSince(sinceVersion: number): SettingsDelta {
    const changes = recentChanges.filter((change) => change.version > sinceVersion);
    const isComplete = sinceVersion <= version && changes.length === version - sinceVersion;
    return isComplete ? { kind: 'changes', changes } : { kind: 'tree', version, tree };
  }

  async function persistFloor(): Promise<void> {
    if (version <= floorVersion) return;
    floorVersion = version;
    if (floorPath !== undefined) await replaceFile(floorPath, `${JSON.stringify({ version })}\n`);
  }

  function collectReports(): readonly VersionReport[] {
    const oldestMs = clock.nowMs() - timings.settingsLeaseMs;
    downstreamReports.forEach(({ atMs }, vmId) => {
      if (atMs < oldestMs) downstreamReports.delete(vmId);
    });
    const downstream = [...downstreamReports].map(([vmId, report]) => ({
      vmId,
      version: report.version,
    }));
    return [{ vmId: settings.vm.vmId, version }, ...downstream];
  }

  const remainingMs = () => Math.max(0, freshUntilMs - clock.nowMs());

  const overdueMs = Math.min(timings.peerTimeoutMs, timings.settingsLeaseMs * OVERDUE_LEASE_SHARE);

  async function sendPull(pull: SettingsPull): Promise<SettingsPullReply> {
    const tryTimeoutMs = pull.waitMs + timings.peerTimeoutMs;
    for (const relayId of relays) {
      const relay = settings.peers.find(({ vmId }) => vmId === relayId);
      try {
        if (relay) {
          return await peers.call<SettingsPullReply>(toPeerTarget(relay), 'settings.relay', pull, {
            timeoutMs: tryTimeoutMs,
          });
        }
      } catch {
        metrics.count('spoolplank_relay_failures_total');
      }
    }
    return control.call<SettingsPullReply>('settings.pull', pull, {
      withinMs: tryTimeoutMs,
      tryTimeoutMs,
    });
  }

  /** Sends a pull that is not held, to another control VM than one whose reply is overdue. */
  function sendBackupPull(pull: SettingsPull): Promise<SettingsPullReply> {
    return control.call<SettingsPullReply>('settings.pull', pull, {
      withinMs: timings.peerTimeoutMs,
      tryTimeoutMs: overdueMs,
      startsElsewhere: true,
      usesNewConnection: true,
    });
  }

  async function pullOnce(
    waitMs: number,
    send: (pull: SettingsPull) => Promise<SettingsPullReply>,
  ): Promise<void> {
    const pullSentAtMs = clock.nowMs();
    const pull: SettingsPull = { reports: collectReports(), sinceVersion: version, waitMs };
    const reply = await send(pull);
    if (reply.version < Math.max(version, floorVersion)) {
      metrics.count('spoolplank_settings_older_refused_total');
      throw new SpoolplankError('version-conflict', {
        detail: `Version ${reply.version} is older than ${version}.`,
      });
    }
    applyDelta(reply.delta);
    await persistFloor();
    freshUntilMs = Math.max(freshUntilMs, pullSentAtMs + reply.waitedMs + reply.leaseMs);
  }

  /** Renews the lease by the first reply to a pull or, when that is overdue, to a backup. */
  async function renewLease(): Promise<void> {
    const waitMs = isRenewed ? PULL_WAIT_MS : 0;
    const first = pullOnce(waitMs, sendPull);
    const isOverdue = await Promise.race([
      first.then(() => false),
      delay(waitMs + overdueMs).then(() => true),
    ]);
    if (!isOverdue) return;
    metrics.count('spoolplank_settings_pulls_overdue_total');
    logger.info('settings-pull-overdue', { version, remainingMs: Math.round(remainingMs()) });
    await Promise.any([first, pullOnce(0, sendBackupPull)]);
  }

  async function pullUntilStopped(): Promise<void> {
    let wasFresh = false;
    while (!isStopped) {
      try {
        await renewLease();
        isRenewed = true;
      } catch (thrown) {
        isRenewed = false;
        const error = toSpoolplankError(thrown);
        logger.debug('settings-pull-failed', { code: error.code, detail: error.message });
        await delay(RETRY_DELAY_MS);
      }
      const isFresh = freshUntilMs > clock.nowMs();
      if (isFresh !== wasFresh)
        logger.info(isFresh ? 'settings-confirmed' : 'settings-stale', { version });
      wasFresh = isFresh;
    }
  }

  async function waitForChange(sinceVersion: number, waitMs: number): Promise<void> {
    if (version > sinceVersion || waitMs <= 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  return {
    get version() {
      return version;
    },
    get tree() {
      return tree;
    },
    remainingMs,
    isFresh: () => remainingMs() > 0,
    policyOf(path) {
      const key = JSON.stringify([
        path.organisation,
        path.service,
        path.pipeline,
        path.backendServer,
      ]);
      const cached = policies.get(key);
      if (cached) return cached;
      const { policy } = resolvePolicy(tree, path);
      if (policies.size >= MAX_CACHED_POLICIES) policies.clear();
      policies.set(key, policy);
      return policy;
    },
    findOrganisation: (tokenDigest) => organisationsByDigest.get(tokenDigest),
    async relay({ reports, sinceVersion, waitMs }) {
      const atMs = clock.nowMs();
      reports.forEach((report) =>
        downstreamReports.set(report.vmId, { version: report.version, atMs }),
      );
      await waitForChange(sinceVersion, Math.min(waitMs, timings.settingsLeaseMs / 2));
      const leaseMs = remainingMs();
      const waitedMs = Math.floor(clock.nowMs() - atMs);
      if (leaseMs <= 0) throw new SpoolplankError('settings-stale');
      return {
        version,
        leaseMs,
        waitedMs,
        delta: deltaSince(sinceVersion),
      };
    },
    async start() {
      if (floorPath !== undefined) {
        const stored = await readFileIfExists(floorPath);
        if (stored)
          floorVersion = (JSON.parse(stored.toString('utf8')) as { version: number }).version;
      }
      pullUntilStopped().catch((error: unknown) =>
        logger.error('settings-mirror-ended', { detail: String(error) }),
      );
    },
    stop() {
      isStopped = true;
    },
  };
}
