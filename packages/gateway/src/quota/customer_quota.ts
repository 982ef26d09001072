/** The quota of a customer and what a request costs of it. */
import {
  type Customer,
  type CustomerQuota,
  QuotaUnit,
} from "../config/routing_table.ts";
import type { RequestMetadata } from "../http/wire_codec.ts";

/** What the quotas need to know of a customer. */
export type QuotaCustomer = Pick<Customer, "name" | "quota">;

/** Tolerance of all limits, over all routers. */
export interface QuotaTolerance {
  /** Window in which the limit is measured, in milliseconds. */
  windowMs: number;
  /** Ratio by which the limit may be exceeded. */
  overRatio: number;
  /** Cost beyond that, in the unit of the quota. */
  slack: number;
}

/** Cost of a request in the unit of the quota; never negative. */
export function costOf(
  quota: CustomerQuota,
  { prompt }: Pick<RequestMetadata, "prompt">,
): number {
  if (quota.unit === QuotaUnit.Requests) return 1;
  if (!prompt) return quota.plainTokens;
  const tokens = prompt.promptTokens + prompt.maxOutputTokens;
  return Number.isFinite(tokens) && tokens >= 0 ? tokens : quota.plainTokens;
}
