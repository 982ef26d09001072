/** Transport of token streams between a server and a client. */
export interface Transport {
  /**
   * Reads one stream of `count` tokens to its end and returns the number
   * received.
   */
  read(id: string, count: number): Promise<number>;
  close(): Promise<void>;
}
