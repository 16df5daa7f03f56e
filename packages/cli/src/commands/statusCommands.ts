/** `spoolplank status`, `spoolplank dump`, `spoolplank version`. */
import { Command, Flags } from '@oclif/core';
import { renderGroup } from '@spoolplank/controller';
import type { GroupSummary } from '@spoolplank/controller';
import { renderTable } from '@spoolplank/shared';
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
    readonly group: GroupSummary | null;
  } | null;
  readonly requests: {
    readonly running: number;
    readonly waiting: number;
    readonly sessions: number;
  };
  readonly vms: readonly StatusRow[];
  readonly backendServers: readonly StatusRow[];
}

function renderRows(rows: readonly StatusRow[]): readonly string[] {
  const cells = rows.map(({ name, dataCentre, state, serves, running, queued }) => [
    name,
    dataCentre,
    state,
    serves,
    String(running),
    String(queued),
  ]);
  return renderTable([['NAME', 'DATA CENTRE', 'STATE', 'SERVES', 'RUNNING', 'QUEUED'], ...cells]);
}

function renderStatus(status: Status): string {
  const { settings, requests, control } = status;
  const replica = control?.replica;
  return [
    `${status.vmId} in ${status.dataCentre}, deployment ${status.deployment}: ${status.isTaking ? 'taking requests' : 'NOT taking requests'}`,
    `settings version ${settings.version}, ${settings.isConfirmed ? 'confirmed' : 'NOT confirmed'}`,
    `control ${replica ? `${replica.role}, leader ${replica.leaderId ?? 'unknown'}` : 'not on this VM'}`,
    ...(control?.group ? ['', ...renderGroup(control.group), ''] : []),
    `requests ${requests.running} running, ${requests.waiting} waiting; ${requests.sessions} sessions kept`,
    '',
    'Entry VMs',
    ...renderRows(status.vms),
    '',
    'Backend servers',
    ...renderRows(status.backendServers),
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
