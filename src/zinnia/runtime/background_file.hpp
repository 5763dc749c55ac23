#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/runtime/file.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace zinnia::runtime {

/**
 * @brief Keeps the latest version of a small file, written by a thread of its own.
 *
 * For content that helps after a restart but is not promised to anybody: a disk that stalls holds up only the
 * thread, and versions that are overtaken while it waits are never written.
 */
class BackgroundFile {
public:
    /** @param files Has to outlive this object. */
    BackgroundFile(FileSystem& files, std::string name);
    ~BackgroundFile();
    BackgroundFile(const BackgroundFile&) = delete;
    BackgroundFile& operator=(const BackgroundFile&) = delete;

    /** @return The content of the last complete write, or nothing if there is none or it is damaged. */
    [[nodiscard]] std::optional<Bytes> read();
    /** @brief Replaces the content soon. */
    void write(Bytes content);
    /** @return Writes that failed. */
    [[nodiscard]] std::uint64_t failures() const noexcept { return this->failureCount.load(); }

private:
    void run();
    [[nodiscard]] bool store(const Bytes& content);

    FileSystem* files;
    std::string name;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<Bytes> next;
    bool stopping {};
    std::atomic<std::uint64_t> failureCount { 0 };
    /** Started by the first write. */
    std::thread thread;
};

} // namespace zinnia::runtime
