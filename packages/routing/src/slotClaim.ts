/** What a request asks for, and on whose account. */
export interface SlotClaim {
  /** Priority of the organisation; 0 is the highest. */
  readonly priority: number;
  /** Priority of the route; 0 is the highest. */
  readonly classPriority: number;
  /** Empty if unknown. */
  readonly organisation: string;
  /** Weight of the organisation, above 0. */
  readonly weight: number;
  /** Cost of the slot, relative to a request of usual size. */
  readonly cost: number;
}
