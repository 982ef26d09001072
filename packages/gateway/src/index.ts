/** HTTP gateway that forwards requests directly to backend servers. */
export * from "./backends/index.ts";
export {
  type OrderedChanges,
  type OrderLease,
  type OrderLeases,
  OrderOutcome,
  StageBalancer,
  type StageBalancerOptions,
  type StageOrders,
} from "./balance/stage_balancer.ts";
export * from "./config/index.ts";
export { Gateway, type GatewayOptions } from "./gateway.ts";
export * from "./http/index.ts";
export { createGatewayMetrics, type GatewayMetrics } from "./metrics.ts";
export { type CrashRecord } from "./decide/crash_causes.ts";
export * from "./quarantine/index.ts";
export * from "./quota/index.ts";
export * from "./versions/index.ts";
export {
  ReachabilityMonitor,
  type ReachabilityOptions,
} from "./reachability.ts";
export {
  type GatewayPolicy,
  type GatewayPolicyOptions,
  resolveGatewayPolicy,
} from "./policy.ts";
export {
  type ControlCall,
  ControlClient,
  type ControlClientOptions,
  type ControlReply,
} from "./runs/control_client.ts";
export { Liveness, livenessOf } from "./runs/liveness.ts";
export { ControlVerdict } from "./runs/reply_verdict.ts";
export {
  CopyEnd,
  type CopyResult,
  type EngineControl,
  HoldEnd,
  type HoldResult,
  MoveEnd,
  type MoveResult,
  type PrefillReply,
} from "./runs/run_context.ts";
