/** Time from the failure of an engine to the next token of its session. */
import { delay } from '@spoolplank/node';
import { streamCompletion } from '../caller';
import type { Deployment, RunningFake } from '../deployment';
import type { Figure } from '../figures';
import { percentile } from '../statistics';
import { waitForBackendServers } from '../observe';
import { BENCH_MODEL, BENCH_TOKEN, planEngines, withDeployment } from './benchDeployment';

const ROUNDS = 9;
const TOKENS = 80;
const FAULT_POSITION = 40;
const PARTS = 3;

type Fault = 'SIGKILL' | 'SIGSTOP';

interface Recovery {
  /** Longest interval between tokens after the fault, which includes the recovery. */
  readonly gapMs: number;
  readonly isWhole: boolean;
}

async function findBusiestEngine(
  engines: readonly RunningFake[],
  part: number,
): Promise<RunningFake | undefined> {
  const candidates = engines.filter(
    ({ name, process }) => name.startsWith(`engine-${part}`) && process.isRunning,
  );
  const counts = await Promise.all(
    candidates.map(
      async (engine) => ((await engine.get('/totals')) as { sessions: number }).sessions,
    ),
  );
  return candidates[counts.indexOf(Math.max(...counts))];
}

async function measureRecovery(
  deployment: Deployment,
  engines: RunningFake[],
  part: number,
  fault: Fault,
): Promise<Recovery> {
  let faultyEngine: RunningFake | undefined;
  let lastEventAtMs = 0;
  let gapMs = 0;
  const answer = await streamCompletion({
    address: deployment.addresses[1] ?? '',
    token: BENCH_TOKEN,
    model: BENCH_MODEL,
    prompt: 'summarise the permit',
    maxTokens: TOKENS,
    onToken(position) {
      const nowMs = performance.now();
      if (position === FAULT_POSITION) {
        void findBusiestEngine(engines, part).then((engine) => {
          faultyEngine = engine;
          lastEventAtMs = performance.now();
          engine?.process.signal(fault);
        });
      } else if (lastEventAtMs > 0) {
        gapMs = Math.max(gapMs, nowMs - lastEventAtMs);
        lastEventAtMs = nowMs;
      }
    },
  });
  if (faultyEngine) await faultyEngine.process.end('SIGKILL');
  const plan = planEngines(PARTS, 2).find(({ name }) => name === faultyEngine?.name);
  if (faultyEngine && plan)
    engines.splice(engines.indexOf(faultyEngine), 1, await deployment.startEngine(plan));
  await waitForBackendServers(deployment, engines.length);
  await delay(100);
  return { gapMs, isWhole: answer.isWhole };
}

export function recoveryBench(): Promise<readonly Figure[]> {
  return withDeployment(1, 1, async (deployment) => {
    const engines = await Promise.all(
      planEngines(PARTS, 2).map((plan) => deployment.startEngine(plan)),
    );
    await waitForBackendServers(deployment, engines.length);
    const figures: Figure[] = [];
    const faults: readonly [string, Fault][] = [
      ['killed', 'SIGKILL'],
      ['frozen', 'SIGSTOP'],
    ];
    for (const [name, fault] of faults) {
      const recoveries: Recovery[] = [];
      for (let round = 0; round < ROUNDS; round += 1) {
        recoveries.push(await measureRecovery(deployment, engines, round % PARTS, fault));
      }
      const gapsMs = recoveries.map(({ gapMs }) => gapMs);
      const whole = recoveries.filter(({ isWhole }) => isWhole).length;
      figures.push(
        { metric: `${name}-to-next-token-p50`, value: percentile(gapsMs, 0.5), unit: 'ms' },
        {
          metric: `${name}-to-next-token-p99`,
          value: percentile(gapsMs, 0.99),
          unit: 'ms',
          bound: { atMost: 4000 },
        },
        {
          metric: `${name}-whole-answers`,
          value: whole / ROUNDS,
          unit: 'share',
          bound: { atLeast: 1 },
        },
      );
    }
    return figures;
  });
}
