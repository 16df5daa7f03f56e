import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

/** Returns the SHA-256 digest of a bearer token in hex, as it is stored in the settings. */
export function digestToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** Compares two secrets in constant time, so that the duration reveals nothing about them. */
export function isEqualSecret(a: string, b: string): boolean {
  const left = createHash('sha256').update(a).digest();
  const right = createHash('sha256').update(b).digest();
  return timingSafeEqual(left, right);
}

/** Signs a message between VMs with the shared key of the deployment. */
export function signMessage(sharedKey: string, parts: readonly string[]): string {
  const hmac = createHmac('sha256', sharedKey);
  parts.forEach((part) => hmac.update(`${part.length}:${part}`));
  return hmac.digest('base64url');
}
