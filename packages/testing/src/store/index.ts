/** Stand-ins: store. */
export {};
