/** Host list, leaving, rendezvous subsets and the configuration relay. */
export * from "./host_view.ts";
