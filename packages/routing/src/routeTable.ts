import type { Random } from '@spoolplank/shared';
import type { Organisation, Route, RouteTarget, RoutingDocument } from './routingDocument';

/** A routing document indexed for look-ups. */
export interface RouteTable {
  readonly document: RoutingDocument;
  /** Returns the route of the host with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined;
  findOrganisation(key: string): Organisation | undefined;
}

export function createRouteTable(document: RoutingDocument): RouteTable {
  const routesByHost = new Map<string, Route[]>();
  document.routes.forEach((route) => {
    const known = routesByHost.get(route.host);
    if (known) known.push(route);
    else routesByHost.set(route.host, [route]);
  });
  routesByHost.forEach((routes) =>
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
  );
  const organisationsByKey = new Map(
    document.organisations.flatMap((organisation) =>
      organisation.keys.map((key) => [key, organisation] as const),
    ),
  );
  return {
    document,
    findRoute: (host, path) =>
      routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    findOrganisation: (key) => organisationsByKey.get(key),
  };
}

/** Selects a random target by weight; targets with weight 0 are never selected. */
export function drawTarget(targets: readonly RouteTarget[], random: Random): RouteTarget {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.nextFloat() * total;
  const drawn = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  const last = targets.findLast(({ weight }) => weight > 0);
  const target = drawn ?? last;
  if (!target) throw new RangeError('a route needs a target with a weight above 0');
  return target;
}
