#pragma once

#include "zinnia/runtime/poller.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace zinnia::runtime {

/** @brief Calls back when a settings file was changed or replaced; it is checked once a second. */
class SettingsWatch {
public:
    /** @param poller Has to outlive this object. */
    SettingsWatch(Poller& poller, std::string file, std::function<void()> onChanged);
    ~SettingsWatch();
    SettingsWatch(const SettingsWatch&) = delete;
    SettingsWatch& operator=(const SettingsWatch&) = delete;

private:
    /** @brief File attributes that change when a file is written or replaced. */
    struct FileAttributes {
        std::int64_t seconds {};
        std::int64_t nanoseconds {};
        std::int64_t size {};
        std::uint64_t inode {};

        [[nodiscard]] friend bool operator==(const FileAttributes&, const FileAttributes&) = default;
    };

    [[nodiscard]] FileAttributes readAttributes() const;
    void check();

    Poller* poller;
    std::string file;
    std::function<void()> onChanged;
    FileAttributes lastAttributes;
    TimerId timer;
};

} // namespace zinnia::runtime
