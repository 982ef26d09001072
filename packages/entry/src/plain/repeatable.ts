/** Whether a call of a plain service may be repeated. */
import type { PlainServiceConfig } from "@sassafrascleat/config";

/**
 * Returns whether the service's configuration lists the method with a prefix of
 * the path that ends at a segment boundary. A path with a dot segment, an empty
 * segment, a backslash or a percent escape never matches, because the service
 * may resolve it to another path.
 */
export function isRepeatable(
  service: PlainServiceConfig,
  method: string,
  pathWithQuery: string,
): boolean {
  const path = pathWithQuery.split("?")[0]!;
  if (/\/\.{1,2}(\/|$)|%|\\|\/\//.test(path)) return false;
  return service.repeatable.some((route) =>
    route.method === method && isPathPrefix(route.path, path)
  );
}

function isPathPrefix(prefix: string, path: string): boolean {
  const base = prefix.endsWith("/") ? prefix : prefix + "/";
  return path === prefix || path.startsWith(base);
}
