/**
 * `npm run bench -- NAME [options]`: runs one benchmark, which prints one line
 * of JSON. Each benchmark has its own folder next to this file.
 */

/** Entry point of a benchmark: takes its arguments, returns the exit status. */
type Bench = (args: string[]) => Promise<number>;

const BENCHES: Record<string, () => Promise<{ main: Bench }>> = {
  "half-dead": () => import("./half_dead/main.ts"),
  recovery: () => import("./recovery/main.ts"),
  reservations: () => import("./reservations/main.ts"),
  claims: () => import("./claims/main.ts"),
  sidecar: () => import("./sidecar/main.ts"),
  capacity: () => import("./capacity/main.ts"),
  "config-log": () => import("./config_log/index.ts"),
  relay: () => import("./relay/main.ts"),
  streams: () => import("./streams/main.ts"),
  decisions: () => import("./decisions/main.ts"),
  placement: () => import("./placement/main.ts"),
  overhead: () => import("./overhead/main.ts"),
};

const [name = "", ...args] = process.argv.slice(2);
const load = BENCHES[name];
if (load) {
  const bench = await load();
  process.exitCode = await bench.main(args);
} else {
  console.error(`usage: npm run bench -- ${Object.keys(BENCHES).join("|")}`);
  process.exitCode = 2;
}
