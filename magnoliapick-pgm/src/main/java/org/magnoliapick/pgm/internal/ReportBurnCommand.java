package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.magnoliapick.record.BurnReport;
import org.magnoliapick.report.BurnPage;
import org.magnoliapick.report.BurnText;

/** Prints the service levels or writes them as a page. */
final class ReportBurnCommand implements Command {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public ExitCode run(Invocation invocation) {
        JsonNode body = invocation.read(RouterClient.Call.get("report/burn")).body();
        BurnReport report = MAPPER.convertValue(body, BurnReport.class);
        if (invocation.option("html").isPresent()) {
            String file = invocation.option("html").get();
            write(file, BurnPage.of(report));
            invocation.print(PgmText.get("pageWritten", file));
        } else if (!invocation.printForPrograms(body)) {
            BurnText.lines(report).forEach(invocation::print);
            invocation.printUnanswered(body);
        }
        return ExitCode.OK;
    }

    private static void write(String file, String page) {
        try {
            Files.writeString(Path.of(file), page, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new PgmException(ExitCode.USAGE, file + ": " + e.getMessage());
        }
    }
}
