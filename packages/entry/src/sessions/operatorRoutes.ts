/** HTTP API for operators: settings, status and recovery of the control group. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { parseJsonBody, readBody } from '@spoolplank/node';
import {
  applyEdits,
  collectEditFindings,
  collectTreeFindings,
  resolvePolicy,
} from '@spoolplank/settings';
import type { BranchPath, Edit } from '@spoolplank/settings';
import { isJsonObject, parsePointer, SpoolplankError } from '@spoolplank/shared';
import type { JsonObject, JsonValue } from '@spoolplank/shared';
import type { ChangeReply, ControlRole, ReachReport } from '@spoolplank/controller';
import { ENTRY_SERVICE } from './directorySync';
import type { EntryContext } from './entryContext';

export interface OperatorRoutes {
  getConfig(url: URL): JsonValue;
  changeConfig(request: IncomingMessage): Promise<JsonValue>;
  validateConfig(request: IncomingMessage): Promise<JsonValue>;
  getHistory(url: URL): Promise<JsonValue>;
  getReach(url: URL): Promise<JsonValue>;
  getStatus(): JsonValue;
  /** The replicas of the control group, and which of them may recover it without a majority. */
  getRecovery(): Promise<JsonValue>;
  recover(request: IncomingMessage): Promise<JsonValue>;
}

const MAX_CHANGE_BYTES = 33_554_432;
const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 1000;
const CHANGE_TIMEOUT_MS = 8000;
const ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

function asJson(value: unknown): JsonValue {
  return value as JsonValue;
}

function findValue(root: JsonValue, pointer: string): JsonValue {
  return parsePointer(pointer).reduce<JsonValue>((value, segment) => {
    const child = isJsonObject(value) && Object.hasOwn(value, segment) ? value[segment] : undefined;
    if (child === undefined)
      throw new SpoolplankError('not-found', { detail: `${pointer} is not set.` });
    return child;
  }, root);
}

const BRANCH_LEVELS: Readonly<Record<string, keyof BranchPath>> = {
  organisations: 'organisation',
  services: 'service',
  pipelines: 'pipeline',
  backendServers: 'backendServer',
};

/** Parses a pointer such as /organisations/a/services/b into a settings branch. */
function toBranchPath(pointer: string): BranchPath {
  const segments = parsePointer(pointer);
  const path: Record<string, string> = {};
  for (let index = 0; index + 1 < segments.length; index += 2) {
    const level = BRANCH_LEVELS[segments[index] ?? ''];
    const name = segments[index + 1];
    if (!level || name === undefined)
      throw new SpoolplankError('bad-request', { detail: `${pointer} is not a branch.` });
    path[level] = name;
  }
  return path;
}

function readLimit(url: URL): number {
  const limit = Number(url.searchParams.get('limit') ?? DEFAULT_HISTORY_LIMIT);
  if (!Number.isInteger(limit) || limit < 1 || limit > MAX_HISTORY_LIMIT) {
    throw new SpoolplankError('bad-request', {
      detail: `limit: a whole number from 1 to ${MAX_HISTORY_LIMIT} is expected.`,
    });
  }
  return limit;
}

function readVersion(value: unknown, name: string): number {
  if (typeof value !== 'number' || !Number.isInteger(value) || value < 0) {
    throw new SpoolplankError('bad-request', {
      detail: `${name}: a whole number from 0 is expected.`,
    });
  }
  return value;
}

function readText(body: JsonObject, name: string, fallback: string): string {
  const value = body[name] ?? fallback;
  if (typeof value !== 'string' || !ID_PATTERN.test(value)) {
    throw new SpoolplankError('bad-request', {
      detail: `${name}: 1 to 128 printable characters are expected.`,
    });
  }
  return value;
}

function readEdits(value: JsonValue | undefined): readonly Edit[] {
  const findings = collectEditFindings(value, 'edits');
  if (findings.length) throw new SpoolplankError('invalid-settings', { findings });
  return value as unknown as readonly Edit[];
}

export interface OperatorRoutesOptions {
  readonly context: EntryContext;
  readonly describeControl: () => JsonValue;
  /** Null on a VM without the role control. */
  readonly recovery: Pick<ControlRole, 'reportRecovery' | 'recover'> | null;
}

export function createOperatorRoutes(options: OperatorRoutesOptions): OperatorRoutes {
  const { context, describeControl, recovery } = options;
  const { control, mirror, directorySync, admissionControl, sessions, settings } = context;

  async function readObject(request: IncomingMessage): Promise<JsonObject> {
    const body = parseJsonBody(await readBody(request, MAX_CHANGE_BYTES));
    if (!isJsonObject(body))
      throw new SpoolplankError('bad-request', { detail: 'An object is expected.' });
    return body;
  }

  function requireRecovery() {
    if (recovery) return recovery;
    throw new SpoolplankError('not-found', { detail: 'This VM does not have the role control.' });
  }

  return {
    getRecovery: async () => asJson(await requireRecovery().reportRecovery()),
    async recover(request) {
      const body = await readObject(request);
      return asJson(await requireRecovery().recover(readText(body, 'replicaId', '')));
    },
    getConfig(url) {
      const pointer = url.searchParams.get('pointer') ?? '';
      const { version, tree } = mirror;
      const versionInfo = { version, isConfirmed: mirror.isFresh() };
      if (url.searchParams.get('effective') !== 'true')
        return { ...versionInfo, value: findValue(asJson(tree), pointer) };
      const { policy, origins } = resolvePolicy(tree, toBranchPath(pointer));
      return { ...versionInfo, value: asJson(policy), origins: asJson(origins) };
    },
    async changeConfig(request) {
      const body = await readObject(request);
      const note = body.note === undefined ? {} : { note: String(body.note).slice(0, 500) };
      const reply = await control.call<ChangeReply>(
        'settings.change',
        {
          changeId: readText(body, 'changeId', randomUUID()),
          baseVersion: readVersion(body.baseVersion, 'baseVersion'),
          edits: readEdits(body.edits),
          author: readText(body, 'author', 'operator'),
          ...note,
        },
        { withinMs: CHANGE_TIMEOUT_MS },
      );
      return asJson(reply);
    },
    async validateConfig(request) {
      const body = await readObject(request);
      const edits = readEdits(body.edits);
      const findings = collectTreeFindings(applyEdits(mirror.tree, edits), 'settings');
      return asJson({ isValid: findings.length === 0, findings });
    },
    getHistory: (url) => control.call<JsonValue>('settings.history', { limit: readLimit(url) }),
    async getReach(url) {
      const version = readVersion(
        Number(url.searchParams.get('version') ?? mirror.version),
        'version',
      );
      return asJson(await control.call<ReachReport>('settings.reach', { version }));
    },
    getStatus() {
      const rows = directorySync.directory.listAll();
      const describeServer = ({ announcement, deadlineMs }: (typeof rows)[number]) => ({
        name: announcement.name,
        dataCentre: announcement.dataCentre,
        state: context.clock.nowMs() > deadlineMs ? 'gone' : announcement.state,
        serves: announcement.engine
          ? `${announcement.engine.model} ${announcement.engine.firstLayer}-${announcement.engine.lastLayer}`
          : announcement.services.join(','),
        running: announcement.load.running,
        queued: announcement.load.queued,
      });
      const isVm = ({ announcement }: (typeof rows)[number]) =>
        announcement.services.includes(ENTRY_SERVICE);
      return asJson({
        vmId: settings.vm.vmId,
        dataCentre: settings.vm.dataCentre,
        deployment: settings.deployment,
        isTaking: context.isTaking(),
        settings: {
          version: mirror.version,
          isConfirmed: mirror.isFresh(),
          remainingMs: Math.round(mirror.remainingMs()),
        },
        control: describeControl(),
        requests: {
          running: admissionControl.running,
          waiting: admissionControl.waiting,
          sessions: sessions.size,
        },
        vms: rows.filter(isVm).map(describeServer),
        backendServers: rows.filter((row) => !isVm(row)).map(describeServer),
      });
    },
  };
}
