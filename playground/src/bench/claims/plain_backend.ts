/** The one backend server of the bench. */
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";

export const SECRET = new Secret("system", "bench");
export const OFFICE = "hobart";
export const ZONE = "hobart-a";

/** The plain service; its sidecar's address is known once it listens. */
export const DESK: BackendServer = {
  name: "desk-1",
  office: OFFICE,
  availabilityZone: ZONE,
  pool: "desk",
  role: BackendRole.Plain,
  sidecarAddress: "http://127.0.0.1:1",
  engineAddress: "http://127.0.0.1:1",
  state: HostState.Live,
};
