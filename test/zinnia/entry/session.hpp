#pragma once

#include "zinnia/entry/entry_node.hpp"
#include "zinnia/runtime/coap_adapter.hpp"

#include <functional>
#include <string>

namespace zinnia::entry::test {

/**
 * @brief Drives one node and records every event and action as a line of text.
 *
 * A tick is handled every 20 ms; it is recorded only if it causes actions.
 */
class Session {
public:
    Session();

    /** @brief Handles the ticks up to the given time since the start, then the event. */
    void at(Milliseconds time, const Event& event);
    /** @brief Handles the ticks up to the given time since the start. */
    void advance(Milliseconds time);
    /** @return The actions of type T caused by the last `at` or `advance`. */
    template <class T> [[nodiscard]] std::vector<T> actionsOf() const
    {
        std::vector<T> found;
        for (const Action& action : this->latest) {
            if (const auto* match = std::get_if<T>(&action))
                found.push_back(*match);
        }
        return found;
    }
    /** @return The recorded lines, followed by the current time. */
    [[nodiscard]] std::string text() const { return this->lines + std::to_string(this->elapsed.count()) + " end\n"; }

private:
    void handle(const Event& event, Milliseconds time);

    runtime::WireCoapCodec codec;
    std::unique_ptr<EntryNode> node;
    Milliseconds elapsed {};
    Actions latest;
    std::string lines;
};

/** @brief Compares a session with its golden file, and rewrites the file first if ZINNIA_RECORD_GOLDEN is 1. */
void checkGolden(const std::string& name, const std::function<void(Session&)>& script);

} // namespace zinnia::entry::test
