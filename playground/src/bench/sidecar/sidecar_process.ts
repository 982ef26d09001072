/** The measured process, which runs only one decode sidecar. */
import { createHttpEngine } from "@sassafrascleat/engine";
import { BackendRole, HostState } from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";
import { createSidecar } from "@sassafrascleat/sidecar";
import type { StartedMessage, StartMessage, UsageMessage } from "./messages.ts";

const BYTES_PER_MB = 1024 * 1024;

async function start(message: StartMessage): Promise<StartedMessage> {
  const { engineAddress, secret } = message;
  const { address, incarnation } = await createSidecar({
    host: "127.0.0.1",
    secrets: [new Secret("system", secret)],
    engine: createHttpEngine({ baseUrl: engineAddress }),
    backendServer: {
      name: "decode-1",
      office: "office",
      availabilityZone: "zone-a",
      pool: "decode",
      role: BackendRole.Decode,
      sidecarAddress: "http://127.0.0.1:0",
      engineAddress,
      state: HostState.Live,
    },
  });
  return { address, incarnation };
}

function usage(): UsageMessage {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return {
    cpuUs: user + system,
    residentMb: rss / BYTES_PER_MB,
    heapMb: heapUsed / BYTES_PER_MB,
  };
}

process.on("message", async (message: StartMessage | "usage") => {
  const reply = message === "usage" ? usage() : await start(message);
  process.send?.(reply);
});
