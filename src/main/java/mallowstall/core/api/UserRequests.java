package mallowstall.core.api;

import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;

/**
 * Receives the requests of users (protocol, Users). Must be called on the event loop. Each {@code
 * reply} is called exactly once, also on the event loop, possibly before the method returns.
 *
 * <p>A response for which {@link ApiResponse#needsArrivalReport} holds can reach its user long
 * after {@code reply} was called. While it may, no controller reports the job as accepted, so
 * {@link #refusalArrived} must be called as soon as that is over.
 */
public interface UserRequests {
  /** Handles the submission of a job. */
  void submit(JobSpec spec, Consumer<ApiResponse> reply);

  /** Rejects an invalid submission, unless a controller of another version has accepted it. */
  void rejectSubmission(String id, String reason, Consumer<ApiResponse> reply);

  /** Responds with the state of a job. */
  void query(String id, Consumer<ApiResponse> reply);

  /** Cancels a job. */
  void cancel(String id, Consumer<ApiResponse> reply);

  /**
   * Reports that the user has received the refusal, or that nobody waits for it. Without this call,
   * the refusal may arrive until every user has stopped waiting.
   *
   * @param refusalId the id in the response
   */
  void refusalArrived(long refusalId);
}
