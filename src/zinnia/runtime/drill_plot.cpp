#include "zinnia/runtime/drill_report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <set>

namespace zinnia::runtime {

namespace {

    constexpr double width = 900;
    constexpr double panelHeight = 200;
    constexpr double left = 60;
    constexpr double right = 140;
    constexpr double top = 20;
    constexpr double gap = 40;
    constexpr double bottom = 30;
    constexpr double legendLine = 18;
    constexpr int timeMarks = 6;

    constexpr std::array<std::string_view, 6> colours { "#1b7837", "#d95f02", "#c51b7d", "#2166ac", "#762a83",
        "#8c510a" };

    /** @brief One line of a panel. */
    struct Series {
        std::string name;
        std::function<double(const DrillSample&)> value;
    };

    std::string coordinate(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.1f", value);
        return text.data();
    }

    /** @brief Appends SVG elements. */
    class Drawing {
    public:
        explicit Drawing(const DrillFile& drill)
            : drill { &drill }
        {
            for (const DrillSample& sample : drill.samples)
                this->end = std::max(this->end, static_cast<double>(sample.at.count()));
        }

        void panel(double y, const std::string& title, const std::vector<Series>& list)
        {
            double maxValue = 1;
            for (const Series& series : list) {
                for (const DrillSample& sample : this->drill->samples)
                    maxValue = std::max(maxValue, series.value(sample));
            }
            this->label(left, y - 6, "start", title);
            this->label(left - 6, y + 10, "end", coordinate(maxValue));
            this->label(left - 6, y + panelHeight, "end", "0");
            this->line(left, y + panelHeight, width - right, y + panelHeight, "#888", "");
            this->line(left, y, left, y + panelHeight, "#888", "");
            for (std::size_t i = 0; i < list.size(); ++i) {
                const std::string colour { colours[i % colours.size()] };
                this->series(y, maxValue, list[i], colour);
                const double labelY = y + 12 + legendLine * static_cast<double>(i);
                this->line(width - right + 10, labelY - 4, width - right + 30, labelY - 4, colour, "");
                this->label(width - right + 36, labelY, "start", list[i].name);
            }
        }

        void timeAxis(double y)
        {
            for (int i = 0; i <= timeMarks; ++i) {
                const double time = this->end * i / timeMarks;
                this->label(this->x(time), y, "middle", coordinate(time / 1000.0) + " s");
            }
        }

        void events(double from, double to)
        {
            std::size_t index = 0;
            for (const DrillEvent& event : this->drill->events) {
                const double position = this->x(static_cast<double>(event.at.count()));
                this->line(position, from, position, to, "#555", " stroke-dasharray=\"4 3\"");
                // Labels of adjacent events are on different lines, so that they do not overlap.
                const double labelY = from + panelHeight + 14 + static_cast<double>(index++ % 2) * 12;
                this->label(position + 3, labelY, "start", event.name + " " + event.detail);
            }
        }

        [[nodiscard]] std::string svg(double height) const
        {
            return "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " + coordinate(width) + " "
                + coordinate(height) + "\" font-size=\"11\" font-family=\"sans-serif\">\n" + this->content + "</svg>\n";
        }

    private:
        [[nodiscard]] double x(double time) const { return left + (width - left - right) * time / this->end; }

        void series(double y, double maxValue, const Series& series, const std::string& colour)
        {
            this->content.append("<polyline fill=\"none\" stroke=\"").append(colour).append("\" points=\"");
            for (const DrillSample& sample : this->drill->samples) {
                const double height = panelHeight * series.value(sample) / maxValue;
                this->content.append(coordinate(this->x(static_cast<double>(sample.at.count())))).append(",");
                this->content.append(coordinate(y + panelHeight - height)).append(" ");
            }
            this->content.append("\"/>\n");
        }

        void line(double x1, double y1, double x2, double y2, const std::string& colour, const char* attributes)
        {
            this->content.append("<line x1=\"").append(coordinate(x1)).append("\" y1=\"").append(coordinate(y1));
            this->content.append("\" x2=\"").append(coordinate(x2)).append("\" y2=\"").append(coordinate(y2));
            this->content.append("\" stroke=\"").append(colour).append("\"").append(attributes).append("/>\n");
        }

        void label(double x, double y, const char* anchor, const std::string& text)
        {
            this->content.append("<text x=\"").append(coordinate(x)).append("\" y=\"").append(coordinate(y));
            this->content.append("\" text-anchor=\"").append(anchor).append("\">");
            this->content.append(escapeHtml(text)).append("</text>\n");
        }

        const DrillFile* drill;
        /** Unit: ms. At least 1, so that an empty file has a time axis. */
        double end = 1;
        std::string content;
    };

    double packetsTo(const DrillSample& sample, const std::string& zone)
    {
        const auto position = std::ranges::find(sample.packets, zone, &DrillZonePackets::zone);
        return position == sample.packets.end() ? 0.0 : static_cast<double>(position->packets);
    }

} // namespace

std::string drillPlot(const DrillFile& drill)
{
    std::set<std::string> zones;
    for (const DrillSample& sample : drill.samples) {
        for (const DrillZonePackets& packets : sample.packets)
            zones.insert(packets.zone);
    }
    std::vector<Series> zoneSeries;
    zoneSeries.reserve(zones.size());
    for (const std::string& zone : zones)
        zoneSeries.push_back({ zone, [zone](const DrillSample& sample) { return packetsTo(sample, zone); } });
    const std::vector<Series> resultSeries {
        { "delivered", [](const DrillSample& sample) { return static_cast<double>(sample.delivered); } },
        { "refused", [](const DrillSample& sample) { return static_cast<double>(sample.refused); } },
        { "broken flows", [](const DrillSample& sample) { return static_cast<double>(sample.broken); } },
    };
    constexpr double second = top + panelHeight + gap;
    Drawing drawing { drill };
    drawing.panel(top, "requests for each sample", resultSeries);
    drawing.panel(second, "packets to each zone for each sample", zoneSeries);
    drawing.events(top, second + panelHeight);
    drawing.timeAxis(second + panelHeight + bottom / 2);
    return drawing.svg(second + panelHeight + bottom);
}

} // namespace zinnia::runtime
