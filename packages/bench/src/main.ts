/**
 * `npm run --silent bench -- NAME [NAME ...]`: prints one JSON line per figure; exits with 1 if a
 * figure exceeds its bound. `--store` saves the figures as the baseline.
 */
import { claimsBench } from './benches/claims';
import { configBench } from './benches/config';
import { costBench } from './benches/cost';
import { detectionBench } from './benches/detection';
import { feedBench } from './benches/feed';
import { overloadBench } from './benches/overload';
import { recoveryBench } from './benches/recovery';
import { recoveryControlBench } from './benches/recoveryControl';
import { relayBench } from './benches/relay';
import { stateBench } from './benches/state';
import { thinBench } from './benches/thin';
import { throughputBench } from './benches/throughput';
import { evaluate, readBaselines, storeBaselines } from './figures';
import type { Bench } from './figures';

const BENCHES: Readonly<Record<string, Bench>> = {
  thin: thinBench,
  relay: relayBench,
  config: configBench,
  claims: claimsBench,
  cost: costBench,
  detection: detectionBench,
  feed: feedBench,
  overload: overloadBench,
  throughput: throughputBench,
  recovery: recoveryBench,
  'recovery-control': recoveryControlBench,
  state: stateBench,
};

/** Saves the figures of this run as the baseline for later runs. */
const STORE_FLAG = '--store';

async function main(): Promise<number> {
  const shouldStore = process.argv.includes(STORE_FLAG);
  const requested = process.argv.slice(2).filter((arg) => arg !== STORE_FLAG);
  const names = requested.includes('all') ? Object.keys(BENCHES) : requested;
  const unknown = names.filter((name) => !Object.hasOwn(BENCHES, name));
  if (names.length === 0 || unknown.length > 0) {
    const validNames = [...Object.keys(BENCHES), 'all'].join(', ');
    process.stderr.write(
      `unknown benchmark: ${unknown.join(', ') || 'none given'}; one of ${validNames}\n`,
    );
    return 2;
  }
  const baselines = readBaselines();
  const results: boolean[] = [];
  for (const name of names) {
    const figures = (await BENCHES[name]?.()) ?? [];
    const evaluated = figures.map((figure) => evaluate(name, figure, baselines));
    evaluated.forEach((figure) => process.stdout.write(`${JSON.stringify(figure)}\n`));
    results.push(evaluated.every(({ ok }) => ok));
    if (shouldStore) storeBaselines(evaluated);
  }
  return results.every((ok) => ok) ? 0 : 1;
}

main()
  .then((code) => process.exit(code))
  .catch((error: unknown) => {
    process.stderr.write(
      `${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
    );
    process.exit(1);
  });
