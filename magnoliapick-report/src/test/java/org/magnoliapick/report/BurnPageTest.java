package org.magnoliapick.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.StringReader;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import javax.xml.parsers.DocumentBuilderFactory;
import org.junit.jupiter.api.Test;
import org.magnoliapick.record.BurnReport;
import org.magnoliapick.record.BurnState;
import org.magnoliapick.record.LevelCounts;
import org.xml.sax.InputSource;

final class BurnPageTest {
    private static final int STEPS = 60;

    @Test
    void pageNeedsNoNetworkAndNamesEverything() {
        String page = BurnPage.of(report("cafe"));
        assertThat(page).doesNotContain("http:").doesNotContain("https:").doesNotContain("<script");
        assertThat(page)
                .contains("width=device-width")
                .contains("cafe urgent")
                .contains("fast burn")
                .contains("10 of 100 missed it; -100 % of the budget left")
                .contains("behind-workspace")
                .contains("Did not answer: router-3.");
    }

    @Test
    void drawingsAreWellFormed() throws Exception {
        String page = BurnPage.of(report("<cafe> & \"co\""));
        assertThat(page).doesNotContain("<cafe>");
        int drawings = 0;
        for (int at = page.indexOf("<svg"); at >= 0; at = page.indexOf("<svg", at + 1)) {
            String drawing = page.substring(at, page.indexOf("</svg>", at) + "</svg>".length());
            DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(new InputSource(new StringReader(drawing)));
            drawings++;
        }
        assertThat(drawings).isEqualTo(4);
    }

    @Test
    void emptyHourMakesPage() {
        BurnReport empty = new BurnReport(0, 3_600_000, 60_000, -1, List.of(), zeros(), List.of());
        assertThat(BurnPage.of(empty)).contains("No workspace has an objective.");
        assertThat(BurnText.lines(empty)).hasSize(2);
    }

    @Test
    void textNamesRatesAndBudget() {
        assertThat(BurnText.lines(report("cafe")))
                .contains(
                        "cafe urgent: answer within 900 ms for 95 % of requests; 10 of 100 missed"
                                + " it; burn rate 20 over 5 min, burn rate 2 over 1 h,"
                                + " -100 % of the budget left (fast burn).",
                        "cafe waited 1600 ms in all: behind-workspace.");
    }

    private static BurnReport report(String workspace) {
        BurnReport.Level level =
                new BurnReport.Level(
                        "urgent",
                        "answer within 900 ms",
                        0.95,
                        new LevelCounts(100, 0, 10, 0, 0, 10),
                        List.of(
                                new BurnReport.Rate(300_000, 20),
                                new BurnReport.Rate(3_600_000, 2)),
                        -1,
                        BurnState.FAST_BURN);
        BurnReport.WorkspacePart part =
                new BurnReport.WorkspacePart(
                        workspace,
                        "muscat",
                        Collections.nCopies(STEPS, 3.0),
                        Map.of("behind-workspace", 1_600L),
                        List.of(level));
        return new BurnReport(0, 3_600_000, 60_000, 7, List.of("router-3"), zeros(), List.of(part));
    }

    private static List<Double> zeros() {
        return Collections.nCopies(STEPS, 0.0);
    }
}
