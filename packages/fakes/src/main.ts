/** Starts one fake: `main.ts engine|service|weight-store '{"name":...}'`. */
import { startFakeEngine } from './engine';
import { startFakeService } from './plainService';
import { startFakeWeightStore } from './weightStore';

interface RunningFake {
  readonly port: number;
  leave?(): Promise<void>;
  close(): Promise<void>;
}

const STARTERS: Readonly<Record<string, (options: object) => Promise<RunningFake>>> = {
  engine: startFakeEngine,
  service: startFakeService,
  'weight-store': startFakeWeightStore,
};

async function main(): Promise<void> {
  const [kind = '', text = '{}'] = process.argv.slice(2);
  const start = STARTERS[kind];
  if (!start)
    throw new Error(`unknown kind "${kind}", expected one of ${Object.keys(STARTERS).join(', ')}`);
  const running = await start(JSON.parse(text) as object);
  process.stdout.write(`${JSON.stringify({ port: running.port })}\n`);
  process.on('SIGTERM', () => {
    const departure = running.leave?.() ?? Promise.resolve();
    departure.catch(() => {}).finally(() => process.exit(0));
  });
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
