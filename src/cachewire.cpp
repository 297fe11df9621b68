#include "cachewire.h"

#include "messages.pb.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace fireflycrank {

namespace {

using nlohmann::json;

std::vector<cache_block> read_blocks(json const& list) {
    constexpr int hexadecimal = 16;
    std::vector<cache_block> blocks;
    for (json const& item : list) {
        auto const& text = item.get_ref<std::string const&>();
        std::uint64_t hash = 0;
        auto const read =
            std::from_chars(text.data(), text.data() + text.size(), hash, hexadecimal);
        if (read.ec == std::errc{}) {
            blocks.push_back(short_block(hash));
        }
    }
    return blocks;
}

} // namespace

std::string encode(cache_news const& news) {
    wire::CacheNews out;
    out.set_target(news.target);
    out.set_incarnation(news.incarnation);
    out.set_sequence(news.sequence);
    out.set_listing_begins(news.listing_begins);
    out.mutable_stored()->Add(news.stored.begin(), news.stored.end());
    out.mutable_removed()->Add(news.removed.begin(), news.removed.end());
    return out.SerializeAsString();
}

std::string encode(cache_listing_request const& request) {
    wire::CacheListing out;
    out.set_entry(request.entry);
    return out.SerializeAsString();
}

std::optional<cache_news> decode_cache_news(std::string const& body) {
    wire::CacheNews in;
    if (!in.ParseFromString(body)) {
        return std::nullopt;
    }
    return cache_news{in.target(),
                      in.incarnation(),
                      in.sequence(),
                      in.listing_begins(),
                      {in.stored().begin(), in.stored().end()},
                      {in.removed().begin(), in.removed().end()}};
}

std::optional<cache_listing_request> decode_cache_listing(std::string const& body) {
    wire::CacheListing in;
    if (!in.ParseFromString(body)) {
        return std::nullopt;
    }
    return cache_listing_request{in.entry()};
}

std::optional<engine_cache_answer> parse_engine_cache(std::string const& body) {
    try {
        json const in = json::parse(body);
        engine_cache_answer answer;
        answer.engine = in.at("engine").get<std::string>();
        answer.last = in.at("last").get<std::uint64_t>();
        answer.listing = in.contains("blocks");
        if (answer.listing) {
            answer.blocks = read_blocks(in.at("blocks"));
            return answer;
        }
        for (json const& event : in.at("events")) {
            answer.events.push_back({event.at("sequence").get<std::uint64_t>(),
                                     event.at("kind").get<std::string>() == "removed",
                                     read_blocks(event.at("blocks"))});
        }
        return answer;
    } catch (json::exception const&) {
        return std::nullopt;
    }
}

} // namespace fireflycrank
