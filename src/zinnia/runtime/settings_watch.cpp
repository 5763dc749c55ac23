#include "zinnia/runtime/settings_watch.hpp"

#include <sys/stat.h>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds lookInterval { 1000 };

} // namespace

SettingsWatch::SettingsWatch(Poller& poller, std::string file, std::function<void()> changed)
    : poller { &poller }
    , file { std::move(file) }
    , changed { std::move(changed) }
    , last { this->stampOfFile() }
{
    this->timer = poller.schedule(lookInterval, [this] { this->look(); });
}

SettingsWatch::~SettingsWatch() { this->poller->cancel(this->timer); }

SettingsWatch::Stamp SettingsWatch::stampOfFile() const
{
    struct stat status { };
    if (stat(this->file.c_str(), &status) != 0)
        return {};
    return { status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size, status.st_ino };
}

void SettingsWatch::look()
{
    this->timer = this->poller->schedule(lookInterval, [this] { this->look(); });
    const Stamp now = this->stampOfFile();
    // A file that is missing for a moment is about to be replaced.
    if (now == this->last || now == Stamp {})
        return;
    this->last = now;
    this->changed();
}

} // namespace zinnia::runtime
