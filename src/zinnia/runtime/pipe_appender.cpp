#include "zinnia/runtime/pipe_appender.hpp"

#include "zinnia/core/event.hpp"

#include <fcntl.h>
#include <log4cplus/layout.h>
#include <sstream>
#include <string>
#include <unistd.h>

namespace zinnia::runtime {

namespace {

    /** PIPE_BUF of Linux: a write of up to this size is not split. Unit: bytes. */
    constexpr std::size_t maxLineBytes = 4096;

} // namespace

PipeAppender::PipeAppender(int descriptor)
    : descriptor { descriptor }
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        (void)fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

PipeAppender::~PipeAppender() { this->destructorImpl(); }

void PipeAppender::close() { this->closed = true; }

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    std::ostringstream text;
    this->layout->formatAndAppend(text, event);
    std::string line = text.str();
    if (line.size() > maxLineBytes) {
        line.resize(maxLineBytes - 1);
        line += '\n';
    }
    if (this->droppedLines > 0) {
        const EventRow& row = eventRowOf(Event::LogLinesDropped);
        const std::string notice = "WARN " + std::to_string(static_cast<unsigned>(row.event)) + " "
            + std::string { row.name } + " lines=" + std::to_string(this->droppedLines) + "\n";
        if (!this->write(notice)) {
            ++this->droppedLines;
            return;
        }
        this->droppedLines = 0;
    }
    if (!this->write(line))
        ++this->droppedLines;
}

bool PipeAppender::write(const std::string& line) const
{
    return ::write(this->descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace zinnia::runtime
