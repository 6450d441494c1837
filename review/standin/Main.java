import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Plays a case: NAME RECORD; the variable TROUBLE=0 leaves the disruption out. */
final class Main {
    private Main() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[1]));
        Record.line("case " + args[0] + (trouble ? "" : " without its disruption"));
        Path folder = Files.createTempDirectory("review");
        int exit;
        try {
            exit = play(args[0], trouble, folder);
        } catch (Exception e) {
            Record.line("could not run: " + e);
            exit = 2;
        } finally {
            if (System.getenv("KEEP") == null) {
                delete(folder);
            }
        }
        Record.line(
                exit == 0 ? "the rule held" : exit == 1 ? "the rule was broken" : "not run");
        System.exit(exit);
    }

    private static int play(String name, boolean trouble, Path folder) throws Exception {
        return switch (name) {
            case "bodies" -> BodiesCase.run(trouble, folder);
            case "tenants" -> TenantsCase.run(trouble, folder);
            case "cut-answer" -> CutAnswerCase.run(trouble, folder);
            case "poison" -> PoisonCase.run(trouble, folder);
            case "reborn" -> RebornCase.run(trouble, folder);
            default -> throw new IllegalArgumentException(name);
        };
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
