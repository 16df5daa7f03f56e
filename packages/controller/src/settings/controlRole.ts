/** The role `control`: one voter of the replicated log and the methods that use it. */
import { join } from 'node:path';
import { createGroupRunner, decideRepair, replicasOf, vmOfReplica } from '@spoolplank/consensus';
import type { GroupDescription, JoinRequest, Message, ReplicaStatus } from '@spoolplank/consensus';
import { createControlState, createLogClock } from '@spoolplank/control';
import type {
  AcceptedChange,
  ChangeResult,
  ControlRequest,
  ControlResult,
  ControlState,
} from '@spoolplank/control';
import { createFileStorage, delay, loadIdentity, scheduleTimer } from '@spoolplank/node';
import type { PeerMethod } from '@spoolplank/node';
import type { Edit } from '@spoolplank/settings';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';
import { createRaftTransport } from '../raftTransport';
import { findGroup } from './findGroup';
import { collectChangeFindings, createReachTracker } from './settingsService';
import type { ReachReport, SettingsPull, SettingsPullReply } from './settingsService';

const GROUP = 'control';
const REPAIR_INTERVAL_MS = 250;

/** A change as the operator's tool sends it. */
export interface ChangeRequest {
  readonly changeId: string;
  readonly baseVersion: number;
  readonly edits: readonly Edit[];
  readonly author: string;
  readonly note?: string;
}

/** The answer to a change; a conflict shows what is in force and how it came about. */
export type ChangeReply = ChangeResult & { readonly changesSince?: readonly AcceptedChange[] };

export interface ControlRole {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  start(): Promise<void>;
  /** Hands the lead over and stops. */
  stop(): Promise<void>;
  describe(): JsonValue;
}

export interface ControlRoleOptions {
  readonly context: VmContext;
  readonly dataFolder: string;
  /** Told when the replica cannot go on; the process should end. */
  readonly onFatal: (error: SpoolplankError) => void;
}

export async function createControlRole({
  context,
  dataFolder,
  onFatal,
}: ControlRoleOptions): Promise<ControlRole> {
  const { settings, clock, logger, timings, metrics, peers } = context;
  const replicaId = await loadIdentity(dataFolder, settings.vm.vmId);
  const storage = createFileStorage({ folder: join(dataFolder, GROUP) });
  const logClock = createLogClock(clock);
  const state: ControlState = createControlState({ logClock });
  const others = listVmsWithRole(settings, 'control').filter(
    ({ vmId }) => vmId !== settings.vm.vmId,
  );
  const targets = new Map(others.map((vm) => [vm.vmId, toPeerTarget(vm)]));
  const entryVmIds = listVmsWithRole(settings, 'entry').map(({ vmId }) => vmId);
  const reach = createReachTracker(clock, timings.settingsLeaseMs, entryVmIds);
  const joining = new Set<string>();
  let versionWaiters: (() => void)[] = [];
  let lastVersion = 0;
  let isTakingPart = false;
  let isStopped = false;
  let wasLeader = false;

  const runner = createGroupRunner({
    id: replicaId,
    group: GROUP,
    clock,
    random: context.random,
    storage,
    stateMachine: state,
    send: createRaftTransport({ peers, findTarget: (vmId) => targets.get(vmId) }).send,
    schedule: scheduleTimer,
    timings: {
      electionTimeoutMs: timings.electionTimeoutMs,
      heartbeatIntervalMs: timings.heartbeatIntervalMs,
    },
    onStorageState(error) {
      if (!error) logger.info('storage-recovered');
      else if (error.code === 'storage-full')
        logger.error('storage-full', { detail: error.message });
      else onFatal(error);
    },
    onApplied() {
      if (state.settings.version === lastVersion) return;
      lastVersion = state.settings.version;
      const waiting = versionWaiters;
      versionWaiters = [];
      waiting.forEach((resolve) => resolve());
    },
  });

  function status(): ReplicaStatus | null {
    return isTakingPart ? runner.status() : null;
  }

  function assertCanRead(): void {
    if (isTakingPart && runner.canRead()) return;
    throw new SpoolplankError('not-leader', { leaderId: status()?.leaderId ?? undefined });
  }

  async function submit(request: ControlRequest): Promise<ControlResult> {
    if (!isTakingPart) throw new SpoolplankError('not-leader');
    const command = { ...request, logTimeMs: logClock.nowMs() };
    return (await runner.propose(command as unknown as JsonValue)) as unknown as ControlResult;
  }

  async function changeSettings(request: ChangeRequest): Promise<ChangeReply> {
    assertCanRead();
    if (request.baseVersion === state.settings.version) {
      const findings = collectChangeFindings(state, request.edits);
      if (findings.length) throw new SpoolplankError('invalid-settings', { findings });
    }
    const result = (await submit({
      ...request,
      kind: 'settings.change',
      wallMs: clock.wallMs(),
    })) as ChangeResult;
    metrics.count('spoolplank_settings_changes_total', { status: result.status });
    if (result.status !== 'conflict') return result;
    const delta = state.settings.deltaSince(request.baseVersion);
    return { ...result, changesSince: delta.kind === 'changes' ? delta.changes : [] };
  }

  async function waitForVersion(sinceVersion: number, waitMs: number): Promise<void> {
    if (state.settings.version > sinceVersion || waitMs <= 0) return;
    await new Promise<void>((resolve) => {
      const cancel = scheduleTimer(resolve, waitMs);
      versionWaiters.push(() => {
        cancel();
        resolve();
      });
    });
  }

  async function pullSettings({
    reports,
    sinceVersion,
    waitMs,
  }: SettingsPull): Promise<SettingsPullReply> {
    // Who asked counts it as time that has passed there: it must not be too much.
    const arrivedAtMs = clock.steadyMs();
    assertCanRead();
    reach.note(reports);
    await waitForVersion(sinceVersion, Math.min(waitMs, timings.settingsLeaseMs / 2));
    // Checked again: the lead may have been lost during the wait.
    assertCanRead();
    return {
      version: state.settings.version,
      delta: state.settings.deltaSince(sinceVersion),
      leaseMs: timings.settingsLeaseMs,
      waitedMs: Math.floor(clock.steadyMs() - arrivedAtMs),
    };
  }

  function describeGroup(): GroupDescription {
    const configuration = status()?.configuration ?? null;
    return {
      replicaId,
      configuration: configuration && configuration.voters.length > 0 ? configuration : null,
    };
  }

  const methods: Readonly<Record<string, PeerMethod>> = {
    'consensus.step': (params, senderVmId) => {
      const { messages } = params as unknown as { readonly messages: readonly Message[] };
      if (!isTakingPart) return null;
      // A VM speaks for its own replicas only.
      messages
        .filter(({ from }) => vmOfReplica(from) === senderVmId)
        .forEach((message) => runner.receive(message));
      return null;
    },
    'group.describe': () => describeGroup() as unknown as JsonValue,
    'group.join': (params, senderVmId) => {
      const { replicaId: candidate } = params as unknown as JoinRequest;
      assertCanRead();
      if (vmOfReplica(candidate) !== senderVmId) throw new SpoolplankError('forbidden');
      joining.add(candidate);
      return null;
    },
    'settings.change': (params) =>
      changeSettings(params as unknown as ChangeRequest) as unknown as Promise<JsonValue>,
    'settings.pull': (params) =>
      pullSettings(params as unknown as SettingsPull) as unknown as Promise<JsonValue>,
    'settings.history': (params) => {
      assertCanRead();
      const { limit } = params as unknown as { readonly limit: number };
      return state.settings.history(limit) as unknown as JsonValue;
    },
    'settings.reach': (params) => {
      assertCanRead();
      const { version } = params as unknown as { readonly version: number };
      const report: ReachReport = reach.reach(version);
      return report as unknown as JsonValue;
    },
    'control.submit': async (params) => {
      const { requests } = params as unknown as { readonly requests: readonly ControlRequest[] };
      // Proposed together, so that one sync serves all of them.
      return (await Promise.all(requests.map(submit))) as unknown as JsonValue;
    },
    'control.status': () => status() as unknown as JsonValue,
  };

  async function askToJoin(): Promise<void> {
    await Promise.all(
      others.map((vm) =>
        peers.call(toPeerTarget(vm), 'group.join', { replicaId }).catch(() => null),
      ),
    );
  }

  async function repairMembership(): Promise<void> {
    const current = status();
    if (!current) return;
    const { voters } = current.configuration;
    if (current.role !== 'leader') {
      joining.clear();
      if (!voters.includes(replicaId)) await askToJoin();
      return;
    }
    const [candidate] = joining;
    if (candidate === undefined) return;
    const change = decideRepair(current, candidate);
    if (change) {
      logger.info('membership-change', { kind: change.kind, replicas: replicasOf(change) });
      await runner.changeMembership(change);
    } else if (voters.includes(candidate)) joining.delete(candidate);
  }

  function noteLeadership(): void {
    const isLeader = status()?.role === 'leader';
    if (isLeader && !wasLeader) {
      reach.forget();
      logger.info('leader-elected', { term: runner.status().term });
    }
    wasLeader = isLeader;
  }

  async function runRepairs(): Promise<void> {
    while (!isStopped) {
      noteLeadership();
      await repairMembership().catch(() => {});
      await delay(REPAIR_INTERVAL_MS);
    }
  }

  return {
    methods,
    async start() {
      const stored = await storage.load();
      const isBlank = stored.snapshot === null && stored.entries.length === 0;
      if (isBlank) await findGroup({ context, replicaId, storage, isStopped: () => isStopped });
      if (isStopped) return;
      await runner.start();
      isTakingPart = true;
      runRepairs().catch(() => {});
    },
    async stop() {
      isStopped = true;
      if (!isTakingPart) return;
      if (runner.status().role === 'leader' && runner.transferLeadership()) {
        await delay(timings.heartbeatIntervalMs);
      }
      isTakingPart = false;
      await runner.stop();
    },
    describe: () =>
      ({
        replica: status(),
        settingsVersion: state.settings.version,
        leases: state.leases.size,
        claims: state.claims.size,
      }) as unknown as JsonValue,
  };
}
