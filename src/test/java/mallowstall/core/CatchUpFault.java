package mallowstall.core;

/** How a controller's attempts to catch up with the state service fail while it is served. */
enum CatchUpFault {
  NONE,
  /** Watches get no response. */
  STALLED,
  /** Some of a watch's changes arrive, then the connection ends. */
  CUT_OFF,
  /** The responses to watches can't be read. Listings are served. */
  UNREADABLE,
  /** The revision of each watch has been compacted. Listings are served. */
  COMPACTED,
  /** The responses to watches can't be read, and listings get no response. */
  UNLISTED
}
