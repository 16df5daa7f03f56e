/**
 * Choice of one backend server for a plain request.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
import type { Announcement } from '@spoolplank/membership';
import type { Random } from '@spoolplank/shared';
import type { BackendLoadTable } from './backendLoad';

export interface SelectionRequest {
  readonly service: string;
  readonly dataCentre: string;
  /** Names that an earlier attempt of this request has been to. */
  readonly excluded: ReadonlySet<string>;
  readonly nowMs: number;
}

/** What being in another data centre counts for, in requests of load. */
const REMOTE_PENALTY = 2;

/** What is asked of one among candidates that all serve the request. */
export type CandidateRequest = Omit<SelectionRequest, 'service'>;

export interface Candidate {
  readonly name: string;
  readonly dataCentre: string;
}

function cost(candidate: Candidate, request: CandidateRequest, loads: BackendLoadTable): number {
  const remote = candidate.dataCentre === request.dataCentre ? 0 : REMOTE_PENALTY;
  return loads.estimate(candidate.name) + remote;
}

/** Picks the less loaded of two candidates drawn at random; undefined when there is none. */
export function selectCandidate<T extends Candidate>(
  serving: readonly T[],
  request: CandidateRequest,
  loads: BackendLoadTable,
  random: Random,
): T | undefined {
  const fresh = serving.filter(({ name }) => !request.excluded.has(name));
  const candidates = loads.withoutEjected(fresh, request.nowMs);
  if (candidates.length < 2) return candidates[0];
  const firstAt = random.nextInt(candidates.length);
  const offset = 1 + random.nextInt(candidates.length - 1);
  const first = candidates[firstAt];
  const second = candidates[(firstAt + offset) % candidates.length];
  if (!first || !second) return first ?? second;
  return cost(first, request, loads) <= cost(second, request, loads) ? first : second;
}

/** Picks the less loaded of two backend servers drawn at random; undefined when there is none. */
export function selectBackendServer(
  announced: readonly Announcement[],
  request: SelectionRequest,
  loads: BackendLoadTable,
  random: Random,
): Announcement | undefined {
  const serving = announced.filter(({ services }) => services.includes(request.service));
  return selectCandidate(serving, request, loads, random);
}
