package mallowstall.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import mallowstall.core.kernel.KeyValue;
import mallowstall.json.JsonReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares responses that are read item by item with the same responses read at once. */
class PageStreamTest {
  /** Items that the state service may send, readable or not. */
  private static final List<String> ITEMS =
      List.of(
          "{\"set\":\"c/t/a\\u00e9\\\"\",\"data\":{\"reservedCpus\":1.25,\"x\":[1,[],{\"y\":-2e3}]},\"sello\":7}",
          "{\"data\":{\"node\":\"n1\",\"incarnation\":9007199254740993},\"sello\":8,\"set\":\"c/n/n1\"}",
          "{\"drop\":\"c/d/n2\",\"sello\":9,\"unknown\":{\"a\":[true,null,\"]}\"]}}",
          "{\"set\":\"c/unknown/kind\",\"data\":{},\"sello\":10}",
          "{\"set\":\"c/n/n2\",\"data\":{\"node\":5},\"sello\":11}",
          "{\"key\":\"c/n/n3\",\"data\":{\"node\":\"ÜñÎ€\",\"incarnation\":2},\"sello\":12}",
          "null");

  /** Guards against changes that are lost or altered because their response is a long one. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void longResponseHasTheSameItemsAsAShortOne(long seed) throws IOException {
    Random random = new Random(seed);
    for (int round = 0; round < 60; round++) {
      String name = random.nextBoolean() ? "events" : "entries";
      String text = document(random, name, round == 0 ? 8_000 : random.nextInt(40));
      byte[] document = text.getBytes(StandardCharsets.UTF_8);
      StateCodec.Page expected = JsonReader.read(document, StateCodec::readPage);

      List<KeyValue> items = new ArrayList<>();
      PageStream stream = new PageStream(random.nextInt(20), items::addAll);
      feed(stream, document, random);
      StateCodec.Page rest = stream.finish();
      items.addAll(rest.items());

      assertEquals(expected.items(), items, text);
      assertEquals(expected.revision(), rest.revision());
      assertEquals(expected.hasMore(), rest.hasMore());
      assertEquals(expected.lastKey(), rest.lastKey());
    }
  }

  /** Guards against a response that ends early and is taken for complete. */
  @Test
  void unreadableResponsesAreReported() {
    for (String text :
        List.of(
            "{\"tirada\":9,\"events\":[" + ITEMS.get(0),
            "{\"tirada\":9,\"events\":[" + ITEMS.get(0) + "]",
            "{\"tirada\":9,\"events\":[}]}",
            "[" + ITEMS.get(0) + "]",
            "no JSON")) {
      PageStream stream = new PageStream(1, items -> {});
      feed(stream, text.getBytes(StandardCharsets.UTF_8), new Random(1));
      assertThrows(IOException.class, stream::finish, text);
    }
  }

  /** Guards against parts that grow with the response. */
  @Test
  void partsAreSmall() throws IOException {
    byte[] document = document(new Random(5), "events", 60_000).getBytes(StandardCharsets.UTF_8);
    List<Integer> partSizes = new ArrayList<>();
    PageStream stream = new PageStream(1 << 10, items -> partSizes.add(items.size()));
    feed(stream, document, new Random(6));
    stream.finish();
    assertTrue(partSizes.size() > 10, "parts: " + partSizes.size());
    assertTrue(partSizes.stream().allMatch(size -> size <= 4_000), partSizes.toString());
  }

  private static String document(Random random, String name, int items) {
    StringBuilder text = new StringBuilder("{\"other\":{\"events\":[[1]]},");
    boolean revisionFirst = random.nextBoolean();
    if (revisionFirst) {
      text.append("\"tirada\":433, ");
    }
    text.append('"').append(name).append("\": [");
    for (int i = 0; i < items; i++) {
      text.append(i == 0 ? "" : ",").append(ITEMS.get(random.nextInt(ITEMS.size())));
    }
    text.append("]");
    if (!revisionFirst) {
      text.append(",\"tirada\":12345678901");
    }
    return text.append(",\"has_next\":").append(random.nextBoolean()).append('}').toString();
  }

  private static void feed(PageStream stream, byte[] document, Random random) {
    int start = 0;
    while (start < document.length) {
      int end = Math.min(document.length, start + 1 + random.nextInt(document.length / 3 + 8));
      stream.receive(Arrays.copyOfRange(document, start, end));
      start = end;
    }
  }
}
