package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills {@code platform/settings.json.template} as DEPLOY.md says: values, {@code |json}, sections, {@code @}, commas. */
final class Template {
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([^#/}]+)}}");

    private Template() {}

    static String fill(String text, Map<String, Object> fields) {
        Matcher section = SECTION.matcher(text);
        String opened = section.replaceAll(found -> Matcher.quoteReplacement(section(found.group(1), found.group(2), fields)));
        return VALUE.matcher(opened).replaceAll(found -> Matcher.quoteReplacement(value(found.group(1), fields)));
    }

    private static String section(String name, String inner, Map<String, Object> fields) {
        Object found = lookUp(name, fields);
        if (found == null || found.equals(false)) {
            return "";
        }
        if (!(found instanceof Map<?, ?> table)) {
            return inner.replace("{{.}}", String.valueOf(found));
        }
        List<String> entries = new ArrayList<>();
        table.forEach((key, value) -> entries.add(
                inner.replace("{{@}}", String.valueOf(key)).replace("{{.|json}}", json(value))));
        StringBuilder all = new StringBuilder();
        for (int entry = 0; entry < entries.size(); entry++) {
            all.append(entries.get(entry).replace("{{,}}", entry < entries.size() - 1 ? "," : ""));
        }
        return all.toString();
    }

    private static String value(String name, Map<String, Object> fields) {
        boolean asJson = name.endsWith("|json");
        Object found = lookUp(asJson ? name.substring(0, name.length() - 5) : name, fields);
        return found == null ? "" : asJson ? json(found) : String.valueOf(found);
    }

    private static Object lookUp(String name, Object fields) {
        Object found = fields;
        for (String part : name.split("\\.")) {
            if (found instanceof Map<?, ?> table) {
                found = table.get(part);
            } else if (found instanceof List<?> list) {
                found = list.get(Integer.parseInt(part));
            } else {
                return null;
            }
        }
        return found;
    }

    private static String json(Object value) {
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Template::json).toList()) + "]";
        }
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
