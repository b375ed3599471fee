package mallowstall.json;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import java.io.IOException;
import java.util.List;

/** Writes JSON documents with Jackson's streaming generator. */
public final class JsonWriter {
  /** Writes the content of a document or of an object. */
  public interface Content {
    /** Writes the content to the generator. */
    void write(JsonGenerator out) throws IOException;
  }

  /** Writes one element of a list. */
  public interface Element<T> {
    /** Writes the value to the generator. */
    void write(JsonGenerator out, T value) throws IOException;
  }

  private JsonWriter() {}

  /** Returns the document in UTF-8. */
  public static byte[] document(Content content) {
    try (ByteArrayBuilder bytes = new ByteArrayBuilder();
        JsonGenerator out = JsonReader.FACTORY.createGenerator(bytes)) {
      content.write(out);
      out.flush();
      return bytes.toByteArray();
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Returns a document that is one object with the fields that {@code fields} writes. */
  public static byte[] object(Content fields) {
    return document(
        out -> {
          out.writeStartObject();
          fields.write(out);
          out.writeEndObject();
        });
  }

  /** Writes a field with a list of the values, or with null if {@code values} is null. */
  public static <T> void list(JsonGenerator out, String field, List<T> values, Element<T> element)
      throws IOException {
    out.writeFieldName(field);
    if (values == null) {
      out.writeNull();
      return;
    }
    out.writeStartArray();
    for (T value : values) {
      element.write(out, value);
    }
    out.writeEndArray();
  }

  /** Writes a field with a list of strings, or with null if {@code values} is null. */
  public static void strings(JsonGenerator out, String field, List<String> values)
      throws IOException {
    list(out, field, values, JsonGenerator::writeString);
  }

  /** Writes a field with a number or null. */
  public static void doubleOrNull(JsonGenerator out, String field, Double value)
      throws IOException {
    if (value == null) {
      out.writeNullField(field);
    } else {
      out.writeNumberField(field, value);
    }
  }
}
