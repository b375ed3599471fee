import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Numbers keep their text, so that stored values stay as sent. */
final class Json {
  /** A number as it was written. */
  record Num(String text) {
    @Override
    public String toString() {
      return text;
    }
  }

  private final String in;
  private int at;

  private Json(String in) {
    this.in = in;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("text after the JSON value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  static long num(Object value) {
    return value == null ? 0 : (long) Double.parseDouble(value.toString());
  }

  static long integer(Object value) {
    return value == null ? 0 : Long.parseLong(value.toString());
  }

  static double dbl(Object value) {
    return value == null ? 0 : Double.parseDouble(value.toString());
  }

  /** Returns a map of the given names and values. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  private void space() {
    while (at < in.length() && in.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    space();
    char c = in.charAt(at);
    switch (c) {
      case '{': {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        if (in.charAt(at) == '}') {
          at++;
          return map;
        }
        while (true) {
          space();
          String key = string();
          space();
          expect(':');
          map.put(key, value());
          space();
          if (in.charAt(at) == ',') {
            at++;
          } else {
            expect('}');
            return map;
          }
        }
      }
      case '[': {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        if (in.charAt(at) == ']') {
          at++;
          return list;
        }
        while (true) {
          list.add(value());
          space();
          if (in.charAt(at) == ',') {
            at++;
          } else {
            expect(']');
            return list;
          }
        }
      }
      case '"':
        return string();
      default: {
        int from = at;
        while (at < in.length() && ",]} \n\r\t".indexOf(in.charAt(at)) < 0) {
          at++;
        }
        String word = in.substring(from, at);
        return switch (word) {
          case "true" -> Boolean.TRUE;
          case "false" -> Boolean.FALSE;
          case "null" -> null;
          default -> {
            Double.parseDouble(word);
            yield new Num(word);
          }
        };
      }
    }
  }

  private void expect(char c) {
    if (in.charAt(at) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = in.charAt(at++);
      if (c == '"') {
        return out.toString();
      }
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char e = in.charAt(at++);
      switch (e) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(in.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(e);
      }
    }
  }

  static String text(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    if (value == null || value instanceof Boolean || value instanceof Number || value instanceof Num) {
      out.append(value);
    } else if (value instanceof Map<?, ?> map) {
      out.append('{');
      boolean first = true;
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        if (!first) {
          out.append(',');
        }
        first = false;
        quote(out, (String) entry.getKey());
        out.append(':');
        write(out, entry.getValue());
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      boolean first = true;
      for (Object item : list) {
        if (!first) {
          out.append(',');
        }
        first = false;
        write(out, item);
      }
      out.append(']');
    } else if (value instanceof Raw raw) {
      out.append(raw.json());
    } else {
      quote(out, value.toString());
    }
  }

  /** JSON text that is written as it is. */
  record Raw(String json) {}

  private static void quote(StringBuilder out, String text) {
    out.append('"');
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    out.append('"');
  }
}
