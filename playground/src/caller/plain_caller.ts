/** Client of plain services for scripts and tests. */
import { request } from "undici";

/** Result of a plain call, as its caller sees it. */
export interface PlainResult {
  status: number;
  body: string;
  outcome?: string;
}

/** Parameters of a plain call. */
export interface PlainCall {
  address: string;
  service: string;
  method: "GET" | "POST";
  path: string;
  body?: string;
  idempotencyKey?: string;
  signal?: AbortSignal;
}

function parseOutcome(status: number, body: string): string | undefined {
  if (status < 400) return undefined;
  try {
    const parsed = JSON.parse(body) as { error?: { outcome?: string } };
    return parsed.error?.outcome;
  } catch {
    return undefined;
  }
}

/** Sends a call to a plain service through an entry. */
export async function callPlain(call: PlainCall): Promise<PlainResult> {
  const headers: Record<string, string> = {};
  if (call.body !== undefined) headers["content-type"] = "application/json";
  if (call.idempotencyKey) headers["idempotency-key"] = call.idempotencyKey;
  const url = `${call.address}/services/${call.service}${call.path}`;
  const res = await request(url, {
    method: call.method,
    headers,
    body: call.body,
    signal: call.signal,
  });
  const body = await res.body.text();
  return {
    status: res.statusCode,
    body,
    outcome: parseOutcome(res.statusCode, body),
  };
}
