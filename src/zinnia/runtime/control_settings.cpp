#include "zinnia/runtime/control_settings.hpp"

#include "zinnia/runtime/operator_token.hpp"

#include <algorithm>

namespace zinnia::runtime {

ControlSettings readControlSettings(TableReader& root)
{
    ControlSettings settings;
    TableReader instance = root.table("instance");
    settings.instance = instance.id<InstanceId>("id");
    settings.zone = instance.id<ZoneId>("zone");
    settings.cluster = readClusterSettings(root);
    TableReader listen = root.table("listen");
    settings.stream = listen.endpoint("stream");
    settings.http = listen.endpoint("http");
    TableReader storage = root.table("storage");
    settings.folder = storage.text("folder");
    settings.bootstrap = storage.boolean("bootstrap", false);
    settings.operatorToken = readOperatorToken(root);
    for (TableReader& table : root.tables("control"))
        settings.controls.push_back({ table.id<InstanceId>("id"), table.endpoint("stream"), table.endpoint("http") });
    const bool listed = std::any_of(settings.controls.begin(), settings.controls.end(),
        [&settings](const ControlPeer& peer) { return peer.id == settings.instance; });
    if (!listed)
        root.reject("control", std::to_string(settings.instance.value), "a list that contains this instance");
    settings.log = readLogSettings(root);
    return settings;
}

} // namespace zinnia::runtime
