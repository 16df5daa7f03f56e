/**
 * Charges granted slots to the classes and organisations of their requests, on the VM that
 * allocates the slots, and refunds those that were not used.
 */
import type { SlotClaim } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { AdmissionQueue } from '../admission/admissionQueue';
import type { HeldCost } from './slotMessages';

export interface SlotChargesOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly queueOf: (service: string) => Pick<AdmissionQueue, 'refund' | 'chargeElsewhere'>;
}

export interface SlotCharges {
  /** Records the charge for a slot that was granted now. */
  record(key: string, service: string, claim: SlotClaim): void;
  /** Makes a charge final, as the request of the slot was sent. */
  settle(key: string): void;
  /** Takes back the charge for a slot that its holder has not used. */
  refund(key: string): void;
  /** Takes back the charges for slots that their holders have not listed in time. */
  refundUnclaimed(): void;
  /**
   * Charges the slots that a holder has when it first reports their costs, as they were granted by
   * another allocator.
   */
  chargeHeld(holder: string, heldCosts: readonly HeldCost[] | undefined): void;
  /** Removes lost holders. */
  sweep(): void;
}

/** A slot that was charged to its class, and can be refunded until its request is sent. */
interface Charge {
  readonly service: string;
  readonly claim: SlotClaim;
  readonly atMs: number;
}

/**
 * Time after which a granted slot that its holder never listed counts as unused; equal to the time
 * after which the ledger releases it.
 */
const UNCLAIMED_MS = 1300;
/** Time without a call after which a holder has lost its slots; equal to that of the ledger. */
const HOLDER_LOST_MS = 2600;
/** Identifies a slot. */
export const keyOf = (holder: string, ticket: string): string => `${holder} ${ticket}`;

export function createSlotCharges({ clock, queueOf }: SlotChargesOptions): SlotCharges {
  /** When each holder called last whose slots are charged. */
  const chargedHolders = new Map<string, number>();
  /** Charges for granted slots that their holders have not listed yet, oldest first. */
  const charges = new Map<string, Charge>();

  function refund(key: string): void {
    const charge = charges.get(key);
    if (!charge) return;
    charges.delete(key);
    queueOf(charge.service).refund(charge.claim);
  }

  function refundUnclaimed(): void {
    const oldestMs = clock.nowMs() - UNCLAIMED_MS;
    for (const [key, { atMs }] of charges) {
      if (atMs >= oldestMs) return;
      refund(key);
    }
  }

  return {
    record(key, service, claim) {
      charges.set(key, { service, claim, atMs: clock.nowMs() });
    },
    settle(key) {
      charges.delete(key);
    },
    refund,
    refundUnclaimed,
    chargeHeld(holder, heldCosts) {
      const nowMs = clock.nowMs();
      const lastMs = chargedHolders.get(holder) ?? Number.NEGATIVE_INFINITY;
      const isCharged = nowMs - lastMs <= HOLDER_LOST_MS;
      if (isCharged || heldCosts) chargedHolders.set(holder, nowMs);
      if (isCharged) return;
      heldCosts?.forEach(({ service, ...claim }) => queueOf(service).chargeElsewhere(claim));
    },
    sweep() {
      const nowMs = clock.nowMs();
      chargedHolders.forEach((lastMs, holder) => {
        if (nowMs - lastMs > HOLDER_LOST_MS) chargedHolders.delete(holder);
      });
    },
  };
}
