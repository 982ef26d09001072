/** A minimal daemon that has only a replica, a relay and a system listener. */
import {
  createChangeLog,
  createConfigReplica,
  type MemoryReplica,
} from "@sassafrascleat/config";
import {
  createChangeLogFollower,
  createRelay,
  createStaticPeers,
  createStorePresence,
  mergePeerSources,
  type Relay,
  type RelayPeer,
} from "@sassafrascleat/membership";
import { createRelayRouter, RELAY_RPC_PATH } from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";
import { createHttpStore } from "@sassafrascleat/store";
import { fastifyTRPCPlugin } from "@trpc/server/adapters/fastify";
import createFastify from "fastify";
import type { Socket } from "node:net";
import type { DaemonIdentity } from "./messages.ts";

const SECRET = new Secret("system", "bench");

/** A daemon whose listener and relay are started separately. */
export class RelayDaemon {
  readonly identity: DaemonIdentity;
  readonly replica: MemoryReplica = createConfigReplica();
  readonly #app = createFastify({ forceCloseConnections: true });
  readonly #storeUrl: string;
  #relay: Relay | undefined;
  #running: Promise<void> = Promise.resolve();

  constructor(identity: DaemonIdentity, storeUrl: string) {
    this.identity = identity;
    this.#storeUrl = storeUrl;
  }

  /** Listens on loopback; calls `onSocket` with each incoming connection. */
  async listen(onSocket: (socket: Socket) => void): Promise<RelayPeer> {
    const router = createRelayRouter({
      pull: (req) => this.#relay!.control.pull(req),
    });
    this.#app.register(fastifyTRPCPlugin, {
      prefix: RELAY_RPC_PATH,
      trpcOptions: { router },
    });
    this.#app.server.on("connection", onSocket);
    const address = await this.#app.listen({ host: "127.0.0.1", port: 0 });
    return { ...this.identity, address };
  }

  /** Creates the relay and runs it until `signal` aborts. */
  start(peers: readonly RelayPeer[], signal: AbortSignal): void {
    const { daemonId, office, availabilityZone } = this.identity;
    const { replica } = this;
    const self = peers.find((peer) => peer.daemonId === daemonId);
    const store = createHttpStore({ baseUrl: this.#storeUrl });
    const changeLog = createChangeLog({ store, replica, office });
    const presence = createStorePresence({ ...this.identity, store });
    this.#relay = createRelay({
      ...this.identity,
      address: self?.address ?? "",
      replica,
      changeLogFollower: createChangeLogFollower({ store, changeLog }),
      peers: mergePeerSources(
        createStaticPeers(
          peers.filter((peer) =>
            peer.office === office && peer.availabilityZone === availabilityZone
          ),
        ),
        presence,
      ),
      presence,
      secret: SECRET,
    });
    this.#running = this.#relay.run(signal);
  }

  get isHead(): boolean {
    return this.#relay?.isHead() ?? false;
  }

  /** Waits until the relay has ended and closes the listener. */
  async stop(): Promise<void> {
    await this.#running;
    await this.#app.close();
  }
}
