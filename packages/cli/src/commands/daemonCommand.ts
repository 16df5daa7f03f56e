import { Command, Flags } from '@oclif/core';
import type { Role } from '@spoolplank/settings';
import { runVm } from '../vm/runVm';

const FLAGS = {
  settings: Flags.string({ char: 's', description: "The VM's settings file.", required: true }),
};

/** `spoolplank entry`; `main` runs the daemon directly unless the arguments are unusual. */
export class EntryCommand extends Command {
  static override summary = 'Run this VM, which takes requests of callers.';

  static override flags = FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(EntryCommand);
    await runVm(flags.settings, 'entry' satisfies Role);
  }
}

/** `spoolplank control`. */
export class ControlCommand extends Command {
  static override summary =
    'Run this VM, which keeps the state of the deployment; its settings may add the role entry.';

  static override flags = FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(ControlCommand);
    await runVm(flags.settings, 'control' satisfies Role);
  }
}
