/** The operator's configuration of routes, services and organisations, in one document. */
import type { Finding } from '@spoolplank/shared';

/** Retry semantics: `safe` may be repeated, `once` may not, `stream` may be resumed. */
export type RouteKind = 'safe' | 'once' | 'stream';

export interface RouteTarget {
  readonly service: string;
  /** Share of the route's requests, relative to the sum over its targets. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may be resumed on another server after its last complete event. */
  readonly isResumable: boolean;
  readonly timeoutMs: number;
  /** Target time to a plain response or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Target for the longest pause between events of a stream. */
  readonly targetGapMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of backend servers that a request is sent to. */
  readonly maxAttempts: number;
  readonly isAnonymousAllowed: boolean;
}

export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMb: number;
  /** Time of a step relative to the reference accelerator. */
  readonly stepFactor: number;
  /** Time to read a prompt relative to the reference accelerator. */
  readonly readFactor: number;
}

/** A model whose layers are distributed over engines. */
export interface ModelDescription {
  readonly layers: number;
  readonly layerMb: number;
  /** Time of a step over all layers on the reference accelerator, without requests. */
  readonly stepMs: number;
  /** Additional step time per running request. */
  readonly stepPerRequestMs: number;
  /** Additional step time per token in the context of a running request. */
  readonly contextMsPerToken: number;
  /** Tokens decoded per request in one pass, before the batch is formed anew. */
  readonly stepsPerPass: number;
  readonly readTokensPerS: number;
  /** Cache memory of one token over all layers. */
  readonly tokenBytes: number;
  /** Mean number of tokens of a prompt; `usualAnswerTokens` is that of an answer. */
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly maxConcurrentLoads: number;
  /** Time to load all layers. */
  readonly loadMs: number;
  readonly kinds: readonly AcceleratorKind[];
}

export interface ServiceDescription {
  readonly name: string;
  readonly maxConnections: number;
  readonly model?: ModelDescription;
}

export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface RoutingDocument {
  /** Assigned by the operator; the document with the highest version is in force. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  readonly organisations: readonly Organisation[];
  /** Whether requests must carry the key of an organisation. */
  readonly isKeyRequired: boolean;
  readonly limits: CallerLimits;
}

const SOURCE = 'configuration';

function finding(pointer: string, problem: string): Finding {
  return { source: SOURCE, pointer, problem };
}

function findRouteProblems(document: RoutingDocument): readonly Finding[] {
  const services = new Set(document.services.map(({ name }) => name));
  const prefixesByHost = new Map<string, Set<string>>();
  const findings: Finding[] = [];

  function report(index: number, problem: string): void {
    findings.push(finding(`/routes/${index}`, problem));
  }

  /** Records the host and prefix of a route; returns false when they are known. */
  function isNew({ host, pathPrefix }: Route): boolean {
    const prefixes = prefixesByHost.get(host);
    if (prefixes?.has(pathPrefix)) return false;
    if (prefixes) prefixes.add(pathPrefix);
    else prefixesByHost.set(host, new Set([pathPrefix]));
    return true;
  }

  // Documents have some 1,500 routes, so that a valid route creates no objects here.
  document.routes.forEach((route, index) => {
    let weight = 0;
    for (const target of route.targets) {
      weight += target.weight;
      if (!services.has(target.service))
        report(index, `refers to the unknown service ${target.service}`);
    }
    if (!isNew(route)) report(index, 'has the same host and path prefix as another route');
    if (!(weight > 0)) report(index, 'has target weights with a sum of 0');
    if (!(route.timeoutMs > 0)) report(index, 'needs a time-out above 0');
  });
  return findings;
}

function findKeyProblems({ organisations }: RoutingDocument): readonly Finding[] {
  const owners = new Map<string, string>();
  return organisations.flatMap(({ name, keys }, index) =>
    keys.flatMap((key) => {
      const owner = owners.get(key) ?? name;
      owners.set(key, owner);
      return owner === name
        ? []
        : [finding(`/organisations/${index}`, `shares a key with ${owner}`)];
    }),
  );
}

/** Returns all semantic problems of a parsed document. */
export function collectDocumentFindings(document: RoutingDocument): readonly Finding[] {
  return [...findRouteProblems(document), ...findKeyProblems(document)];
}
