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
 * @brief Stores the latest version of a small file; a separate thread writes it.
 *
 * For content that speeds up a restart but has no durability guarantee: a stalled disk blocks only that thread,
 * and versions that are superseded meanwhile are never written.
 */
class BackgroundFile {
public:
    /** @param files Must outlive this object. */
    BackgroundFile(FileSystem& files, std::string name);
    ~BackgroundFile();
    BackgroundFile(const BackgroundFile&) = delete;
    BackgroundFile& operator=(const BackgroundFile&) = delete;

    /** @return The content of the last complete write, or nothing if there is none or it is damaged. */
    [[nodiscard]] std::optional<Bytes> read();
    /** @brief Replaces the content asynchronously. */
    void write(Bytes content);
    /** @return The number of failed writes. */
    [[nodiscard]] std::uint64_t failures() const noexcept { return this->failureCount.load(); }

private:
    void run();
    [[nodiscard]] bool store(const Bytes& content);

    FileSystem* files;
    std::string name;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<Bytes> pendingContent;
    bool stopping {};
    std::atomic<std::uint64_t> failureCount { 0 };
    /** Started by the first write. */
    std::thread thread;
};

} // namespace zinnia::runtime
