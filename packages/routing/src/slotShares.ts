/**
 * Accounts for the slots that the classes of a service, and the organisations in each class, were
 * granted. A class is the set of requests of routes with the same priority.
 *
 * A burst of a patient class, or of an urgent one after it, exceeds the capacity for some seconds,
 * more so while chains are out. The urgent class then takes precedence. Without a guaranteed share
 * the patient class would get no slot at all for as long as the burst lasts, and its callers would
 * leave.
 *
 * An organisation that sends ten times its usual requests, whose callers retry several times at
 * once, or hang up and come back, takes slots from all others if each request counts the same.
 * Organisations therefore share by the cost of what they were granted.
 */
import { createClassShares, createRecentCosts } from './classShares';
import type { ClassOf, ClassShares, ClassSharesOptions } from './classShares';
import { createOrganisationShares } from './organisationShares';
import type { OrganisationShares } from './organisationShares';
import type { SlotClaim } from './slotClaim';

export interface SlotSharesOptions extends ClassSharesOptions {
  /** Whether organisations share by cost; otherwise all have the same round. */
  readonly isShared: boolean;
}

/** Shares of the classes of a service, and of the organisations in each class. */
export interface SlotShares extends Pick<ClassShares, 'findOwed'> {
  join(claim: SlotClaim): void;
  leave(claim: SlotClaim): void;
  charge(claim: SlotClaim): void;
  refund(claim: SlotClaim): void;
  /** Charges a slot that another allocator granted. */
  chargeElsewhere(claim: SlotClaim): void;
  /** Virtual start time of the organisation's next request, in usual requests at weight 1. */
  startOf(claim: SlotClaim): number;
  /** Whether the organisation was granted clearly more for its weight than another that waits. */
  isAhead(claim: SlotClaim): boolean;
  /** The organisation of the lowest round is served next. */
  roundOf(claim: SlotClaim): number;
  describe(): SharesReport;
}

/** What classes and organisations were granted over the last two seconds. */
export interface SharesReport {
  /** Share of the granted cost by class. */
  readonly classes: Readonly<Record<string, number>>;
  /** Granted cost of the organisations with most of it. */
  readonly organisations: Readonly<Record<string, number>>;
}

/**
 * Organisations whose shares differ by less count as equal, and are served in the order of their
 * requests. This keeps more requests in time in a short queue than strict turns would.
 */
export const ROUND_COST = 2;
/**
 * Lead from which the retries of an organisation have no precedence over other requests. Retries
 * are served before late requests and, at the end of their wait, before all others. An organisation
 * whose callers retry several times at once would otherwise get more slots than its share.
 */
const AHEAD_COST = ROUND_COST;
/** Number of organisations in a report. */
const MAX_REPORTED = 10;
/** Decimal places of reported costs and shares, as a factor. */
const REPORT_STEPS = 1000;

const roundForReport = (value: number): number => Math.round(value * REPORT_STEPS) / REPORT_STEPS;

export function createSlotShares(options: SlotSharesOptions): SlotShares {
  const { isShared } = options;
  const classes = createClassShares(options);
  const byClass = new Map<string, OrganisationShares>();
  const recent = createRecentCosts<string>(options);

  function organisationsOf({ priority, classPriority }: ClassOf): OrganisationShares {
    const name = `${priority} ${classPriority}`;
    const known = byClass.get(name);
    if (known) return known;
    const created = createOrganisationShares({ isOutOfOrder: true });
    byClass.set(name, created);
    return created;
  }

  const startOf = (claim: SlotClaim): number => organisationsOf(claim).startOf(claim.organisation);

  return {
    findOwed: classes.findOwed,
    join(claim) {
      classes.join(claim);
      organisationsOf(claim).join(claim.organisation);
    },
    leave(claim) {
      classes.leave(claim);
      organisationsOf(claim).leave(claim.organisation);
    },
    charge(claim) {
      classes.charge(claim);
      recent.add(claim.organisation, claim.cost);
      organisationsOf(claim).charge(claim.organisation, claim.cost / claim.weight);
    },
    refund(claim) {
      classes.refund(claim);
      recent.add(claim.organisation, -claim.cost);
      organisationsOf(claim).refund(claim.organisation, claim.cost / claim.weight);
    },
    chargeElsewhere(claim) {
      organisationsOf(claim).chargeElsewhere(claim.organisation, claim.cost / claim.weight);
    },
    startOf,
    isAhead: (claim) => isShared && organisationsOf(claim).leadOf(claim.organisation) >= AHEAD_COST,
    roundOf: (claim) => (isShared ? Math.floor(startOf(claim) / ROUND_COST) : 0),
    describe() {
      const shares = classes.list().map(([name, share]) => [name, roundForReport(share)]);
      const costs = [...recent.list()]
        .sort(([, a], [, b]) => b - a)
        .slice(0, MAX_REPORTED)
        .map(([name, cost]) => [name, roundForReport(cost)]);
      return { classes: Object.fromEntries(shares), organisations: Object.fromEntries(costs) };
    },
  };
}
