/** Components shared across one entry. */
import type { HostView } from "@sassafrascleat/membership";
import type { LoadHint } from "@sassafrascleat/protocol";
import type { LoadHintTracker } from "@sassafrascleat/routing";
import type { Clock } from "@sassafrascleat/runtime";
import type { Claims } from "../claims/claims.ts";
import type { EntryMetrics } from "../metrics.ts";
import type { ResolvedEntryOptions } from "../options.ts";
import type { Canceller } from "../sidecar_client/canceller.ts";
import type { Renewer } from "../sidecar_client/renewer.ts";
import type { SidecarClients } from "../sidecar_client/sidecar_clients.ts";
import type { PlannedPrefills } from "./planned_prefills.ts";
import type { HintRefresher } from "./hint_refresher.ts";
import type { OutputEstimator } from "./output_estimator.ts";

/** Shared components, created once per entry. */
export interface EntryContext {
  options: ResolvedEntryOptions;
  /** Aborts when the entry closes. */
  signal: AbortSignal;
  clock: Clock;
  hosts: HostView;
  hints: LoadHintTracker;
  hintRefresher: HintRefresher;
  sidecarClients: SidecarClients;
  renewer: Renewer;
  canceller: Canceller;
  metrics: EntryMetrics;
  outputEstimator: OutputEstimator;
  plannedPrefills: PlannedPrefills;
  claims: Claims;
  /** Records the incarnation and load hint that a sidecar reported. */
  observe(name: string, incarnation: string, hint: LoadHint): void;
}
