#pragma once

#include <cstdint>
#include <log4cplus/appender.h>
#include <log4cplus/spi/loggingevent.h>

namespace zinnia::runtime {

/**
 * @brief Writes log lines to a descriptor and never waits for its reader.
 *
 * A line is written whole or dropped: a pipe write of up to 4,096 bytes is atomic; longer lines are truncated. The
 * next line that is written is preceded by one that reports how many were dropped.
 */
class PipeAppender final : public log4cplus::Appender {
public:
    /** @param descriptor Has to stay open; it is set to non-blocking. */
    explicit PipeAppender(int descriptor);
    ~PipeAppender() override;
    PipeAppender(const PipeAppender&) = delete;
    PipeAppender& operator=(const PipeAppender&) = delete;

    void close() override;

    /** @return Lines dropped since the last line that reported them. */
    [[nodiscard]] std::uint64_t dropped() const noexcept { return this->droppedLines; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    [[nodiscard]] bool write(const std::string& line) const;

    int descriptor;
    std::uint64_t droppedLines = 0;
};

} // namespace zinnia::runtime
