/** Probes whether the stages of a chain respond. */
import { callHttp } from '@spoolplank/node';
import type { ChainStage } from '@spoolplank/routing';

const PROBE_TIMEOUT_MS = 200;
const PROBE_PATH = '/totals';

async function respondsToProbe(stage: ChainStage): Promise<boolean> {
  try {
    const answer = await callHttp({
      endpoint: stage,
      method: 'GET',
      path: PROBE_PATH,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    return answer.status === 200;
  } catch {
    return false;
  }
}

/** Returns the stages that do not answer a probe in time. */
export async function findSilentStages(
  stages: readonly ChainStage[],
): Promise<readonly ChainStage[]> {
  const answers = await Promise.all(stages.map(respondsToProbe));
  return stages.filter((_stage, index) => !answers[index]);
}
