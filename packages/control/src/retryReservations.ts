/**
 * Retries that a leader of the control group reserved before it lent them, so that the next leader
 * knows what may have been lent.
 */
import type { Clock, JsonValue } from '@spoolplank/shared';

/** Reserves retries of a service. */
export interface ReserveRetries {
  readonly kind: 'retries.reserve';
  readonly service: string;
  readonly count: number;
  /** Retries that are lent and count, with these; the older reservations are dropped. */
  readonly most: number;
}

/** Drops the reservations of a service, as all that was lent under them has expired. */
export interface ReleaseRetries {
  readonly kind: 'retries.release';
  readonly service: string;
}

export interface RetryReservation {
  readonly service: string;
  readonly count: number;
}

/** A reservation as this replica knows it. */
export interface KnownReservation extends RetryReservation {
  /** Time since this replica applied it, on the steady clock; not part of the state. */
  readonly knownForMs: number;
}

/** State machine over the replicated log. */
export interface RetryReservations {
  /** Reservations in the order of the log. */
  list(): readonly KnownReservation[];
  apply(command: ReserveRetries | ReleaseRetries): JsonValue;
  takeSnapshot(): readonly RetryReservation[];
  restore(snapshot: readonly RetryReservation[]): void;
}

interface ReservationRow extends RetryReservation {
  readonly appliedAtMs: number;
}

export function createRetryReservations(clock: Pick<Clock, 'steadyMs'>): RetryReservations {
  let reservations: readonly ReservationRow[] = [];

  /** Drops the oldest reservations of a service without which `most` are still covered. */
  function dropCovered(service: string, most: number): void {
    let later = 0;
    const kept: ReservationRow[] = [];
    [...reservations].reverse().forEach((reservation) => {
      if (reservation.service === service) {
        if (later >= most) return;
        later += reservation.count;
      }
      kept.unshift(reservation);
    });
    reservations = kept;
  }

  return {
    list: () =>
      reservations.map(({ service, count, appliedAtMs }) => ({
        service,
        count,
        knownForMs: clock.steadyMs() - appliedAtMs,
      })),
    apply(command) {
      const { kind, service } = command;
      if (kind === 'retries.release') {
        reservations = reservations.filter((reservation) => reservation.service !== service);
        return null;
      }
      const row = { service, count: command.count, appliedAtMs: clock.steadyMs() };
      reservations = [...reservations, row];
      dropCovered(service, command.most);
      return null;
    },
    takeSnapshot: () => reservations.map(({ service, count }) => ({ service, count })),
    restore(snapshot) {
      const appliedAtMs = clock.steadyMs();
      reservations = snapshot.map(({ service, count }) => ({ service, count, appliedAtMs }));
    },
  };
}
