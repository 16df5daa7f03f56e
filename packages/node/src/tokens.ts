import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

/** SHA-256 digest in hex, the form in which settings keep bearer tokens. */
export function digestToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** Compares two texts without telling by the time it takes where they differ. */
export function isEqualSecret(a: string, b: string): boolean {
  const left = createHash('sha256').update(a).digest();
  const right = createHash('sha256').update(b).digest();
  return timingSafeEqual(left, right);
}

/** Signs a message between VMs with the deployment's shared key. */
export function signMessage(sharedKey: string, parts: readonly string[]): string {
  const hmac = createHmac('sha256', sharedKey);
  parts.forEach((part) => hmac.update(`${part.length}:${part}`));
  return hmac.digest('base64url');
}
