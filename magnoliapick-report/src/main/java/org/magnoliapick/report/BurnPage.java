package org.magnoliapick.report;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import org.magnoliapick.record.BurnReport;

/** The service-level report as one page that needs no network and fits a phone. */
public final class BurnPage {
    private static final double PERCENT = 100;
    private static final String STYLE =
            """
            :root{color-scheme:light}
            body{font:16px/1.45 system-ui,sans-serif;margin:0 auto;padding:12px;max-width:640px;\
            color:#1a1a1a;background:#fff}
            h1{font-size:1.35rem;margin:.2em 0}h2{font-size:1.1rem;margin:1.4em 0 .3em}
            p{margin:.3em 0}.note{color:#555}
            svg{width:100%;height:auto;display:block}
            svg text{font:12px system-ui,sans-serif;fill:#1a1a1a}.axis{stroke:#777}
            ul.key{list-style:none;display:flex;flex-wrap:wrap;gap:.2em 1em;padding:0;margin:.4em 0}
            ul.key i{display:inline-block;width:.8em;height:.8em;margin-right:.4em}
            .level{border-left:5px solid #009e73;padding:.2em .7em;margin:.6em 0}
            .slow_burn{border-color:#e69f00}.fast_burn{border-color:#d55e00}
            """;

    private BurnPage() {}

    /** Returns the page as HTML. */
    public static String of(BurnReport report) {
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n");
        page.append("<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\n");
        page.append("<title>Service levels</title>\n<style>").append(STYLE).append("</style>");
        page.append("</head>\n<body>\n<h1>Service levels</h1>\n");
        page.append(paragraph("The hour up to " + Units.time(report.toMillis())));
        page.append(note("Configuration " + report.configOffset() + ". " + unanswered(report)));
        addLevels(page, report);
        addShares(page, report);
        addGap(page, report);
        addWaiting(page, report);
        return page.append("</body></html>\n").toString();
    }

    private static void addLevels(StringBuilder page, BurnReport report) {
        page.append("<h2>Error budget</h2>\n");
        boolean hasLevels = report.workspaces().stream().anyMatch(it -> !it.levels().isEmpty());
        if (!hasLevels) {
            page.append(note("No workspace has an objective."));
            return;
        }
        page.append(BurnPlots.burn(report));
        for (BurnReport.WorkspacePart part : report.workspaces()) {
            part.levels().forEach(level -> page.append(level(part, level)));
        }
    }

    private static String level(BurnReport.WorkspacePart part, BurnReport.Level level) {
        StringBuilder text = new StringBuilder();
        text.append("<div class=\"level ")
                .append(level.state().name().toLowerCase(Locale.ROOT))
                .append("\"><strong>")
                .append(Units.escaped(part.workspace() + " " + level.requestClass()))
                .append("</strong>: ")
                .append(Units.words(level.state()))
                .append("<br>")
                .append(Units.escaped(level.objective()))
                .append(" for ")
                .append(Units.number(level.successRatio() * PERCENT))
                .append(" % of requests<br>")
                .append(level.counts().missed())
                .append(" of ")
                .append(level.counts().requests())
                .append(" missed it; ")
                .append(Units.number(level.budgetLeft() * PERCENT))
                .append(" % of the budget left<br>Burn rate");
        String separator = " ";
        for (BurnReport.Rate rate : level.rates()) {
            text.append(separator)
                    .append(Units.number(rate.rate()))
                    .append(" over ")
                    .append(Units.duration(rate.windowMillis()));
            separator = ", ";
        }
        return text.append("</div>\n").toString();
    }

    private static void addShares(StringBuilder page, BurnReport report) {
        page.append("<h2>Service shares</h2>\n");
        Map<String, double[]> services = BurnPlots.services(report);
        if (services.isEmpty()) {
            page.append(note("No request ended in this hour."));
            return;
        }
        page.append(note("Each workspace's part of the service given in each minute."));
        page.append(BurnPlots.shares(services, report));
        page.append(key(services.keySet()));
    }

    private static void addGap(StringBuilder page, BurnReport report) {
        page.append("<h2>Service gap</h2>\n");
        page.append(
                note(
                        "Largest difference in service for its weight between any two workspaces"
                                + " that had requests waiting for the whole minute, in units."));
        page.append(BurnPlots.gap(report));
    }

    private static void addWaiting(StringBuilder page, BurnReport report) {
        page.append("<h2>Queue time by cause</h2>\n");
        if (BurnPlots.causes(report).isEmpty()) {
            page.append(note("No started request had waited."));
            return;
        }
        page.append(note("Summed over the requests of each workspace."));
        page.append(BurnPlots.waiting(report));
        page.append(key(BurnPlots.causes(report)));
    }

    private static String unanswered(BurnReport report) {
        return report.unanswered().isEmpty()
                ? "Every instance answered."
                : "Did not answer: " + String.join(", ", report.unanswered()) + ".";
    }

    private static String key(Collection<String> names) {
        StringBuilder key = new StringBuilder("<ul class=\"key\">");
        int place = 0;
        for (String name : names) {
            key.append("<li><i style=\"background:")
                    .append(BurnPlots.colour(place++))
                    .append("\"></i>")
                    .append(Units.escaped(name))
                    .append("</li>");
        }
        return key.append("</ul>\n").toString();
    }

    private static String paragraph(String text) {
        return "<p>" + Units.escaped(text) + "</p>\n";
    }

    private static String note(String text) {
        return "<p class=\"note\">" + Units.escaped(text) + "</p>\n";
    }
}
