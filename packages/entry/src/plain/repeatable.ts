/** Whether a call of a plain service may be repeated. */
import type { PlainServiceConfig } from "@sassafrascleat/config";

/**
 * True when the service's configuration says so for the method and a prefix of
 * whole path segments. A path with a dot segment or an escape never matches,
 * because the service may read it as another path.
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
