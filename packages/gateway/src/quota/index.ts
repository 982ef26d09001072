/** Quotas of customers over all routers. */
export {
  costOf,
  type QuotaCustomer,
  type QuotaTolerance,
} from "./customer_quota.ts";
export {
  CustomerQuotas,
  type CustomerQuotasOptions,
  type QuotaGrant,
  type QuotaRefusal,
  QuotaResult,
} from "./customer_quotas.ts";
export {
  type QuotaShareLog,
  ShareLogEnd,
  type ShareLogResult,
  type ShareReadOptions,
} from "./quota_share_log.ts";
export { type CustomerShares, type ShareEntry } from "./share_ledger.ts";
