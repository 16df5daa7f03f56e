/** The program `spoolplank`. Daemons are started without loading the command line framework. */
import { parseArgs } from 'node:util';
import type { Role } from '@spoolplank/settings';
import { runVm } from './vm/runVm';

// Prevents libuv from using io_uring for file operations, which the platform does not permit.
process.env.UV_USE_IO_URING = '0';

const DAEMONS: ReadonlySet<string> = new Set<Role>(['entry', 'control']);

/** Returns the settings file if the arguments only start a daemon with it, else undefined. */
function findDaemonSettingsFile(args: readonly string[]): string | undefined {
  if (!DAEMONS.has(args[0] ?? '') || args.includes('--help')) return undefined;
  const { values } = parseArgs({
    args: args.slice(1),
    strict: false,
    options: { settings: { type: 'string', short: 's' } },
  });
  const hasOnlySettings = args.length === (args[1]?.includes('=') ? 2 : 3);
  return hasOnlySettings && typeof values.settings === 'string' ? values.settings : undefined;
}

async function main(args: readonly string[]): Promise<void> {
  const file = findDaemonSettingsFile(args);
  if (file !== undefined) {
    await runVm(file, args[0] as Role);
    return;
  }
  const { runCommandLine } = await import('./commands/commandLine');
  process.exitCode = await runCommandLine(args);
}

void main(process.argv.slice(2));
