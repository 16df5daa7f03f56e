/**
 * Identity of an incarnation of a backend server. A server that restarts under the same name has
 * lost all its state, so everything stored about it (layers, speed, load, streams) is keyed by
 * instance id.
 */

/** One incarnation of a backend server. */
export interface BackendIdentity {
  /** Name that stays the same across restarts. */
  readonly serverId: string;
  /**
   * Unix time of the start in milliseconds, which orders incarnations; 0 when the server does not
   * report it, in which case each incarnation has a name of its own.
   */
  readonly incarnation: number;
}

/** Cannot occur in a name, as names are path segments. */
const SEPARATOR = '/';

/** Formats the instance id of an incarnation, by which everything about it is keyed. */
export function formatInstanceId({ serverId, incarnation }: BackendIdentity): string {
  return incarnation === 0 ? serverId : `${serverId}${SEPARATOR}${incarnation}`;
}

/** Parses an instance id. */
export function parseInstanceId(instanceId: string): BackendIdentity {
  const at = instanceId.lastIndexOf(SEPARATOR);
  if (at < 0) return { serverId: instanceId, incarnation: 0 };
  return {
    serverId: instanceId.slice(0, at),
    incarnation: Number(instanceId.slice(at + SEPARATOR.length)),
  };
}
