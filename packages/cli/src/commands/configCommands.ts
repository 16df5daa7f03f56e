/** `spoolplank config get|set|validate|history`: reads and changes the settings. */
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { Flags } from '@oclif/core';
import { delay } from '@spoolplank/node';
import { collectTreeFindings, parseJson } from '@spoolplank/settings';
import type { AcceptedChange } from '@spoolplank/control';
import { formatFindings, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import type { ChangeReply, ReachReport } from '@spoolplank/controller';
import { EXIT_CODES } from '../vm/runVm';
import { BaseCommand, connect, CONNECTION_FLAGS } from './baseCommand';
import type { OperatorClient } from './operatorClient';

const REACH_POLL_MS = 100;
const REACH_TIMEOUT_MS = 10_000;

interface ConfigReply {
  readonly version: number;
  readonly isConfirmed: boolean;
  readonly value: JsonValue;
  readonly origins?: Readonly<Record<string, string>>;
}

function readJsonFile(file: string): JsonValue {
  return parseJson(
    readFileSync(file === '-' ? 0 : file, 'utf8'),
    file === '-' ? 'standard input' : file,
  ) as JsonValue;
}

/** `spoolplank config get`. */
export class ConfigGetCommand extends BaseCommand {
  static override summary = 'Show the settings in force.';

  static override flags = {
    ...CONNECTION_FLAGS,
    pointer: Flags.string({
      description: 'JSON pointer of a branch, such as /organisations/acme.',
      default: '',
    }),
    effective: Flags.boolean({ description: 'Resolve what the branch inherits.' }),
    explain: Flags.boolean({
      description: 'With --effective: say which branch each value came from.',
      dependsOn: ['effective'],
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ConfigGetCommand);
    const query = new URLSearchParams({
      pointer: flags.pointer,
      effective: String(flags.effective),
    });
    const reply = (await connect(flags).get(
      `/v1/config?${query.toString()}`,
    )) as unknown as ConfigReply;
    const { origins, ...replyWithoutOrigins } = reply;
    this.print(
      (flags.explain ? reply : replyWithoutOrigins) as unknown as JsonValue,
      flags.json,
      () => {
        const versionLine = `version ${reply.version}${reply.isConfirmed ? '' : ' (not confirmed)'}`;
        if (!flags.explain || !origins)
          return `${versionLine}\n${JSON.stringify(reply.value, null, 2)}`;
        const values = reply.value as Readonly<Record<string, JsonValue>>;
        return [
          versionLine,
          ...Object.entries(origins).map(
            ([name, origin]) => `${name} = ${JSON.stringify(values[name])}  from ${origin}`,
          ),
        ].join('\n');
      },
    );
  }
}

/** `spoolplank config set`. */
export class ConfigSetCommand extends BaseCommand {
  static override summary = 'Change the settings; the change is whole or not at all.';

  static override flags = {
    ...CONNECTION_FLAGS,
    pointer: Flags.string({
      description: 'JSON pointer of the place to change.',
      exclusive: ['file'],
    }),
    value: Flags.string({
      description: 'New value, as JSON; left out, the place is removed.',
      dependsOn: ['pointer'],
    }),
    file: Flags.string({
      description: 'File with a list of edits {pointer, value}; - is standard input.',
    }),
    'base-version': Flags.integer({
      description: 'Version the change is based on; the one in force when left out.',
    }),
    'change-id': Flags.string({
      description: 'Name of the change; give the same one to send it again.',
    }),
    author: Flags.string({ description: 'Who makes the change.' }),
    note: Flags.string({ description: 'Why.' }),
    wait: Flags.boolean({
      description: 'Wait until the change is in force on every VM that takes requests.',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ConfigSetCommand);
    const client = connect(flags);
    const baseVersion =
      flags['base-version'] ?? ((await client.get('/v1/config')) as unknown as ConfigReply).version;
    const changeId = flags['change-id'] ?? randomUUID();
    const change = {
      changeId,
      baseVersion,
      edits: this.readEdits(flags),
      author: flags.author ?? userInfo().username,
      ...(flags.note === undefined ? {} : { note: flags.note }),
    };
    const reply = (await client.post('/v1/config/changes', change)) as unknown as ChangeReply;
    if (reply.status !== 'accepted') {
      this.print(reply as unknown as JsonValue, flags.json, () =>
        ConfigSetCommand.describeConflict(reply),
      );
      this.exit(EXIT_CODES.conflict);
    }
    const reach = flags.wait
      ? await ConfigSetCommand.waitForReach(client, reply.version)
      : undefined;
    this.print(
      { ...reply, changeId, ...(reach ? { reach } : {}) } as unknown as JsonValue,
      flags.json,
      () =>
        [
          `accepted as version ${reply.version} (change ${changeId})`,
          ...(reach ? [ConfigSetCommand.describeReach(reach)] : []),
        ].join('\n'),
    );
    if (reach && reach.pending.length > 0) this.exit(EXIT_CODES.failed);
  }

  private readEdits(flags: {
    readonly file?: string;
    readonly pointer?: string;
    readonly value?: string;
  }): JsonValue {
    if (flags.file !== undefined) return readJsonFile(flags.file);
    if (flags.pointer === undefined)
      this.error('Give --pointer or --file.', { exit: EXIT_CODES.usage });
    const { pointer } = flags;
    return [
      flags.value === undefined
        ? { pointer }
        : { pointer, value: parseJson(flags.value, '--value') as JsonValue },
    ];
  }

  private static describeConflict({ status, version, changesSince = [] }: ChangeReply): string {
    if (status === 'reused')
      return `refused: this change id was used for another change; version ${version} is in force`;
    const lines = changesSince.map(
      (change) => `  ${change.version} by ${change.author}: ${JSON.stringify(change.edits)}`,
    );
    return [`conflict: version ${version} is in force`, ...lines].join('\n');
  }

  private static describeReach({ reached, pending, silent }: ReachReport): string {
    const list = (names: readonly string[]) => (names.length ? names.join(', ') : 'none');
    return `in force on: ${list(reached)}\nnot yet on: ${list(pending)}\nwithout contact, refusing requests: ${list(silent)}`;
  }

  private static async waitForReach(client: OperatorClient, version: number): Promise<ReachReport> {
    const deadlineMs = Date.now() + REACH_TIMEOUT_MS;
    for (;;) {
      const reach = (await client.get(
        `/v1/config/reach?version=${version}`,
      )) as unknown as ReachReport;
      if (reach.pending.length === 0 || Date.now() > deadlineMs) return reach;
      await delay(REACH_POLL_MS);
    }
  }
}

/** `spoolplank config validate`. */
export class ConfigValidateCommand extends BaseCommand {
  static override summary = 'Check a file with a whole settings tree, without a deployment.';

  static override flags = {
    file: Flags.string({ description: 'File with the tree; - is standard input.', required: true }),
    json: Flags.boolean({ description: 'Print JSON.' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ConfigValidateCommand);
    const findings = collectTreeFindings(readJsonFile(flags.file), flags.file);
    const text = () => (findings.length ? formatFindings(findings) : 'no findings');
    this.print(
      { isValid: findings.length === 0, findings } as unknown as JsonValue,
      flags.json,
      text,
    );
    if (findings.length) this.exit(EXIT_CODES.invalidSettings);
  }
}

/** `spoolplank config history`. */
export class ConfigHistoryCommand extends BaseCommand {
  static override summary = 'Show who changed what, newest first.';

  static override flags = {
    ...CONNECTION_FLAGS,
    limit: Flags.integer({
      description: 'Number of changes.',
      default: 20,
      min: 1,
      max: 1000,
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ConfigHistoryCommand);
    const history = await connect(flags).get(`/v1/config/history?limit=${flags.limit}`);
    const changes = history as unknown as readonly AcceptedChange[];
    if (!Array.isArray(changes)) throw new SpoolplankError('internal');
    this.print(history, flags.json, () =>
      changes
        .map(({ version, wallMs, author, changeId, edits, note }) => {
          const annotation = note === undefined ? '' : `  (${note})`;
          return `${version}  ${new Date(wallMs).toISOString()}  ${author}  ${changeId}${annotation}\n    ${JSON.stringify(edits)}`;
        })
        .join('\n'),
    );
  }
}
