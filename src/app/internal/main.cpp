#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <gflags/gflags.h>

#include "app/apikey.h"
#include "app/commands.h"
#include "app/log.h"
#include "app/processes.h"
#include "documents/routedocuments.h"
#include "documents/settings.h"

DEFINE_string(settings, "", "settings file of the process (entry, agent, gateway)");
DEFINE_string(log, "", "address of the platform's log, HOST:PORT (publish)");
DEFINE_string(address, "",
              "operators' address of a process, HOST:PORT (show, drain, quarantine, route)");
DEFINE_string(token, "", "operators' token (show, drain, quarantine, route)");
DEFINE_bool(explain, false, "say where a request would go, without sending it (route)");
DEFINE_string(host, "", "host of the request (route)");
DEFINE_string(path, "", "path of the request (route)");
DEFINE_string(key, "", "API key of the request (route)");
DEFINE_string(organisation, "", "organisation, instead of a key (route)");
DEFINE_int64(prompt_tokens, 0, "tokens of the prompt (route)");
DEFINE_int64(output_tokens, 0, "limit of the response's tokens (route)");
DEFINE_int64(length_hint, 0, "the caller's estimate of the response's tokens; 0 for none (route)");
DEFINE_string(prompt_parts, "", "ids of the prompt's parts, separated by commas (route)");
DEFINE_bool(json, false, "print JSON instead of text (route)");
DEFINE_string(lift, "", "fingerprint to clear (quarantine)");
DEFINE_string(level, "info", "least level of log lines: debug, info, warning or error");
DEFINE_int32(timeout_ms, 30000, "how long to wait for the log's verdict (publish)");
DEFINE_int64(replaces, -1, "refuse unless this version is in force; -1: the newest (publish)");

namespace gypsumcroft {
namespace {

constexpr int ExitUsage = 2;
constexpr const char *Version = "0.1.0";
constexpr const char *SettingsVariable = "GYPSUMCROFT_SETTINGS";

using Arguments = std::vector<std::string>;
using Command = int (*)(const Arguments &);

struct CommandEntry
{
    const char *name_;
    Command run_;
    const char *help_;
};

LogLevel levelOf(const std::string &name)
{
    static const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::Debug},
                                                           {"info", LogLevel::Info},
                                                           {"warning", LogLevel::Warning},
                                                           {"error", LogLevel::Error}};
    const auto found = levels.find(name);
    return found == levels.end() ? LogLevel::Info : found->second;
}

//! --settings, or else the file that the environment names.
std::string settingsFile()
{
    const char *named = std::getenv(SettingsVariable);
    return FLAGS_settings.empty() && named != nullptr ? named : FLAGS_settings;
}

template <typename DaemonSettings>
using Decoder
        = std::optional<DaemonSettings> (*)(std::string_view, const std::string &, Findings &);

template <typename DaemonSettings>
std::optional<DaemonSettings> loadSettings(Decoder<DaemonSettings> decode, const std::string &path,
                                           Findings &findings)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        addFinding(findings, path, "can't be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return decode(text.str(), path, findings);
}

template <typename DaemonSettings, typename Run>
int runDaemon(Decoder<DaemonSettings> decode, const Run &run)
{
    const std::string path = settingsFile();
    if (path.empty() || !std::ifstream(path, std::ios::binary)) {
        std::cerr << "--settings must name a file that can be read\n";
        return ExitUsage;
    }
    Findings findings;
    const auto settings = loadSettings(decode, path, findings);
    for (const Finding &finding : findings)
        std::cerr << finding.place_ << ": " << finding.message_ << "\n";
    if (!findings.empty())
        return 1;
    startLogging(levelOf(FLAGS_level));
    const int code = run(*settings);
    // A thread that can't write the last lines would keep the process from ending.
    if (!stopLogging())
        std::_Exit(code);
    return code;
}

template <ProcessRole Role>
std::optional<ProcessSettings> decodeFor(std::string_view text, const std::string &place,
                                         Findings &findings)
{
    auto settings = decodeProcessSettings(text, place, findings);
    if (settings && settings->role_ != Role)
        addFinding(findings, place + "/role", "does not fit the sub-command");
    return settings;
}

int entry(const Arguments &)
{
    return runDaemon<ProcessSettings>(decodeFor<ProcessRole::Entry>, runEntry);
}

int agent(const Arguments &)
{
    return runDaemon<ProcessSettings>(decodeFor<ProcessRole::Agent>, runAgent);
}

int gateway(const Arguments &)
{
    return runDaemon<GatewaySettings>(decodeGatewaySettings, [](const GatewaySettings &settings) {
        return runGateway(settings, [path = settingsFile()](Findings &findings) {
            return loadSettings<GatewaySettings>(decodeGatewaySettings, path, findings);
        });
    });
}

int check(const Arguments &arguments)
{
    return runCheck(arguments);
}

int publish(const Arguments &arguments)
{
    const auto log = parseAddress(FLAGS_log);
    if (!log || arguments.size() != 1) {
        std::cerr << "usage: gypsumcroft publish --log HOST:PORT FILE\n";
        return ExitUsage;
    }
    PublishOptions options {
            *log, arguments.front(), std::chrono::milliseconds(FLAGS_timeout_ms), {}};
    if (FLAGS_replaces >= 0)
        options.replaces_ = LogOffset {static_cast<std::uint64_t>(FLAGS_replaces)};
    return runPublish(options);
}

int operatorRequest(const std::string &method, const std::string &path,
                    const std::string &body = {})
{
    const auto address = parseAddress(FLAGS_address);
    if (!address) {
        std::cerr << "--address must be the operators' address, HOST:PORT\n";
        return ExitUsage;
    }
    return runOperatorRequest(*address, method, path, FLAGS_token, body);
}

int show(const Arguments &arguments)
{
    const std::string what = arguments.empty() ? "config" : arguments.front();
    if (what != "config" && what != "endpoints" && what != "status") {
        std::cerr << "show: 'config', 'endpoints' (entries) or 'status' (agents)\n";
        return ExitUsage;
    }
    return operatorRequest("GET", "/v1/" + what);
}

int drain(const Arguments &)
{
    return operatorRequest("POST", "/v1/drain");
}

int quarantine(const Arguments &)
{
    if (FLAGS_lift.empty())
        return operatorRequest("GET", "/v1/quarantine");
    return operatorRequest("POST", "/v1/quarantine/lift?fingerprint=" + FLAGS_lift);
}

RouteQuestion routeQuestion()
{
    RouteQuestion question;
    question.request_.host_ = FLAGS_host;
    question.request_.path_ = FLAGS_path;
    if (!FLAGS_key.empty())
        question.request_.apiKey_ = FLAGS_key;
    if (!FLAGS_organisation.empty())
        question.organisation_ = OrganisationId {FLAGS_organisation};
    question.request_.promptTokens_ = {FLAGS_prompt_tokens};
    question.request_.outputLimit_ = {FLAGS_output_tokens};
    if (FLAGS_length_hint > 0)
        question.request_.lengthHint_ = Tokens {FLAGS_length_hint};
    std::istringstream parts(FLAGS_prompt_parts);
    for (std::string part; std::getline(parts, part, ',');)
        question.request_.promptParts_.push_back({part});
    return question;
}

int route(const Arguments &)
{
    if (!FLAGS_explain || FLAGS_host.empty() || FLAGS_path.empty()) {
        std::cerr << "usage: gypsumcroft route --explain --address HOST:PORT --token T --host HOST "
                     "--path PATH\n"
                     "  [--key K | --organisation O] [--prompt_tokens N] [--output_tokens N]\n"
                     "  [--length_hint N] [--prompt_parts ID,...] [--json]\n";
        return ExitUsage;
    }
    return operatorRequest("POST", FLAGS_json ? "/v1/route" : "/v1/route?format=text",
                           encodeRouteQuestion(routeQuestion()));
}

int hashKey(const Arguments &arguments)
{
    if (arguments.size() != 1) {
        std::cerr << "usage: gypsumcroft hash-key KEY\n";
        return ExitUsage;
    }
    std::cout << hashApiKey(arguments.front()).value_ << "\n";
    return 0;
}

constexpr CommandEntry Commands[] = {
        {"entry", entry, "run an entry: --settings FILE"},
        {"agent", agent, "run an agent beside its endpoint: --settings FILE"},
        {"gateway", gateway, "run a gateway before endpoints without agents: --settings FILE"},
        {"check", check, "check settings, templates and parameter sets: FILE..."},
        {"publish", publish, "put a document in force: --log HOST:PORT FILE"},
        {"show", show,
         "what a process knows: --address HOST:PORT --token T [config|endpoints|status]"},
        {"drain", drain, "stop a process gracefully: --address HOST:PORT --token T"},
        {"quarantine", quarantine,
         "list suspects, or clear one: --address HOST:PORT --token T [--lift F]"},
        {"route", route,
         "where a request would go now, without sending it: --explain --address HOST:PORT --token "
         "T "
         "--host HOST --path PATH"},
        {"hash-key", hashKey, "hash of an API key for a parameter set: KEY"},
};

void printHelp(std::ostream &out)
{
    out << "usage: gypsumcroft COMMAND [--FLAG VALUE ...] [ARGUMENT ...]\n\ncommands:\n";
    for (const CommandEntry &command : Commands)
        out << "  " << command.name_ << std::string(12 - std::string(command.name_).size(), ' ')
            << command.help_ << "\n";
    out << "\n--help prints this, --version the version; --level sets the least log level\n";
}

int runCommand(const std::string &name, const Arguments &arguments)
{
    for (const CommandEntry &command : Commands) {
        if (name == command.name_)
            return command.run_(arguments);
    }
    std::cerr << "gypsumcroft: no sub-command '" << name << "'; there are:";
    for (const CommandEntry &command : Commands)
        std::cerr << " " << command.name_;
    std::cerr << "\n";
    return ExitUsage;
}

} // namespace
} // namespace gypsumcroft

int main(int argc, char **argv)
{
    using namespace gypsumcroft;
    const std::string first = argc > 1 ? argv[1] : "";
    if (first.empty() || first == "--help" || first == "-h" || first == "help") {
        printHelp(first.empty() ? std::cerr : std::cout);
        return first.empty() ? ExitUsage : 0;
    }
    if (first == "--version") {
        std::cout << "gypsumcroft " << Version << "\n";
        return 0;
    }
    for (int i = 2; i < argc; ++i) {
        if (std::string(argv[i]) == "--help") {
            printHelp(std::cout);
            return 0;
        }
    }
    int count = argc - 1;
    char **rest = argv + 1;
    gflags::ParseCommandLineFlags(&count, &rest, true);
    return runCommand(first, Arguments(rest + 1, rest + count));
}
