/**
 * Tracks the load in flight on the chains of a data centre, on the VM that allocates their slots:
 * from the slots in its own ledger and, while the ledger may be incomplete, also from the load that
 * VMs report.
 */
import { createSlotLedger } from '@spoolplank/routing';
import type { HeldPath, HeldSlot, SlotLedger } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface SlotAccountOptions {
  readonly clock: Clock;
  /** Total size in flight on a chain as reported by all entries. */
  readonly reportedInFlight: (headId: string) => number;
  /** Whether this VM is the allocator of its data centre, as far as it knows. */
  readonly isAllocator: () => boolean;
}

export interface SlotAccount extends SlotLedger {
  /**
   * Records a call of any VM. The first call after an idle period starts recovery: the ledger is
   * rebuilt from the slots that the VMs list.
   */
  recordUse(): void;
  /** Total size in flight on a chain; includes reported load while the account is incomplete. */
  inFlightOn(headId: string): number;
}

/**
 * Time after the first call during which slots of other VMs may be missing from the ledger. Each VM
 * lists its slots about once a second.
 */
const RECOVERY_MS = 1300;
/** Time without any call after which the next call starts recovery again. */
const IDLE_RESET_MS = 2600;

export function createSlotAccount(options: SlotAccountOptions): SlotAccount {
  const { clock, reportedInFlight, isAllocator } = options;
  const ledger = createSlotLedger({ clock });
  const reportedAtStart = new Map<string, number>();
  const grantedSinceStart = new Map<string, number>();
  let usedAtMs = Number.NEGATIVE_INFINITY;
  let recoveredAtMs = Number.NEGATIVE_INFINITY;

  function isRecovering(): boolean {
    return clock.nowMs() < recoveredAtMs;
  }

  /** Whether the ledger has the slots of all VMs. It lacks those granted by another allocator. */
  function isComplete(): boolean {
    return !isRecovering() && isAllocator();
  }

  /**
   * Load reported for a chain when recovery started. Its weight falls linearly to zero during
   * recovery, as the lists that the holders send replace it.
   */
  function inFlightAtStartOn(headId: string): number {
    if (!isRecovering()) return 0;
    const known = reportedAtStart.get(headId) ?? reportedInFlight(headId);
    reportedAtStart.set(headId, known);
    return (known * (recoveredAtMs - clock.nowMs())) / RECOVERY_MS;
  }

  /** Total size granted on a chain since recovery started; zero once recovery has ended. */
  function grantedSinceStartOn(headId: string): number {
    return isRecovering() ? (grantedSinceStart.get(headId) ?? 0) : 0;
  }

  return {
    grant(holder: string, slot: HeldSlot, path?: HeldPath) {
      const { headId, size } = slot;
      ledger.grant(holder, slot, path);
      // Every restart of a first engine adds a key, so none is added once recovery has ended.
      if (!isRecovering()) return;
      grantedSinceStart.set(headId, (grantedSinceStart.get(headId) ?? 0) + size);
    },
    report: ledger.report,
    cancel: ledger.cancel,
    heldSizeOf: ledger.heldSizeOf,
    get engines() {
      return ledger.engines;
    },
    get holders() {
      return ledger.holders;
    },
    recordUse() {
      const nowMs = clock.nowMs();
      if (nowMs - usedAtMs > IDLE_RESET_MS) {
        recoveredAtMs = nowMs + RECOVERY_MS;
        reportedAtStart.clear();
        grantedSinceStart.clear();
      }
      usedAtMs = nowMs;
    },
    inFlightOn(headId) {
      const held = ledger.heldSizeOf(headId);
      if (isComplete()) return held;
      return Math.max(
        held,
        reportedInFlight(headId),
        inFlightAtStartOn(headId) + grantedSinceStartOn(headId),
      );
    },
  };
}
