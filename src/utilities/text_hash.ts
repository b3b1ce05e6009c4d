const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A whole number below 2^32 that depends on nothing but the text (FNV-1a). */
export function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
