/** The only backend server of this benchmark. */
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";

export const SECRET = new Secret("system", "bench");
export const OFFICE = "hobart";
export const ZONE = "hobart-a";

/** The plain service; `startFleet` sets the address of the running sidecar. */
export const PLAIN_BACKEND: BackendServer = {
  name: "desk-1",
  office: OFFICE,
  availabilityZone: ZONE,
  pool: "desk",
  role: BackendRole.Plain,
  sidecarAddress: "http://127.0.0.1:1",
  engineAddress: "http://127.0.0.1:1",
  state: HostState.Live,
};
