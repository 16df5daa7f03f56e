/**
 * The credits with which this entry saves a whole retry of services that get few requests here. A
 * credit is asked for while retries are needed, and used only while the account counts it.
 */
import { CREDIT_VALIDITY_MS } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface CreditRequestsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly windowMs: number;
}

export interface CreditRequests {
  /** Records that a retry was needed which a credit may allow to save. */
  recordNeed(service: string): void;
  /** Whether to ask for a credit, or to renew it. */
  isWanted(service: string): boolean;
  /** Records that the account gave a credit; `askedAtMs` is on the clock `nowMs`. */
  recordGranted(service: string, askedAtMs: number): void;
  /** Whether this entry may use a credit now. */
  has(service: string): boolean;
  /** Services for which a credit is wanted. */
  listServices(): readonly string[];
}

export function createCreditRequests({ clock, windowMs }: CreditRequestsOptions): CreditRequests {
  const neededAtMs = new Map<string, number>();
  const askedAtMsOf = new Map<string, number>();

  const isWithin = (times: ReadonlyMap<string, number>, service: string, durationMs: number) =>
    clock.nowMs() - (times.get(service) ?? Number.NEGATIVE_INFINITY) <= durationMs;

  // Retries that were taken on a credit may arrive for a window.
  const isWanted = (service: string): boolean => isWithin(neededAtMs, service, windowMs);

  return {
    recordNeed(service) {
      neededAtMs.set(service, clock.nowMs());
    },
    isWanted,
    recordGranted(service, askedAtMs) {
      askedAtMsOf.set(service, askedAtMs);
    },
    has: (service) => isWithin(askedAtMsOf, service, CREDIT_VALIDITY_MS),
    listServices: () => [...neededAtMs.keys()].filter(isWanted),
  };
}
