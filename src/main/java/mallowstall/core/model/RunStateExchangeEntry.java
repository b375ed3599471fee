package mallowstall.core.model;

import java.util.List;

/**
 * The queries and replies that a controller exchanges through the state service with controllers
 * that it can't reach directly. Each write replaces the former messages.
 *
 * @param queries queries to all other controllers
 * @param replies replies to queries of other controllers
 */
public record RunStateExchangeEntry(List<RunStateQuery> queries, List<RunStateReply> replies)
    implements StoredEntry {
  /** Stores unmodifiable copies; null stands for an empty list. */
  public RunStateExchangeEntry {
    queries = queries == null ? List.of() : List.copyOf(queries);
    replies = replies == null ? List.of() : List.copyOf(replies);
  }
}
