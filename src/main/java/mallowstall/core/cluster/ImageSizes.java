package mallowstall.core.cluster;

import java.util.HashMap;
import java.util.Map;
import mallowstall.core.model.JobEntry;

/** Sizes of container images as stated by the jobs that use them. Mutable. */
public final class ImageSizes {
  private static final double UNKNOWN_GB = 1.0;

  private final Map<String, Double> gigabytes = new HashMap<>();

  /** Records the image size that a job states; {@code before} is null if the job is new. */
  public void jobChanged(JobEntry before, JobEntry after) {
    gigabytes.put(after.spec().image(), after.spec().imageGb());
  }

  /** Returns the image's size in GB, or 1 GB if no job has stated it. */
  public double gigabytes(String image) {
    return gigabytes.getOrDefault(image, UNKNOWN_GB);
  }
}
