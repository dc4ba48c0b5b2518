#include "cypresswall/configuration/change_encoding.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"
#include "cypresswall/configuration/change.h"

namespace cypresswall::configuration {
namespace {

using nlohmann::json;

constexpr std::size_t kVersionDigits = 20;
constexpr int kHexadecimal = 16;

/// Encodes a digest as hexadecimal text, since many JSON parsers keep only 53 bits of a number.
std::string encodeDigest(ChainDigest digest) {
  std::array<char, kHexadecimal> buffer{};
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), digest, kHexadecimal);
  return {buffer.data(), end.ptr};
}

ChainDigest decodeDigest(const json& source) {
  const auto text = source.get<std::string>();
  ChainDigest digest = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), digest, kHexadecimal);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    throw EncodingError("digest \"" + common::abbreviated(text) + "\" is not hexadecimal");
  }
  return digest;
}

/// \throws EncodingError also for texts whose values can't be represented, since digests cover them
json parse(const std::string& text) {
  common::BoundedJson parsed = common::parseBoundedJson(text);
  if (parsed.repaired()) {
    throw EncodingError("the text is nested too deeply or has values out of range");
  }
  return std::move(parsed.value);
}

json encodeObjectChange(const ObjectChange& object) {
  json result{{"kind", toString(object.kind)}, {"name", object.name}};
  if (object.removed) {
    result["removed"] = true;
  } else {
    result["value"] = parse(object.value_json);
  }
  return result;
}

ObjectChange decodeObjectChange(const json& source) {
  ObjectChange object;
  const auto kind = parseObjectKind(source.at("kind").get<std::string>());
  if (!kind) {
    throw EncodingError("unknown kind of object " + common::abbreviated(source.at("kind").dump()));
  }
  object.kind = *kind;
  object.name = source.at("name").get<std::string>();
  object.removed = source.value("removed", false);
  if (!object.removed) {
    object.value_json = source.at("value").dump();
  }
  return object;
}

json encodeBody(const ConfigurationChange& change) {
  json objects = json::array();
  for (const ObjectChange& object : change.objects) {
    objects.push_back(encodeObjectChange(object));
  }
  return json{{"version", change.version},
              {"change_id", change.change_id},
              {"author", change.author},
              {"objects", std::move(objects)}};
}

/// Runs `call` and converts its JSON and configuration errors to EncodingError.
template <typename Call>
auto convertErrors(const char* what, Call&& call) {
  try {
    return call();
  } catch (const json::exception& error) {
    throw EncodingError(std::string(what) + ": " + common::abbreviated(error.what()));
  } catch (const common::JsonError& error) {
    throw EncodingError(std::string(what) + ": " + error.what());
  } catch (const ConfigurationError& error) {
    throw EncodingError(std::string(what) + ": " + error.what());
  }
}

}  // namespace

std::string changeKey(std::uint64_t version) {
  const std::string digits = std::to_string(version);
  std::string key(kChangesPrefix);
  key.append(kVersionDigits - digits.size(), '0');
  return key.append(digits);
}

std::string encodeChangeBody(const ConfigurationChange& change) {
  return convertErrors("change can't be encoded", [&] { return encodeBody(change).dump(); });
}

std::string encodeChange(const LoggedChange& entry) {
  return convertErrors("change can't be encoded", [&] {
    json result = encodeBody(entry.change);
    result["previous_digest"] = encodeDigest(entry.previous_digest);
    result["digest"] = encodeDigest(entry.digest);
    return result.dump();
  });
}

LoggedChange decodeChange(const std::string& text) {
  return convertErrors("change can't be decoded", [&] {
    const json source = parse(text);
    LoggedChange entry;
    entry.change.version = common::integerAt(source, "version", common::kLargestInteger);
    entry.change.change_id = source.at("change_id").get<std::string>();
    entry.change.author = source.at("author").get<std::string>();
    for (const json& object : source.at("objects")) {
      entry.change.objects.push_back(decodeObjectChange(object));
    }
    entry.previous_digest = decodeDigest(source.at("previous_digest"));
    entry.digest = decodeDigest(source.at("digest"));
    return entry;
  });
}

std::string encodeSnapshot(const ConfigurationSnapshot& snapshot) {
  return convertErrors("snapshot can't be encoded", [&] {
    json records = json::array();
    for (const ChangeRecord& record : snapshot.records) {
      records.push_back({{"version", record.version},
                         {"digest", encodeDigest(record.digest)},
                         {"change_id", record.change_id},
                         {"author", record.author}});
    }
    json encoded{{"version", snapshot.configuration.version},
                 {"digest", encodeDigest(snapshot.digest)},
                 {"records", std::move(records)},
                 {"configuration", encodeConfiguration(snapshot.configuration)}};
    if (snapshot.last_change) {
      encoded["last_change"] = encodeChange(*snapshot.last_change);
    }
    return encoded.dump();
  });
}

ConfigurationSnapshot decodeSnapshot(const std::string& text) {
  return convertErrors("snapshot can't be decoded", [&] {
    const json source = parse(text);
    ConfigurationSnapshot snapshot;
    snapshot.configuration = decodeConfiguration(source.at("configuration"));
    snapshot.digest = decodeDigest(source.at("digest"));
    for (const json& record : source.at("records")) {
      snapshot.records.push_back({common::integerAt(record, "version", common::kLargestInteger),
                                  decodeDigest(record.at("digest")),
                                  record.at("change_id").get<std::string>(),
                                  record.at("author").get<std::string>()});
    }
    if (source.contains("last_change")) {
      snapshot.last_change = decodeChange(source.at("last_change").get<std::string>());
    }
    return snapshot;
  });
}

}  // namespace cypresswall::configuration
