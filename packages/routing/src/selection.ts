/**
 * Selects a backend server for a plain request.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
import type { Announcement } from '@spoolplank/membership';
import type { Random } from '@spoolplank/shared';
import type { BackendLoadTable } from './backendLoad';

export interface SelectionRequest {
  readonly service: string;
  readonly dataCentre: string;
  /** Backend servers that earlier attempts of this request were sent to. */
  readonly excluded: ReadonlySet<string>;
  readonly nowMs: number;
}

/** Penalty for a backend server in another data centre, in requests of load. */
const REMOTE_PENALTY = 2;

/** Selection among candidates that are already known to serve the request. */
export type CandidateRequest = Omit<SelectionRequest, 'service'>;

export interface Candidate {
  readonly name: string;
  readonly dataCentre: string;
}

function cost(candidate: Candidate, request: CandidateRequest, loads: BackendLoadTable): number {
  const remote = candidate.dataCentre === request.dataCentre ? 0 : REMOTE_PENALTY;
  return loads.estimate(candidate.name) + remote;
}

/** Selects the less loaded of two random candidates; undefined when there is none. */
export function selectCandidate<T extends Candidate>(
  serving: readonly T[],
  request: CandidateRequest,
  loads: BackendLoadTable,
  random: Random,
): T | undefined {
  const untried = serving.filter(({ name }) => !request.excluded.has(name));
  const candidates = loads.withoutEjected(untried, request.nowMs);
  if (candidates.length < 2) return candidates[0];
  const firstIndex = random.nextInt(candidates.length);
  const offset = 1 + random.nextInt(candidates.length - 1);
  const first = candidates[firstIndex];
  const second = candidates[(firstIndex + offset) % candidates.length];
  if (!first || !second) return first ?? second;
  return cost(first, request, loads) <= cost(second, request, loads) ? first : second;
}

/** Selects the less loaded of two random backend servers; undefined when there is none. */
export function selectBackendServer(
  announced: readonly Announcement[],
  request: SelectionRequest,
  loads: BackendLoadTable,
  random: Random,
): Announcement | undefined {
  const serving = announced.filter(({ services }) => services.includes(request.service));
  return selectCandidate(serving, request, loads, random);
}
