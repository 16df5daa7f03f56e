/** Identifies the content of a request by a digest that all attempts of the request share. */
import { createHash } from 'node:crypto';
import type { CallerRequest } from '../callerRequest';

/** The parts of a request that make up its content. */
export interface RequestContent {
  readonly request: Pick<CallerRequest, 'host' | 'method' | 'url' | 'body'> &
    Partial<Pick<CallerRequest, 'promptParts'>>;
  /** Name of the organisation; null for a caller without one. */
  readonly organisation: string | null;
}

/** An admitted request with its organisation. */
interface ContentSource {
  readonly request: RequestContent['request'];
  readonly organisation: { readonly name: string } | null;
}

/** Keys of the parts of its prompt that a request shares with others. */
export function partsOf({ request }: RequestContent): readonly string[] {
  return request.promptParts ?? [];
}

export function contentOf({ request, organisation }: ContentSource): RequestContent {
  return { request, organisation: organisation?.name ?? null };
}

/** With 16 bytes, the probability of a collision among 2^32 digests is about 2^-64. */
const DIGEST_BYTES = 16;

const digests = new WeakMap<RequestContent['request'], string>();

function compute({ request, organisation }: RequestContent): string {
  const { host, method, url, body } = request;
  const head = JSON.stringify([organisation, host, method, url]);
  const hash = createHash('sha256').update(`${head.length}:${head}`).update(body);
  return hash.digest().subarray(0, DIGEST_BYTES).toString('base64url');
}

/**
 * Returns the digest of a request's content: equal for all attempts of one organisation with the
 * same host, method, URL and body, independent of request id, connection and VM. Hashing takes 8 us
 * for a body of 4 KB and 4 ms for one of 4 MB, so callers compute it only if there is a digest to
 * compare it with, and the result is cached for the request.
 */
export function digestContent(content: RequestContent): string {
  const known = digests.get(content.request);
  if (known !== undefined) return known;
  const digest = compute(content);
  digests.set(content.request, digest);
  return digest;
}
