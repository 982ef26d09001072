/** Test rig of real daemon processes. */
export { DaemonProcess, startDaemonProcess } from "./daemon_process.ts";
export {
  Rig,
  RIG_MODEL,
  RIG_OFFICE,
  RIG_PLAIN_SERVICE,
  type RigOptions,
  startRig,
} from "./rig.ts";
export { RigBackend } from "./rig_backend.ts";
export { RigEntry } from "./rig_entry.ts";
