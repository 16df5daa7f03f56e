/** `spoolplank status`, `spoolplank dump`, `spoolplank version`. */
import { Command, Flags } from '@oclif/core';
import type { JsonValue } from '@spoolplank/shared';
import { BaseCommand, connect, CONNECTION_FLAGS } from './baseCommand';
import { PROGRAM_VERSION } from './programVersion';

interface StatusRow {
  readonly name: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly serves: string;
  readonly running: number;
  readonly queued: number;
}

interface Status {
  readonly vmId: string;
  readonly dataCentre: string;
  readonly deployment: string;
  readonly isTaking: boolean;
  readonly settings: { readonly version: number; readonly isConfirmed: boolean };
  readonly control: {
    readonly replica: { readonly role: string; readonly leaderId: string | null } | null;
  } | null;
  readonly requests: {
    readonly running: number;
    readonly waiting: number;
    readonly sessions: number;
  };
  readonly vms: readonly StatusRow[];
  readonly backendServers: readonly StatusRow[];
}

function renderTable(rows: readonly StatusRow[]): readonly string[] {
  const cells = rows.map(({ name, dataCentre, state, serves, running, queued }) => [
    name,
    dataCentre,
    state,
    serves,
    String(running),
    String(queued),
  ]);
  const table = [['NAME', 'DATA CENTRE', 'STATE', 'SERVES', 'RUNNING', 'QUEUED'], ...cells];
  const widths =
    table[0]?.map((_cell, column) => Math.max(...table.map((row) => row[column]?.length ?? 0))) ??
    [];
  return table.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

function renderStatus(status: Status): string {
  const { settings, requests, control } = status;
  const replica = control?.replica;
  return [
    `${status.vmId} in ${status.dataCentre}, deployment ${status.deployment}: ${status.isTaking ? 'taking requests' : 'NOT taking requests'}`,
    `settings version ${settings.version}, ${settings.isConfirmed ? 'confirmed' : 'NOT confirmed'}`,
    `control ${replica ? `${replica.role}, leader ${replica.leaderId ?? 'unknown'}` : 'not on this VM'}`,
    `requests ${requests.running} running, ${requests.waiting} waiting; ${requests.sessions} sessions kept`,
    '',
    'Entry VMs',
    ...renderTable(status.vms),
    '',
    'Backend servers',
    ...renderTable(status.backendServers),
  ].join('\n');
}

/** `spoolplank status`. */
export class StatusCommand extends BaseCommand {
  static override summary = 'Show at a glance how a VM sees the deployment.';

  static override flags = CONNECTION_FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(StatusCommand);
    const status = await connect(flags).get('/v1/status');
    this.print(status, flags.json, () => renderStatus(status as unknown as Status));
  }
}

/** `spoolplank dump`. */
export class DumpCommand extends BaseCommand {
  static override summary = 'Print all tables of a VM as JSON.';

  static override flags = CONNECTION_FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(DumpCommand);
    this.printJson(await connect(flags).get('/v1/dump'));
  }
}

/** `spoolplank version`. */
export class VersionCommand extends Command {
  static override summary = 'Print the version.';

  static override flags = { json: Flags.boolean({ description: 'Print JSON.' }) };

  async run(): Promise<void> {
    const { flags } = await this.parse(VersionCommand);
    const value: JsonValue = { version: PROGRAM_VERSION, node: process.version };
    this.log(
      flags.json
        ? JSON.stringify(value)
        : `spoolplank ${PROGRAM_VERSION} (node ${process.version})`,
    );
  }
}
