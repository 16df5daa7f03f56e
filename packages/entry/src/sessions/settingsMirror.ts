/**
 * The settings in force on one entry VM. They count as confirmed for the length of a lease
 * from when a question was sent that the control group's leader, under its own lease,
 * answered. A change that is accepted is therefore in force on every VM that still takes
 * requests once a lease has passed.
 */
import { join } from 'node:path';
import { delay, readFileIfAny, replaceFile } from '@spoolplank/node';
import type { AcceptedChange, SettingsDelta } from '@spoolplank/control';
import { applyEdits, EMPTY_TREE, resolvePolicy } from '@spoolplank/settings';
import type { BranchPath, Policy, SettingsTree } from '@spoolplank/settings';
import { rankByRendezvous, SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { SettingsPull, SettingsPullReply, VersionReport } from '@spoolplank/controller';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';
import type { ControlClient } from './controlClient';

export interface SettingsMirror {
  readonly version: number;
  readonly tree: SettingsTree;
  /** Time for which the settings still count as confirmed; 0 when they do not. */
  remainingMs(): number;
  isFresh(): boolean;
  policyOf(path: BranchPath): Policy;
  /** The organisation of a bearer token's digest. */
  findOrganisation(tokenDigest: string): string | undefined;
  /** Answers another VM from here, with what is left of this VM's own lease. */
  relay(pull: SettingsPull): Promise<SettingsPullReply>;
  start(): Promise<void>;
  stop(): void;
}

const FLOOR_FILE = 'settings-floor.json';
/** Longest wait of one question, so that a lease is renewed well before it runs out. */
const PULL_WAIT_MS = 1000;
const RETRY_DELAY_MS = 100;
/** From this many entry VMs on, most ask a relay in their data centre. */
const RELAY_FROM_ENTRIES = 24;
const RELAYS_PER_DATA_CENTRE = 2;
const MAX_CACHED_POLICIES = 20_000;
/** Changes kept for VMs that ask this one. */
const MAX_RECENT_CHANGES = 200;

export interface SettingsMirrorOptions {
  readonly context: VmContext;
  readonly control: ControlClient;
}

/** The VMs to ask first: relays in the same data centre; none when the control VMs are asked. */
export function listRelays(context: Pick<VmContext, 'settings'>): readonly string[] {
  const { vm } = context.settings;
  const entries = listVmsWithRole(context.settings, 'entry');
  if (entries.length < RELAY_FROM_ENTRIES) return [];
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
  const downstream = new Map<string, { readonly version: number; readonly atMs: number }>();
  let organisationsByDigest = new Map<string, string>();
  let version = 0;
  let tree: SettingsTree = EMPTY_TREE;
  let recentChanges: readonly AcceptedChange[] = [];
  let freshUntilMs = Number.NEGATIVE_INFINITY;
  /** No version below this may be in force here again, also after a restart. */
  let floorVersion = 0;
  let isStopped = false;
  let waiters: (() => void)[] = [];

  function takeOver(next: SettingsTree, nextVersion: number): void {
    const hasOtherTokens = next.organisations !== tree.organisations;
    tree = next;
    version = nextVersion;
    policies.clear();
    if (hasOtherTokens) {
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
      takeOver(delta.tree, delta.version);
      return;
    }
    const fresh = delta.changes.filter((change) => change.version > version);
    const last = fresh.at(-1);
    if (!last) return;
    recentChanges = [...recentChanges, ...fresh].slice(-MAX_RECENT_CHANGES);
    takeOver(
      fresh.reduce((current, { edits }) => applyEdits(current, edits), tree),
      last.version,
    );
  }

  /** The changes since a version while they are at hand, else the whole tree. */
  function deltaSince(sinceVersion: number): SettingsDelta {
    const changes = recentChanges.filter((change) => change.version > sinceVersion);
    const isWhole = sinceVersion <= version && changes.length === version - sinceVersion;
    return isWhole ? { kind: 'changes', changes } : { kind: 'tree', version, tree };
  }

  async function raiseFloor(): Promise<void> {
    if (version <= floorVersion) return;
    floorVersion = version;
    if (floorPath !== undefined) await replaceFile(floorPath, `${JSON.stringify({ version })}\n`);
  }

  function collectReports(): readonly VersionReport[] {
    const oldestMs = clock.nowMs() - timings.settingsLeaseMs;
    downstream.forEach(({ atMs }, vmId) => {
      if (atMs < oldestMs) downstream.delete(vmId);
    });
    const others = [...downstream].map(([vmId, report]) => ({ vmId, version: report.version }));
    return [{ vmId: settings.vm.vmId, version }, ...others];
  }

  async function ask(pull: SettingsPull): Promise<SettingsPullReply> {
    const tryTimeoutMs = pull.waitMs + timings.peerTimeoutMs;
    for (const relayId of relays) {
      const relay = settings.peers.find(({ vmId }) => vmId === relayId);
      try {
        if (relay) {
          return await peers.call<SettingsPullReply>(
            toPeerTarget(relay),
            'settings.relay',
            pull,
            tryTimeoutMs,
          );
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

  async function pullOnce(): Promise<void> {
    const askedAtMs = clock.nowMs();
    const pull: SettingsPull = {
      reports: collectReports(),
      sinceVersion: version,
      waitMs: PULL_WAIT_MS,
    };
    const reply = await ask(pull);
    if (reply.version < Math.max(version, floorVersion)) {
      metrics.count('spoolplank_settings_older_refused_total');
      throw new SpoolplankError('version-conflict', {
        detail: `Version ${reply.version} is older than ${version}.`,
      });
    }
    applyDelta(reply.delta);
    await raiseFloor();
    freshUntilMs = Math.max(freshUntilMs, askedAtMs + reply.waitedMs + reply.leaseMs);
  }

  async function run(): Promise<void> {
    let wasFresh = false;
    while (!isStopped) {
      try {
        await pullOnce();
      } catch (thrown) {
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

  const remainingMs = () => Math.max(0, freshUntilMs - clock.nowMs());

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
      const known = policies.get(key);
      if (known) return known;
      const { policy } = resolvePolicy(tree, path);
      if (policies.size >= MAX_CACHED_POLICIES) policies.clear();
      policies.set(key, policy);
      return policy;
    },
    findOrganisation: (tokenDigest) => organisationsByDigest.get(tokenDigest),
    async relay({ reports, sinceVersion, waitMs }) {
      const atMs = clock.nowMs();
      reports.forEach((report) => downstream.set(report.vmId, { version: report.version, atMs }));
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
        const stored = await readFileIfAny(floorPath);
        if (stored)
          floorVersion = (JSON.parse(stored.toString('utf8')) as { version: number }).version;
      }
      run().catch((error: unknown) =>
        logger.error('settings-mirror-ended', { detail: String(error) }),
      );
    },
    stop() {
      isStopped = true;
    },
  };
}
