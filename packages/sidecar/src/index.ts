/** The process beside a backend server: ledgers, streams, drain and order fencing. */
export {
  type ResolvedSidecarOptions,
  resolveSidecarOptions,
  type SidecarOptions,
} from "./options.ts";
export { createSidecar, type Sidecar } from "./sidecar.ts";
