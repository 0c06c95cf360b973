#include "app/settings.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace amarantharch
{

namespace
{

constexpr std::string_view upstream_prefix = "upstream ";

settings from_tree(boost::property_tree::ptree const& tree)
{
    settings result;
    result.vm = tree.get<std::string>("vm.id");
    result.failure_domain = tree.get<std::string>("vm.failure_domain");
    result.listen_address =
        tree.get("vm.listen_address", result.listen_address);
    result.listen_port = tree.get("vm.listen_port", result.listen_port);
    for (auto const& [section, keys] : tree)
    {
        if (section.starts_with(upstream_prefix))
        {
            result.upstreams.push_back({section.substr(upstream_prefix.size()),
                                        keys.get<std::string>("address")});
        }
    }
    return result;
}

} // namespace

absl::StatusOr<settings> read_settings(std::string const& path)
{
    try
    {
        boost::property_tree::ptree tree;
        boost::property_tree::read_ini(path, tree);
        return from_tree(tree);
    }
    catch (boost::property_tree::ptree_error const& error)
    {
        return absl::InvalidArgumentError(path + ": " + error.what());
    }
}

} // namespace amarantharch
