/** Backend servers and their hosts as the platform lists them. */
import { z } from "zod";

/** Role of a backend server. */
export enum BackendRole {
  Prefill = "prefill",
  Decode = "decode",
  Plain = "plain",
}

/** Whether a host accepts new work; a leaving host is being drained. */
export enum HostState {
  Live = "live",
  Leaving = "leaving",
}

/** An item in the platform's list of hosts that run a backend server. */
export const backendServerSchema = z.object({
  /** Unique name of the backend server. */
  name: z.string().min(1),
  office: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Pool that the backend server belongs to. */
  pool: z.string().min(1),
  role: z.enum(BackendRole),
  /** Base address of the sidecar's system listener, `http://ip:port`. */
  sidecarAddress: z.string().min(1),
  /** Base address from which other engines fetch KV cache data. */
  engineAddress: z.string().min(1),
  state: z.enum(HostState),
});

/** A backend server in the platform's list. */
export type BackendServer = z.infer<typeof backendServerSchema>;
