/** What an operator says about routes, services and organisations, in one document. */
import type { Finding } from '@spoolplank/shared';

/** What may be repeated: `safe` at will, `once` never, `stream` from the last event on. */
export type RouteKind = 'safe' | 'once' | 'stream';

export interface RouteTarget {
  readonly service: string;
  /** Share of the route's requests, against the sum over its targets. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may be resumed elsewhere after its last whole event. */
  readonly isResumable: boolean;
  readonly timeoutMs: number;
  /** Within this a plain answer, or the first event of a stream, is on time. */
  readonly targetLatencyMs: number;
  /** The longest pause between events of a stream that is on time. */
  readonly targetGapMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Backend servers that one request may run on. */
  readonly maxAttempts: number;
  readonly isAnonymousAllowed: boolean;
}

export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMb: number;
  /** Time of a step against the reference accelerator. */
  readonly stepFactor: number;
  /** Time to read a prompt against the reference accelerator. */
  readonly readFactor: number;
}

/** A model that is split over engines by layers. */
export interface ModelDescription {
  readonly layers: number;
  readonly layerMb: number;
  /** Step of all layers on the reference accelerator, without requests. */
  readonly stepMs: number;
  /** What each running request adds to that. */
  readonly stepPerRequestMs: number;
  /** What each token that such a request has so far adds to that. */
  readonly contextMsPerToken: number;
  /** Tokens that an engine writes for each request before it looks for others. */
  readonly stepsPerPass: number;
  readonly readTokensPerS: number;
  /** Memory of one token over all layers. */
  readonly tokenBytes: number;
  /** Mean tokens of a prompt and of an answer. */
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

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface RoutingDocument {
  /** The operator's number; the highest is in force. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  readonly organisations: readonly Organisation[];
  /** Whether requests must carry an organisation's key. */
  readonly isKeyRequired: boolean;
  readonly limits: CallerLimits;
}

const SOURCE = 'configuration';

function finding(pointer: string, problem: string): Finding {
  return { source: SOURCE, pointer, problem };
}

function findRouteProblems(document: RoutingDocument): readonly Finding[] {
  const services = new Set(document.services.map(({ name }) => name));
  const places = new Set<string>();
  return document.routes.flatMap((route, index) => {
    const pointer = `/routes/${index}`;
    const place = `${route.host} ${route.pathPrefix}`;
    const isTaken = places.has(place);
    places.add(place);
    const weight = route.targets.reduce((sum, target) => sum + target.weight, 0);
    return [
      ...route.targets
        .filter(({ service }) => !services.has(service))
        .map(({ service }) => finding(pointer, `names the unknown service ${service}`)),
      ...(isTaken ? [finding(pointer, 'has the host and path of another route')] : []),
      ...(weight > 0 ? [] : [finding(pointer, 'has weights that add up to 0')]),
      ...(route.timeoutMs > 0 ? [] : [finding(pointer, 'has no time-out above 0')]),
    ];
  });
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

/** Everything wrong with a document that could be read. */
export function collectDocumentFindings(document: RoutingDocument): readonly Finding[] {
  return [...findRouteProblems(document), ...findKeyProblems(document)];
}
