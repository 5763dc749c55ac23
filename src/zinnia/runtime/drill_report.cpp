#include "zinnia/runtime/drill_report.hpp"

#include <cstdio>

namespace zinnia::runtime {

namespace {

    constexpr std::string_view notMeasured = "not measured";

    /** @brief One line of the report; a heading has no value. */
    struct Row {
        std::string name;
        std::string value;
    };

    struct Section {
        std::string title;
        std::vector<Row> rows;
    };

    std::string decimal(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", value);
        return text.data();
    }

    std::string text(std::uint64_t value) { return std::to_string(value); }

    std::string text(const std::optional<std::uint64_t>& value)
    {
        return value ? std::to_string(*value) : std::string { notMeasured };
    }

    std::string text(const std::optional<double>& value)
    {
        return value ? decimal(*value) : std::string { notMeasured };
    }

    std::string seconds(Milliseconds time) { return decimal(static_cast<double>(time.count()) / 1000.0) + " s"; }

    std::string share(std::uint64_t part, std::uint64_t whole)
    {
        if (whole == 0)
            return text(part) + " of 0";
        return text(part) + " of " + text(whole) + " ("
            + decimal(100.0 * static_cast<double>(part) / static_cast<double>(whole)) + " %)";
    }

    Section totalsOf(const DrillTotals& totals, const DrillMeasures& measures)
    {
        return { "Totals",
            { { "broken flows", share(totals.brokenFlows, totals.flows) },
                { "given up flows of withdrawn zones", share(totals.givenUpFlows, totals.flows) },
                { "imbalance across upstreams (maximum over mean)", text(totals.imbalance) },
                { "delivered requests weighted by kind", text(measures.weightedDelivery) },
                { "delivered requests", share(totals.delivered, totals.sent) },
                { "refused requests", share(totals.refused, totals.sent) },
                { "requests with unknown outcome", share(totals.unknown, totals.sent) },
                { "answers of another request", text(totals.wrongAnswers) },
                { "refused as not run, but run", text(totals.falseRefusals) },
                { "non-idempotent requests run more than once", text(totals.repeatedRuns) } } };
    }

    Section withdrawalOf(const WithdrawalMeasures& measures)
    {
        return { "Zone " + measures.zone + " withdrawn at " + seconds(measures.withdrawn),
            { { "returned at", measures.returned ? seconds(*measures.returned) : "not returned" },
                { "last packet to the zone after the withdrawal",
                    measures.lastPacket ? seconds(*measures.lastPacket) : "none" },
                { "packets to the zone later than " + seconds(withdrawalLimit), text(measures.latePackets) },
                { "worst second while withdrawn (1 = mean before)", text(measures.worstSecond) },
                { "worst second after the return (1 = mean before)", text(measures.worstSecondAfterReturn) } } };
    }

    std::vector<Section> sectionsOf(const DrillFile& drill)
    {
        const DrillMeasures measures = measure(drill);
        std::vector<Section> sections { totalsOf(drill.totals, measures) };
        for (const WithdrawalMeasures& withdrawal : measures.withdrawals)
            sections.push_back(withdrawalOf(withdrawal));
        Section kinds { "Delivered by kind", {} };
        for (const DrillKind& kind : drill.totals.kinds)
            kinds.rows.push_back(
                { kind.kind + " (weight " + decimal(kind.weight) + ")", share(kind.delivered, kind.sent) });
        Section refusals { "Refusals by reason", {} };
        for (const DrillRefusals& refusal : drill.totals.refusals)
            refusals.rows.push_back({ refusal.reason, text(refusal.count) });
        Section events { "Events", {} };
        for (const DrillEvent& event : drill.events)
            events.rows.push_back(
                { seconds(event.at), event.name + (event.detail.empty() ? "" : ": " + event.detail) });
        for (Section* section : { &kinds, &refusals, &events }) {
            if (!section->rows.empty())
                sections.push_back(std::move(*section));
        }
        return sections;
    }

    std::string titleOf(const DrillStart& start)
    {
        return "Drill " + start.drill + ", " + start.user + ", seed " + std::to_string(start.seed);
    }

    constexpr std::string_view style = "body{font-family:sans-serif;margin:2em;max-width:60em}"
                                       "table{border-collapse:collapse;margin-bottom:1em}"
                                       "td{border-bottom:1px solid #ccc;padding:.2em 1em .2em 0}"
                                       "td+td{text-align:right}svg{width:100%;height:auto}";

} // namespace

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '&')
            escaped += "&amp;";
        else if (c == '<')
            escaped += "&lt;";
        else if (c == '>')
            escaped += "&gt;";
        else if (c == '"')
            escaped += "&quot;";
        else if (c == '\'')
            escaped += "&#39;";
        else
            escaped += c;
    }
    return escaped;
}

std::string textReport(const DrillFile& drill)
{
    constexpr std::size_t valueColumn = 50;
    std::string report = titleOf(drill.start) + "\n";
    for (const Section& section : sectionsOf(drill)) {
        report.append("\n").append(section.title).append("\n");
        for (const Row& row : section.rows) {
            const std::size_t gap = row.name.size() < valueColumn ? valueColumn - row.name.size() : 1;
            report.append("  ").append(row.name).append(gap, ' ').append(row.value).append("\n");
        }
    }
    return report;
}

std::string htmlReport(const DrillFile& drill)
{
    const std::string title = escapeHtml(titleOf(drill.start));
    std::string page = "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>";
    page.append(title).append("</title>\n<style>").append(style).append("</style>\n</head>\n<body>\n<h1>");
    page.append(title).append("</h1>\n").append(drillPlot(drill));
    for (const Section& section : sectionsOf(drill)) {
        page.append("<h2>").append(escapeHtml(section.title)).append("</h2>\n<table>\n");
        for (const Row& row : section.rows) {
            page.append("<tr><td>").append(escapeHtml(row.name)).append("</td><td>");
            page.append(escapeHtml(row.value)).append("</td></tr>\n");
        }
        page.append("</table>\n");
    }
    return page + "</body>\n</html>\n";
}

} // namespace zinnia::runtime
