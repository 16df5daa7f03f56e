/** How soon a change of the document that was acknowledged is in force. */
export interface ChangeBounds {
  /** Time from the acknowledgement of a change until it is in force on every VM in contact. */
  readonly applyMs: number;
  /** Time after a fault until a VM counts as in contact again. */
  readonly contactMs: number;
}

export const DEFAULT_CHANGE_BOUNDS: ChangeBounds = { applyMs: 2000, contactMs: 3000 };
