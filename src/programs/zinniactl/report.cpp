#include "report.hpp"

#include "actions.hpp"
#include "zinnia/runtime/command_line.hpp"
#include "zinnia/runtime/drill_report.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace zinnia::ctl {

int report(const std::string& file, const std::string& html)
{
    std::ifstream stream { file, std::ios::binary };
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) {
        std::cerr << "zinniactl: " << file << ": cannot be read\n";
        return exit_code::failed;
    }
    const auto drill = runtime::parseDrill(content.str(), file);
    if (!drill) {
        runtime::printErrors(drill.error());
        return exit_code::failed;
    }
    std::cout << runtime::textReport(drill.value());
    if (html.empty())
        return exit_code::done;
    std::ofstream page { html, std::ios::binary };
    page << runtime::htmlReport(drill.value());
    page.close();
    if (!page) {
        std::cerr << "zinniactl: " << html << ": cannot be written\n";
        return exit_code::failed;
    }
    return exit_code::done;
}

} // namespace zinnia::ctl
