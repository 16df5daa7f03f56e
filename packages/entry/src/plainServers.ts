/** Which plain servers may be sent a request now, and when one may be again. */
import type { BackendFact } from '@spoolplank/membership';
import { selectCandidate } from '@spoolplank/routing';
import type { EntryContext } from './entryContext';

export interface PlainServers {
  /** The less loaded of two that may be sent a request which was not there yet. */
  choose(service: string, excluded: ReadonlySet<string>): BackendFact | undefined;
  /** Time until one of them may be sent something; 0 when one may be now, or none is left. */
  backoffEndsInMs(service: string, excluded: ReadonlySet<string>): number;
  /** When the caller of a request that no server ran is to come back, in milliseconds. */
  returnAfterMs(service: string): number;
}

/** Servers that were full a moment ago have room again within some ten runs of 15 ms. */
const RETRY_AFTER_MS = 150;
const NONE_EXCLUDED: ReadonlySet<string> = new Set();

export function createPlainServers(context: EntryContext): PlainServers {
  const { clock, loads, random, view, dataCentre, notices } = context;
  const { backoffs } = notices;

  function listLeft(service: string, excluded: ReadonlySet<string>): readonly BackendFact[] {
    return view.listBackends(service).filter(({ instanceId }) => !excluded.has(instanceId));
  }

  function backoffEndsInMs(service: string, excluded: ReadonlySet<string>): number {
    const backoffsMs = listLeft(service, excluded).map(({ instanceId }) =>
      backoffs.remainingMs(instanceId),
    );
    return backoffsMs.length === 0 ? 0 : Math.min(...backoffsMs);
  }

  return {
    choose(service, excluded) {
      const candidates = listLeft(service, excluded)
        .filter(({ instanceId }) => !backoffs.isHeldBack(instanceId))
        .map((fact) => ({ name: fact.instanceId, dataCentre: fact.dataCentre, fact }));
      const nowMs = clock.nowMs();
      return selectCandidate(candidates, { dataCentre, excluded, nowMs }, loads, random)?.fact;
    },
    backoffEndsInMs,
    returnAfterMs(service) {
      const backoffMs = backoffEndsInMs(service, NONE_EXCLUDED);
      return backoffMs === 0 ? RETRY_AFTER_MS : backoffs.returnAfterMs(service, backoffMs);
    },
  };
}
