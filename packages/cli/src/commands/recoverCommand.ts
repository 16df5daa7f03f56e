/** `spoolplank recover`: recovers the control group after a permanent loss of its majority. */
import { Flags } from '@oclif/core';
import { renderRecovery } from '@spoolplank/controller';
import type { RecoveryReport } from '@spoolplank/controller';
import { BaseCommand, connect, CONNECTION_FLAGS } from './baseCommand';

const PATH = '/v1/group/recovery';

export class RecoverCommand extends BaseCommand {
  static override summary =
    'Show the copies of the control group, or have it go on from one where a majority is gone for good.';

  static override flags = {
    ...CONNECTION_FLAGS,
    from: Flags.string({
      description:
        'Name of the replica to go on from, as the command shows it without this flag. What only the missing voters acknowledged is lost.',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RecoverCommand);
    const client = connect(flags);
    const report =
      flags.from === undefined
        ? await client.get(PATH)
        : await client.post(PATH, { replicaId: flags.from });
    this.print(report, flags.json, () =>
      renderRecovery(report as unknown as RecoveryReport, flags.from).join('\n'),
    );
  }
}
