/** The role `entry`: creates and connects the components of an entry VM. */
import type { Server } from 'node:http';
import { closeServer, delay } from '@spoolplank/node';
import type { PeerMethod } from '@spoolplank/node';
import { createBackendLoadTable, createBackoffTable, createRetryBudget } from '@spoolplank/routing';
import type { JsonValue } from '@spoolplank/shared';
import type { ControlRole, SettingsPull } from '@spoolplank/controller';
import type { VmContext } from '@spoolplank/vm';
import { createClaimsClient } from './claimsClient';
import { createCompletionRoute } from './completions';
import { createControlClient } from './controlClient';
import { createDirectorySync } from './directorySync';
import type { DirectoryPull } from './directorySync';
import type { EntryContext } from './entryContext';
import { listenForCallers } from './entryServer';
import { createAdmissionControl } from './admissionControl';
import { createOperatorRoutes } from './operatorRoutes';
import { createSessionLimits } from './sessionLimits';
import { createSessionReplication } from './sessionReplication';
import { createSessionStore, toSessionUpdate } from './sessionStore';
import type { SessionUpdate } from './sessionStore';
import { createSettingsMirror } from './settingsMirror';

export interface EntryRole {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  start(): Promise<void>;
  /** Announces the shutdown, rejects new requests, and resolves when the last one has ended. */
  drain(): Promise<void>;
  /** Stops immediately; returns the number of aborted requests. */
  stop(): Promise<number>;
  describe(): JsonValue;
  settingsVersion(): number;
}

export interface EntryRoleOptions {
  readonly context: VmContext;
  readonly controlMethods: Readonly<Record<string, PeerMethod>>;
  readonly describeControl: () => JsonValue;
  /** Null on a VM without the role control. */
  readonly recovery: Pick<ControlRole, 'reportRecovery' | 'recover'> | null;
}

const DRAIN_POLL_MS = 50;
const SWEEP_INTERVAL_MS = 10_000;

export function createEntryRole({
  context,
  controlMethods,
  describeControl,
  recovery,
}: EntryRoleOptions): EntryRole {
  const { clock, settings } = context;
  let isShuttingDown = false;
  let server: Server | undefined;
  let sweepTimer: NodeJS.Timeout | undefined;
  const control = createControlClient(context, controlMethods);
  const mirror = createSettingsMirror({ context, control });
  const admissionControl = createAdmissionControl(mirror, clock);
  const isTaking = () => !isShuttingDown && mirror.isFresh();
  const directorySync = createDirectorySync({
    context,
    isTaking,
    readLoad: () => ({ running: admissionControl.running, queued: admissionControl.waiting }),
  });
  const sessions = createSessionStore({ clock });
  const entryContext: EntryContext = {
    ...context,
    control,
    mirror,
    directorySync,
    admissionControl,
    sessions,
    isTaking,
    claims: createClaimsClient(control),
    loads: createBackendLoadTable(),
    backoffs: createBackoffTable({ clock }),
    limits: createSessionLimits(context, directorySync),
    retryBudget: createRetryBudget(),
    isShuttingDown: () => isShuttingDown,
  };
  const replication = createSessionReplication(context, sessions);
  const completions = createCompletionRoute(entryContext, replication);
  const operators = createOperatorRoutes({ context: entryContext, describeControl, recovery });

  const methods: Readonly<Record<string, PeerMethod>> = {
    ...entryContext.limits.methods,
    'directory.pull': async (params) =>
      (await directorySync.serve(params as unknown as DirectoryPull)) as unknown as JsonValue,
    'settings.relay': async (params) =>
      (await mirror.relay(params as unknown as SettingsPull)) as unknown as JsonValue,
    'sessions.put': (params) => {
      const { updates } = params as unknown as { readonly updates: readonly SessionUpdate[] };
      const missing = updates.filter((update) => !sessions.applyUpdate(update)).map(({ id }) => id);
      return { missing };
    },
    'sessions.get': (params) => {
      const record = sessions.find((params as unknown as { readonly id: string }).id);
      return (record ? toSessionUpdate(record, 0, true) : null) as unknown as JsonValue;
    },
  };

  function describe(): JsonValue {
    return {
      vm: settings.vm as unknown as JsonValue,
      instance: context.instance,
      isTaking: isTaking(),
      isShuttingDown,
      settings: { version: mirror.version, remainingMs: mirror.remainingMs() },
      directory: directorySync.directory.listAll() as unknown as JsonValue,
      admission: admissionControl.counts() as unknown as JsonValue,
      retryBudget: entryContext.retryBudget.saved,
      backoffs: entryContext.backoffs.list() as unknown as JsonValue,
      limits: entryContext.limits.describe(),
      sessions: sessions.size,
      control: describeControl(),
      memory: {
        residentBytes: process.memoryUsage.rss(),
        heapBytes: process.memoryUsage().heapUsed,
      },
      processorTimeMs: Math.round((process.cpuUsage().user + process.cpuUsage().system) / 1000),
    };
  }

  return {
    methods,
    async start() {
      await mirror.start();
      directorySync.start();
      replication.start();
      sweepTimer = setInterval(() => entryContext.limits.sweep(), SWEEP_INTERVAL_MS);
      server = await listenForCallers({
        context: entryContext,
        completions,
        operators,
        dump: describe,
      });
    },
    async drain() {
      isShuttingDown = true;
      await directorySync.leave();
      while (admissionControl.running + admissionControl.waiting > 0) await delay(DRAIN_POLL_MS);
      await replication.flush();
    },
    async stop() {
      const abortedRequests = admissionControl.running + admissionControl.waiting;
      isShuttingDown = true;
      mirror.stop();
      directorySync.stop();
      replication.stop();
      clearInterval(sweepTimer);
      if (server) await closeServer(server, true);
      return abortedRequests;
    },
    describe,
    settingsVersion: () => mirror.version,
  };
}
