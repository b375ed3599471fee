package mallowstall.core.cluster;

import java.util.HashMap;
import java.util.Map;
import mallowstall.core.model.JobEntry;

/** Sizes of container images, as the jobs that use them state. Mutable. */
public final class ImageSizes {
  private static final double UNKNOWN_GB = 1.0;

  private final Map<String, Double> gigabytes = new HashMap<>();

  /** A job's entry has changed; {@code before} is null if it is new. */
  public void jobChanged(JobEntry before, JobEntry after) {
    gigabytes.put(after.spec().image(), after.spec().imageGb());
  }

  /** The image's size in GB; one GB if no job has stated it. */
  public double gigabytes(String image) {
    return gigabytes.getOrDefault(image, UNKNOWN_GB);
  }
}
