/**
 * Selects the backend server for a request to a plain service, which is one without a model, and
 * tells when a server of the service is out of backoff.
 */
import type { BackendFact } from '@spoolplank/membership';
import { selectCandidate } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { EntryContext } from '../entryContext';
import type { Permit, PermitFinder, PermitSearch } from '../limits/permitFinder';

/** A server to send a request to. */
export interface ChosenServer {
  readonly backend: BackendFact;
  /** Permission under the server's rate limit to send it this request; null when none is needed. */
  readonly permit: Permit | null;
}

export interface PlainServers {
  /**
   * Finds the less loaded of two available servers that the request has not been sent to. A server
   * that named a rate limit requires a permit; the request waits for a permit only when all servers
   * that are left have named a rate limit. Undefined when there is no server to send to.
   *
   * @throws SpoolplankError with the time to retry after; the request has not run.
   */
  find(search: PermitSearch): Promise<ChosenServer | undefined>;
  /**
   * Time until the first of the servers that are not excluded is out of backoff; 0 when some server
   * is out of backoff now, or when all are excluded.
   */
  backoffEndsInMs(service: string, excluded: ReadonlySet<string>): number;
  /** Time after which the caller of a request that no server ran should retry, in milliseconds. */
  retryAfterMs(service: string): number;
}

/** A full server has capacity again after about ten runs of 15 ms, which is 150 ms. */
const RETRY_AFTER_MS = 150;
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

export function createPlainServers(context: EntryContext, permits: PermitFinder): PlainServers {
  const { clock, loads, random, view, dataCentre, notices, limits } = context;
  const { backoffs } = notices;

  function listRemaining(service: string, excluded: ReadonlySet<string>): readonly BackendFact[] {
    return view.listBackends(service).filter(({ instanceId }) => !excluded.has(instanceId));
  }

  /** Servers that are not in backoff; a rate limit may still apply to them. */
  function listAvailable(service: string, excluded: ReadonlySet<string>): readonly BackendFact[] {
    return listRemaining(service, excluded).filter(
      ({ instanceId }) => !backoffs.isHeldBack(instanceId),
    );
  }

  function backoffEndsInMs(service: string, excluded: ReadonlySet<string>): number {
    const backoffsMs = listRemaining(service, excluded).map(({ instanceId }) =>
      backoffs.remainingMs(instanceId),
    );
    return backoffsMs.length === 0 ? 0 : Math.min(...backoffsMs);
  }

  /** Whether a server named a rate limit to this VM, or to another VM that reported it. */
  function isLimited({ instanceId }: BackendFact): boolean {
    return limits.limitPerSOf(instanceId) !== null || view.limitPerSOf(instanceId) !== null;
  }

  function select(open: readonly BackendFact[]): BackendFact | undefined {
    const candidates = open.map((fact) => ({
      name: fact.instanceId,
      dataCentre: fact.dataCentre,
      fact,
    }));
    const request = { dataCentre, excluded: NO_EXCLUSIONS, nowMs: clock.nowMs() };
    return selectCandidate(candidates, request, loads, random)?.fact;
  }

  function toServer(
    permit: Permit | undefined,
    open: readonly BackendFact[],
  ): ChosenServer | undefined {
    const backend = open.find(({ instanceId }) => instanceId === permit?.instanceId);
    return backend && permit ? { backend, permit } : undefined;
  }

  async function waitForPermit(
    search: PermitSearch,
    limited: readonly BackendFact[],
  ): Promise<ChosenServer | undefined> {
    const outcome = await permits.acquire(search, limited);
    if (outcome.kind === 'permitted') return toServer(outcome.permit, limited);
    if (outcome.kind === 'refused') {
      const retryAfterMs = outcome.retryInMs ?? RETRY_AFTER_MS;
      const detail = 'All servers named rate limits, and the queue for their permits is full.';
      throw new SpoolplankError('overloaded', { detail, retryAfterMs });
    }
    const unpermitted = select(
      limited.filter(({ instanceId }) => limits.maySendWithoutPermit(instanceId)),
    );
    return unpermitted && { backend: unpermitted, permit: null };
  }

  return {
    async find(search) {
      const { admitted, excluded } = search;
      let open = listAvailable(admitted.service, excluded);
      const limited: BackendFact[] = [];
      for (;;) {
        const chosen = select(open);
        if (!chosen) break;
        if (!isLimited(chosen)) return { backend: chosen, permit: null };
        // One allocator grants the permits for all servers of a data centre.
        const limitedInDataCentre = open.filter(
          (fact) => fact.dataCentre === chosen.dataCentre && isLimited(fact),
        );
        const server = toServer(
          await permits.tryAcquire(search, limitedInDataCentre),
          limitedInDataCentre,
        );
        if (server) return server;
        limited.push(...limitedInDataCentre);
        open = open.filter((fact) => !limitedInDataCentre.includes(fact));
      }
      const canWait = limited.length > 0 && search.mayWait;
      return canWait ? waitForPermit(search, limited) : undefined;
    },
    backoffEndsInMs,
    retryAfterMs(service) {
      const backoffMs = backoffEndsInMs(service, NO_EXCLUSIONS);
      return backoffMs === 0 ? RETRY_AFTER_MS : backoffs.retryAfterMs(service, backoffMs);
    },
  };
}
