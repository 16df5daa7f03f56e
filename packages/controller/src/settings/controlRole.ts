/** The role `control`: a voter of the replicated log and the RPC methods that use it. */
import { createControlState, createLogClock } from '@spoolplank/control';
import type {
  AcceptedChange,
  ChangeResult,
  ControlRequest,
  ControlResult,
  ControlState,
} from '@spoolplank/control';
import { scheduleTimer } from '@spoolplank/node';
import type { PeerMethod } from '@spoolplank/node';
import type { Edit } from '@spoolplank/settings';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';
import { createGroupMember } from '../group/groupMember';
import type { GroupMember } from '../group/groupMember';
import { registerGroupMetrics } from '../group/groupMetrics';
import type { RecoveryReport } from '../group/groupRecovery';
import { collectChangeFindings, createReachTracker } from './settingsService';
import type { ReachReport, SettingsPull, SettingsPullReply } from './settingsService';

const GROUP = 'control';
/** A VM that has returned or has a new disk catches up within this many election timeouts. */
const CATCH_UP_TIMEOUTS = 6;

/** A settings change as sent by the operator's tool. */
export interface ChangeRequest {
  readonly changeId: string;
  readonly baseVersion: number;
  readonly edits: readonly Edit[];
  readonly author: string;
  readonly note?: string;
}

/** The response to a change; a conflict includes the changes made since the base version. */
export type ChangeReply = ChangeResult & { readonly changesSince?: readonly AcceptedChange[] };

export interface ControlRole {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  start(): Promise<void>;
  /** Transfers leadership and stops. */
  stop(): Promise<void>;
  describe(): JsonValue;
  /**
   * The copies of the log, and the one from which the group can be recovered after the permanent
   * loss of a majority.
   */
  reportRecovery(): Promise<RecoveryReport>;
  /** @throws SpoolplankError `recovery-refused`. */
  recover(replicaId: string): Promise<RecoveryReport>;
}

export interface ControlRoleOptions {
  readonly context: VmContext;
  readonly dataFolder: string;
  /** Called when the replica cannot continue; the process should exit. */
  readonly onFatal: (error: SpoolplankError) => void;
}

export async function createControlRole({
  context,
  dataFolder,
  onFatal,
}: ControlRoleOptions): Promise<ControlRole> {
  const { settings, clock, logger, timings, metrics, peers } = context;
  const logClock = createLogClock(clock);
  const state: ControlState = createControlState({ logClock });
  const controlVms = listVmsWithRole(settings, 'control');
  const others = new Map(
    controlVms.filter(({ vmId }) => vmId !== settings.vm.vmId).map((vm) => [vm.vmId, vm]),
  );
  const entryVmIds = listVmsWithRole(settings, 'entry').map(({ vmId }) => vmId);
  const reach = createReachTracker(clock, timings.settingsLeaseMs, entryVmIds);
  let versionWaiters: (() => void)[] = [];
  let lastVersion = 0;
  const member: GroupMember = await createGroupMember({
    clock,
    random: context.random,
    log: logger,
    peers,
    group: GROUP,
    vmId: settings.vm.vmId,
    dataCentre: settings.vm.dataCentre,
    dataFolder,
    bootstrapVmIds: controlVms.map(({ vmId }) => vmId),
    // All VMs bootstrapped the group, so a replica that joins later replaces a lost identity.
    isFirstStart: false,
    faultTolerance: {
      lossesBorne: Math.floor((controlVms.length - 1) / 2),
      catchUpMs: timings.electionTimeoutMs * CATCH_UP_TIMEOUTS,
    },
    timings,
    listOthers: () => [...others.keys()],
    findTarget(vmId) {
      const vm = others.get(vmId);
      return vm && toPeerTarget(vm);
    },
    dataCentreOf: (vmId) => controlVms.find((vm) => vm.vmId === vmId)?.dataCentre,
    stateMachine: state,
    describeState: () => `settings version ${state.settings.version}`,
    onApplied() {
      if (state.settings.version === lastVersion) return;
      lastVersion = state.settings.version;
      const waiting = versionWaiters;
      versionWaiters = [];
      waiting.forEach((resolve) => resolve());
    },
    onElected: () => reach.forget(),
    onFatal,
  });
  registerGroupMetrics(metrics, member);

  function assertCanRead(): void {
    if (member.canRead()) return;
    throw new SpoolplankError('not-leader', { leaderId: member.status()?.leaderId ?? undefined });
  }

  async function submit(request: ControlRequest): Promise<ControlResult> {
    const command = { ...request, logTimeMs: logClock.nowMs() };
    return (await member.propose(command as unknown as JsonValue)) as unknown as ControlResult;
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
    // The requester adds this duration to its own send time, so it must not be overestimated.
    const arrivedAtMs = clock.steadyMs();
    assertCanRead();
    reach.record(reports);
    await waitForVersion(sinceVersion, Math.min(waitMs, timings.settingsLeaseMs / 2));
    // Checked again, as leadership may have been lost during the wait.
    assertCanRead();
    return {
      version: state.settings.version,
      delta: state.settings.deltaSince(sinceVersion),
      leaseMs: timings.settingsLeaseMs,
      waitedMs: Math.floor(clock.steadyMs() - arrivedAtMs),
    };
  }

  const methods: Readonly<Record<string, PeerMethod>> = {
    ...member.methods,
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
      // Proposed together, so that a single disk sync covers all of them.
      return (await Promise.all(requests.map(submit))) as unknown as JsonValue;
    },
    'control.status': () => member.status() as unknown as JsonValue,
  };

  return {
    methods,
    reportRecovery: member.report,
    recover: member.recover,
    start: () => member.start(),
    stop: () => member.stop(),
    describe: () =>
      ({
        replica: member.status(),
        group: member.summary(),
        settingsVersion: state.settings.version,
        leases: state.leases.size,
        claims: state.claims.size,
      }) as unknown as JsonValue,
  };
}
