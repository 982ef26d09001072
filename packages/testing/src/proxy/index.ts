/** A fault-injecting TCP proxy for tests. */
export {
  createFaultProxy,
  type FaultProxy,
  type FaultProxyOptions,
  type ProxyCounts,
  ProxyMode,
} from "./fault_proxy.ts";
