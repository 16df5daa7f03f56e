/** Starts the child processes of a demo, a process test or a benchmark, and ends only those. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, existsSync, readFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { delay } from '@spoolplank/node';

export interface ManagedProcess {
  readonly pid: number;
  readonly logFile: string;
  readonly isRunning: boolean;
  signal(name: NodeJS.Signals): void;
  /** Ends the process and resolves with its exit code, or null if a signal ended it. */
  end(name?: NodeJS.Signals): Promise<number | null>;
  /** Resolves when the process has ended. */
  readonly ended: Promise<number | null>;
  readLog(): string;
}

export interface StartOptions {
  readonly command: string;
  readonly args: readonly string[];
  readonly logFile: string;
  /** Called with each line of standard output. */
  readonly onLine?: (line: string) => void;
}

const runningChildren = new Set<ChildProcess>();

// No child process may outlive the script that started it.
process.on('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));

export function startProcess({ command, args, logFile, onLine }: StartOptions): ManagedProcess {
  const child = spawn(command, [...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  runningChildren.add(child);
  const log = createWriteStream(logFile, { flags: 'a' });
  child.stderr.pipe(log, { end: false });
  let partialLine = '';
  child.stdout.on('data', (chunk: Buffer) => {
    const lines = (partialLine + chunk.toString('utf8')).split('\n');
    partialLine = lines.pop() ?? '';
    lines.forEach((line) => onLine?.(line));
  });
  let isRunning = true;
  const ended = new Promise<number | null>((resolve) => {
    child.on('error', () => resolve(1));
    child.on('close', (code) => {
      isRunning = false;
      runningChildren.delete(child);
      log.end(() => resolve(code));
    });
  });
  return {
    pid: child.pid ?? 0,
    logFile,
    get isRunning() {
      return isRunning;
    },
    signal(name) {
      child.kill(name);
    },
    async end(name = 'SIGKILL') {
      if (isRunning) child.kill(name);
      return ended;
    },
    ended,
    readLog: () => (existsSync(logFile) ? readFileSync(logFile, 'utf8') : ''),
  };
}

/** Below the ephemeral port range, so that no outgoing connection occupies a chosen port. */
const PORT_RANGE = { from: 10_000, count: 20_000 };
/** Spreads the first ports of concurrent scripts, whose process ids are close together. */
const PORT_STRIDE = 97;

let nextPort = (process.pid * PORT_STRIDE) % PORT_RANGE.count;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Finds distinct ports that are free now. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = PORT_RANGE.from + nextPort;
    nextPort = (nextPort + 1) % PORT_RANGE.count;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Polls until a condition holds; a condition that throws counts as false.
 *
 * @throws Error that names the condition, after the timeout.
 */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  {
    withinMs = 20_000,
    intervalMs = 20,
  }: { readonly withinMs?: number; readonly intervalMs?: number } = {},
): Promise<void> {
  const deadlineAtMs = performance.now() + withinMs;
  for (;;) {
    const holds = await Promise.resolve(condition()).catch(() => false);
    if (holds) return;
    if (performance.now() > deadlineAtMs)
      throw new Error(`waited ${withinMs} ms in vain until ${description}`);
    await delay(intervalMs);
  }
}
