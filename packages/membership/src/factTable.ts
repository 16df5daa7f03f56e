import type { Clock } from '@spoolplank/shared';

/** Orders the updates of one key. */
export interface FactVersion {
  /**
   * Increases with each start of the publisher; 0 where each incarnation has a key of its own.
   */
  readonly incarnation: number;
  /** Increases with each update within one incarnation. */
  readonly sequence: number;
}

/**
 * A record that a process publishes about itself or about a backend server, and that all VMs
 * replicate by gossip.
 */
export interface Fact<Body> extends FactVersion {
  readonly key: string;
  readonly body: Body;
  /**
   * Time of publication on this VM's monotonic clock, derived from the age that a sender states.
   */
  readonly receivedAtMs: number;
  /** Revision of this table at which the row last changed. */
  readonly revision: number;
  /** Revision at which the body or the origin last changed. */
  readonly bodyRevision: number;
  /** Table instance of the VM that received the fact from its publisher; empty for this VM. */
  readonly origin: string;
}

/** A fact as it is sent to another VM; the body is omitted when that VM already has it. */
export interface FactUpdate<Body> {
  readonly key: string;
  /** Omitted when 0. */
  readonly incarnation?: number;
  readonly sequence: number;
  /** Time since publication, in milliseconds. */
  readonly ageMs: number;
  readonly body?: Body;
  /** Table instance of the VM that received the fact from its publisher; omitted by that VM. */
  readonly origin?: string;
}

export interface FactDelta<Body> {
  /** Identifies one incarnation of a table; revisions restart with each incarnation. */
  readonly instance: string;
  readonly revision: number;
  readonly updates: readonly FactUpdate<Body>[];
}

export interface FactTableOptions<Body> {
  readonly clock: Clock;
  /** Unique to this incarnation of the process. */
  readonly instance: string;
  /**
   * Whether a changed body is propagated immediately rather than with the next periodic exchange.
   * `before` is the replaced body, if known.
   */
  readonly isUrgent: (body: Body, before?: Body) => boolean;
  /** Called after an urgent change with the new body. */
  readonly onUrgent?: (body: Body) => void;
}

/** Replicated table whose rows converge on all VMs by exchanging deltas. */
export interface FactTable<Body> {
  /** Identifies this table; unique to this incarnation of the process. */
  readonly instance: string;
  /** Increases with each fact that is stored. */
  readonly revision: number;
  /** Revision at which the body of any fact last changed. */
  readonly bodyRevision: number;
  /** Stores a local fact; false when this version or a later one is already stored. */
  put(key: string, version: number | FactVersion, body: Body): boolean;
  find(key: string): Fact<Body> | undefined;
  list(): readonly Fact<Body>[];
  /**
   * Rows that changed after `sinceRevision`; all rows when `instance` is not this table's instance.
   * Rows whose origin is in `exceptOrigins` are omitted, as the requester receives them directly.
   */
  deltaSince(
    instance: string,
    sinceRevision: number,
    exceptOrigins?: readonly string[],
  ): FactDelta<Body>;
  /**
   * Whether the body of a row has changed urgently after `sinceRevision`. Rows whose origin is in
   * `exceptOrigins` do not count.
   */
  hasUrgentSince(sinceRevision: number, exceptOrigins?: readonly string[]): boolean;
  /**
   * Merges the rows that another VM held at `asOfMs` on this VM's clock. `from` is the table
   * instance of that VM; it is omitted when the updates come from their publisher.
   */
  merge(updates: readonly FactUpdate<Body>[], asOfMs: number, from?: string): void;
  /** Removes facts not renewed within the retention time, which may depend on the body. */
  sweep(retentionMs: number | ((body: Body) => number)): void;
}

/**
 * Whether `a` supersedes `b`: any update of a later incarnation supersedes those of earlier ones.
 */
function isLater(a: FactVersion, b: FactVersion): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}

function toVersion(version: number | FactVersion): FactVersion {
  return typeof version === 'number' ? { incarnation: 0, sequence: version } : version;
}

/** A change of an urgent body or of its origin; superseded once the row has another revision. */
interface UrgentChange {
  readonly key: string;
  readonly bodyRevision: number;
}

/** Number of superseded changes from which they are removed. */
const MAX_SUPERSEDED = 256;

export function createFactTable<Body>(options: FactTableOptions<Body>): FactTable<Body> {
  const { clock, instance, isUrgent, onUrgent = () => {} } = options;
  const rows = new Map<string, Fact<Body>>();
  /** Keys of the rows whose body is urgent, with the revisions of their bodies, oldest first. */
  let urgentChanges: UrgentChange[] = [];
  let revision = 0;
  let bodyRevision = 0;
  let urgentRevision = 0;

  function isCurrent({ key, bodyRevision: changedAt }: UrgentChange): boolean {
    return rows.get(key)?.bodyRevision === changedAt;
  }

  function recordUrgent(key: string): void {
    urgentChanges.push({ key, bodyRevision: revision });
    if (urgentChanges.length > rows.size + MAX_SUPERSEDED) {
      urgentChanges = urgentChanges.filter(isCurrent);
    }
  }

  function store(
    key: string,
    { incarnation, sequence }: FactVersion,
    body: Body,
    { receivedAtMs, origin }: { readonly receivedAtMs: number; readonly origin: string },
  ): void {
    const known = rows.get(key);
    // Most updates renew a fact without its body, which is then the known one.
    const isSameBody =
      known !== undefined &&
      (known.body === body || JSON.stringify(known.body) === JSON.stringify(body));
    const isChanged = !isSameBody;
    // A requester that excluded the former origin never received the body, so it is sent again.
    const mustResendBody = isChanged || known.origin !== origin;
    revision += 1;
    if (isChanged) bodyRevision = revision;
    rows.set(key, {
      key,
      incarnation,
      sequence,
      body,
      receivedAtMs,
      revision,
      bodyRevision: mustResendBody ? revision : known.bodyRevision,
      origin,
    });
    if (mustResendBody && isUrgent(body)) recordUrgent(key);
    if (!isChanged || !isUrgent(body, known?.body)) return;
    urgentRevision = revision;
    onUrgent(body);
  }

  function mergeUpdate(update: FactUpdate<Body>, asOfMs: number, from: string): void {
    const { key, incarnation = 0, sequence, ageMs, origin = from } = update;
    const known = rows.get(key);
    const version: FactVersion = { incarnation, sequence };
    if (known && !isLater(version, known)) return;
    // The body of an earlier incarnation does not describe a later one.
    const isSameIncarnation = known?.incarnation === incarnation;
    const body = update.body ?? (isSameIncarnation ? known?.body : undefined);
    if (body === undefined) return;
    store(key, version, body, { receivedAtMs: asOfMs - ageMs, origin });
  }

  return {
    instance,
    get revision() {
      return revision;
    },
    get bodyRevision() {
      return bodyRevision;
    },
    put(key, stated, body) {
      const known = rows.get(key);
      const version = toVersion(stated);
      if (known && !isLater(version, known)) return false;
      store(key, version, body, { receivedAtMs: clock.nowMs(), origin: '' });
      return true;
    },
    find: (key) => rows.get(key),
    list: () => [...rows.values()],
    deltaSince(requestedInstance, sinceRevision, exceptOrigins = []) {
      const since = requestedInstance === instance ? sinceRevision : 0;
      const nowMs = clock.nowMs();
      const updates: FactUpdate<Body>[] = [];
      if (revision === since) return { instance, revision, updates };
      rows.forEach((row) => {
        if (row.revision <= since || exceptOrigins.includes(row.origin)) return;
        const { key, incarnation, sequence, receivedAtMs, body, origin } = row;
        updates.push({
          key,
          ...(incarnation === 0 ? {} : { incarnation }),
          sequence,
          ageMs: Math.max(0, Math.round(nowMs - receivedAtMs)),
          ...(row.bodyRevision > since ? { body } : {}),
          ...(origin === '' ? {} : { origin }),
        });
      });
      return { instance, revision, updates };
    },
    hasUrgentSince(sinceRevision, exceptOrigins = []) {
      if (urgentRevision <= sinceRevision) return false;
      for (let index = urgentChanges.length - 1; index >= 0; index -= 1) {
        const change = urgentChanges[index];
        if (!change || change.bodyRevision <= sinceRevision) return false;
        const row = isCurrent(change) ? rows.get(change.key) : undefined;
        if (row && !exceptOrigins.includes(row.origin)) return true;
      }
      return false;
    },
    merge(updates, asOfMs, from = '') {
      updates.forEach((update) => mergeUpdate(update, asOfMs, from));
    },
    sweep(retentionMs) {
      const nowMs = clock.nowMs();
      rows.forEach(({ receivedAtMs, body }, key) => {
        const rowRetentionMs = typeof retentionMs === 'number' ? retentionMs : retentionMs(body);
        if (nowMs - receivedAtMs > rowRetentionMs) rows.delete(key);
      });
    },
  };
}
