/** A daemon that consists of its replica, its relay and a system listener. */
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
import type { DaemonPlace } from "./messages.ts";

const SECRET = new Secret("system", "bench");

/** A listening daemon whose relay does not run yet. */
export class LightDaemon {
  readonly place: DaemonPlace;
  readonly replica: MemoryReplica = createConfigReplica();
  readonly #app = createFastify({ forceCloseConnections: true });
  readonly #storeUrl: string;
  #relay: Relay | undefined;
  #running: Promise<void> = Promise.resolve();

  constructor(place: DaemonPlace, storeUrl: string) {
    this.place = place;
    this.#storeUrl = storeUrl;
  }

  /** Listens on loopback; `onSocket` sees every connection of a caller. */
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
    return { ...this.place, address };
  }

  /** Creates the relay and lets it run until `signal` aborts. */
  start(peers: readonly RelayPeer[], signal: AbortSignal): void {
    const { daemonId, office, availabilityZone } = this.place;
    const { replica } = this;
    const self = peers.find((peer) => peer.daemonId === daemonId);
    const store = createHttpStore({ baseUrl: this.#storeUrl });
    const changeLog = createChangeLog({ store, replica, office });
    const presence = createStorePresence({ ...this.place, store });
    this.#relay = createRelay({
      ...this.place,
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

  /** Waits for the relay to end and closes the listener. */
  async stop(): Promise<void> {
    await this.#running;
    await this.#app.close();
  }
}
