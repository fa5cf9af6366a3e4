#include "documents/configdocuments.h"

#include <algorithm>

#include "objectreader.h"

namespace gypsumcroft {

namespace json = boost::json;

namespace detail {

template <typename Enum>
struct EnumName
{
    std::string_view name_;
    Enum value_;
};

constexpr EnumName<TemplateKind> KindNames[]
        = {{"model", TemplateKind::Model}, {"service", TemplateKind::Service}};
constexpr EnumName<RepeatPolicy> RepeatNames[]
        = {{"safe", RepeatPolicy::Safe}, {"never", RepeatPolicy::Never}};
constexpr EnumName<Rank> RankNames[] = {
        {"urgent", Rank::Urgent}, {"standard", Rank::Standard}, {"background", Rank::Background}};

template <typename Enum, std::size_t Count>
Enum readEnum(ObjectReader &reader, std::string_view field, const EnumName<Enum> (&names)[Count])
{
    const auto text = reader.text(field, true);
    std::string all;
    for (const auto &named : names) {
        if (text == named.name_)
            return named.value_;
        all += (all.empty() ? "'" : ", '") + std::string(named.name_) + "'";
    }
    if (text)
        reader.reportError(field, "'" + *text + "' is not one of " + all);
    return names[0].value_;
}

template <typename Enum, std::size_t Count>
std::string_view nameOf(Enum value, const EnumName<Enum> (&names)[Count])
{
    for (const auto &named : names) {
        if (named.value_ == value)
            return named.name_;
    }
    return names[0].name_;
}

std::string_view memberName(const json::key_value_pair &entry)
{
    return {entry.key().data(), entry.key().size()};
}

void readParameters(ObjectReader &reader, Template &requestTemplate, Findings &findings)
{
    const auto *parameters = reader.object("parameters", false);
    if (parameters == nullptr)
        return;
    for (const auto &entry : *parameters) {
        const std::string place = reader.placeOf("parameters") + pointerToken(memberName(entry));
        ObjectReader spec(entry.value(), place, findings);
        ParameterSpec read;
        read.default_ = spec.integer("default", true).value_or(0);
        read.minimum_ = spec.integer("minimum", true).value_or(0);
        read.maximum_ = spec.integer("maximum", true).value_or(0);
        spec.reportUnknownMembers();
        requestTemplate.parameters_[std::string(memberName(entry))] = read;
    }
}

Template readTemplate(ObjectReader &reader, Findings &findings)
{
    Template requestTemplate;
    requestTemplate.id_ = {reader.text("name", true).value_or("")};
    requestTemplate.kind_ = readEnum(reader, "kind", KindNames);
    requestTemplate.target_ = {reader.text("target", true).value_or("")};
    requestTemplate.rank_ = readEnum(reader, "rank", RankNames);
    requestTemplate.responseTimeout_ = std::chrono::milliseconds(
            reader.integer("patienceMs", true, 0, 86400000).value_or(0));
    requestTemplate.repeat_ = readEnum(reader, "repeat", RepeatNames);
    constexpr std::int64_t DefaultWindowS = 24L * 3600;
    requestTemplate.idempotencyWindow_
            = std::chrono::seconds(reader.integer("repeatWindowS", false, 0, 30 * DefaultWindowS)
                                           .value_or(DefaultWindowS));
    readParameters(reader, requestTemplate, findings);
    return requestTemplate;
}

void readOverrides(ObjectReader &reader, ParameterSet &set, Findings &findings)
{
    const auto *overrides = reader.object("parameters", false);
    if (overrides == nullptr)
        return;
    for (const auto &entry : *overrides) {
        const std::string place = reader.placeOf("parameters") + pointerToken(memberName(entry));
        ParameterValues &values = set.overrides_[TemplateId {std::string(memberName(entry))}];
        const auto *object = entry.value().if_object();
        if (object == nullptr) {
            addFinding(findings, place, "must be an object");
            continue;
        }
        ObjectReader valuesReader(entry.value(), place, findings);
        for (const auto &value : *object) {
            const auto number = valuesReader.integer(memberName(value), true);
            values[std::string(memberName(value))] = number.value_or(0);
        }
    }
}

ParameterSet readParameterSet(ObjectReader &reader, Findings &findings)
{
    ParameterSet set;
    set.organisation_ = {reader.text("organisation", true).value_or("")};
    constexpr std::int64_t MaxWeight = 1000;
    set.weight_
            = static_cast<std::uint32_t>(reader.integer("weight", false, 1, MaxWeight).value_or(1));
    if (const auto *hashes = reader.array("apiKeyHashes", true)) {
        for (std::size_t i = 0; i < hashes->size(); ++i) {
            const auto *text = (*hashes)[i].if_string();
            if (text == nullptr)
                addFinding(findings, reader.placeOf("apiKeyHashes") + "/" + std::to_string(i),
                           "must be a string");
            else
                set.apiKeyHashes_.push_back({std::string(*text)});
        }
    }
    readOverrides(reader, set, findings);
    return set;
}

FleetPolicy readFleet(ObjectReader &reader, Findings &findings)
{
    FleetPolicy fleet;
    if (const auto *value = reader.member("floorsPerMille", false)) {
        ObjectReader floors(*value, reader.placeOf("floorsPerMille"), findings);
        for (std::size_t rank = 0; rank < RankCount; ++rank)
            fleet.minShares_[rank].value_ = static_cast<std::uint32_t>(
                    floors.integer(RankNames[rank].name_, false, 0, 1000).value_or(0));
        floors.reportUnknownMembers();
    }
    const auto *models = reader.array("models", false);
    if (models == nullptr)
        return fleet;
    for (std::size_t i = 0; i < models->size(); ++i) {
        ObjectReader model((*models)[i], reader.placeOf("models") + "/" + std::to_string(i),
                           findings);
        ModelGoal goal;
        goal.model_ = {model.text("model", true).value_or("")};
        goal.version_ = {model.text("version", true).value_or("")};
        goal.pipelines_ = static_cast<std::uint32_t>(
                model.integer("pipelines", true, 0, 100000).value_or(0));
        model.reportUnknownMembers();
        fleet.models_.push_back(goal);
    }
    return fleet;
}

//! Adds a finding for each value out of range. Skips places that already have a finding: their
//! value could not be read and is still the default.
void addRangeFindings(const ConfigDocument &document, const std::string &place, std::size_t before,
                      Findings &findings)
{
    Findings ranges;
    validateDocument(document, place, ranges);
    for (Finding &range : ranges) {
        const bool known = std::any_of(
                findings.begin() + static_cast<std::ptrdiff_t>(before), findings.end(),
                [&](const Finding &finding) { return finding.place_ == range.place_; });
        if (!known)
            findings.push_back(std::move(range));
    }
}

std::optional<ConfigDocument> readDocument(const json::value &value, const std::string &place,
                                           Findings &findings)
{
    const std::size_t before = findings.size();
    ObjectReader reader(value, place, findings);
    const auto type = reader.text("type", true);
    ConfigDocument document;
    if (type == "template")
        document = readTemplate(reader, findings);
    else if (type == "organisation")
        document = readParameterSet(reader, findings);
    else if (type == "fleet")
        document = readFleet(reader, findings);
    else if (type)
        reader.reportError("type", "must be 'template', 'organisation' or 'fleet'");
    const bool known = type == "template" || type == "organisation" || type == "fleet";
    if (!known)
        return std::nullopt;
    reader.reportUnknownMembers();
    addRangeFindings(document, place, before, findings);
    if (findings.size() != before)
        return std::nullopt;
    return document;
}

json::object toJson(const Template &requestTemplate)
{
    json::object parameters;
    for (const auto &[name, spec] : requestTemplate.parameters_)
        parameters[name] = {
                {"default", spec.default_}, {"minimum", spec.minimum_}, {"maximum", spec.maximum_}};
    return {{"type", "template"},
            {"name", requestTemplate.id_.value_},
            {"kind", nameOf(requestTemplate.kind_, KindNames)},
            {"target", requestTemplate.target_.value_},
            {"rank", nameOf(requestTemplate.rank_, RankNames)},
            {"patienceMs", requestTemplate.responseTimeout_.count() / 1000},
            {"repeat", nameOf(requestTemplate.repeat_, RepeatNames)},
            {"repeatWindowS", requestTemplate.idempotencyWindow_.count() / 1000000},
            {"parameters", parameters}};
}

json::object toJson(const ParameterSet &set)
{
    json::array hashes;
    for (const ApiKeyHash &hash : set.apiKeyHashes_)
        hashes.emplace_back(hash.value_);
    json::object overrides;
    for (const auto &[templateId, values] : set.overrides_) {
        json::object numbers;
        for (const auto &[name, value] : values)
            numbers[name] = value;
        overrides[templateId.value_] = numbers;
    }
    return {{"type", "organisation"},
            {"organisation", set.organisation_.value_},
            {"weight", set.weight_},
            {"apiKeyHashes", hashes},
            {"parameters", overrides}};
}

json::object toJson(const FleetPolicy &fleet)
{
    json::object floors;
    for (std::size_t rank = 0; rank < RankCount; ++rank)
        floors[RankNames[rank].name_] = fleet.minShares_[rank].value_;
    json::array models;
    for (const ModelGoal &goal : fleet.models_)
        models.push_back({{"model", goal.model_.value_},
                          {"version", goal.version_.value_},
                          {"pipelines", goal.pipelines_}});
    return {{"type", "fleet"}, {"floorsPerMille", floors}, {"models", models}};
}

json::object documentToJson(const ConfigDocument &document)
{
    return std::visit([](const auto &value) { return toJson(value); }, document);
}

ConfigRecord readPublish(ObjectReader &reader, const std::string &place, Findings &findings)
{
    ConfigPublish publish;
    publish.id_ = {reader.text("publish", true).value_or("")};
    publish.replaces_ = {static_cast<std::uint64_t>(reader.integer("replaces", true).value_or(0))};
    const auto *value = reader.member("document", true);
    auto document
            = value == nullptr ? std::nullopt : readDocument(*value, place + "/document", findings);
    if (!document || !findings.empty())
        return MalformedRecord {findings};
    publish.document_ = std::move(*document);
    return publish;
}

ConfigRecord readSnapshot(ObjectReader &reader, const std::string &place, Findings &findings)
{
    ConfigSnapshot snapshot;
    snapshot.throughOffset_
            = {static_cast<std::uint64_t>(reader.integer("throughOffset", true).value_or(0))};
    if (const auto *entries = reader.array("entries", true)) {
        for (std::size_t i = 0; i < entries->size(); ++i) {
            const std::string entryPlace = place + "/entries/" + std::to_string(i);
            ObjectReader entry((*entries)[i], entryPlace, findings);
            const auto version = entry.integer("version", true);
            const auto *value = entry.member("document", true);
            auto document = value == nullptr
                                    ? std::nullopt
                                    : readDocument(*value, entryPlace + "/document", findings);
            if (document && version)
                snapshot.entries_.push_back(
                        {std::move(*document), {static_cast<std::uint64_t>(*version)}});
        }
    }
    if (!findings.empty())
        return MalformedRecord {findings};
    return snapshot;
}

json::object entryToJson(const ConfigEntry &entry)
{
    return {{"version", entry.version_.value_}, {"document", documentToJson(entry.document_)}};
}

//! 64-bit values are encoded as hexadecimal strings: readers that store JSON numbers as doubles
//! would lose the low bits.
std::string toHex(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::uint64_t fromHex(const json::value &value)
{
    return std::strtoull(value.as_string().c_str(), nullptr, 16);
}

std::string encodeKey(const KeyHash &key)
{
    return toHex(key.high_) + toHex(key.low_);
}

KeyHash decodeKey(const json::value &value)
{
    constexpr std::size_t HalfDigits = 16;
    const std::string text(value.as_string());
    if (text.size() != 2 * HalfDigits)
        throw std::invalid_argument("key");
    return {std::strtoull(text.substr(0, HalfDigits).c_str(), nullptr, 16),
            std::strtoull(text.substr(HalfDigits).c_str(), nullptr, 16)};
}

json::object toJson(const Claim &claim)
{
    return {{"claim", encodeKey(claim.key_)},
            {"nonce", toHex(claim.nonce_.value_)},
            {"attempt", toHex(claim.attempt_.value_)},
            {"endpoint", claim.endpoint_.value_},
            {"fingerprint", toHex(claim.fingerprint_.value_)},
            {"windowUs", claim.idempotencyWindow_.count()}};
}

json::object toJson(const ClaimOutcome &outcome)
{
    return {{"outcome", encodeKey(outcome.key_)},
            {"nonce", toHex(outcome.nonce_.value_)},
            {"status", outcome.outcome_.status_},
            {"body", outcome.outcome_.body_}};
}

json::object toJson(const ClaimRelease &release)
{
    return {{"release", encodeKey(release.key_)}, {"nonce", toHex(release.nonce_.value_)}};
}

json::object toJson(const AttemptCancel &cancel)
{
    return {{"cancel", encodeKey(cancel.key_)}, {"attempt", toHex(cancel.attempt_.value_)}};
}

ClaimRecord readClaimRecord(const json::object &object)
{
    if (object.contains("claim"))
        return Claim {decodeKey(object.at("claim")),
                      {fromHex(object.at("nonce"))},
                      {fromHex(object.at("attempt"))},
                      {std::string(object.at("endpoint").as_string())},
                      {fromHex(object.at("fingerprint"))},
                      Duration(object.at("windowUs").to_number<std::int64_t>())};
    if (object.contains("outcome"))
        return ClaimOutcome {decodeKey(object.at("outcome")),
                             {fromHex(object.at("nonce"))},
                             {object.at("status").to_number<std::uint16_t>(),
                              std::string(object.at("body").as_string())}};
    if (object.contains("release"))
        return ClaimRelease {decodeKey(object.at("release")), {fromHex(object.at("nonce"))}};
    return AttemptCancel {decodeKey(object.at("cancel")), {fromHex(object.at("attempt"))}};
}

} // namespace detail

std::optional<ConfigDocument> decodeDocument(std::string_view text, const std::string &place,
                                             Findings &findings)
{
    const auto value = detail::parseJson(text, place, findings);
    if (!value)
        return std::nullopt;
    return detail::readDocument(*value, place, findings);
}

std::string encodeDocument(const ConfigDocument &document)
{
    return json::serialize(detail::documentToJson(document));
}

void checkOverrides(const std::vector<std::pair<std::string, ConfigDocument>> &documents,
                    Findings &findings)
{
    std::map<TemplateId, Template> templates;
    for (const auto &[place, document] : documents) {
        if (const auto *requestTemplate = std::get_if<Template>(&document))
            templates.emplace(requestTemplate->id_, *requestTemplate);
    }
    if (templates.empty())
        return;
    for (const auto &[place, document] : documents) {
        const auto *set = std::get_if<ParameterSet>(&document);
        if (set == nullptr)
            continue;
        for (const auto &[id, values] : set->overrides_) {
            const std::string overridePlace
                    = place + "/parameters" + detail::pointerToken(id.value_);
            const auto requestTemplate = templates.find(id);
            if (requestTemplate == templates.end()) {
                addFinding(findings, overridePlace, "template '" + id.value_ + "' is not defined");
                continue;
            }
            for (const auto &[name, value] : values) {
                const auto spec = requestTemplate->second.parameters_.find(name);
                if (spec == requestTemplate->second.parameters_.end())
                    addFinding(findings, overridePlace + detail::pointerToken(name),
                               "template '" + id.value_ + "' has no such parameter");
                else if (value < spec->second.minimum_ || value > spec->second.maximum_)
                    addFinding(findings, overridePlace + detail::pointerToken(name),
                               std::to_string(value) + " is not between "
                                       + std::to_string(spec->second.minimum_) + " and "
                                       + std::to_string(spec->second.maximum_)
                                       + ", the template's bounds");
            }
        }
    }
}

ConfigRecord decodeConfigRecord(std::string_view text)
{
    Findings findings;
    const std::string place = "record";
    const auto value = detail::parseJson(text, place, findings);
    if (!value)
        return MalformedRecord {findings};
    detail::ObjectReader reader(*value, place, findings);
    const auto type = reader.text("record", true);
    if (type == "publish")
        return detail::readPublish(reader, place, findings);
    if (type == "snapshot")
        return detail::readSnapshot(reader, place, findings);
    addFinding(findings, place + "/record", "must be 'publish' or 'snapshot'");
    return MalformedRecord {findings};
}

std::string encodeConfigRecord(const ConfigRecord &record)
{
    if (const auto *publish = std::get_if<ConfigPublish>(&record))
        return json::serialize(
                json::object {{"record", "publish"},
                              {"publish", publish->id_.value_},
                              {"replaces", publish->replaces_.value_},
                              {"document", detail::documentToJson(publish->document_)}});
    const auto *snapshot = std::get_if<ConfigSnapshot>(&record);
    if (snapshot == nullptr)
        return "{}";
    json::array entries;
    for (const ConfigEntry &entry : snapshot->entries_)
        entries.push_back(detail::entryToJson(entry));
    return json::serialize(json::object {{"record", "snapshot"},
                                         {"throughOffset", snapshot->throughOffset_.value_},
                                         {"entries", entries}});
}

std::optional<ClaimBatch> decodeClaimBatch(std::string_view text)
{
    try {
        ClaimBatch batch;
        const json::value value = json::parse(text);
        for (const json::value &record : value.as_array())
            batch.push_back(detail::readClaimRecord(record.as_object()));
        return batch;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encodeClaimBatch(const ClaimBatch &batch)
{
    json::array records;
    for (const ClaimRecord &record : batch)
        records.push_back(
                std::visit([](const auto &value) { return detail::toJson(value); }, record));
    return json::serialize(records);
}

std::optional<LogPage> decodeLogPage(std::string_view text)
{
    try {
        const json::value value = json::parse(text);
        LogPage page;
        page.oldestOffset_ = {value.at("first").to_number<std::uint64_t>()};
        page.nextOffset_ = {value.at("next").to_number<std::uint64_t>()};
        page.logTime_ = {value.at("now").to_number<std::int64_t>()};
        page.retention_
                = std::chrono::milliseconds(value.at("retentionMs").to_number<std::int64_t>());
        for (const json::value &record : value.at("records").as_array())
            page.records_.push_back({{record.at("offset").to_number<std::uint64_t>()},
                                     {record.at("time").to_number<std::int64_t>()},
                                     std::string(record.at("data").as_string())});
        return page;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

ConfigLogPage toConfigLogPage(const LogPage &page)
{
    ConfigLogPage config {page.oldestOffset_, page.nextOffset_, page.logTime_, page.retention_, {}};
    for (const LogPage::Record &record : page.records_)
        config.records_.push_back({record.offset_, record.time_, decodeConfigRecord(record.data_)});
    return config;
}

ClaimsPage toClaimsPage(const LogPage &page)
{
    ClaimsPage claims {page.oldestOffset_, page.nextOffset_, page.logTime_, {}};
    for (const LogPage::Record &record : page.records_)
        claims.records_.push_back({record.offset_, record.time_,
                                   decodeClaimBatch(record.data_).value_or(ClaimBatch {})});
    return claims;
}

std::string encodeActiveConfig(const ConfigState &state, Duration activeFor)
{
    json::object objects;
    for (const auto &[name, entry] : state.entries_)
        objects[name.value_] = detail::entryToJson(entry);
    return json::serialize(json::object {{"through", state.appliedOffset_.value_},
                                         {"digest", detail::toHex(state.digest_)},
                                         {"inForceMs", activeFor.count() / 1000},
                                         {"objects", objects}});
}

} // namespace gypsumcroft
