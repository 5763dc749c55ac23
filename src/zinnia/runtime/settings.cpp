#include "zinnia/runtime/settings.hpp"

#include <fstream>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace zinnia::runtime {

namespace internal {

    struct SettingsDocument {
        std::string file;
        toml::table root;
        SettingsErrors errors;
        /** Paths of the keys that a reader has asked for. */
        std::set<std::string> requestedKeys;
        /** Paths of the tables whose keys are checked for unknown ones. */
        std::set<std::string> visitedTables;

        void add(SettingsFault fault, const toml::node* node, std::string key, std::string value, std::string allowed)
        {
            const std::uint32_t line = node ? node->source().begin.line : 0;
            this->errors.push_back(
                SettingsError { fault, this->file, line, std::move(key), std::move(value), std::move(allowed) });
        }
    };

} // namespace internal

namespace {

    using internal::SettingsDocument;

    std::string join(const std::string& path, std::string_view key)
    {
        return path.empty() ? std::string { key } : path + "." + std::string { key };
    }

    std::string indexed(const std::string& path, std::size_t index) { return path + "[" + std::to_string(index) + "]"; }

    const toml::table& tomlOf(const internal::TomlTable* table)
    {
        // TomlTable is never defined: it names toml::table in the header without including toml++.
        return *reinterpret_cast<const toml::table*>(table);
    }

    const internal::TomlTable* opaqueTable(const toml::table& table)
    {
        return reinterpret_cast<const internal::TomlTable*>(&table);
    }

    std::string formatted(const toml::node& node)
    {
        if (const auto* text = node.as_string())
            return text->get();
        std::ostringstream out;
        node.visit([&out](const auto& value) {
            if constexpr (toml::is_table<decltype(value)>)
                out << "a table";
            else if constexpr (toml::is_array<decltype(value)>)
                out << "an array";
            else
                out << value;
        });
        return out.str();
    }

    /** @brief Looks a key up and reports a missing or a wrongly typed value. */
    template <class T> class Lookup {
    public:
        Lookup(SettingsDocument& document, const toml::table& table, const std::string& path, std::string_view key)
            : document { document }
            , path { join(path, key) }
            , node { table.get(key) }
        {
            document.requestedKeys.insert(this->path);
        }

        /** @return The value, or nothing after an error or when the fallback applies. */
        std::optional<T> value(bool required, const std::string& allowed)
        {
            if (!this->node) {
                if (required)
                    this->document.add(SettingsFault::Missing, nullptr, this->path, "", allowed);
                return std::nullopt;
            }
            std::optional<T> found = this->node->template value_exact<T>();
            if constexpr (std::same_as<T, double>) {
                if (!found) {
                    if (const auto whole = this->node->template value_exact<std::int64_t>())
                        found = static_cast<double>(*whole);
                }
            }
            if (!found)
                this->document.add(SettingsFault::WrongType, this->node, this->path, formatted(*this->node), allowed);
            return found;
        }

        void notAllowed(std::string text, const std::string& allowed)
        {
            this->document.add(SettingsFault::NotAllowed, this->node, this->path, std::move(text), allowed);
        }

        SettingsDocument& document;
        std::string path;
        const toml::node* node;
    };

    template <class T> std::string rangeText(std::string_view what, const Range<T>& range)
    {
        std::ostringstream out;
        out << what << " from " << range.least << " to " << range.most;
        return out.str();
    }

    const std::string endpointForm = "an address of the form a.b.c.d:port";

    std::string listOf(const std::vector<std::string_view>& names)
    {
        std::string text;
        for (const auto name : names)
            text += (text.empty() ? "" : ", ") + std::string { name };
        return text;
    }

    void reportUnknownKeys(SettingsDocument& document, const toml::table& table, const std::string& path)
    {
        std::vector<std::string_view> known;
        const std::string prefix = path.empty() ? "" : path + ".";
        for (const std::string& name : document.requestedKeys) {
            if (name.starts_with(prefix) && name.find_first_of(".[", prefix.size()) == std::string::npos)
                known.push_back(std::string_view { name }.substr(prefix.size()));
        }
        for (const auto& [key, node] : table) {
            const std::string name = join(path, key.str());
            if (!document.requestedKeys.contains(name)) {
                document.add(SettingsFault::UnknownKey, &node, name, "", listOf(known));
                continue;
            }
            if (const auto* child = node.as_table(); child && document.visitedTables.contains(name))
                reportUnknownKeys(document, *child, name);
            if (const auto* list = node.as_array()) {
                for (std::size_t i = 0; i < list->size(); ++i) {
                    const auto* child = list->get(i)->as_table();
                    if (child && document.visitedTables.contains(indexed(name, i)))
                        reportUnknownKeys(document, *child, indexed(name, i));
                }
            }
        }
    }

} // namespace

TableReader::TableReader(
    std::shared_ptr<internal::SettingsDocument> document, const internal::TomlTable* table, std::string path)
    : document { std::move(document) }
    , current { table }
    , path { std::move(path) }
{
    this->document->visitedTables.insert(this->path);
}

bool TableReader::has(std::string_view key) const { return tomlOf(this->current).contains(key); }

std::string TableReader::pathOf(std::string_view key) const { return join(this->path, key); }

std::string TableReader::text(std::string_view key, const std::optional<std::string>& fallback)
{
    Lookup<std::string> lookup { *this->document, tomlOf(this->current), this->path, key };
    const auto value = lookup.value(!fallback, "a text");
    return value ? *value : fallback.value_or("");
}

bool TableReader::boolean(std::string_view key, std::optional<bool> fallback)
{
    Lookup<bool> lookup { *this->document, tomlOf(this->current), this->path, key };
    return lookup.value(!fallback, "true or false").value_or(fallback.value_or(false));
}

std::int64_t TableReader::integer(std::string_view key, Range<std::int64_t> range, std::optional<std::int64_t> fallback)
{
    Lookup<std::int64_t> lookup { *this->document, tomlOf(this->current), this->path, key };
    const std::string allowed = rangeText("an integer", range);
    const auto value = lookup.value(!fallback, allowed);
    if (!value)
        return fallback.value_or(range.least);
    if (*value < range.least || *value > range.most)
        lookup.notAllowed(std::to_string(*value), allowed);
    return *value;
}

double TableReader::number(std::string_view key, Range<double> range, std::optional<double> fallback)
{
    Lookup<double> lookup { *this->document, tomlOf(this->current), this->path, key };
    const std::string allowed = rangeText("a number", range);
    const auto value = lookup.value(!fallback, allowed);
    if (!value)
        return fallback.value_or(range.least);
    // Written so that "nan" is outside every range.
    if (!(*value >= range.least && *value <= range.most))
        lookup.notAllowed(formatted(*lookup.node), allowed);
    return *value;
}

Milliseconds TableReader::milliseconds(
    std::string_view key, Range<Milliseconds> range, std::optional<Milliseconds> fallback)
{
    std::optional<std::int64_t> count;
    if (fallback)
        count = fallback->count();
    return Milliseconds { this->integer(key, { range.least.count(), range.most.count() }, count) };
}

Endpoint TableReader::endpoint(std::string_view key, std::optional<Endpoint> fallback)
{
    Lookup<std::string> lookup { *this->document, tomlOf(this->current), this->path, key };
    const auto value = lookup.value(!fallback, endpointForm);
    if (!value)
        return fallback.value_or(Endpoint {});
    const auto endpoint = Endpoint::parse(*value);
    if (!endpoint)
        lookup.notAllowed(*value, endpointForm);
    return endpoint.value_or(Endpoint {});
}

std::vector<std::string> TableReader::texts(
    std::string_view key, const std::optional<std::vector<std::string>>& fallback)
{
    const std::string name = this->pathOf(key);
    this->document->requestedKeys.insert(name);
    const toml::node* node = tomlOf(this->current).get(key);
    if (!node) {
        if (!fallback)
            this->document->add(SettingsFault::Missing, nullptr, name, "", "an array of texts");
        return fallback.value_or(std::vector<std::string> {});
    }
    const auto* list = node->as_array();
    if (!list) {
        this->document->add(SettingsFault::WrongType, node, name, formatted(*node), "an array of texts");
        return {};
    }
    std::vector<std::string> values;
    for (std::size_t i = 0; i < list->size(); ++i) {
        const toml::node& item = *list->get(i);
        if (const auto text = item.value_exact<std::string>())
            values.push_back(*text);
        else
            this->document->add(SettingsFault::WrongType, &item, indexed(name, i), formatted(item), "a text");
    }
    return values;
}

std::vector<Endpoint> TableReader::endpoints(std::string_view key, const std::optional<std::vector<Endpoint>>& fallback)
{
    if (fallback && !this->has(key)) {
        this->document->requestedKeys.insert(this->pathOf(key));
        return *fallback;
    }
    std::vector<Endpoint> values;
    const std::vector<std::string> items = this->texts(key);
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (const auto endpoint = Endpoint::parse(items[i]))
            values.push_back(*endpoint);
        else
            this->document->add(SettingsFault::NotAllowed, tomlOf(this->current).get(key),
                indexed(this->pathOf(key), i), items[i], endpointForm);
    }
    return values;
}

std::size_t TableReader::choiceIndex(
    std::string_view key, const std::vector<std::string_view>& allowed, std::optional<std::size_t> fallback)
{
    Lookup<std::string> lookup { *this->document, tomlOf(this->current), this->path, key };
    const std::string list = listOf(allowed);
    const auto value = lookup.value(!fallback, list);
    if (!value)
        return fallback.value_or(0);
    for (std::size_t i = 0; i < allowed.size(); ++i) {
        if (allowed[i] == *value)
            return i;
    }
    lookup.notAllowed(*value, list);
    return 0;
}

TableReader TableReader::table(std::string_view key, bool optional)
{
    static const toml::table empty;
    const std::string name = this->pathOf(key);
    this->document->requestedKeys.insert(name);
    const toml::node* node = tomlOf(this->current).get(key);
    if (!node && !optional)
        this->document->add(SettingsFault::Missing, nullptr, name, "", "a table");
    if (node && !node->is_table())
        this->document->add(SettingsFault::WrongType, node, name, formatted(*node), "a table");
    const toml::table* found = node ? node->as_table() : nullptr;
    return TableReader { this->document, opaqueTable(found ? *found : empty), name };
}

std::vector<TableReader> TableReader::tables(std::string_view key)
{
    const std::string name = this->pathOf(key);
    this->document->requestedKeys.insert(name);
    const toml::node* node = tomlOf(this->current).get(key);
    if (!node)
        return {};
    const auto* list = node->as_array();
    if (!list) {
        this->document->add(SettingsFault::WrongType, node, name, formatted(*node), "an array of tables");
        return {};
    }
    std::vector<TableReader> readers;
    for (std::size_t i = 0; i < list->size(); ++i) {
        const toml::node& item = *list->get(i);
        if (const auto* child = item.as_table())
            readers.emplace_back(this->document, opaqueTable(*child), indexed(name, i));
        else
            this->document->add(SettingsFault::WrongType, &item, indexed(name, i), formatted(item), "a table");
    }
    return readers;
}

void TableReader::reject(std::string_view key, std::string value, std::string allowed)
{
    this->document->add(SettingsFault::NotAllowed, tomlOf(this->current).get(key), this->pathOf(key), std::move(value),
        std::move(allowed));
}

namespace {

    /** @brief Puts the keys of a table in place of those of another one, at every depth. */
    void replaceKeys(toml::table& target, const toml::table& source)
    {
        for (const auto& [key, value] : source) {
            auto* existing = target.get_as<toml::table>(key.str());
            const auto* replacement = value.as_table();
            if (existing != nullptr && replacement != nullptr)
                replaceKeys(*existing, *replacement);
            else
                target.insert_or_assign(key.str(), value);
        }
    }

    SettingsError syntaxError(const std::string& source, const toml::parse_error& error)
    {
        return { SettingsFault::Syntax, source, error.source().begin.line, "", std::string { error.description() },
            "TOML 1.0" };
    }

} // namespace

SettingsErrors readSettingsText(std::string_view text, const std::string& file,
    const std::function<void(TableReader&)>& read, const SettingsOverrides& overrides)
{
    auto document = std::make_shared<SettingsDocument>();
    document->file = file;
    try {
        document->root = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        return { syntaxError(file, error) };
    }
    for (const std::string& line : overrides) {
        try {
            replaceKeys(document->root, toml::parse(line));
        } catch (const toml::parse_error& error) {
            return { syntaxError(line, error) };
        }
    }
    TableReader reader { document, opaqueTable(document->root), "" };
    read(reader);
    reportUnknownKeys(*document, document->root, "");
    return std::move(document->errors);
}

SettingsErrors readSettingsFile(
    const std::string& file, const std::function<void(TableReader&)>& read, const SettingsOverrides& overrides)
{
    std::ifstream stream { file, std::ios::binary };
    std::ostringstream content;
    if (stream)
        content << stream.rdbuf();
    if (!stream || stream.bad())
        return { SettingsError { SettingsFault::Unreadable, file, 0, "", "", "a readable file" } };
    return readSettingsText(content.str(), file, read, overrides);
}

} // namespace zinnia::runtime
