package mallowstall.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The outcomes of the users' polls. A job is forgotten if every poll for it fails for {@link
 * #FORGOTTEN_MS} while most others are answered (protocol, Rules).
 */
public final class PollHistory {
  /** Time in milliseconds for which every poll of a forgotten job fails. */
  public static final long FORGOTTEN_MS = 90_000;

  /** One poll of a job and whether it was answered with a state. */
  private record Poll(long atMs, String job, boolean answered) {}

  /** The polls of the last {@link #FORGOTTEN_MS}, the oldest first. */
  private final ArrayDeque<Poll> polls = new ArrayDeque<>();

  /** The time of the first poll since which every poll for the job has failed, by job. */
  private final Map<String, Long> failingSinceMs = new HashMap<>();

  /** Records whether a poll of an accepted job was answered with a state. */
  public void record(long now, String job, boolean answered) {
    polls.add(new Poll(now, job, answered));
    if (answered) {
      failingSinceMs.remove(job);
    } else {
      failingSinceMs.putIfAbsent(job, now);
    }
  }

  /** Returns the jobs that are forgotten now; each counts again after the same time. */
  public List<String> takeForgotten(long now) {
    while (!polls.isEmpty() && now - polls.peek().atMs() > FORGOTTEN_MS) {
      polls.poll();
    }
    List<String> forgotten = new ArrayList<>();
    failingSinceMs.forEach(
        (job, sinceMs) -> {
          if (now - sinceMs > FORGOTTEN_MS && areMostOthersAnswered(job)) {
            forgotten.add(job);
          }
        });
    forgotten.forEach(job -> failingSinceMs.put(job, now));
    return forgotten;
  }

  private boolean areMostOthersAnswered(String job) {
    int others = 0;
    int answered = 0;
    for (Poll poll : polls) {
      if (!poll.job().equals(job)) {
        others++;
        answered += poll.answered() ? 1 : 0;
      }
    }
    return answered * 2 > others;
  }
}
