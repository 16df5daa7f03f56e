/** Finds and runs a command. All errors of the command line are printed here. */
import { tmpdir } from 'node:os';
import { CommandHelp, Config } from '@oclif/core';
import type { Command, Interfaces } from '@oclif/core';
import { formatFindings, SpoolplankError } from '@spoolplank/shared';
import { EXIT_CODES } from '../vm/runVm';
import {
  ConfigGetCommand,
  ConfigHistoryCommand,
  ConfigSetCommand,
  ConfigValidateCommand,
} from './configCommands';
import { ControlCommand, EntryCommand } from './daemonCommand';
import { PROGRAM_VERSION } from './programVersion';
import { RecoverCommand } from './recoverCommand';
import { ReportCommand } from './reportCommand';
import { DumpCommand, StatusCommand, VersionCommand } from './statusCommands';

type CommandClass = Command.Class;

const COMMANDS: Readonly<Record<string, CommandClass>> = {
  entry: EntryCommand,
  control: ControlCommand,
  'config get': ConfigGetCommand,
  'config set': ConfigSetCommand,
  'config validate': ConfigValidateCommand,
  'config history': ConfigHistoryCommand,
  status: StatusCommand,
  dump: DumpCommand,
  recover: RecoverCommand,
  report: ReportCommand,
  version: VersionCommand,
};

const HELP_FLAGS: ReadonlySet<string> = new Set(['--help', '-h', 'help']);

/** The bundle contains no package.json that oclif could read, so its content is passed directly. */
const ROOT_PACKAGE: Interfaces.PJSON = {
  name: 'spoolplank',
  version: PROGRAM_VERSION,
  oclif: { bin: 'spoolplank', topicSeparator: ' ' },
};

function renderOverview(): string {
  const width = Math.max(...Object.keys(COMMANDS).map((name) => name.length));
  const lines = Object.entries(COMMANDS).map(
    ([name, { summary }]) => `  ${name.padEnd(width)}  ${summary ?? ''}`,
  );
  return [
    `spoolplank ${PROGRAM_VERSION}: a router for pipelines over mixed accelerators`,
    '',
    'USAGE',
    '  $ spoolplank COMMAND [FLAGS]',
    '',
    'COMMANDS',
    ...lines,
    '',
    'Run "spoolplank COMMAND --help" for the flags of a command.',
  ].join('\n');
}

function findCommand(
  args: readonly string[],
): { readonly name: string; readonly rest: readonly string[] } | undefined {
  const twoWordName = args.slice(0, 2).join(' ');
  if (Object.hasOwn(COMMANDS, twoWordName)) return { name: twoWordName, rest: args.slice(2) };
  const [oneWordName = ''] = args;
  return Object.hasOwn(COMMANDS, oneWordName)
    ? { name: oneWordName, rest: args.slice(1) }
    : undefined;
}

function renderHelp(name: string, command: CommandClass, config: Config): string {
  const flags = Object.entries(command.flags).map(([flag, definition]) => [
    flag,
    { ...definition, name: flag },
  ]);
  const loadable = {
    id: name,
    args: {},
    aliases: [],
    hidden: false,
    strict: true,
    flags: Object.fromEntries(flags),
  };
  return new CommandHelp(loadable as unknown as Command.Loadable, config, {
    maxWidth: 100,
  }).generate();
}

const EXIT_CODE_BY_ERROR: Readonly<Record<string, number>> = {
  'invalid-settings': EXIT_CODES.invalidSettings,
  'version-conflict': EXIT_CODES.conflict,
  unreachable: EXIT_CODES.unreachable,
};

function reportError(error: unknown): number {
  const oclifExitCode = (error as { readonly oclif?: { readonly exit?: number } } | null)?.oclif
    ?.exit;
  if (error instanceof SpoolplankError) {
    const text = error.findings.length ? formatFindings(error.findings) : error.message;
    process.stderr.write(`${text}\n`);
    return EXIT_CODE_BY_ERROR[error.code] ?? EXIT_CODES.failed;
  }
  const isExitOnly = (error as { readonly code?: string } | null)?.code === 'EEXIT';
  if (!isExitOnly)
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  return oclifExitCode ?? EXIT_CODES.usage;
}

/** Runs a command and resolves with the exit code of the process. */
export async function runCommandLine(args: readonly string[]): Promise<number> {
  const found = findCommand(args);
  if (!found) {
    const isHelp = args.length === 0 || HELP_FLAGS.has(args[0] ?? '');
    if (!isHelp) process.stderr.write(`unknown command: ${args.join(' ')}\n`);
    (isHelp ? process.stdout : process.stderr).write(`${renderOverview()}\n`);
    return isHelp ? EXIT_CODES.ok : EXIT_CODES.usage;
  }
  const { name, rest } = found;
  const command = COMMANDS[name];
  if (!command) return EXIT_CODES.usage;
  try {
    const config = await Config.load({ root: tmpdir(), pjson: ROOT_PACKAGE });
    if (rest.some((arg) => HELP_FLAGS.has(arg))) {
      process.stdout.write(`${command.summary ?? ''}\n\n${renderHelp(name, command, config)}\n`);
      return EXIT_CODES.ok;
    }
    command.id = name;
    await command.run([...rest], config);
    return EXIT_CODES.ok;
  } catch (error) {
    return reportError(error);
  }
}
