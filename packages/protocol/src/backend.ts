/** Backend servers and hosts as every part of the system names them. */
import { z } from "zod";

/** What a backend server does. */
export enum BackendRole {
  Prefill = "prefill",
  Decode = "decode",
  Plain = "plain",
}

/** Whether a host takes new work. */
export enum HostState {
  Live = "live",
  Leaving = "leaving",
}

/** One entry of the platform's list of hosts that run a backend server. */
export const backendServerSchema = z.object({
  /** Unique name of the backend server. */
  name: z.string().min(1),
  office: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** The pool that the backend server belongs to. */
  pool: z.string().min(1),
  role: z.enum(BackendRole),
  /** Base address of the sidecar's system listener, `http://ip:port`. */
  sidecarAddress: z.string().min(1),
  /** Base address at which other engines reach this engine for KV transfers. */
  engineAddress: z.string().min(1),
  state: z.enum(HostState),
});

/** A backend server as the platform lists it. */
export type BackendServer = z.infer<typeof backendServerSchema>;
