package org.magnoliapick.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import jakarta.ws.rs.BeanParam;
import jakarta.ws.rs.HttpMethod;
import jakarta.ws.rs.QueryParam;
import java.io.IOException;
import java.lang.annotation.Annotation;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.lang.reflect.Parameter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.yaml.snakeyaml.Yaml;

/** The checked-in description names the calls and query parameters of the code, and no others. */
final class OpenApiTest {
    private static final String BASE = "/admin/v1";

    @Test
    void descriptionMatchesResources() throws IOException {
        assertThat(described()).isEqualTo(implemented());
    }

    private static TreeMap<String, Set<String>> described() throws IOException {
        String text = Files.readString(Path.of("../docs/api/openapi.yaml"));
        JsonNode api = new ObjectMapper().valueToTree(new Yaml().load(text));
        TreeMap<String, Set<String>> calls = new TreeMap<>();
        api.path("paths")
                .properties()
                .forEach(
                        path ->
                                path.getValue()
                                        .properties()
                                        .forEach(
                                                call ->
                                                        calls.put(
                                                                call.getKey() + " " + path.getKey(),
                                                                parameters(call.getValue()))));
        return calls;
    }

    private static Set<String> parameters(JsonNode call) {
        Set<String> names = new TreeSet<>();
        call.path("parameters").forEach(each -> names.add(each.path("name").asText()));
        return names;
    }

    private static TreeMap<String, Set<String>> implemented() {
        TreeMap<String, Set<String>> calls = new TreeMap<>();
        for (Object resource : AdminApi.resources(null)) {
            Class<?> type = resource.getClass();
            String base = type.getAnnotation(jakarta.ws.rs.Path.class).value();
            for (Method method : type.getDeclaredMethods()) {
                Arrays.stream(method.getAnnotations())
                        .map(Annotation::annotationType)
                        .filter(it -> it.isAnnotationPresent(HttpMethod.class))
                        .forEach(
                                it ->
                                        calls.put(
                                                verb(it) + " " + path(base, method),
                                                parameters(method)));
            }
        }
        return calls;
    }

    private static String verb(Class<? extends Annotation> type) {
        return type.getSimpleName().toLowerCase(Locale.ROOT);
    }

    private static String path(String base, Method method) {
        jakarta.ws.rs.Path own = method.getAnnotation(jakarta.ws.rs.Path.class);
        String whole = own == null ? base : base + "/" + own.value();
        return whole.substring(BASE.length()).replaceAll("\\{(\\w+):[^}]*}", "{$1}");
    }

    private static Set<String> parameters(Method method) {
        Set<String> names = new TreeSet<>();
        for (Parameter parameter : method.getParameters()) {
            if (parameter.isAnnotationPresent(QueryParam.class)) {
                names.add(parameter.getAnnotation(QueryParam.class).value());
            }
            if (parameter.isAnnotationPresent(BeanParam.class)) {
                for (Field field : parameter.getType().getDeclaredFields()) {
                    if (field.isAnnotationPresent(QueryParam.class)) {
                        names.add(field.getAnnotation(QueryParam.class).value());
                    }
                }
            }
        }
        return names;
    }
}
