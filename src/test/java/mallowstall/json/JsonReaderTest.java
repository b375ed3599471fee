package mallowstall.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which values the reader accepts, and the path that it reports for a wrong value. */
class JsonReaderTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Reads an object and returns the value of its field {@code v}, at whatever position. */
  private static <T> T field(String document, JsonReader.ValueReader<T> value) throws IOException {
    return JsonReader.read(bytes(document), in -> in.fieldOrNull("v", value));
  }

  @Test
  void unknownFieldsAreSkipped() throws IOException {
    String document = "{\"a\":{\"v\":[1,{\"v\":2}]},\"v\":\"x\",\"z\":[[],{}]}";
    assertEquals("x", field(document, JsonReader::string));
  }

  @Test
  void nullIsReadAsAbsentValue() throws IOException {
    assertNull(field("{\"v\":null}", JsonReader::string));
    assertNull(field("{\"v\":null}", JsonReader::doubleOrNull));
    assertNull(field("{\"v\":null}", JsonReader::strings));
    assertEquals(0, field("{\"v\":null}", JsonReader::longOrZero));
    assertEquals(false, field("{\"v\":null}", JsonReader::booleanOrFalse));
    assertEquals(false, field("{\"v\":null}", JsonReader::enterObjectIfPresent));
  }

  @Test
  void integersOutOfRangeAreRejected() throws IOException {
    assertEquals(Long.MAX_VALUE, field("{\"v\":9223372036854775807}", JsonReader::longOrZero));
    assertThrows(
        WrongTypeException.class,
        () -> field("{\"v\":9223372036854775808}", JsonReader::longOrZero));
    assertThrows(
        WrongTypeException.class, () -> field("{\"v\":2147483648}", JsonReader::intOrZero));
    assertThrows(WrongTypeException.class, () -> field("{\"v\":1.0}", JsonReader::longOrZero));
    assertThrows(WrongTypeException.class, () -> field("{\"v\":\"?\"}", JsonReader::bytes));
  }

  @Test
  void valuesOfOtherTypesAreNotConverted() {
    List<JsonReader.ValueReader<?>> readers =
        List.of(
            JsonReader::string,
            JsonReader::longOrZero,
            JsonReader::doubleOrZero,
            JsonReader::booleanOrFalse,
            JsonReader::strings,
            JsonReader::enterObjectIfPresent,
            in -> in.enumConstant(Thread.State.class));
    String[] values = {"\"other\"", "1", "1.5", "true", "[\"x\"]", "{\"x\":1}"};
    int[] acceptedCounts = {1, 1, 2, 1, 1, 1, 0};
    for (int i = 0; i < readers.size(); i++) {
      JsonReader.ValueReader<?> reader = readers.get(i);
      int accepted = 0;
      for (String value : values) {
        accepted += accepts(reader, "{\"v\":" + value + "}") ? 1 : 0;
      }
      assertEquals(acceptedCounts[i], accepted, "reader " + i);
    }
  }

  private static boolean accepts(JsonReader.ValueReader<?> reader, String document) {
    try {
      field(document, in -> skipObject(in, reader.read(in)));
      return true;
    } catch (WrongTypeException wrong) {
      return false;
    } catch (IOException unexpected) {
      throw new IllegalStateException(document, unexpected);
    }
  }

  /** Skips the rest of an object that the reader has only entered. */
  private static Object skipObject(JsonReader in, Object value) throws IOException {
    if (in.field().equals("v") && Boolean.TRUE.equals(value)) {
      in.skip();
    }
    return value;
  }

  @Test
  void pathOfWrongValueIsReported() {
    JsonReader.ValueReader<Object> inner =
        in -> in.list(element -> element.fieldOrNull("v", JsonReader::longOrZero));
    WrongTypeException wrong =
        assertThrows(
            WrongTypeException.class, () -> field("{\"v\":[{\"v\":1},{\"v\":\"2\"}]}", inner));
    assertEquals("v[1].v", wrong.path());
    assertEquals("v", wrong.outermostField());
    wrong = assertThrows(WrongTypeException.class, () -> field("[]", JsonReader::longOrZero));
    assertEquals("", wrong.path());
  }

  @Test
  void incompleteDocumentsAndTrailingInputAreRejected() {
    for (String document : new String[] {"", "{} {}", "{}1"}) {
      assertThrows(
          WrongTypeException.class, () -> field(document, JsonReader::longOrZero), document);
    }
    for (String document : new String[] {"{", "{\"v\":", "{\"a\":[1", "{\"v\":NaN}", "nul"}) {
      assertThrows(
          JsonProcessingException.class, () -> field(document, JsonReader::doubleOrZero), document);
    }
  }

  /** The reader continues after a value that can't be read, so that no other value is lost. */
  @Test
  void unreadableValueIsSkipped() throws IOException {
    List<String> failures = new ArrayList<>();
    JsonReader.ValueReader<Long> tolerant =
        in ->
            in.readOrSkip(
                value -> value.fieldOrNull("v", JsonReader::longOrZero),
                failure -> failures.add(failure.path()));
    List<Long> read =
        field(
            "{\"v\":[{\"v\":1},{\"a\":[0],\"v\":{\"x\":[{}]}},5,[[2]],{\"v\":3}]}",
            in -> in.list(tolerant));
    assertEquals("[1, null, null, null, 3]", read.toString());
    assertEquals("[v[1].v, v[2], v[3]]", failures.toString());
  }

  @Test
  void deferredValueIsReadLater() throws IOException {
    JsonReader.Deferred deferred =
        field("{\"ü\":1, \"v\" : {\"v\":[\"ß\"]} ,\"z\":0}", JsonReader::defer);
    assertEquals(List.of("ß"), deferred.read(in -> in.fieldOrNull("v", JsonReader::strings)));
  }
}
