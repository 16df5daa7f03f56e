/** The program `spoolplank`. Daemons take a short way that never loads the command line. */
import { parseArgs } from 'node:util';
import type { Role } from '@spoolplank/settings';
import { runVm } from './vm/runVm';

// libuv may use io_uring for files; the platform does not allow it.
process.env.UV_USE_IO_URING = '0';

const DAEMONS: ReadonlySet<string> = new Set<Role>(['entry', 'control']);

/** The settings file when the arguments are plainly those of a daemon. */
function readDaemonFile(args: readonly string[]): string | undefined {
  if (!DAEMONS.has(args[0] ?? '') || args.includes('--help')) return undefined;
  const { values } = parseArgs({
    args: args.slice(1),
    strict: false,
    options: { settings: { type: 'string', short: 's' } },
  });
  const isOnlyFile = args.length === (args[1]?.includes('=') ? 2 : 3);
  return isOnlyFile && typeof values.settings === 'string' ? values.settings : undefined;
}

async function main(args: readonly string[]): Promise<void> {
  const file = readDaemonFile(args);
  if (file !== undefined) {
    await runVm(file, args[0] as Role);
    return;
  }
  const { runCommandLine } = await import('./commands/commandLine');
  process.exitCode = await runCommandLine(args);
}

void main(process.argv.slice(2));
