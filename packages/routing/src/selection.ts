/**
 * Selects the backend server for a request to a plain service. A single server answers such a
 * request, whereas a request to a model passes through a chain of engines.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
import type { Announcement } from '@spoolplank/membership';
import type { Random } from '@spoolplank/shared';
import type { BackendLoadTable } from './backendLoad';

/** What a backend server is selected by. */
export interface ServiceSelectionCriteria {
  readonly service: string;
  /** Data centre of the entry VM; servers in other data centres are penalised. */
  readonly dataCentre: string;
  /** Backend servers that earlier attempts of this request were sent to. */
  readonly excluded: ReadonlySet<string>;
  readonly nowMs: number;
}

/**
 * Number of requests that is added to the load of a backend server in another data centre. Such a
 * server is thus preferred to a local one only if it has at least this many requests fewer.
 */
const REMOTE_PENALTY = 2;

/** Criteria for candidates that are already known to provide the service. */
export type SelectionCriteria = Omit<ServiceSelectionCriteria, 'service'>;

export interface Candidate {
  readonly name: string;
  readonly dataCentre: string;
}

function cost(candidate: Candidate, criteria: SelectionCriteria, loads: BackendLoadTable): number {
  const remote = candidate.dataCentre === criteria.dataCentre ? 0 : REMOTE_PENALTY;
  return loads.estimate(candidate.name) + remote;
}

/** Selects the less loaded of two random candidates; undefined when there is none. */
export function selectCandidate<T extends Candidate>(
  serving: readonly T[],
  criteria: SelectionCriteria,
  loads: BackendLoadTable,
  random: Random,
): T | undefined {
  const untried = serving.filter(({ name }) => !criteria.excluded.has(name));
  const candidates = loads.withoutEjected(untried, criteria.nowMs);
  if (candidates.length < 2) return candidates[0];
  const firstIndex = random.nextInt(candidates.length);
  const offset = 1 + random.nextInt(candidates.length - 1);
  const first = candidates[firstIndex];
  const second = candidates[(firstIndex + offset) % candidates.length];
  if (!first || !second) return first ?? second;
  return cost(first, criteria, loads) <= cost(second, criteria, loads) ? first : second;
}

/** Selects the less loaded of two random backend servers; undefined when there is none. */
export function selectBackendServer(
  announced: readonly Announcement[],
  criteria: ServiceSelectionCriteria,
  loads: BackendLoadTable,
  random: Random,
): Announcement | undefined {
  const serving = announced.filter(({ services }) => services.includes(criteria.service));
  return selectCandidate(serving, criteria, loads, random);
}
